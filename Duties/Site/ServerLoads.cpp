#include "Duties/Site/ServerLoads.h"

#include "Libraries/EventLog/EventLog.h"

namespace lavender::site {

namespace {

/** Bounds of a slowdown that a server can mean. */
constexpr double kMinimumSlowdown = 0.1;
constexpr double kMaximumSlowdown = 100;
/** Running requests per slot above which the figure is a fault. A server may
 * briefly run more requests than it has slots. */
constexpr int kMaximumRunningPerSlot = 4;
/** More than any server queues. */
constexpr int kMaximumRequests = 1'000'000;
/** Each response of a server with a fault tells the fault again. */
constexpr milliseconds kFaultLogInterval{ 10'000 };

bool
IsPossibleCount(int aCount)
{
  return aCount >= 0 && aCount <= kMaximumRequests;
}

} // namespace

bool
IsPossibleSlowdown(double aSlowdown)
{
  return aSlowdown >= kMinimumSlowdown && aSlowdown <= kMaximumSlowdown;
}

const char*
FindImpossibleFigure(const server_load& aLoad)
{
  if (!IsPossibleCount(aLoad.mSlots) || aLoad.mSlots == 0) {
    return "slots";
  }
  if (!IsPossibleCount(aLoad.mRunning) ||
      aLoad.mRunning > kMaximumRunningPerSlot * aLoad.mSlots) {
    return "running";
  }
  return IsPossibleCount(aLoad.mWaiting) ? nullptr : "waiting";
}

server_loads::server_loads(const server_directory& aDirectory,
                           metrics::registry& aMetrics,
                           std::function<int(const std::string&)> aOwnRuns)
  : mDirectory(aDirectory)
  , mMetrics(aMetrics)
  , mOwnRuns(std::move(aOwnRuns))
{
}

void
server_loads::Record(const std::string& aServer,
                     const server_load& aLoad,
                     time_point aNow)
{
  const auto row = mDirectory.mRows.find(aServer);
  if (row == mDirectory.mRows.end()) {
    // The last responses of a server that is gone.
    return;
  }
  auto& load = mLoads[aServer];
  if (load.mStartedAt != row->second.mServer.mStartedAt) {
    load = {};
    load.mStartedAt = row->second.mServer.mStartedAt;
  }
  if (const auto* figure = FindImpossibleFigure(aLoad)) {
    ReportFault(aServer, load, aLoad, figure, aNow);
    return;
  }
  load.mRequests = aLoad.mRunning + aLoad.mWaiting;
  load.mOtherRequests = std::max(0, load.mRequests - mOwnRuns(aServer));
  load.mSeenAt = aNow;
  if (aLoad.mSlowdown && IsPossibleSlowdown(*aLoad.mSlowdown)) {
    load.mSlowdown = *aLoad.mSlowdown;
    load.mSlowdownSeenAt = aNow;
  } else if (aLoad.mSlowdown) {
    ReportFault(aServer, load, aLoad, "slowdown", aNow);
  }
  if (mHandler) {
    mHandler(aServer, load);
  }
}

const told_load*
server_loads::FindOfThisStart(const std::string& aServer) const
{
  const auto load = mLoads.find(aServer);
  const auto row = mDirectory.mRows.find(aServer);
  return load == mLoads.end() || row == mDirectory.mRows.end() ||
             load->second.mStartedAt != row->second.mServer.mStartedAt
           ? nullptr
           : &load->second;
}

const told_load*
server_loads::Find(const std::string& aServer, time_point aNow) const
{
  const auto* load = FindOfThisStart(aServer);
  return load && aNow - load->mSeenAt <= kLoadLifetime ? load : nullptr;
}

double
server_loads::SlowdownOf(const std::string& aServer, time_point aNow) const
{
  const auto* load = FindOfThisStart(aServer);
  return load && aNow - load->mSlowdownSeenAt <= kSlowdownLifetime
           ? load->mSlowdown
           : 1;
}

void
server_loads::RemoveStaleState()
{
  for (auto load = mLoads.begin(); load != mLoads.end();) {
    load = FindOfThisStart(load->first) ? std::next(load) : mLoads.erase(load);
  }
}

void
server_loads::ReportFault(const std::string& aServer,
                          told_load& aLoad,
                          const server_load& aReported,
                          const char* aFigure,
                          time_point aNow)
{
  mMetrics.Count("lavender_server_load_ignored_total",
                 { { "figure", aFigure } });
  if (aLoad.mFaultLoggedAt != time_point() &&
      aNow - aLoad.mFaultLoggedAt < kFaultLogInterval) {
    return;
  }
  aLoad.mFaultLoggedAt = aNow;
  events::line("server_load_ignored")
    .With("server", aServer)
    .With("figure", aFigure)
    .With("running", static_cast<std::int64_t>(aReported.mRunning))
    .With("waiting", static_cast<std::int64_t>(aReported.mWaiting))
    .With("slots", static_cast<std::int64_t>(aReported.mSlots))
    .With("slowdown_percent",
          static_cast<std::int64_t>(
            std::clamp(aReported.mSlowdown.value_or(1), -1e9, 1e9) * 100));
}

} // namespace lavender::site
