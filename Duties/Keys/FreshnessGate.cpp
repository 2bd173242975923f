#include "Duties/Keys/FreshnessGate.h"

#include "Libraries/Core/HasLasted.h"

namespace lavender::keys {
namespace {

bool
IsRecent(const std::optional<time_point>& aAt,
         milliseconds aLimit,
         time_point aNow)
{
  return aAt && aNow - *aAt <= aLimit;
}

/** True when at least half of the other processes answer. In an availability
 * zone that is cut off from the platform and from all other zones, every
 * process that still answers is as stale as this one. Only the missing answers
 * of the other zones distinguish this case from an outage of the store. */
bool
ReachesAtLeastHalf(const remote_freshness& aRemote)
{
  return aRemote.mReachable * 2 >= aRemote.mKnown.value_or(0);
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
         (*aRemote.mKnown > 0 && ReachesAtLeastHalf(aRemote));
}

} // namespace

freshness
EvaluateFreshness(freshness_state& aState,
                  const local_freshness& aLocal,
                  const remote_freshness& aRemote,
                  const freshness_limits& aLimits,
                  time_point aNow)
{
  const bool isBehind =
    HasLasted(aState.mBehindSince,
              aLocal.mKnownRevision < aRemote.mHighestChangedRevision,
              aLimits.mCatchUpTime,
              aNow);
  const bool isCutOff =
    HasLasted(aState.mCutOffSince,
              IsStoreReachableByOthers(aLocal, aRemote, aLimits, aNow),
              aLimits.mCatchUpTime,
              aNow);
  if (!aState.mHasJoined) {
    if (!MayJoin(aLocal, aRemote, aLimits, aNow)) {
      return freshness::Joining;
    }
    aState.mHasJoined = true;
  }
  if (isBehind) {
    return freshness::Behind;
  }
  if (IsRecent(aLocal.mVerifiedAt, aLimits.mMaximumVerificationAge, aNow)) {
    return freshness::Current;
  }
  if (isCutOff) {
    return freshness::CutOff;
  }
  return ReachesAtLeastHalf(aRemote) ? freshness::PlatformDown
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
