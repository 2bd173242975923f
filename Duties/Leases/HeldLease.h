#pragma once

#include "Libraries/Core/Clock.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

/** Leases, which let at most one process at a time do a certain task. */
namespace lavender::leases {

/** A lease that this process currently holds. */
struct held_lease
{
  std::string mName;
  /** Fencing number: grows with each holder and is sent with every order issued
   * under the lease. */
  std::int64_t mFencing = 0;
  /** Counted from just before the request that acquired or renewed the lease
   * was sent. */
  time_point mExpiresAt;
};

/** Requests the lease of that name; none while this process doesn't hold it.
 * A function type, so that tests need no object store. */
using lease_source =
  std::function<std::optional<held_lease>(const std::string&)>;

} // namespace lavender::leases
