#include "Duties/Site/Evacuation.h"

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
                 const evacuated_zones& aZones,
                 time_point aNow)
{
  auto& inForce = aDirectory.mEvacuatedZones;
  evacuation_change change;
  for (const auto& zone : aZones) {
    if (inForce.emplace(zone, aNow).second) {
      change.mBegun.push_back(zone);
    }
  }
  for (auto zone = inForce.begin(); zone != inForce.end();) {
    if (aZones.count(zone->first) > 0) {
      ++zone;
      continue;
    }
    change.mEnded.push_back(zone->first);
    zone = inForce.erase(zone);
  }
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
