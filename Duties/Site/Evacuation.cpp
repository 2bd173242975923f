#include "Duties/Site/Evacuation.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace lavender::site {

namespace {

void
AssumeWarming(server_directory& aDirectory,
              const site_configuration& aConfiguration,
              const std::string& aZone,
              time_point aNow)
{
  for (auto& [id, row] : aDirectory.mRows) {
    const auto pool = aConfiguration.mPools.find(row.mServer.mPool);
    if (row.mServer.mAvailabilityZone == aZone &&
        pool != aConfiguration.mPools.end()) {
      row.mAssumedWarmAt = aNow + pool->second.mWarmUpTime;
    }
  }
}

} // namespace

evacuation_change
ApplyEvacuations(server_directory& aDirectory,
                 const site_configuration* aConfiguration,
                 evacuated_zones aZones,
                 time_point aNow)
{
  const auto before =
    std::exchange(aDirectory.mEvacuatedZones, std::move(aZones));
  const auto& after = aDirectory.mEvacuatedZones;
  evacuation_change change;
  std::set_difference(after.begin(),
                      after.end(),
                      before.begin(),
                      before.end(),
                      std::back_inserter(change.mBegun));
  std::set_difference(before.begin(),
                      before.end(),
                      after.begin(),
                      after.end(),
                      std::back_inserter(change.mEnded));
  for (const auto& zone : change.mEnded) {
    if (aConfiguration) {
      AssumeWarming(aDirectory, *aConfiguration, zone, aNow);
    }
  }
  return change;
}

bool
AcceptsWork(const server_directory& aDirectory, const backend_server& aServer)
{
  return !aServer.mIsLeaving &&
         aDirectory.mEvacuatedZones.count(aServer.mAvailabilityZone) == 0;
}

} // namespace lavender::site
