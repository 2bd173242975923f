#include "Duties/Keys/Authorize.h"

#include "Libraries/Core/Identity.h"

namespace lavender::keys {

result<authorization>
Authorize(const configuration::snapshot& aSnapshot,
          const std::string& aAuthorizationHeader)
{
  static const std::string kScheme = "Bearer ";
  if (aAuthorizationHeader.rfind(kScheme, 0) != 0 ||
      aAuthorizationHeader.size() == kScheme.size()) {
    return Fail<authorization>("key_missing");
  }
  const std::string hash = HashKey(aAuthorizationHeader.substr(kScheme.size()));
  if (auto reason = FindKeyRejection(aSnapshot, hash); !reason.empty()) {
    return Fail<authorization>(reason);
  }
  const auto& record = aSnapshot.mKeysByHash.at(hash);
  return Succeed(authorization{
    aSnapshot.mCustomers.at(record.mCustomer), record.mName, hash });
}

std::string
FindKeyRejection(const configuration::snapshot& aSnapshot,
                 const std::string& aKeyHash)
{
  const auto key = aSnapshot.mKeysByHash.find(aKeyHash);
  if (key == aSnapshot.mKeysByHash.end()) {
    return "key_unknown";
  }
  if (key->second.mIsWithdrawn) {
    return "key_withdrawn";
  }
  if (aSnapshot.mCustomers.count(key->second.mCustomer) == 0) {
    return "customer_unknown";
  }
  return {};
}

} // namespace lavender::keys
