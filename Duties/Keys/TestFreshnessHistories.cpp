#include "Duties/Configuration/ConfigurationState.h"
#include "Duties/Keys/Authorize.h"
#include "Duties/Keys/FreshnessGate.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <rapidcheck.h>

// Story: an operator withdraws a key while some entries are cut off from the
// platform, some from each other, some paused, restarted from an old disk, or
// told old news by a lagging copy of the store. A caller goes on showing the
// key at each entry. The cause of a failure is always the same: an entry takes
// what it holds for the newest although somebody it can hear knows better.

using namespace lavender;
using namespace lavender::configuration;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kEntries = 3;
constexpr std::size_t kAgents = 4;
constexpr int kKeys = 4;
/** Side of a partition that reaches both others. */
constexpr int kOnBothSides = 2;
constexpr milliseconds kTick = 500ms;
/** The stated bound of 8 s. */
constexpr int kBoundTicks = 16;

struct model_store
{
  platform::object_list mNow;
  platform::object_list mOldCopy;
  std::deque<platform::object_event> mEvents;
  std::int64_t mOldestKept = 1;
  bool mIsDown = false;
  bool mAnswersOldCopy = false;

  bool IsTrue() const { return !mIsDown && !mAnswersOldCopy; }
  void Put(const std::string& aKind,
           const std::string& aName,
           json::value aSpec)
  {
    json::value stored;
    stored.Set("spec", std::move(aSpec));
    platform::stored_object object{
      aKind, aName, ++mNow.mRevision, std::move(stored)
    };
    Remove(aKind, aName);
    mNow.mObjects.push_back(object);
    mEvents.push_back({ false, object });
  }
  void Delete(const std::string& aKind, const std::string& aName)
  {
    Remove(aKind, aName);
    mEvents.push_back({ true, { aKind, aName, ++mNow.mRevision, {} } });
  }
  void Remove(const std::string& aKind, const std::string& aName)
  {
    auto& all = mNow.mObjects;
    all.erase(std::remove_if(all.begin(),
                             all.end(),
                             [&](const auto& aObject) {
                               return aObject.mKind == aKind &&
                                      aObject.mName == aName;
                             }),
              all.end());
  }
};

struct heard
{
  std::optional<time_point> mLastResponseAt;
  bool mIsAsked = false;
  std::int64_t mChangedRevision = 0;
  std::optional<time_point> mVerifiedAt;
};

struct model_agent
{
  int mSide = 0;
  std::int64_t mChangedRevision = 0;
  /** The same before the tick, in which it may have been asked first. */
  std::int64_t mChangedBefore = 0;
  time_point mFreshAt;
};

struct model_entry
{
  int mSide = 0;
  bool mIsAlive = true;
  bool mIsCut = false;
  int mPausedTicks = 0;
  configuration_state mState;
  keys::freshness_state mGate;
  std::array<heard, kAgents> mAgents;
  std::array<heard, kEntries> mPeers;
  whole_copy mDisk;
  keys::freshness mVerdict = keys::freshness::Joining;
  std::int64_t mHighestKnown = 0;
  /** Last change held before the tick, in which it may have been asked first.
   */
  std::int64_t mChangedBefore = 0;
  /** Consecutive ticks of what the oracle counts by. */
  int mReachesStore = 0;
  int mIsAlone = 0;
  std::array<int, kEntries> mLinked{};
  std::array<int, kAgents> mSinceAgent{};
  std::array<int, kEntries> mSincePeer{};
  std::array<int, kKeys> mKnowsWithdrawal{};

  bool IsRunning() const { return mIsAlive && mPausedTicks == 0; }
};

struct world
{
  time_point mNow{ 1000s };
  model_store mStore;
  std::array<model_entry, kEntries> mEntries;
  std::array<model_agent, kAgents> mAgents;
  bool mIsPartitioned = false;
  /** No entry reaches another one, though each may reach agents. */
  bool mArePeersCut = false;
  std::array<int, kKeys> mTicksSinceWithdrawal{};
  int mCalmTicks = 0;
  int mAccepted = 0;
  int mWithdrawalsChecked = 0;

  bool AreLinked(int aOne, int aOther) const
  {
    return !mIsPartitioned || aOne == aOther || aOne == kOnBothSides ||
           aOther == kOnBothSides;
  }
  bool ArePeersLinked(int aOne, int aOther) const
  {
    return !mArePeersCut && AreLinked(aOne, aOther);
  }
};

