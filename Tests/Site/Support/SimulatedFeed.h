#pragma once

#include "Duties/Feed/StoreFeed.h"
#include "StandIns/ObjectStore/MemoryStore.h"
#include "Tests/Site/Support/SimulatedClock.h"

#include <list>

/** Entries that follow the store through one another, with all that can happen
 * between them, on simulated time. */
namespace lavender::tests {

/** What the way between an entry and the store does to calls. */
enum class store_way
{
  Open,
  /** The store refuses this entry. */
  TurnedAway,
  /** Nothing comes through; calls end when their time is up. */
  Cut
};

/** One process of an entry. */
class simulated_entry
{
public:
  simulated_entry(struct simulated_site& aSite, std::string aName);
  ~simulated_entry();

  void Start();
  /** The value of the one object of a kind, -1 for none. */
  std::int64_t Value(const std::string& aKind) const;
  /** Runs an action of this process now, or when it goes on. */
  void Deliver(std::function<void()> aAction);
  /** Calls that the store has taken from this entry end without an answer. */
  void BreakCalls();
  /** Watches that are waiting get no answer though the store gives one. */
  void SilenceWatches();
  void Freeze() { mIsFrozen = true; }
  void Thaw();

  const std::string mName;
  store_way mWay = store_way::Open;
  bool mIsFrozen = false;
  /** Unreachable for other entries. */
  bool mIsAlone = false;
  /** The greatest value known when contact with the store was last regained. */
  std::optional<std::int64_t> mValueAtContact;
  /** The value went back within this process's life. */
  bool mHasGoneBack = false;
  std::unique_ptr<feed::store_feed> mFeed;

  /** Tells actions of this process from those of one that has ended. */
  std::shared_ptr<bool> mIsAlive = std::make_shared<bool>(true);

private:
  struct store_call
  {
    bool mIsWatch = false;
    bool mIsLost = false;
    bool mHasEnded = false;
    std::function<void()> mEnd;
  };

  feed::watched_kind KindOf(const std::string& aKind);
  scheduler OwnScheduler();
  objects::object_store MakeStore();
  /** Passes an answer on unless the call was lost, or ends it unanswered. */
  template<typename Reply, typename Begin>
  void Call(bool aIsWatch,
            milliseconds aTimeout,
            std::function<void(Reply)> aDone,
            const Begin& aBegin);
  void Hear(const std::string& aKind, const feed::object_map& aObjects);

  simulated_site& mSite;
  std::map<std::string, feed::object_map> mObjects;
  std::vector<std::function<void()>> mDeferred;
  std::list<std::shared_ptr<store_call>> mCalls;
  objects::object_store mBehind;
  objects::object_store mStore;
};

/** The kind whose changes are counted, and one that hardly changes. */
constexpr char kBusyKind[] = "things";
constexpr char kQuietKind[] = "rarities";

struct simulated_site
{
  simulated_clock mClock;
  standin::memory_store_state mState;
  /** Known addresses; a port stands for a name. */
  std::map<std::string, edge::endpoint> mPeers;
  std::map<std::string, std::unique_ptr<simulated_entry>> mEntries;
  int mCallsBetweenEntries = 0;

  simulated_site();
  /** A new process, in place of the one before if there is one. */
  simulated_entry& Add(const std::string& aName);
  void Kill(const std::string& aName) { mEntries.erase(aName); }
  simulated_entry& At(const std::string& aName) { return *mEntries.at(aName); }
  void Put(std::int64_t aValue);
  /** Every watch that waits is cut, as when the store drops its history. */
  void CutWatches();
  void CallEntry(simulated_entry& aCaller,
                 const edge::endpoint& aAddress,
                 const edge::request& aRequest,
                 const edge::call_options& aOptions,
                 milliseconds aDeadline,
                 edge::whole_answer aDone);
};

} // namespace lavender::tests
