#pragma once

#include "Duties/Dispatch/AttemptDecision.h"
#include "Duties/Dispatch/IdempotentDecision.h"
#include "Duties/Dispatch/Ledger.h"
#include "Duties/Dispatch/RetryDecision.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

/** A model of two entries, two agents with their servers, the network and the
 * Object API, driven by a generated list of numbers. The decision code is the
 * one that the binaries run; only transport and time are modelled. */
namespace lavender::dispatch::model {

/** How often each fault came about over all histories of one test. */
using fault_counts = std::map<std::string, std::int64_t>;

/** One remote call in flight, or its reply. It belongs to one connection, so
 * it can reach only the process that the connection was opened to. */
struct message
{
  std::size_t mCall = 0;
  int mNumber = 0;
  std::size_t mServer = 0;
  int mProcess = 0;
  attempt_step mStep = attempt_step::Await;
  wire::dispatch_order mOrder;
  std::optional<wire::dispatch_reply> mReply;
};

struct agent
{
  int mProcess = 1;
  bool mIsListening = true;
  ledger mLedger;
  /** Attempts that run on the server for the present process. */
  std::vector<std::string> mRunning;
};

enum class call_phase
{
  Sending,
  Waiting,
  Writing,
  /** The platform carried the write out, and its answer is on the way. */
  Written,
  Reading,
  Over
};

/** One request at one entry. */
struct submission
{
  std::string mId;
  /** Requests with the same Idempotency-Key; none without one. */
  std::optional<int> mKey;
  bool mIsRepeatable = false;
  /** The record of its key was removed after its time. */
  bool mIsKeyForgotten = false;
  time_point mDeadline;
  std::string mStopReason;
  call_phase mPhase = call_phase::Over;
  record_step mRecordStep = record_step::Finish;
  call_progress mProgress;
  idempotent_state mIdempotent;
  attempt_ticket mTicket;
  attempt_state mAttempt;
  attempt_decision mDecision;
  int mNumber = 0;
  int mIssued = 0;
  platform::write_result mWritten;
  std::optional<call_outcome> mOutcome;
  /** Attempts that ended with an unknown outcome. */
  int mUnknown = 0;
};

class world
{
public:
  explicit world(fault_counts& aFaults);

  /** Does one thing, chosen by the number. */
  void Step(std::uint32_t aChoice);
  /** Delivers all that is still under way and runs all that is queued, then
   * holds every promise made against the runs. Empty when all were kept. */
  std::string Check();
  /** First broken promise so far; empty when there is none. */
  const std::string& Fault() const { return mFault; }

private:
  void StartCall(std::uint32_t aChoice);
  void Advance(std::uint32_t aChoice);
  void RemoveRecords();
  void Restart(std::uint32_t aChoice);
  void RunServer(std::uint32_t aChoice);
  void EndRun(std::uint32_t aChoice);
  void Progress(std::uint32_t aChoice);
  void DeliverMessage(std::uint32_t aChoice);
  void DisturbNetwork(std::uint32_t aChoice);
  void TimeOut(std::uint32_t aChoice);
  void EndEntry(std::uint32_t aChoice);
  void StopCall(std::uint32_t aChoice);

  agent MakeAgent(std::size_t aServer, int aProcess) const;
  void Issue(submission& aCall, std::uint32_t aChoice);
  void BeginAttempt(submission& aCall, attempt_role aRole);
  void Send(std::size_t aCall, std::uint32_t aChoice);
  void TakeEvent(submission& aCall,
                 wire::wire_state aState,
                 wire::dispatch_reply aReply);
  void EndAttempt(submission& aCall, const call_outcome& aOutcome);
  void TakeRecordStep(submission& aCall, record_step aStep);
  void Write(submission& aCall, std::uint32_t aChoice);
  void ReadBack(submission& aCall, std::uint32_t aChoice);
  void EndCall(submission& aCall, const call_outcome& aOutcome);
  wire::dispatch_reply Serve(const message& aMessage);
  void CountRun(const std::string& aAttempt);
  void Claim(bool aHolds, const std::string& aPromise);
  std::string RequestOf(const std::string& aAttempt) const;

  fault_counts& mFaults;
  std::string mFault;
  time_point mNow;
  attempt_limits mLimits;
  std::vector<agent> mAgents;
  std::vector<submission> mCalls;
  std::vector<message> mMessages;
  std::map<int, platform::stored_object> mStore;
  std::int64_t mRevision = 0;
  /** The oracle: what truly ran. */
  std::map<std::string, int> mRunsByAttempt;
  std::map<std::string, int> mRunsByRequest;
  std::map<int, int> mRunsByKey;
};

} // namespace lavender::dispatch::model
