#include "Duties/Routing/RecentServers.h"

#include <algorithm>

namespace lavender::routing {

namespace {

constexpr std::size_t kMaximumRecent = 8;
/** Weight of the newest response in the usual time. */
constexpr double kNewestWeight = 0.1;
/** Ratio to the usual time from which a response counts as slow. */
constexpr double kSlowRatio = 2;

} // namespace

void
RecordAnswered(recent_servers& aRecent,
               const std::string& aServer,
               milliseconds aTime)
{
  const std::chrono::duration<double, std::milli> time(aTime);
  const bool isFirst = aRecent.mUsualTime.count() == 0;
  aRecent.mUsualTime +=
    (time - aRecent.mUsualTime) * (isFirst ? 1 : kNewestWeight);
  Forget(aRecent, aServer);
  auto& servers = aRecent.mNewestFirst;
  servers.insert(servers.begin(), { aServer, aTime });
  if (servers.size() > kMaximumRecent) {
    servers.pop_back();
  }
}

void
Forget(recent_servers& aRecent, const std::string& aServer)
{
  auto& servers = aRecent.mNewestFirst;
  servers.erase(
    std::remove_if(servers.begin(),
                   servers.end(),
                   [&](const auto& aKnown) { return aKnown.mName == aServer; }),
    servers.end());
}

bool
WasAsFastAsUsual(const recent_servers& aRecent, const recent_server& aServer)
{
  return aServer.mLastTime <= aRecent.mUsualTime * kSlowRatio;
}

} // namespace lavender::routing
