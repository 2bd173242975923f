#pragma once

#include "Duties/Feed/StoreFeed.h"
#include "StandIns/ObjectStore/MemoryStore.h"
#include "Tests/Site/Support/SimulatedClock.h"

#include <list>

/** A simulation of entries that receive the changes of the store directly or
 * through each other, with network faults and paused processes. */
namespace lavender::tests {

/** State of the connection between an entry and the store. */
enum class store_way
{
  Open,
  /** The store refuses all calls of the entry. */
  TurnedAway,
  /** Requests and responses are lost, and calls end by their timeout. */
  Cut
};

/** One process of an entry. A new process replaces it after a restart. */
class simulated_entry
{
public:
  simulated_entry(struct simulated_site& aSite, std::string aName);
  ~simulated_entry();

  void Start();
  /** Returns the value of the only object of a kind, or -1 if there is none. */
  std::int64_t Value(const std::string& aKind) const;
  /** Runs an action now, or after Thaw() if the process is frozen. */
  void Deliver(std::function<void()> aAction);
  /** Ends all calls in flight to the store without a response. */
  void BreakCalls();
  /** Drops the responses to all watches in flight. */
  void SilenceWatches();
  void Freeze() { mIsFrozen = true; }
  void Thaw();

  const std::string mName;
  store_way mWay = store_way::Open;
  bool mIsFrozen = false;
  /** Whether calls from and to other entries fail. */
  bool mIsAlone = false;
  /** Value that was known when the store last became reachable. */
  std::optional<std::int64_t> mValueAtContact;
  /** Whether a value has ever decreased in this process. */
  bool mHasGoneBack = false;
  std::unique_ptr<feed::store_feed> mFeed;

  /** Expires with the process, so that its pending actions are skipped. */
  std::shared_ptr<bool> mIsAlive = std::make_shared<bool>(true);

private:
  struct store_call
  {
    bool mIsWatch = false;
    bool mIsLost = false;
    bool mHasEnded = false;
    std::function<void()> mEnd;
  };

  feed::watched_kind MakeWatchedKind(const std::string& aKind);
  scheduler MakeScheduler();
  objects::object_store MakeStore();
  /** Runs a call to the store and passes on its reply. The call ends with an
   * empty reply after the timeout or if the reply is lost. */
  template<typename Reply, typename Begin>
  void Call(bool aIsWatch,
            milliseconds aTimeout,
            std::function<void(Reply)> aDone,
            const Begin& aBegin);
  void ApplyObjects(const std::string& aKind, const feed::object_map& aObjects);

  simulated_site& mSite;
  std::map<std::string, feed::object_map> mObjects;
  std::vector<std::function<void()>> mDeferred;
  std::list<std::shared_ptr<store_call>> mCalls;
  objects::object_store mBackingStore;
  objects::object_store mStore;
};

/** A kind whose value the tests change, and one that never changes. */
constexpr char kBusyKind[] = "things";
constexpr char kQuietKind[] = "rarities";

struct simulated_site
{
  simulated_clock mClock;
  standin::memory_store_state mState;
  /** Addresses of the entries by name; each entry has a port of its own. */
  std::map<std::string, edge::endpoint> mPeers;
  std::map<std::string, std::unique_ptr<simulated_entry>> mEntries;
  int mCallsBetweenEntries = 0;
  /** Bodies of responses. */
  std::size_t mBytesBetweenEntries = 0;

  simulated_site();
  /** Creates a new process for an entry and destroys its previous one, if any.
   */
  simulated_entry& Add(const std::string& aName);
  void Kill(const std::string& aName) { mEntries.erase(aName); }
  simulated_entry& At(const std::string& aName) { return *mEntries.at(aName); }
  void Put(std::int64_t aValue);
  /** Ends all calls in flight to the store, watches among them, as happens
   * when the store drops its history. */
  void CutWatches();
  void CallEntry(simulated_entry& aCaller,
                 const edge::endpoint& aAddress,
                 const edge::request& aRequest,
                 const edge::call_options& aOptions,
                 milliseconds aDeadline,
                 edge::whole_answer aDone);
};

} // namespace lavender::tests