std::string
KeyName(int aKey)
{
  return "key-" + std::to_string(aKey);
}

json::value
KeySpec(int aKey, bool aIsWithdrawn)
{
  json::value spec;
  spec.Set("customer", "brf");
  spec.Set("hash", "hash-" + std::to_string(aKey));
  spec.Set("withdrawn", aIsWithdrawn);
  return spec;
}

bool
KnowsKeyAsGood(const model_entry& aEntry, int aKey)
{
  return keys::FindKeyRejection(*aEntry.mState.mSnapshot,
                                "hash-" + std::to_string(aKey))
    .empty();
}

void
Boot(model_entry& aEntry, bool aHasDisk)
{
  const auto disk = aEntry.mDisk;
  const int side = aEntry.mSide;
  const bool isCut = aEntry.mIsCut;
  aEntry = model_entry{};
  aEntry.mSide = side;
  aEntry.mIsCut = isCut;
  if (aHasDisk && disk.mRevision > 0) {
    aEntry.mDisk = disk;
    auto copy = disk;
    copy.mVerifiedAt.reset();
    TakeCopy(aEntry.mState, std::move(copy));
  }
}

void
AskStore(world& aWorld, model_entry& aEntry)
{
  auto& store = aWorld.mStore;
  if (store.mIsDown || aEntry.mIsCut) {
    return;
  }
  const auto& list = store.mAnswersOldCopy ? store.mOldCopy : store.mNow;
  const auto from = aEntry.mState.mKnownRevision;
  if (from == 0 || from < store.mOldestKept) {
    ApplyList(aEntry.mState, list, aWorld.mNow);
    return;
  }
  platform::watch_batch batch;
  batch.mRevision = list.mRevision;
  for (const auto& event : store.mEvents) {
    if (event.mObject.mRevision > from &&
        event.mObject.mRevision <= list.mRevision) {
      batch.mEvents.push_back(event);
    }
  }
  ApplyWatchBatch(aEntry.mState, batch, aWorld.mNow);
}

void
ExchangeWithPeers(world& aWorld, std::size_t aIndex)
{
  auto& entry = aWorld.mEntries[aIndex];
  for (std::size_t i = 0; i < kEntries; ++i) {
    const auto& peer = aWorld.mEntries[i];
    if (i == aIndex) {
      continue;
    }
    auto& view = entry.mPeers[i];
    view.mIsAsked = true;
    if (!peer.IsRunning() || !aWorld.ArePeersLinked(entry.mSide, peer.mSide)) {
      continue;
    }
    const auto digest = DigestOf(peer.mState);
    view.mLastResponseAt = aWorld.mNow;
    view.mChangedRevision = digest.mChangedRevision;
    view.mVerifiedAt = digest.mVerifiedAt;
    if (TakeDigest(entry.mState, digest) == apply_outcome::NeedsCopy) {
      TakeCopy(entry.mState, CopyOf(peer.mState));
    }
  }
}

void
PollAgents(world& aWorld, model_entry& aEntry)
{
  for (std::size_t i = 0; i < kAgents; ++i) {
    auto& agent = aWorld.mAgents[i];
    auto& view = aEntry.mAgents[i];
    view.mIsAsked = true;
    if (!aWorld.AreLinked(aEntry.mSide, agent.mSide)) {
      continue;
    }
    if (aEntry.mState.mChangedRevision > 0 && aEntry.mState.mVerifiedAt) {
      agent.mFreshAt = std::max(agent.mFreshAt, *aEntry.mState.mVerifiedAt);
    }
    agent.mChangedRevision =
      std::max(agent.mChangedRevision, aEntry.mState.mChangedRevision);
    view.mLastResponseAt = aWorld.mNow;
    view.mChangedRevision = agent.mChangedRevision;
    view.mVerifiedAt = agent.mFreshAt;
  }
}

