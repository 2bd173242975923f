#include "Duties/Keys/FreshnessGate.h"

#include "Libraries/Core/HasLasted.h"

#include <algorithm>

namespace lavender::keys {
namespace {

bool
IsRecent(const std::optional<time_point>& aAt,
         milliseconds aLimit,
         time_point aNow)
{
  return aAt && aNow - *aAt <= aLimit;
}

/** True when at least half of the other processes have answered without a gap
 * for mCatchUpTime or since this entry joined. In an availability zone that is
 * cut off from the platform and from all other zones, every process that
 * answers is as stale as this one. The missing answers of the other zones are
 * all that distinguishes this case from an outage of the store. Answers that
 * began just after a pause of this process don't count: they may arrive before
 * the watch has delivered what changed during the pause. A joining entry needs
 * no such wait, because it compares revisions with all processes first. */
bool
ReachesAtLeastHalf(const remote_freshness& aRemote,
                   const freshness_limits& aLimits,
                   time_point aJoinedAt,
                   time_point aNow)
{
  const auto latest = std::max(aJoinedAt, aNow - aLimits.mCatchUpTime);
  const auto reachable =
    std::count_if(aRemote.mReachableSince.begin(),
                  aRemote.mReachableSince.end(),
                  [&](time_point aSince) { return aSince <= latest; });
  return static_cast<std::size_t>(reachable) * 2 >= aRemote.mKnown.value_or(0);
}

/** True when the store recently answered another entry, at least mMinimumLead
 * after it last answered this one. */
bool
IsStoreReachableByOthers(const local_freshness& aLocal,
                         const remote_freshness& aRemote,
                         const freshness_limits& aLimits,
                         time_point aNow)
{
  return IsRecent(
           aRemote.mLatestVerifiedAt, aLimits.mMaximumVerificationAge, aNow) &&
         (!aLocal.mVerifiedAt ||
          *aRemote.mLatestVerifiedAt - *aLocal.mVerifiedAt >=
            aLimits.mMinimumLead);
}

/** A newly started entry accepts keys only after it has polled every known
 * process once and none of them knows a later change. Otherwise an entry that
 * starts from an outdated disk, or reads from a stale replica of the store,
 * would accept withdrawn keys. */
bool
MayJoin(const local_freshness& aLocal,
        const remote_freshness& aRemote,
        const freshness_limits& aLimits,
        time_point aNow)
{
  if (aLocal.mKnownRevision == 0 ||
      aLocal.mKnownRevision < aRemote.mHighestChangedRevision ||
      !aRemote.mKnown || aRemote.mPolled < *aRemote.mKnown) {
    return false;
  }
  return IsRecent(aLocal.mVerifiedAt, aLimits.mMaximumVerificationAge, aNow) ||
         (*aRemote.mKnown > 0 &&
          ReachesAtLeastHalf(aRemote, aLimits, aNow, aNow));
}

} // namespace

freshness
EvaluateFreshness(freshness_state& aState,
                  const local_freshness& aLocal,
                  const remote_freshness& aRemote,
                  const freshness_limits& aLimits,
                  time_point aNow)
{
  const bool isVerified =
    IsRecent(aLocal.mVerifiedAt, aLimits.mMaximumVerificationAge, aNow);
  const bool knowsLess =
    aLocal.mKnownRevision < aRemote.mHighestChangedRevision;
  // Without a recent verification the change may be old.
  const bool isBehind =
    HasLasted(aState.mBehindSince, knowsLess, aLimits.mCatchUpTime, aNow) ||
    (knowsLess && !isVerified);
  const bool isCutOff =
    HasLasted(aState.mCutOffSince,
              IsStoreReachableByOthers(aLocal, aRemote, aLimits, aNow),
              aLimits.mCatchUpTime,
              aNow);
  if (!aState.mJoinedAt) {
    if (!MayJoin(aLocal, aRemote, aLimits, aNow)) {
      return freshness::Joining;
    }
    aState.mJoinedAt = aNow;
  }
  if (isBehind) {
    return freshness::Behind;
  }
  if (isVerified) {
    return freshness::Current;
  }
  if (isCutOff) {
    return freshness::CutOff;
  }
  return ReachesAtLeastHalf(aRemote, aLimits, *aState.mJoinedAt, aNow)
           ? freshness::PlatformDown
           : freshness::Isolated;
}

bool
IsFreshEnough(freshness aFreshness)
{
  return aFreshness == freshness::Current ||
         aFreshness == freshness::PlatformDown;
}

const char*
ToString(freshness aFreshness)
{
  switch (aFreshness) {
    case freshness::Current:
      return "current";
    case freshness::PlatformDown:
      return "platform_down";
    case freshness::Joining:
      return "joining";
    case freshness::CutOff:
      return "cut_off";
    case freshness::Isolated:
      return "isolated";
    case freshness::Behind:
      break;
  }
  return "behind";
}

} // namespace lavender::keys
