#include "Duties/Versions/SubstituteGiver.h"

#include "Libraries/EventLog/EventLog.h"

namespace lavender::versions {

using namespace std::chrono_literals;

namespace {

constexpr milliseconds kLookEach = 1000ms;
/** Each report of a server on another instance is priced. */
constexpr milliseconds kRemoteLook = 400ms;

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
    return aNow - aView.mKnownSince >= kAgentStarts;
  }
  if (aView.mClaim->mController == aSelf) {
    return false;
  }
  const auto lastSign = aView.mLastAsked.value_or(aView.mKnownSince);
  return aNow - lastSign >= kGiverSilence &&
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
  PlanLook();
}

void
fallback_controller::PlanLook()
{
  mTimer.expires_after(kLookEach);
  mTimer.async_wait([this](const auto& aError) {
    if (!aError) {
      Look();
      PlanLook();
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
fallback_controller::ViewOf(const std::string& aClaimName,
                            const std::string& aServerId,
                            time_point aNow)
{
  controller_status view;
  if (const auto known = mDependencies.mClaims.find(aClaimName);
      known != mDependencies.mClaims.end()) {
    view.mClaim = known->second;
  }
  view.mKnownSince = mKnownSince.emplace(aClaimName, aNow).first->second;
  view.mLastAsked = mDependencies.mAssignments.LastAsked(aClaimName);
  view.mLoadingSince = mDependencies.mAssignments.LoadingSince(aServerId);
  return view;
}

void
fallback_controller::Look()
{
  if (!mDependencies.mMayClaim()) {
    mKnownSince.clear();
    mReplaceable.clear();
    return;
  }
  mDependencies.mAssignments.Look();
  const auto now = boot_clock::now();
  for (const auto& [id, row] : mDependencies.mDirectory.mRows) {
    if (row.mServer.mIsLeaving || !HasEngine(row.mServer)) {
      continue;
    }
    const auto name = ClaimName(row.mServer.mAddress);
    const auto view = ViewOf(name, id, now);
    const bool isOwn =
      view.mClaim && view.mClaim->mController == mDependencies.mName;
    const bool needsSubstitute =
      NeedsFallbackController(view, mDependencies.mName, now);
    if (needsSubstitute) {
      mReplaceable[name] = view.mClaim.value_or(controller_claim{});
    }
    if (isOwn || needsSubstitute) {
      GiveOrdersOf(row.mServer.mAddress);
    }
  }
}

void
fallback_controller::GiveOrdersOf(const edge::endpoint& aServer)
{
  const auto name = ClaimName(aServer);
  auto& giver = mGivers[name];
  if (giver) {
    return;
  }
  events::line("orders_without_agent").With("server", aServer.Text());
  giver = std::make_unique<order_duty>(order_dependencies{
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
    kRemoteLook });
  giver->Start();
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
  // Without leave from a look the claim stays with whom it is.
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
