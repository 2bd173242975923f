#pragma once

#include "Duties/Batches/Records.h"
#include "Libraries/Edge/Caller.h"
#include "StandIns/ObjectStore/StoreListener.h"
#include "Tests/Site/Support/ModelServer.h"
#include "Tests/Soak/FaultProxy.h"
#include "Tests/Soak/Process.h"
#include "Tests/Soak/RewardServer.h"

#include <random>
#include <set>

namespace lavender::soak {

/** Stand-in of a plain service: responds to each request with the request's id,
 * and counts its runs. */
class plain_server
{
public:
  explicit plain_server(boost::asio::io_context& aLoop);

  unsigned short Port() const { return mListener.Port(); }

  std::map<std::string, int> mRuns;
  /** Share of the requests that run without a response. */
  double mLostResponseShare = 0;
  /** Size of each body, in bytes; 0 for the request's id alone. */
  std::size_t mAnswerBytes = 0;

private:
  void Serve(const edge::exchange_ptr& aExchange);

  boost::asio::io_context& mLoop;
  std::mt19937 mRandom{ 1 };
  edge::listener mListener;
};

/** One entry, its ports and the proxy through which it reaches the store. */
struct entry_instance
{
  std::string mName;
  unsigned short mCallers = 0;
  unsigned short mReadiness = 0;
  unsigned short mPeers = 0;
  unsigned short mMetrics = 0;
  std::unique_ptr<fault_proxy> mStoreLink;
  process mProcess;
  bool mIsPaused = false;
  /** Whether the soak has ended the process by a signal; any other end is a
   * finding. */
  bool mIsEndExpected = false;
};

struct agent_instance
{
  std::string mName;
  std::unique_ptr<tests::model_server> mServer;
  std::unique_ptr<fault_proxy> mServerLink;
  process mProcess;

  void SetSpeed(double aSlowdown, const char* aTold) const
  {
    mServer->mSlowdown = aSlowdown;
    mServer->mToldSlowdown = aTold;
  }
};

/** What a model server tells of its machine's speed, in percent. */
constexpr const char* kUsualSpeed = "100";

/** Number of events of an item's text; one item in twelve is five times as long
 * as the others. */
int
EventsOf(const std::string& aItem);

/** Name and key of a trainer's customer. */
std::string
TrainerName(int aTrainer);

constexpr int kMaximumTrainers = 3;

/** Seed of a second generator. What draws from the first one keeps its order of
 * draws, so that a known seed replays its scenario when the soak grows. */
constexpr std::uint64_t
SecondSeed(std::uint64_t aSeed)
{
  return ~aSeed;
}

/** Seed of a third generator. */
constexpr std::uint64_t
ThirdSeed(std::uint64_t aSeed)
{
  return aSeed ^ 0x9e3779b97f4a7c15U;
}

/** Seed of a fourth generator. */
constexpr std::uint64_t
FourthSeed(std::uint64_t aSeed)
{
  return ~ThirdSeed(aSeed);
}

struct site_options
{
  int mEntries = 3;
  int mAgents = 3;
  std::string mLogFolder;
  /** Added to the arguments of each entry. */
  std::vector<std::string> mEntryArguments;
  /** Slots of each model server. */
  int mSlots = 8;
  /** Whether model servers refuse runs beyond their slots. */
  bool mKeepsToSlots = false;
  /** Number of events of an item's text. */
  std::function<int(const std::string&)> mEventsOf = EventsOf;
  /** The same for all model servers; none if they differ. */
  std::optional<milliseconds> mEventPause;
  /** Interval at which a live model server writes its record. A record that
   * wasn't written for three of them is removed. None: all records are written
   * at each step. */
  std::optional<milliseconds> mHeartbeat;
  /** Whether nothing listens on the port of a model server that has ended. */
  bool mFreesPorts = false;
  /** Whether sound items that are barred or wait for long are printed as known
   * red instead of failing the run. */
  bool mAreBarredItemsKnownRed = false;
};

/** A model server's record among the servers. */
struct server_heartbeat
{
  std::int64_t mSequence = 0;
  std::int64_t mStartedAt = 0;
  time_point mAt;
};

/** The platform's stand-ins and the real programs that use them. */
class soak_site
{
public:
  soak_site(boost::asio::io_context& aLoop, site_options aOptions);

  /** File of a program's log. */
  static std::string LogPath(const site_options& aOptions,
                             const std::string& aName);

  void StartAll();
  void StartEntry(entry_instance& aEntry);
  void StartAgent(agent_instance& aAgent);
  /** Restarts the programs that have ended, and records a finding for those
   * that the soak hasn't ended. */
  void RestartEnded();
  void PublishVersion();
  void ChangeConfiguration();
  /** Number of kinds of objects that another writer leaves. */
  std::size_t OddObjects() const { return mOddSpecs.size(); }
  /** Writes such an object among those that all programs read. */
  void WriteOddObject(std::size_t aIndex);
  void RemoveOddObjects();
  /** Name of the entry that owns the batch; empty if none is stored. */
  std::string OwnerOf(const std::string& aBatchId) const;
  /** Looks for batches that changed their owner. */
  void NoteOwners();
  /** Runs that the store holds for the items of a batch, by their index. */
  std::map<std::size_t, batches::run_ledger> StoredLedgers(
    const std::string& aBatchId) const;
  /** Whether that start of a model server is over. */
  bool HasEnded(const site::server_start& aServer) const;
  const tests::model_server* FindServer(const std::string& aId) const;
  /** Number of times that a model server ended while it ran the item. */
  int EndsUnder(const std::string& aItem) const;
  /** Path of a route that only the newest configuration has. */
  std::string NewestPath() const;
  /** Clears every fault. */
  void ClearFaults();

  boost::asio::io_context& mLoop;
  site_options mOptions;
  const time_point mStartedAt = boot_clock::now();
  standin::memory_store_state mState;
  standin::store_listener mStore;
  plain_server mPlain;
  reward_server mRewards;
  std::vector<std::unique_ptr<entry_instance>> mEntries;
  std::vector<std::unique_ptr<agent_instance>> mAgents;
  std::int64_t mVersion = 1;
  std::int64_t mConfigurationVersion = 1;
  /** Reports by window; each distinct content once. */
  std::map<std::int64_t, std::set<std::string>> mReports;
  std::vector<std::string> mFindings;
  /** Findings of a fault that KNOWN-RED.txt lists. */
  std::vector<std::string> mKnownRed;
  /** Items that end each server that runs them. */
  std::set<std::string> mMarkedItems;
  /** Times that a batch lost its owner, who may have known of an end that
   * wasn't stored yet. */
  std::map<std::string, int> mLostOwners;
  /** Whether the next item that runs is marked. */
  bool mMarksNext = false;

private:
  void ServeReports(const edge::exchange_ptr& aExchange);
  void WriteConfiguration();
  void WriteServers();
  /** Writes what is due, and removes the records of silent servers. */
  void WriteModelServer(const agent_instance& aAgent);
  /** Notes that the entry has lost what it knew of its batches. */
  void NoteLostEntry(const std::string& aName);

  /** Specs that no server and no trainer writes. */
  std::vector<std::string> mOddSpecs;
  std::map<std::string, std::string> mOwners;
  std::map<std::string, server_heartbeat> mHeartbeats;
  edge::listener mReportListener;
};

} // namespace lavender::soak
