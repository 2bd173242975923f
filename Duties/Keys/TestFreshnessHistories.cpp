#include "Duties/Keys/TestFreshnessModel.h"

#include "Duties/Membership/Reachability.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

// Guards against accepting a withdrawn key. Entries are cut off from the
// platform or from each other, paused, restarted from an outdated disk, or read
// from a stale replica of the store, while a caller keeps using the key at each
// entry. The failure occurs when an entry treats its copy as the newest
// although a process that it can reach knows a later change.

using namespace lavender;
using namespace lavender::keys::model;

namespace {

template<typename Views>
void
AddViews(const Views& aViews, keys::remote_freshness& aSummary, time_point aNow)
{
  for (const auto& view : aViews) {
    aSummary.mPolled += view.mIsAsked ? 1 : 0;
    if (!view.mLastResponseAt) {
      continue;
    }
    if (membership::IsReachable(view.mLastResponseAt, aNow)) {
      aSummary.mReachableSince.push_back(*view.mReachableSince);
    }
    aSummary.mHighestChangedRevision =
      std::max(aSummary.mHighestChangedRevision, view.mChangedRevision);
    aSummary.mLatestVerifiedAt =
      std::max(aSummary.mLatestVerifiedAt, view.mVerifiedAt);
  }
}

/** Checks that an entry that joins holds every change that a process it can
 * reach knew. */
void
CheckJoining(const simulation& aSimulation, const model_entry& aEntry)
{
  for (const auto& peer : aSimulation.mEntries) {
    if (peer.IsRunning() &&
        aSimulation.ArePeersLinked(aEntry.mSide, peer.mSide)) {
      RC_ASSERT(aEntry.mState.mKnownRevision >= peer.mChangedBeforeTick);
    }
  }
  for (const auto& agent : aSimulation.mAgents) {
    if (aSimulation.AreLinked(aEntry.mSide, agent.mSide)) {
      RC_ASSERT(aEntry.mState.mKnownRevision >= agent.mChangedBeforeTick);
    }
  }
}

void
EvaluateEntry(simulation& aSimulation, model_entry& aEntry)
{
  const bool hadJoined = aEntry.mFreshnessState.mJoinedAt.has_value();
  keys::remote_freshness summary;
  summary.mKnown = kAgents + kEntries - 1;
  AddViews(aEntry.mAgents, summary, aSimulation.mNow);
  AddViews(aEntry.mPeers, summary, aSimulation.mNow);
  aEntry.mFreshness = keys::EvaluateFreshness(
    aEntry.mFreshnessState,
    { aEntry.mState.mKnownRevision, aEntry.mState.mVerifiedAt },
    summary,
    {},
    aSimulation.mNow);
  if (!hadJoined && aEntry.mFreshnessState.mJoinedAt) {
    CheckJoining(aSimulation, aEntry);
  }
}

/** True when two running entries can exchange revisions, directly or through an
 * agent. */
bool
CanTell(const simulation& aSimulation,
        const model_entry& aOne,
        const model_entry& aOther)
{
  const bool hasAgent =
    std::any_of(aSimulation.mAgents.begin(),
                aSimulation.mAgents.end(),
                [&](const auto& aAgent) {
                  return aSimulation.AreLinked(aOne.mSide, aAgent.mSide) &&
                         aSimulation.AreLinked(aOther.mSide, aAgent.mSide);
                });
  return aOne.IsRunning() && aOther.IsRunning() &&
         (aSimulation.ArePeersLinked(aOne.mSide, aOther.mSide) || hasAgent);
}

/** True when fewer than half of the other processes could be reached at any
 * time within the last 4 s, for which a process counts as reachable. */
bool
ReachesFewerThanHalf(const simulation& aSimulation, model_entry& aEntry)
{
  constexpr int kAudibleTicks = 8;
  std::size_t reachableCount = 0;
  const auto count = [&](int& aTicksSince, bool aIsReachable) {
    aTicksSince = aIsReachable ? 0 : aTicksSince + 1;
    reachableCount += aTicksSince <= kAudibleTicks ? 1 : 0;
  };
  for (std::size_t i = 0; i < kAgents; ++i) {
    count(aEntry.mTicksSinceAgent[i],
          aSimulation.AreLinked(aEntry.mSide, aSimulation.mAgents[i].mSide));
  }
  for (std::size_t i = 0; i < kEntries; ++i) {
    const auto& peer = aSimulation.mEntries[i];
    if (&peer != &aEntry) {
      count(aEntry.mTicksSincePeer[i],
            peer.IsRunning() &&
              aSimulation.ArePeersLinked(aEntry.mSide, peer.mSide));
    }
  }
  return reachableCount * 2 < kAgents + kEntries - 1;
}

/** True when a running entry holds the latest change that any agent knows.
 * Otherwise no process can provide that change while the store is down, and
 * refusing keys is correct. */
bool
IsLastChangeHeld(const simulation& aSimulation)
{
  std::int64_t held = 0;
  for (const auto& entry : aSimulation.mEntries) {
    held = std::max(held, entry.IsRunning() ? entry.mState.mKnownRevision : 0);
  }
  return held > 0 && std::all_of(aSimulation.mAgents.begin(),
                                 aSimulation.mAgents.end(),
                                 [held](const auto& aAgent) {
                                   return aAgent.mChangedRevision <= held;
                                 });
}

void
CountTicks(simulation& aSimulation)
{
  for (auto& entry : aSimulation.mEntries) {
    const bool reaches = entry.IsRunning() && !entry.mIsCutOffFromStore &&
                         aSimulation.mStore.AnswersCurrentState();
    entry.mStoreReachableTicks = reaches ? entry.mStoreReachableTicks + 1 : 0;
  }
  bool isHealthy = IsLastChangeHeld(aSimulation) &&
                   !aSimulation.mIsPartitioned &&
                   !aSimulation.mArePeersDisconnected &&
                   !aSimulation.mStore.mReadsStaleReplica;
  for (auto& entry : aSimulation.mEntries) {
    isHealthy = isHealthy && entry.IsRunning();
    bool hasRelay = entry.mStoreReachableTicks > 0;
    for (std::size_t i = 0; i < kEntries; ++i) {
      const auto& other = aSimulation.mEntries[i];
      const bool canTell = CanTell(aSimulation, entry, other);
      entry.mLinkedTicks[i] = canTell ? entry.mLinkedTicks[i] + 1 : 0;
      hasRelay = hasRelay || (canTell && other.mStoreReachableTicks > 0);
    }
    const bool reachesFewerThanHalf = ReachesFewerThanHalf(aSimulation, entry);
    const bool isIsolated = entry.IsRunning() && !hasRelay &&
                            reachesFewerThanHalf &&
                            !aSimulation.mStore.mReadsStaleReplica;
    entry.mIsolatedTicks = isIsolated ? entry.mIsolatedTicks + 1 : 0;
    for (int key = 0; key < kKeys; ++key) {
      auto& ticks = entry.mKnowsWithdrawalTicks[static_cast<std::size_t>(key)];
      const bool knows = entry.IsRunning() && entry.mState.mKnownRevision > 0 &&
                         !KnowsKeyAsGood(entry, key);
      ticks = knows ? ticks + 1 : 0;
    }
  }
  aSimulation.mHealthyTicks = isHealthy ? aSimulation.mHealthyTicks + 1 : 0;
}

/** True when the entry had a source for the withdrawal throughout the bound, or
 * was isolated throughout it and must refuse keys. */
bool
MustKnowWithdrawal(const simulation& aSimulation,
                   const model_entry& aEntry,
                   std::size_t aKey)
{
  if (aSimulation.mTicksSinceWithdrawal[aKey] <= kBoundTicks) {
    return false;
  }
  if (aEntry.mStoreReachableTicks > kBoundTicks ||
      aEntry.mIsolatedTicks > kBoundTicks) {
    return true;
  }
  for (std::size_t i = 0; i < kEntries; ++i) {
    const auto& other = aSimulation.mEntries[i];
    const bool knows = other.mStoreReachableTicks > kBoundTicks ||
                       other.mKnowsWithdrawalTicks[aKey] > kBoundTicks;
    if (&other != &aEntry && aEntry.mLinkedTicks[i] > kBoundTicks && knows) {
      return true;
    }
  }
  return false;
}

void
CheckEntry(simulation& aSimulation, model_entry& aEntry)
{
  RC_ASSERT(aEntry.mState.mKnownRevision >= aEntry.mHighestKnown);
  RC_ASSERT(aEntry.mState.mSnapshot->mRevision <= aEntry.mState.mKnownRevision);
  aEntry.mHighestKnown = aEntry.mState.mKnownRevision;
  if (!aEntry.IsRunning() || !keys::IsFreshEnough(aEntry.mFreshness)) {
    return;
  }
  ++aSimulation.mAccepted;
  for (std::size_t key = 0; key < kKeys; ++key) {
    if (MustKnowWithdrawal(aSimulation, aEntry, key)) {
      ++aSimulation.mWithdrawalsChecked;
      RC_ASSERT(!KnowsKeyAsGood(aEntry, static_cast<int>(key)));
    }
  }
}

/** Checks that valid keys are accepted while every process runs and is
 * connected, whether the store answers all entries, some, or none. */
void
CheckAvailability(const simulation& aSimulation)
{
  if (aSimulation.mHealthyTicks <= kBoundTicks) {
    return;
  }
  for (const auto& entry : aSimulation.mEntries) {
    RC_ASSERT(keys::IsFreshEnough(entry.mFreshness));
    RC_ASSERT(entry.mState.mKnownRevision >=
              aSimulation.mEntries[0].mState.mChangedRevision);
  }
}

void
RunTick(simulation& aSimulation)
{
  aSimulation.mNow += kTick;
  for (auto& entry : aSimulation.mEntries) {
    entry.mChangedBeforeTick = entry.mState.mChangedRevision;
  }
  for (auto& agent : aSimulation.mAgents) {
    agent.mChangedBeforeTick = agent.mChangedRevision;
  }
  for (std::size_t i = 0; i < kEntries; ++i) {
    auto& entry = aSimulation.mEntries[i];
    if (!entry.IsRunning()) {
      entry.mPausedTicks = std::max(entry.mPausedTicks - 1, 0);
      continue;
    }
    QueryStore(aSimulation, entry);
    ExchangeWithPeers(aSimulation, i);
    PollAgents(aSimulation, entry);
    if (entry.mState.mChangedRevision > entry.mDisk.mChangedRevision) {
      entry.mDisk = CopyOf(entry.mState);
    }
  }
  for (auto& entry : aSimulation.mEntries) {
    if (entry.IsRunning()) {
      EvaluateEntry(aSimulation, entry);
    }
  }
  for (int key = 0; key < kKeys; ++key) {
    auto& ticks =
      aSimulation.mTicksSinceWithdrawal[static_cast<std::size_t>(key)];
    ticks += ticks > 0 ? 1 : 0;
  }
  CountTicks(aSimulation);
  for (auto& entry : aSimulation.mEntries) {
    CheckEntry(aSimulation, entry);
  }
  CheckAvailability(aSimulation);
}

void
Withdraw(simulation& aSimulation, int aKey, bool aIsDeletion)
{
  auto& ticks =
    aSimulation.mTicksSinceWithdrawal[static_cast<std::size_t>(aKey)];
  if (ticks > 0 || aSimulation.mStore.mIsDown) {
    return;
  }
  ticks = 1;
  if (aIsDeletion) {
    aSimulation.mStore.Delete("Key", KeyName(aKey));
  } else {
    aSimulation.mStore.Put("Key", KeyName(aKey), KeySpec(aKey, true));
  }
}

void
ApplyAction(simulation& aSimulation, unsigned aNumber)
{
  auto& entry = aSimulation.mEntries[aNumber / 16 % kEntries];
  const int detail = static_cast<int>(aNumber / 64 % 16);
  auto& store = aSimulation.mStore;
  switch (aNumber % 16) {
    case 0:
    case 1:
      Withdraw(aSimulation, detail % kKeys, detail >= 8);
      break;
    case 2:
      if (!store.mIsDown) {
        store.Put("Lease", "zone", json::object{});
      }
      break;
    case 3:
      store.mIsDown = !store.mIsDown;
      break;
    case 4:
      entry.mIsCutOffFromStore = !entry.mIsCutOffFromStore;
      break;
    case 5:
      aSimulation.mIsPartitioned = !aSimulation.mIsPartitioned;
      break;
    case 6:
      entry.mSide = detail % 2;
      break;
    case 7:
      aSimulation.mAgents[static_cast<std::size_t>(detail) % kAgents].mSide =
        detail / 4 % 3;
      break;
    case 8:
      entry.mPausedTicks = detail + 1;
      break;
    case 9:
    case 10:
      Restart(entry, detail % 2 == 0);
      break;
    case 11:
      entry.mIsAlive = !entry.mIsAlive;
      if (entry.mIsAlive) {
        Restart(entry, detail % 2 == 0);
      }
      break;
    case 12:
      store.mEvents.clear();
      store.mOldestKept = store.mNow.mRevision;
      break;
    case 13:
      store.mReadsStaleReplica = !store.mReadsStaleReplica;
      if (store.mReadsStaleReplica && detail % 2 == 0) {
        store.mStaleReplica = store.mNow;
      }
      break;
    case 14:
      aSimulation.mArePeersDisconnected = !aSimulation.mArePeersDisconnected;
      break;
    default:
      break;
  }
  for (int i = 0; i < 1 + detail; ++i) {
    RunTick(aSimulation);
  }
}

void
SetUp(simulation& aSimulation)
{
  aSimulation.mStore.Put("Customer", "brf", json::object{});
  for (int key = 0; key < kKeys; ++key) {
    aSimulation.mStore.Put("Key", KeyName(key), KeySpec(key, false));
  }
  aSimulation.mStore.mStaleReplica = aSimulation.mStore.mNow;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestFreshnessHistories)

BOOST_AUTO_TEST_CASE(WithdrawnKeysStopAndNothingReverts)
{
  long accepted = 0;
  long checked = 0;
  BOOST_TEST(
    rc::check("an entry that can learn of a withdrawal refuses the key in time",
              [&](const std::vector<unsigned short>& aNumbers) {
                simulation simulation;
                SetUp(simulation);
                RunTick(simulation);
                for (const auto number : aNumbers) {
                  ApplyAction(simulation, number);
                }
                accepted += simulation.mAccepted;
                checked += simulation.mWithdrawalsChecked;
              }));
  // The generated histories must have exercised both cases.
  BOOST_TEST(accepted > 10000);
  BOOST_TEST(checked > 1000);
  BOOST_TEST_MESSAGE("accepted=" << accepted << " checked=" << checked);
}

BOOST_AUTO_TEST_SUITE_END()
