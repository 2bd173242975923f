#include "Duties/Site/Regions.h"

#include <algorithm>

namespace lavender::site {

namespace {

bool
Allows(const std::vector<std::string>& aAllowed, const std::string& aRegion)
{
  return aAllowed.empty() ||
         std::find(aAllowed.begin(), aAllowed.end(), aRegion) != aAllowed.end();
}

} // namespace

std::string
RegionOf(const zone_regions& aRegions, const std::string& aZone)
{
  const auto found = aRegions.find(aZone);
  return found == aRegions.end() ? std::string() : found->second;
}

bool
IsZoneAllowed(const zone_regions& aRegions,
              const route* aRoute,
              const customer* aCustomer,
              const std::string& aZone)
{
  const auto region = RegionOf(aRegions, aZone);
  return (!aRoute || Allows(aRoute->mAllowedRegions, region)) &&
         (!aCustomer || Allows(aCustomer->mAllowedRegions, region));
}

} // namespace lavender::site
