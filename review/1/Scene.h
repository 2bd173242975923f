#pragma once

#include "Libraries/Edge/Caller.h"
#include "Libraries/Edge/Listener.h"
#include "StandIns/ObjectStore/StoreListener.h"
#include "Tests/Soak/Process.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdio>
#include <optional>

/** A small deployment on loopback addresses: the project's own programs as
 * separate processes, and stand-ins of the platform, the servers and the
 * consumers in this process. Times are those of the real clock. */
namespace lavender::review {

/** What the pages call the bounds of the small installations. */
constexpr milliseconds kStableTime{ 3000 };
constexpr milliseconds kAcknowledgeTime{ 4000 };
constexpr milliseconds kCancelTime{ 3000 };
constexpr milliseconds kRecoveryTime{ 12000 };
constexpr milliseconds kHeartbeat{ 1200 };

constexpr char kHost[] = "train.example";
/** Tenants; the key of each is its name and "-key". */
constexpr const char* kTenants[] = { "kaje80", "vopu11", "ruso42", "tilo07",
                                     "mena55", "fiba93", "wodu18", "zeki64" };
constexpr char kModel[] = "minutes";

/** Writes what was sent, answered and run, with the seconds since the start. */
class record
{
public:
  explicit record(const std::string& aPath);
  ~record();
  record(const record&) = delete;
  record& operator=(const record&) = delete;

  void Line(const std::string& aText);

private:
  std::FILE* mFile;
  const time_point mStart = boot_clock::now();
};

/** What the servers saw of one item. */
struct item_history
{
  /** Arrivals at a server that began to work on it. */
  std::vector<time_point> mRuns;
};

/** A model server, as the pages describe it: streams an item's events, answers
 * /report and /order, and turns away what is for another server or too much. It
 * writes to its sockets itself, since a faulty one sends more than one response
 * to a request. */
class model_server
{
public:
  model_server(boost::asio::io_context& aLoop,
               record& aRecord,
               std::string aId,
               std::map<std::string, item_history>& aItems);

  const std::string& Id() const { return mId; }
  std::string Address() const;

  int mSlots = 12;
  /** Number of events of an item. */
  std::function<int(const std::string&)> mEventsOf;
  milliseconds mEventTime{ 50 };
  /** Each so many answers to items one is sent once more, late: on its channel,
   * before the answer to the next request. 0 for never. */
  int mExtraInterval = 0;

private:
  struct channel;
  struct run;
  using channel_ptr = std::shared_ptr<channel>;

  void Accept();
  void Read(const channel_ptr& aChannel);
  void HandleInput(const channel_ptr& aChannel);
  void Serve(const channel_ptr& aChannel, const edge::request& aRequest);
  void ServeOrder(const channel_ptr& aChannel, const edge::request& aRequest);
  void StartRun(const channel_ptr& aChannel, const edge::request& aRequest);
  void WriteNext(const std::shared_ptr<run>& aRun);
  void Finish(const std::shared_ptr<run>& aRun);
  void EndRun(const std::shared_ptr<run>& aRun, const char* aOutcome);
  /** Sends a whole response; the channel is then free for the next request. */
  void Respond(const channel_ptr& aChannel, const edge::response& aResponse);
  static void Write(const channel_ptr& aChannel, const std::string& aBytes);
  static void Flush(const channel_ptr& aChannel);
  static void Close(const channel_ptr& aChannel);
  std::string Report() const;

  boost::asio::io_context& mLoop;
  record& mRecord;
  const std::string mId;
  std::map<std::string, item_history>& mItems;
  boost::asio::ip::tcp::acceptor mAcceptor;
  std::int64_t mVersion = 1;
  std::int64_t mAcceptedOrders = 0;
  int mRunning = 0;
  int mAnswers = 0;
};

/** A plain application server: answers each request with its id. */
class plain_server
{
public:
  explicit plain_server(boost::asio::io_context& aLoop, std::string aId);

  const std::string& Id() const { return mId; }
  std::string Address() const;

private:
  const std::string mId;
  edge::listener mListener;
};

/** One of the project's processes, with the command of the deploy file. */
struct program
{
  std::string mName;
  std::vector<std::string> mCommand;
  soak::process mProcess;
};

struct entry_program : program
{
  edge::endpoint mCallers;
  edge::endpoint mReadiness;
};

struct answer
{
  edge::call_end mEnd = edge::call_end::NotSent;
  unsigned mStatus = 0;
  std::string mBody;

  bool Is(unsigned aStatus) const
  {
    return mEnd == edge::call_end::Complete && mStatus == aStatus;
  }
};

std::string
ToString(const answer& aAnswer);

/** An item of a batch submission. */
struct submitted_item
{
  std::string mId;
  std::string mGroup;
};

class scene
{
public:
  /** @param aFolder where record.txt is written
   * @param aTemporary folder for the processes' output */
  scene(const std::string& aFolder, std::string aTemporary);

  /** Writes the desired state and the servers' entries, starts all processes
   * and waits until every entry is ready.
   * @param aSlots items that a model server runs at once */
  bool Start(int aEntries, int aModelServers, int aSlots, int aPlainServers);
  void StartProgram(program& aProgram);

  /** Runs the event loop, so that the stand-ins work meanwhile. */
  void RunFor(milliseconds aTime);

  /** Sends a request on a new channel and waits for the answer. */
  answer Send(const edge::endpoint& aEntry,
              edge::request aRequest,
              milliseconds aTimeout);
  bool IsReady(const entry_program& aEntry);

  answer Submit(const entry_program& aEntry,
                const std::string& aBatch,
                int aTargetGroups,
                const std::vector<submitted_item>& aItems,
                const char* aTenant = kTenants[0]);
  /** Reads results from a position, as trainers do. */
  answer Read(const entry_program& aEntry,
              const std::string& aBatch,
              std::size_t aAfter,
              const char* aTenant = kTenants[0]);
  answer End(const entry_program& aEntry,
             const std::string& aBatch,
             const char* aTenant = kTenants[0]);
  answer SendSafe(const entry_program& aEntry, const std::string& aId);

  /** Name of the entry that the store holds as a batch's owner. */
  std::string OwnerOf(const std::string& aBatch) const;
  entry_program* FindEntry(const std::string& aName);

  boost::asio::io_context mLoop{ 1 };
  record mRecord;
  standin::memory_store_state mStoreState;
  std::map<std::string, item_history> mItems;
  std::vector<std::unique_ptr<model_server>> mModelServers;
  std::vector<std::unique_ptr<plain_server>> mPlainServers;
  std::vector<std::unique_ptr<entry_program>> mEntries;
  std::vector<std::unique_ptr<program>> mAgents;

private:
  void WriteConfiguration();
  void WriteServers();
  void ScheduleHeartbeat();
  void AddEntry(int aNumber);
  void AddAgent(const std::string& aName, const std::string& aServer);

  const std::string mTemporary;
  standin::store_listener mStore;
  edge::listener mReports;
  boost::asio::steady_timer mHeartbeat;
  std::shared_ptr<edge::client_pool> mClients;
  std::string mStoreAddress;
  std::int64_t mBeats = 0;
  int mAttempts = 0;
};

struct item_result
{
  std::string mState;
  std::string mText;
};

/** Results of a page by item id. */
std::map<std::string, item_result>
ResultsOf(const answer& aPage);

/** The whole output of an item with so many events. */
std::string
WholeText(const std::string& aItem, int aEvents);

/** Whether the disruption is to be left out (TROUBLE=0). */
bool
IsUndisturbed();

/** Exit statuses of a case. */
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

} // namespace lavender::review
