#pragma once

#include "Duties/Configuration/ConfigurationState.h"
#include "Duties/Keys/FreshnessGate.h"

#include <algorithm>
#include <array>
#include <deque>
#include <optional>
#include <string>

/** A simulation of entries and agents that keep a store's configuration, in
 * ticks of simulated time. It runs the same decision code as the binaries; only
 * the store, the transport and time are simulated. */
namespace lavender::keys::model {

constexpr std::size_t kEntries = 3;
constexpr std::size_t kAgents = 4;
constexpr int kKeys = 4;
/** Side of a network partition that can reach both other sides. */
constexpr int kReachesBothSides = 2;
constexpr milliseconds kTick{ 500 };
/** 8 s, the guaranteed bound for a withdrawal to take effect. */
constexpr int kBoundTicks = 16;

struct model_store
{
  platform::object_list mNow;
  platform::object_list mStaleReplica;
  std::deque<platform::object_event> mEvents;
  std::int64_t mOldestKept = 1;
  bool mIsDown = false;
  bool mReadsStaleReplica = false;

  bool AnswersCurrentState() const { return !mIsDown && !mReadsStaleReplica; }
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

struct process_view
{
  std::optional<time_point> mLastResponseAt;
  std::optional<time_point> mReachableSince;
  bool mIsAsked = false;
  std::int64_t mChangedRevision = 0;
  std::optional<time_point> mVerifiedAt;
};

struct model_agent
{
  int mSide = 0;
  std::int64_t mChangedRevision = 0;
  /** Value of mChangedRevision before the current tick: an entry may poll the
   * agent before others update it within the tick. */
  std::int64_t mChangedBeforeTick = 0;
  time_point mFreshAt;
};

struct model_entry
{
  int mSide = 0;
  bool mIsAlive = true;
  bool mIsCutOffFromStore = false;
  int mPausedTicks = 0;
  configuration::configuration_state mState;
  keys::freshness_state mFreshnessState;
  std::array<process_view, kAgents> mAgents;
  std::array<process_view, kEntries> mPeers;
  configuration::full_copy mDisk;
  keys::freshness mFreshness = keys::freshness::Joining;
  std::int64_t mHighestKnown = 0;
  /** Last change held before the current tick: an entry may poll this one
   * before it is updated within the tick. */
  std::int64_t mChangedBeforeTick = 0;
  /** Numbers of consecutive ticks, from which the checks derive what the entry
   * must know. */
  int mStoreReachableTicks = 0;
  int mIsolatedTicks = 0;
  std::array<int, kEntries> mLinkedTicks{};
  std::array<int, kAgents> mTicksSinceAgent{};
  std::array<int, kEntries> mTicksSincePeer{};
  std::array<int, kKeys> mKnowsWithdrawalTicks{};

  bool IsRunning() const { return mIsAlive && mPausedTicks == 0; }
};

struct simulation
{
  time_point mNow{ std::chrono::seconds(1000) };
  model_store mStore;
  std::array<model_entry, kEntries> mEntries;
  std::array<model_agent, kAgents> mAgents;
  bool mIsPartitioned = false;
  /** Entries can't reach each other, but may reach agents. */
  bool mArePeersDisconnected = false;
  std::array<int, kKeys> mTicksSinceWithdrawal{};
  int mHealthyTicks = 0;
  int mAccepted = 0;
  int mWithdrawalsChecked = 0;

  bool AreLinked(int aOne, int aOther) const
  {
    return !mIsPartitioned || aOne == aOther || aOne == kReachesBothSides ||
           aOther == kReachesBothSides;
  }
  bool ArePeersLinked(int aOne, int aOther) const
  {
    return !mArePeersDisconnected && AreLinked(aOne, aOther);
  }
};

std::string
KeyName(int aKey);

json::value
KeySpec(int aKey, bool aIsWithdrawn);

bool
KnowsKeyAsGood(const model_entry& aEntry, int aKey);

/** Starts an entry again, with what its disk holds or with nothing. */
void
Restart(model_entry& aEntry, bool aHasDisk);

/** Lets an entry list the store or read on from the change it knows. */
void
QueryStore(simulation& aSimulation, model_entry& aEntry);

/** Lets an entry ask the others for their state.
 * @param aIndex of the entry that asks */
void
ExchangeWithPeers(simulation& aSimulation, std::size_t aIndex);

/** Lets an entry tell all agents of its state, and learn of theirs. */
void
PollAgents(simulation& aSimulation, model_entry& aEntry);

} // namespace lavender::keys::model