template<typename Views>
void
AddUp(const Views& aViews, keys::remote_freshness& aSummary, time_point aNow)
{
  for (const auto& view : aViews) {
    aSummary.mPolled += view.mIsAsked ? 1 : 0;
    if (!view.mLastResponseAt) {
      continue;
    }
    aSummary.mReachable += aNow - *view.mLastResponseAt <= 4s ? 1 : 0;
    aSummary.mHighestChangedRevision =
      std::max(aSummary.mHighestChangedRevision, view.mChangedRevision);
    aSummary.mLatestVerifiedAt =
      std::max(aSummary.mLatestVerifiedAt, view.mVerifiedAt);
  }
}

/** An entry that joins holds all that anybody it can hear knows. */
void
CheckJoining(const world& aWorld, const model_entry& aEntry)
{
  for (const auto& peer : aWorld.mEntries) {
    if (peer.IsRunning() && aWorld.ArePeersLinked(aEntry.mSide, peer.mSide)) {
      RC_ASSERT(aEntry.mState.mKnownRevision >= peer.mChangedBefore);
    }
  }
  for (const auto& agent : aWorld.mAgents) {
    if (aWorld.AreLinked(aEntry.mSide, agent.mSide)) {
      RC_ASSERT(aEntry.mState.mKnownRevision >= agent.mChangedBefore);
    }
  }
}

void
JudgeEntry(world& aWorld, model_entry& aEntry)
{
  const bool hadJoined = aEntry.mGate.mHasJoined;
  keys::remote_freshness summary;
  summary.mKnown = kAgents + kEntries - 1;
  AddUp(aEntry.mAgents, summary, aWorld.mNow);
  AddUp(aEntry.mPeers, summary, aWorld.mNow);
  aEntry.mVerdict =
    keys::Judge(aEntry.mGate,
                { aEntry.mState.mKnownRevision, aEntry.mState.mVerifiedAt },
                summary,
                {},
                aWorld.mNow);
  if (!hadJoined && aEntry.mGate.mHasJoined) {
    CheckJoining(aWorld, aEntry);
  }
}

/** Both can tell each other something: directly, or through an agent. */
bool
CanTell(const world& aWorld, const model_entry& aOne, const model_entry& aOther)
{
  const bool hasAgent = std::any_of(
    aWorld.mAgents.begin(), aWorld.mAgents.end(), [&](const auto& aAgent) {
      return aWorld.AreLinked(aOne.mSide, aAgent.mSide) &&
             aWorld.AreLinked(aOther.mSide, aAgent.mSide);
    });
  return aOne.IsRunning() && aOther.IsRunning() &&
         (aWorld.ArePeersLinked(aOne.mSide, aOther.mSide) || hasAgent);
}

/** Fewer than half of the others could be heard at any time within the 4 s
 * for which a process counts as audible. */
bool
HearsFew(const world& aWorld, model_entry& aEntry)
{
  constexpr int kAudibleTicks = 8;
  std::size_t heardOf = 0;
  const auto count = [&](int& aTicksSince, bool aIsHeard) {
    aTicksSince = aIsHeard ? 0 : aTicksSince + 1;
    heardOf += aTicksSince <= kAudibleTicks ? 1 : 0;
  };
  for (std::size_t i = 0; i < kAgents; ++i) {
    count(aEntry.mSinceAgent[i],
          aWorld.AreLinked(aEntry.mSide, aWorld.mAgents[i].mSide));
  }
  for (std::size_t i = 0; i < kEntries; ++i) {
    const auto& peer = aWorld.mEntries[i];
    if (&peer != &aEntry) {
      count(aEntry.mSincePeer[i],
            peer.IsRunning() &&
              aWorld.ArePeersLinked(aEntry.mSide, peer.mSide));
    }
  }
  return heardOf * 2 < kAgents + kEntries - 1;
}

/** Some entry alive holds the last change that any agent has heard of. After
 * its death, with the store down, refusing is right. */
bool
IsLastChangeHeld(const world& aWorld)
{
  std::int64_t held = 0;
  for (const auto& entry : aWorld.mEntries) {
    held = std::max(held, entry.IsRunning() ? entry.mState.mKnownRevision : 0);
  }
  return held > 0 && std::all_of(aWorld.mAgents.begin(),
                                 aWorld.mAgents.end(),
                                 [held](const auto& aAgent) {
                                   return aAgent.mChangedRevision <= held;
                                 });
}

