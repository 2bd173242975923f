#include "Duties/Versions/FallbackController.h"

#include "Duties/Site/Evacuation.h"
#include "Libraries/EventLog/EventLog.h"

#include <set>

namespace lavender::versions {

using namespace std::chrono_literals;

namespace {

constexpr milliseconds kCheckInterval = 1000ms;
/** Longer than an agent's interval, because each report that is read from a
 * server on another instance is billed. */
constexpr milliseconds kRemotePollInterval = 400ms;
/** Shorter than kCheckInterval, so that each ping ends before the next. */
constexpr milliseconds kPingTimeout = 700ms;

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
  if (aView.mClaim->mKind == controller_kind::Entry) {
    return HasLastedFor(aView.mHolderSilentSince, kEntryTimeout, aNow);
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
  if (view.mClaim) {
    if (const auto silent = mSilentSince.find(view.mClaim->mController);
        silent != mSilentSince.end()) {
      view.mHolderSilentSince = silent->second;
    }
  }
  return view;
}

void
fallback_controller::CheckServers()
{
  if (mDependencies.mMayClaim()) {
    mDependencies.mAssignments.Evaluate();
    PingHolders();
  } else {
    mKnownSince.clear();
    mReplaceable.clear();
    mSilentSince.clear();
  }
  const auto now = boot_clock::now();
  for (const auto& [id, row] : mDependencies.mDirectory.mRows) {
    if (site::AcceptsWork(mDependencies.mDirectory, row.mServer) &&
        HasEngine(row.mServer)) {
      CheckServer(id, row.mServer, now);
    }
  }
}

void
fallback_controller::CheckServer(const std::string& aId,
                                 const site::backend_server& aServer,
                                 time_point aNow)
{
  const auto name = ClaimName(aServer.mAddress);
  const auto claim = mDependencies.mClaims.find(name);
  // An entry that starts again takes up the claims that it already held.
  if (claim != mDependencies.mClaims.end() &&
      claim->second.mController == mDependencies.mName) {
    StartController(aServer.mAddress);
    return;
  }
  if (!mDependencies.mMayClaim()) {
    return;
  }
  const auto view = StatusOf(name, aId, aNow);
  if (NeedsFallbackController(view, mDependencies.mName, aNow)) {
    mReplaceable[name] = view.mClaim.value_or(controller_claim{});
    StartController(aServer.mAddress);
  }
}

void
fallback_controller::PingHolders()
{
  std::set<std::string> holders;
  for (const auto& [name, claim] : mDependencies.mClaims) {
    if (claim.mKind == controller_kind::Entry &&
        claim.mController != mDependencies.mName) {
      holders.insert(claim.mController);
    }
  }
  for (const auto& holder : holders) {
    const auto address = mDependencies.mFindEntry(holder);
    const auto sentAt = boot_clock::now();
    if (!address) {
      mSilentSince.emplace(holder, sentAt);
      continue;
    }
    edge::call_options options;
    options.mConnectTimeout = kPingTimeout;
    edge::FetchWhole(
      mDependencies.mClients,
      mDependencies.mLoop,
      *address,
      mDependencies.mPing(),
      options,
      kPingTimeout,
      64 << 10,
      [this, holder, sentAt](edge::call_end aEnd, const edge::response&) {
        if (aEnd == edge::call_end::Complete) {
          mSilentSince.erase(holder);
        } else {
          mSilentSince.emplace(holder, sentAt);
        }
      });
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
    [&store = mDependencies.mStore, name](std::int64_t aEpoch, auto aDone) {
      CheckClaim(store, name, aEpoch, std::move(aDone));
    },
    mDependencies.mEncodeReport,
    mDependencies.mDecodeReport,
    mDependencies.mEncodeOrder,
    milliseconds(0),
    kRemotePollInterval });
  controller->Start();
}

claimant
fallback_controller::Self() const
{
  return { mDependencies.mName,
           controller_kind::Entry,
           mDependencies.mLeaseDuration };
}

void
fallback_controller::Claim(const std::string& aClaimName,
                           const claim_done& aDone)
{
  const auto known = mDependencies.mClaims.find(aClaimName);
  if (known != mDependencies.mClaims.end() &&
      known->second.mController == mDependencies.mName) {
    ClaimIfUnchanged(
      mDependencies.mStore, aClaimName, known->second, Self(), aDone);
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
  ClaimIfUnchanged(mDependencies.mStore, aClaimName, seen, Self(), aDone);
}

} // namespace lavender::versions
