#pragma once

#include "Duties/Site/ServerDirectory.h"
#include "Duties/Site/SiteConfiguration.h"

#include <set>
#include <string>
#include <vector>

namespace lavender::site {

/** Availability zones that the operator has evacuated: their servers get no
 * requests and no orders. */
using evacuated_zones = std::set<std::string>;

/** Difference between two lists of evacuated zones. */
struct evacuation_change
{
  std::vector<std::string> mBegun;
  std::vector<std::string> mEnded;
};

/** Puts the complete list of evacuated zones into force.
 *
 * The servers of a zone whose evacuation has ended count as warming for their
 * pools' warm-up time, since the change of their own records may become known
 * later. */
evacuation_change
ApplyEvacuations(server_directory& aDirectory,
                 const site_configuration* aConfiguration,
                 const evacuated_zones& aZones,
                 time_point aNow);

/** Whether the server takes new work: it isn't about to leave, and its zone is
 * not evacuated. */
bool
AcceptsWork(const server_directory& aDirectory, const backend_server& aServer);

} // namespace lavender::site
