#pragma once

#include "Duties/Site/ServerDirectory.h"
#include "Duties/Site/SiteConfiguration.h"

#include <string>

/** Regions in which a request may be processed. */
namespace lavender::site {

/** Region of each availability zone. */
using zone_regions = decltype(server_directory::mRegions);

/** Returns the zone's region; empty if unknown. */
std::string
RegionOf(const zone_regions& aRegions, const std::string& aZone);

/** Whether the zone lies in a region that the route and the customer both
 * allow. A zone of unknown region is allowed only if neither restricts the
 * regions.
 * @param aRoute null if there is none
 * @param aCustomer null if there is none */
bool
IsZoneAllowed(const zone_regions& aRegions,
              const route* aRoute,
              const customer* aCustomer,
              const std::string& aZone);

} // namespace lavender::site
