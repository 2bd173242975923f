#pragma once

#include "Libraries/Core/Clock.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

/** Which process is in charge of a duty that must have one. */
namespace lavender::leases {

/** A lease that this process holds now. */
struct held_lease
{
  std::string mName;
  /** Grows with each holder; goes into every order given under the lease. */
  std::int64_t mFencing = 0;
  /** Counted from before the request that won or renewed it left. */
  time_point mExpiresAt;
};

/** Asks for the lease of that name; none while another process holds it. What
 * duties use, so that their tests need no store. */
using lease_source =
  std::function<std::optional<held_lease>(const std::string&)>;

} // namespace lavender::leases
