#include "Duties/Versions/SubstituteGiver.h"

#include "Duties/Site/Evacuation.h"
#include "Libraries/EventLog/EventLog.h"

namespace lavender::versions {

using namespace std::chrono_literals;

namespace {

constexpr milliseconds kCheckInterval = 1000ms;
/** Longer than an agent's interval, because each report that is read from a
 * server on another instance is billed. */
constexpr milliseconds kRemotePollInterval = 400ms;

bool
HasLastedFor(const std::optional<time_point>& aSince,
             milliseconds aTime,
             time_point aNow)
{
  return aSince && aNow - *aSince >= aTime;
}

} // namespace

bool
NeedsFallbackController(const controller_status& aView,
                        const std::string& aSelf,
                        time_point aNow)
{
  if (!aView.mClaim) {
    return aNow - aView.mKnownSince >= kAgentStartTime;
  }
  if (aView.mClaim->mController == aSelf) {
    return false;
  }
  const auto lastHeard = aView.mLastRequestAt.value_or(aView.mKnownSince);
  return aNow - lastHeard >= kControllerTimeout &&
         HasLastedFor(aView.mLoadingSince, kLoadOverdue, aNow);
}

fallback_controller::fallback_controller(controller_dependencies aParts)
  : mDependencies(std::move(aParts))
  , mTimer(mDependencies.mLoop)
{
}

void
fallback_controller::Start()
{
  ScheduleCheck();
}

void
fallback_controller::ScheduleCheck()
{
  mTimer.expires_after(kCheckInterval);
  mTimer.async_wait([this](const auto& aError) {
    if (!aError) {
      CheckServers();
      ScheduleCheck();
    }
  });
}

bool
fallback_controller::HasEngine(const site::backend_server& aServer) const
{
  if (!mDependencies.mConfiguration) {
    return false;
  }
  const auto& pools = mDependencies.mConfiguration->mPools;
  const auto pool = pools.find(aServer.mPool);
  return pool != pools.end() && pool->second.mEngine;
}

controller_status
fallback_controller::StatusOf(const std::string& aClaimName,
                              const std::string& aServerId,
                              time_point aNow)
{
  controller_status view;
  if (const auto known = mDependencies.mClaims.find(aClaimName);
      known != mDependencies.mClaims.end()) {
    view.mClaim = known->second;
  }
  view.mKnownSince = mKnownSince.emplace(aClaimName, aNow).first->second;
  view.mLastRequestAt = mDependencies.mAssignments.LastRequestAt(aClaimName);
  view.mLoadingSince = mDependencies.mAssignments.LoadingSince(aServerId);
  return view;
}

void
fallback_controller::CheckServers()
{
  if (!mDependencies.mMayClaim()) {
    mKnownSince.clear();
    mReplaceable.clear();
    return;
  }
  mDependencies.mAssignments.Evaluate();
  const auto now = boot_clock::now();
  for (const auto& [id, row] : mDependencies.mDirectory.mRows) {
    if (!site::AcceptsWork(mDependencies.mDirectory, row.mServer) ||
        !HasEngine(row.mServer)) {
      continue;
    }
    const auto name = ClaimName(row.mServer.mAddress);
    const auto view = StatusOf(name, id, now);
    const bool isOwn =
      view.mClaim && view.mClaim->mController == mDependencies.mName;
    const bool needsSubstitute =
      NeedsFallbackController(view, mDependencies.mName, now);
    if (needsSubstitute) {
      mReplaceable[name] = view.mClaim.value_or(controller_claim{});
    }
    if (isOwn || needsSubstitute) {
      StartController(row.mServer.mAddress);
    }
  }
}

void
fallback_controller::StartController(const edge::endpoint& aServer)
{
  const auto name = ClaimName(aServer);
  auto& controller = mControllers[name];
  if (controller) {
    return;
  }
  events::line("orders_without_agent").With("server", aServer.Text());
  controller = std::make_unique<order_duty>(order_dependencies{
    mDependencies.mLoop,
    mDependencies.mClients,
    aServer,
    mDependencies.mName,
    [self = mDependencies.mSelf](
      const std::function<void(std::vector<edge::endpoint>)>& aDone) {
      aDone({ self });
    },
    [this, name](const claim_done& aDone) { Claim(name, aDone); },
    mDependencies.mEncodeReport,
    mDependencies.mDecodeReport,
    mDependencies.mEncodeOrder,
    kRemotePollInterval });
  controller->Start();
}

void
fallback_controller::Claim(const std::string& aClaimName,
                           const claim_done& aDone)
{
  const auto known = mDependencies.mClaims.find(aClaimName);
  if (known != mDependencies.mClaims.end() &&
      known->second.mController == mDependencies.mName) {
    ClaimIfUnchanged(mDependencies.mStore,
                     aClaimName,
                     known->second,
                     mDependencies.mName,
                     aDone);
    return;
  }
  // The claim is replaced only if a check has found that it may be.
  const auto replaceable = mReplaceable.find(aClaimName);
  if (replaceable == mReplaceable.end()) {
    aDone(std::nullopt);
    return;
  }
  const auto seen = replaceable->second;
  mReplaceable.erase(replaceable);
  ClaimIfUnchanged(
    mDependencies.mStore, aClaimName, seen, mDependencies.mName, aDone);
}

} // namespace lavender::versions
