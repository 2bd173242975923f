#pragma once

#include "Duties/Configuration/Snapshot.h"
#include "Libraries/Core/Clock.h"
#include "Libraries/Core/Result.h"

#include <string>

/** For whom a request may run. */
namespace lavender::keys {

/** The customer and key record that a presented key belongs to. */
struct authorization
{
  configuration::customer mCustomer;
  std::string mKeyId;
  std::string mKeyHash;
};

/** Takes the key out of "Bearer KEY" and looks up its hash. The key itself
 * goes no further than this call. Reasons: "key_missing", "key_unknown",
 * "key_withdrawn", "customer_unknown". */
result<authorization>
Authorize(const configuration::snapshot& aSnapshot,
          const std::string& aAuthorizationHeader);

/** Reason why a key that was good may no longer be used; empty when it may.
 * Asked again while a request waits and when queued work starts. */
std::string
FindKeyRejection(const configuration::snapshot& aSnapshot,
                 const std::string& aKeyHash);

} // namespace lavender::keys
