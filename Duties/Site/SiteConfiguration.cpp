#include "Duties/Site/SiteConfiguration.h"

#include "Libraries/Core/Identity.h"

#include <algorithm>

namespace lavender::site {

namespace {
constexpr std::string_view kKeyScheme = "Token ";
}

std::string
HostName(std::string_view aHost)
{
  return std::string(aHost.substr(0, aHost.find(':')));
}

bool
AcceptsBatches(const site_configuration& aConfiguration, std::string_view aHost)
{
  const auto routes = aConfiguration.mRoutes.find(HostName(aHost));
  return routes != aConfiguration.mRoutes.end() &&
         std::any_of(
           routes->second.begin(),
           routes->second.end(),
           [](const auto& aRoute) { return aRoute.second->mAcceptsBatches; });
}

std::shared_ptr<const route>
FindRoute(const site_configuration& aConfiguration,
          std::string_view aHost,
          std::string_view aTarget)
{
  const auto routes = aConfiguration.mRoutes.find(HostName(aHost));
  if (routes == aConfiguration.mRoutes.end()) {
    return nullptr;
  }
  std::string path(aTarget.substr(0, aTarget.find('?')));
  // Prefixes end with a slash, so only the positions of slashes can match.
  for (auto slash = path.rfind('/'); slash != std::string::npos;
       slash = path.rfind('/', slash - 1)) {
    path.resize(slash + 1);
    if (const auto found = routes->second.find(path);
        found != routes->second.end()) {
      return found->second;
    }
    if (slash == 0) {
      break;
    }
  }
  return nullptr;
}

key_check
CheckKey(const site_configuration& aConfiguration,
         const route& aRoute,
         const std::string* aAuthorization)
{
  if (!aConfiguration.mHasCustomers) {
    return { key_verdict::NotNeeded, nullptr };
  }
  if (aAuthorization &&
      aAuthorization->compare(0, kKeyScheme.size(), kKeyScheme) == 0) {
    const auto key = aConfiguration.mKeys.find(
      HashKey(std::string_view(*aAuthorization).substr(kKeyScheme.size())));
    if (key != aConfiguration.mKeys.end()) {
      return { key_verdict::Allowed, key->second };
    }
  }
  return { aRoute.mNeedsKey ? key_verdict::Unknown : key_verdict::NotNeeded,
           nullptr };
}

const customer*
FindCustomer(const site_configuration& aConfiguration, const std::string& aName)
{
  const auto found = aConfiguration.mCustomers.find(aName);
  return found == aConfiguration.mCustomers.end() ? nullptr
                                                  : found->second.get();
}

bool
ApplyConfiguration(configuration_ptr& aInForce, configuration_ptr aArrived)
{
  if (!aArrived || (aInForce && aArrived->mVersion <= aInForce->mVersion)) {
    return false;
  }
  aInForce = std::move(aArrived);
  return true;
}

} // namespace lavender::site
