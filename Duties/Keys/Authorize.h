#pragma once

#include "Duties/Configuration/Snapshot.h"
#include "Libraries/Core/Clock.h"
#include "Libraries/Core/Result.h"

#include <string>

/** Authorisation of requests by customer key, and the check that the
 * configuration is recent enough to trust. */
namespace lavender::keys {

/** The customer and key record that a presented key belongs to. */
struct authorization
{
  configuration::customer mCustomer;
  std::string mKeyId;
  std::string mKeyHash;
};

/** Extracts the key from a "Bearer KEY" header and looks up its hash. The key
 * itself isn't stored or passed on. Failure reasons: "key_missing",
 * "key_unknown", "key_withdrawn", "customer_unknown". */
result<authorization>
Authorize(const configuration::snapshot& aSnapshot,
          const std::string& aAuthorizationHeader);

/** Returns the reason why a key may not be used ("key_unknown",
 * "key_withdrawn" or "customer_unknown"), or an empty string when it may.
 * Called again while a request waits and when queued work starts, because the
 * key may be withdrawn in the meantime. */
std::string
FindKeyRejection(const configuration::snapshot& aSnapshot,
                 const std::string& aKeyHash);

} // namespace lavender::keys
