#include "Duties/Keys/FreshnessGate.h"

#include "Libraries/Core/HasLasted.h"

namespace lavender::keys {
namespace {

bool
IsYounger(const std::optional<time_point>& aAt,
          milliseconds aLimit,
          time_point aNow)
{
  return aAt && aNow - *aAt <= aLimit;
}

/** Half of the others or more can be heard. In an availability zone that is
 * cut off from the platform and from all other zones, every process that can
 * still be heard is as stale as this one; only the silence of the rest tells
 * this from an outage for all. */
bool
HearsMost(const remote_freshness& aWitnesses)
{
  return aWitnesses.mReachable * 2 >= aWitnesses.mKnown.value_or(0);
}

/** The store has answered somebody lately, well after it last answered this
 * entry. */
bool
AreOthersFresher(const local_freshness& aOwn,
                 const remote_freshness& aWitnesses,
                 const freshness_limits& aLimits,
                 time_point aNow)
{
  return IsYounger(aWitnesses.mLatestVerifiedAt, aLimits.mOwnProof, aNow) &&
         (!aOwn.mVerifiedAt ||
          *aWitnesses.mLatestVerifiedAt - *aOwn.mVerifiedAt >= aLimits.mMargin);
}

/** An entry that has just started joins only when everybody known has been
 * asked once and none of them knows a later change. Otherwise one that starts
 * from an old disk, or hears an old copy of the store, would let withdrawn
 * keys in. */
bool
MayJoin(const local_freshness& aOwn,
        const remote_freshness& aWitnesses,
        const freshness_limits& aLimits,
        time_point aNow)
{
  if (aOwn.mKnownRevision == 0 ||
      aOwn.mKnownRevision < aWitnesses.mHighestChangedRevision ||
      !aWitnesses.mKnown || aWitnesses.mPolled < *aWitnesses.mKnown) {
    return false;
  }
  return IsYounger(aOwn.mVerifiedAt, aLimits.mOwnProof, aNow) ||
         (*aWitnesses.mKnown > 0 && HearsMost(aWitnesses));
}

} // namespace

freshness
Judge(freshness_state& aState,
      const local_freshness& aOwn,
      const remote_freshness& aWitnesses,
      const freshness_limits& aLimits,
      time_point aNow)
{
  const bool isBehind =
    HasLasted(aState.mBehindSince,
              aOwn.mKnownRevision < aWitnesses.mHighestChangedRevision,
              aLimits.mCatchUp,
              aNow);
  const bool isCutOff =
    HasLasted(aState.mCutOffSince,
              AreOthersFresher(aOwn, aWitnesses, aLimits, aNow),
              aLimits.mCatchUp,
              aNow);
  if (!aState.mHasJoined) {
    if (!MayJoin(aOwn, aWitnesses, aLimits, aNow)) {
      return freshness::Joining;
    }
    aState.mHasJoined = true;
  }
  if (isBehind) {
    return freshness::Behind;
  }
  if (IsYounger(aOwn.mVerifiedAt, aLimits.mOwnProof, aNow)) {
    return freshness::Current;
  }
  if (isCutOff) {
    return freshness::CutOff;
  }
  return HearsMost(aWitnesses) ? freshness::PlatformDown : freshness::Isolated;
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