void
CountTicks(world& aWorld)
{
  for (auto& entry : aWorld.mEntries) {
    const bool reaches =
      entry.IsRunning() && !entry.mIsCut && aWorld.mStore.IsTrue();
    entry.mReachesStore = reaches ? entry.mReachesStore + 1 : 0;
  }
  bool isCalm = IsLastChangeHeld(aWorld) && !aWorld.mIsPartitioned &&
                !aWorld.mArePeersCut && !aWorld.mStore.mAnswersOldCopy;
  for (auto& entry : aWorld.mEntries) {
    isCalm = isCalm && entry.IsRunning();
    bool hasRelay = entry.mReachesStore > 0;
    for (std::size_t i = 0; i < kEntries; ++i) {
      const auto& other = aWorld.mEntries[i];
      const bool canTell = CanTell(aWorld, entry, other);
      entry.mLinked[i] = canTell ? entry.mLinked[i] + 1 : 0;
      hasRelay = hasRelay || (canTell && other.mReachesStore > 0);
    }
    const bool hearsFew = HearsFew(aWorld, entry);
    const bool isAlone = entry.IsRunning() && !hasRelay && hearsFew &&
                         !aWorld.mStore.mAnswersOldCopy;
    entry.mIsAlone = isAlone ? entry.mIsAlone + 1 : 0;
    for (int key = 0; key < kKeys; ++key) {
      auto& ticks = entry.mKnowsWithdrawal[static_cast<std::size_t>(key)];
      const bool knows = entry.IsRunning() && entry.mState.mKnownRevision > 0 &&
                         !KnowsKeyAsGood(entry, key);
      ticks = knows ? ticks + 1 : 0;
    }
  }
  aWorld.mCalmTicks = isCalm ? aWorld.mCalmTicks + 1 : 0;
}

/** Somebody could have told the entry for the whole bound. */
bool
OughtToKnow(const world& aWorld, const model_entry& aEntry, std::size_t aKey)
{
  if (aWorld.mTicksSinceWithdrawal[aKey] <= kBoundTicks) {
    return false;
  }
  if (aEntry.mReachesStore > kBoundTicks || aEntry.mIsAlone > kBoundTicks) {
    return true;
  }
  for (std::size_t i = 0; i < kEntries; ++i) {
    const auto& other = aWorld.mEntries[i];
    const bool knows = other.mReachesStore > kBoundTicks ||
                       other.mKnowsWithdrawal[aKey] > kBoundTicks;
    if (&other != &aEntry && aEntry.mLinked[i] > kBoundTicks && knows) {
      return true;
    }
  }
  return false;
}

void
CheckEntry(world& aWorld, model_entry& aEntry)
{
  RC_ASSERT(aEntry.mState.mKnownRevision >= aEntry.mHighestKnown);
  RC_ASSERT(aEntry.mState.mSnapshot->mRevision <= aEntry.mState.mKnownRevision);
  aEntry.mHighestKnown = aEntry.mState.mKnownRevision;
  if (!aEntry.IsRunning() || !keys::IsFreshEnough(aEntry.mVerdict)) {
    return;
  }
  ++aWorld.mAccepted;
  for (std::size_t key = 0; key < kKeys; ++key) {
    if (OughtToKnow(aWorld, aEntry, key)) {
      ++aWorld.mWithdrawalsChecked;
      RC_ASSERT(!KnowsKeyAsGood(aEntry, static_cast<int>(key)));
    }
  }
}

/** With every process alive and linked, valid keys must work, with the store
 * up, cut from some, or down for all. */
void
CheckAvailability(const world& aWorld)
{
  if (aWorld.mCalmTicks <= kBoundTicks) {
    return;
  }
  for (const auto& entry : aWorld.mEntries) {
    RC_ASSERT(keys::IsFreshEnough(entry.mVerdict));
    RC_ASSERT(entry.mState.mKnownRevision >=
              aWorld.mEntries[0].mState.mChangedRevision);
  }
}

