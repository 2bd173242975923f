#include "Duties/Versions/SubstituteGiver.h"

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
NeedsSubstitute(const giver_view& aView,
                const std::string& aSelf,
                time_point aNow)
{
  if (!aView.mClaim) {
    return aNow - aView.mKnownSince >= kAgentStartTime;
  }
  if (aView.mClaim->mGiver == aSelf) {
    return false;
  }
  const auto lastHeard = aView.mLastAsked.value_or(aView.mKnownSince);
  return aNow - lastHeard >= kControllerSilence &&
         HasLastedFor(aView.mLoadingSince, kLoadOverdue, aNow);
}

substitute_giver::substitute_giver(substitute_parts aParts)
  : mParts(std::move(aParts))
  , mTimer(mParts.mLoop)
{
}

void
substitute_giver::Start()
{
  ScheduleCheck();
}

void
substitute_giver::ScheduleCheck()
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
substitute_giver::HasEngine(const site::backend_server& aServer) const
{
  if (!mParts.mConfiguration) {
    return false;
  }
  const auto& pools = mParts.mConfiguration->mPools;
  const auto pool = pools.find(aServer.mPool);
  return pool != pools.end() && pool->second.mEngine;
}

giver_view
substitute_giver::StatusOf(const std::string& aClaimName,
                           const std::string& aServerId,
                           time_point aNow)
{
  giver_view view;
  if (const auto known = mParts.mClaims.find(aClaimName);
      known != mParts.mClaims.end()) {
    view.mClaim = known->second;
  }
  view.mKnownSince = mKnownSince.emplace(aClaimName, aNow).first->second;
  view.mLastAsked = mParts.mAssignments.LastAsked(aClaimName);
  view.mLoadingSince = mParts.mAssignments.LoadingSince(aServerId);
  return view;
}

void
substitute_giver::CheckServers()
{
  if (!mParts.mMayClaim()) {
    mKnownSince.clear();
    mReplaceable.clear();
    return;
  }
  mParts.mAssignments.Evaluate();
  const auto now = boot_clock::now();
  for (const auto& [id, row] : mParts.mDirectory.mRows) {
    if (row.mServer.mIsLeaving || !HasEngine(row.mServer)) {
      continue;
    }
    const auto name = ClaimName(row.mServer.mAddress);
    const auto view = StatusOf(name, id, now);
    const bool isOwn = view.mClaim && view.mClaim->mGiver == mParts.mName;
    const bool needsSubstitute = NeedsSubstitute(view, mParts.mName, now);
    if (needsSubstitute) {
      mReplaceable[name] = view.mClaim.value_or(giver_claim{});
    }
    if (isOwn || needsSubstitute) {
      StartController(row.mServer.mAddress);
    }
  }
}

void
substitute_giver::StartController(const edge::endpoint& aServer)
{
  const auto name = ClaimName(aServer);
  auto& controller = mControllers[name];
  if (controller) {
    return;
  }
  events::line("orders_without_agent").With("server", aServer.Text());
  controller = std::make_unique<order_duty>(order_parts{
    mParts.mLoop,
    mParts.mClients,
    aServer,
    mParts.mName,
    [self = mParts.mSelf](
      const std::function<void(std::vector<edge::endpoint>)>& aDone) {
      aDone({ self });
    },
    [this, name](const claim_done& aDone) { Claim(name, aDone); },
    mParts.mEncodeReport,
    mParts.mDecodeReport,
    mParts.mEncodeOrder,
    kRemotePollInterval });
  controller->Start();
}

void
substitute_giver::Claim(const std::string& aClaimName, const claim_done& aDone)
{
  const auto known = mParts.mClaims.find(aClaimName);
  if (known != mParts.mClaims.end() && known->second.mGiver == mParts.mName) {
    ClaimIfStill(mParts.mStore, aClaimName, known->second, mParts.mName, aDone);
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
  ClaimIfStill(mParts.mStore, aClaimName, seen, mParts.mName, aDone);
}

} // namespace lavender::versions
