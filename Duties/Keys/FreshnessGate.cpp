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
ReachesAtLeastHalf(const witness_summary& aRemote)
{
  return aRemote.mAudible * 2 >= aRemote.mKnown.value_or(0);
}

/** True when the store recently answered another entry, at least mMinimumLead
 * after it last answered this one. */
bool
IsStoreReachableByOthers(const own_freshness& aOwn,
                         const witness_summary& aRemote,
                         const freshness_limits& aLimits,
                         time_point aNow)
{
  return IsRecent(
           aRemote.mLatestProof, aLimits.mMaximumVerificationAge, aNow) &&
         (!aOwn.mProvenAt ||
          *aRemote.mLatestProof - *aOwn.mProvenAt >= aLimits.mMinimumLead);
}

/** A newly started entry accepts keys only after it has polled every known
 * process once and none of them knows a later change. Otherwise an entry that
 * starts from an outdated disk, or reads from a stale replica of the store,
 * would accept withdrawn keys. */
bool
MayJoin(const own_freshness& aOwn,
        const witness_summary& aRemote,
        const freshness_limits& aLimits,
        time_point aNow)
{
  if (aOwn.mKnownUpTo == 0 || aOwn.mKnownUpTo < aRemote.mHighestChanged ||
      !aRemote.mKnown || aRemote.mAsked < *aRemote.mKnown) {
    return false;
  }
  return IsRecent(aOwn.mProvenAt, aLimits.mMaximumVerificationAge, aNow) ||
         (*aRemote.mKnown > 0 && ReachesAtLeastHalf(aRemote));
}

} // namespace

freshness
EvaluateFreshness(freshness_state& aState,
                  const own_freshness& aOwn,
                  const witness_summary& aRemote,
                  const freshness_limits& aLimits,
                  time_point aNow)
{
  const bool isBehind = HasLasted(aState.mBehindSince,
                                  aOwn.mKnownUpTo < aRemote.mHighestChanged,
                                  aLimits.mCatchUpTime,
                                  aNow);
  const bool isCutOff =
    HasLasted(aState.mCutOffSince,
              IsStoreReachableByOthers(aOwn, aRemote, aLimits, aNow),
              aLimits.mCatchUpTime,
              aNow);
  if (!aState.mHasJoined) {
    if (!MayJoin(aOwn, aRemote, aLimits, aNow)) {
      return freshness::Joining;
    }
    aState.mHasJoined = true;
  }
  if (isBehind) {
    return freshness::Behind;
  }
  if (IsRecent(aOwn.mProvenAt, aLimits.mMaximumVerificationAge, aNow)) {
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
WordFor(freshness aFreshness)
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