void
RunTick(world& aWorld)
{
  aWorld.mNow += kTick;
  for (auto& entry : aWorld.mEntries) {
    entry.mChangedBefore = entry.mState.mChangedRevision;
  }
  for (auto& agent : aWorld.mAgents) {
    agent.mChangedBefore = agent.mChangedRevision;
  }
  for (std::size_t i = 0; i < kEntries; ++i) {
    auto& entry = aWorld.mEntries[i];
    if (!entry.IsRunning()) {
      entry.mPausedTicks = std::max(entry.mPausedTicks - 1, 0);
      continue;
    }
    AskStore(aWorld, entry);
    ExchangeWithPeers(aWorld, i);
    PollAgents(aWorld, entry);
    if (entry.mState.mChangedRevision > entry.mDisk.mChangedRevision) {
      entry.mDisk = CopyOf(entry.mState);
    }
  }
  for (auto& entry : aWorld.mEntries) {
    if (entry.IsRunning()) {
      JudgeEntry(aWorld, entry);
    }
  }
  for (int key = 0; key < kKeys; ++key) {
    auto& ticks = aWorld.mTicksSinceWithdrawal[static_cast<std::size_t>(key)];
    ticks += ticks > 0 ? 1 : 0;
  }
  CountTicks(aWorld);
  for (auto& entry : aWorld.mEntries) {
    CheckEntry(aWorld, entry);
  }
  CheckAvailability(aWorld);
}

void
Withdraw(world& aWorld, int aKey, bool aIsDeletion)
{
  auto& ticks = aWorld.mTicksSinceWithdrawal[static_cast<std::size_t>(aKey)];
  if (ticks > 0 || aWorld.mStore.mIsDown) {
    return;
  }
  ticks = 1;
  if (aIsDeletion) {
    aWorld.mStore.Delete("Key", KeyName(aKey));
  } else {
    aWorld.mStore.Put("Key", KeyName(aKey), KeySpec(aKey, true));
  }
}

void
Act(world& aWorld, unsigned aNumber)
{
  auto& entry = aWorld.mEntries[aNumber / 16 % kEntries];
  const int detail = static_cast<int>(aNumber / 64 % 16);
  auto& store = aWorld.mStore;
  switch (aNumber % 16) {
    case 0:
    case 1:
      Withdraw(aWorld, detail % kKeys, detail >= 8);
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
      entry.mIsCut = !entry.mIsCut;
      break;
    case 5:
      aWorld.mIsPartitioned = !aWorld.mIsPartitioned;
      break;
    case 6:
      entry.mSide = detail % 2;
      break;
    case 7:
      aWorld.mAgents[static_cast<std::size_t>(detail) % kAgents].mSide =
        detail / 4 % 3;
      break;
    case 8:
      entry.mPausedTicks = detail + 1;
      break;
    case 9:
    case 10:
      Boot(entry, detail % 2 == 0);
      break;
    case 11:
      entry.mIsAlive = !entry.mIsAlive;
      if (entry.mIsAlive) {
        Boot(entry, detail % 2 == 0);
      }
      break;
    case 12:
      store.mEvents.clear();
      store.mOldestKept = store.mNow.mRevision;
      break;
    case 13:
      store.mAnswersOldCopy = !store.mAnswersOldCopy;
      if (store.mAnswersOldCopy && detail % 2 == 0) {
        store.mOldCopy = store.mNow;
      }
      break;
    case 14:
      aWorld.mArePeersCut = !aWorld.mArePeersCut;
      break;
    default:
      break;
  }
  for (int i = 0; i < 1 + detail; ++i) {
    RunTick(aWorld);
  }
}

void
Prepare(world& aWorld)
{
  aWorld.mStore.Put("Customer", "brf", json::object{});
  for (int key = 0; key < kKeys; ++key) {
    aWorld.mStore.Put("Key", KeyName(key), KeySpec(key, false));
  }
  aWorld.mStore.mOldCopy = aWorld.mStore.mNow;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestFreshnessHistories)

BOOST_AUTO_TEST_CASE(WithdrawnKeysStopAndNothingReverts)
{
  long accepted = 0;
  long checked = 0;
  BOOST_TEST(
    rc::check("a withdrawn key stops within the bound at whoever could be told",
              [&](const std::vector<unsigned short>& aNumbers) {
                world world;
                Prepare(world);
                RunTick(world);
                for (const auto number : aNumbers) {
                  Act(world, number);
                }
                accepted += world.mAccepted;
                checked += world.mWithdrawalsChecked;
              }));
  // The histories must really have met what they are about.
  BOOST_TEST(accepted > 10000);
  BOOST_TEST(checked > 1000);
  BOOST_TEST_MESSAGE("accepted=" << accepted << " checked=" << checked);
}

BOOST_AUTO_TEST_SUITE_END()
