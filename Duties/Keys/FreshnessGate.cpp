#include "Duties/Keys/FreshnessGate.h"

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
HearsMost(const witness_summary& aWitnesses)
{
  return aWitnesses.mAudible * 2 >= aWitnesses.mKnown.value_or(0);
}

/** Longer than the catch-up time behind what others know. */
bool
IsBehindForLong(freshness_state& aState,
                const own_freshness& aOwn,
                const witness_summary& aWitnesses,
                const freshness_limits& aLimits,
                time_point aNow)
{
  if (aOwn.mKnownUpTo >= aWitnesses.mHighestChanged) {
    aState.mBehindSince.reset();
    return false;
  }
  if (!aState.mBehindSince) {
    aState.mBehindSince = aNow;
  }
  return aNow - *aState.mBehindSince >= aLimits.mCatchUp;
}

/** An entry that has just started joins only when everybody known has been
 * asked once and none of them knows a later change. Otherwise one that starts
 * from an old disk, or hears an old copy of the store, would let withdrawn
 * keys in. */
bool
MayJoin(const own_freshness& aOwn,
        const witness_summary& aWitnesses,
        const freshness_limits& aLimits,
        time_point aNow)
{
  if (aOwn.mKnownUpTo == 0 || aOwn.mKnownUpTo < aWitnesses.mHighestChanged ||
      !aWitnesses.mKnown || aWitnesses.mAsked < *aWitnesses.mKnown) {
    return false;
  }
  return IsYounger(aOwn.mProvenAt, aLimits.mOwnProof, aNow) ||
         (*aWitnesses.mKnown > 0 && HearsMost(aWitnesses));
}

} // namespace

freshness
Judge(freshness_state& aState,
      const own_freshness& aOwn,
      const witness_summary& aWitnesses,
      const freshness_limits& aLimits,
      time_point aNow)
{
  const bool isBehind =
    IsBehindForLong(aState, aOwn, aWitnesses, aLimits, aNow);
  if (!aState.mHasJoined) {
    if (!MayJoin(aOwn, aWitnesses, aLimits, aNow)) {
      return freshness::Joining;
    }
    aState.mHasJoined = true;
  }
  if (isBehind) {
    return freshness::Behind;
  }
  if (IsYounger(aOwn.mProvenAt, aLimits.mOwnProof, aNow)) {
    return freshness::Current;
  }
  if (IsYounger(aWitnesses.mLatestProof, aLimits.mOthersProof, aNow)) {
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
