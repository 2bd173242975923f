#pragma once

#include "Duties/Dispatch/AttemptDecision.h"
#include "Duties/Dispatch/IdempotentDecision.h"
#include "Duties/Dispatch/Ledger.h"
#include "Duties/Dispatch/RetryDecision.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

/** A simulation of two entries, two agents with their servers, the network and
 * the Object API, driven by a generated list of numbers. It runs the same
 * decision code as the binaries; only transport and time are simulated. */
namespace lavender::dispatch::model {

/** How often each fault occurred in all histories of a test. */
using fault_counts = std::map<std::string, std::int64_t>;

/** One remote call in flight or its reply. It belongs to one connection, so it
 * reaches only the process that the connection was opened to. */
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
  /** Attempts that the current process is running on the server. */
  std::vector<std::string> mRunning;
};

enum class call_phase
{
  Sending,
  Waiting,
  Writing,
  /** The platform has executed the write, and its response is in transit. */
  Written,
  Reading,
  Ended
};

/** One request at one entry. */
struct submission
{
  std::string mId;
  /** The Idempotency-Key; none without one. */
  std::optional<int> mKey;
  bool mIsRepeatable = false;
  /** The record of the key expired and was removed. */
  bool mIsRecordExpired = false;
  time_point mDeadline;
  std::string mStopReason;
  call_phase mPhase = call_phase::Ended;
  record_step mRecordStep = record_step::Finish;
  call_progress mProgress;
  idempotent_state mIdempotent;
  attempt_ticket mTicket;
  attempt_state mAttempt;
  attempt_decision mDecision;
  int mNumber = 0;
  int mIssuedAttempts = 0;
  platform::write_result mWritten;
  std::optional<call_outcome> mOutcome;
  /** Attempts that ended with an unknown outcome. */
  int mUnknownOutcomes = 0;
};

class simulation
{
public:
  explicit simulation(fault_counts& aFaults);

  /** Performs one simulation step, chosen by the number. */
  void Step(std::uint32_t aChoice);
  /** Delivers all messages in flight and runs all queued requests, while each
   * run is checked against the outcomes told to callers.
   * @return the first violated invariant; empty if there is none */
  std::string Check();
  /** First violated invariant so far; empty if there is none. */
  const std::string& Violation() const { return mViolation; }

private:
  void StartCall(std::uint32_t aChoice);
  void AdvanceTime(std::uint32_t aChoice);
  void RemoveRecords();
  void Restart(std::uint32_t aChoice);
  void RunServer(std::uint32_t aChoice);
  void EndRun(std::uint32_t aChoice);
  void AdvanceCall(std::uint32_t aChoice);
  void DeliverMessage(std::uint32_t aChoice);
  void DisturbNetwork(std::uint32_t aChoice);
  void TimeOut(std::uint32_t aChoice);
  void EndEntry(std::uint32_t aChoice);
  void StopCall(std::uint32_t aChoice);

  agent MakeAgent(std::size_t aServer, int aProcess) const;
  void Issue(submission& aCall, std::uint32_t aChoice);
  void BeginAttempt(submission& aCall, attempt_role aRole);
  void Send(std::size_t aCall, std::uint32_t aChoice);
  void HandleEvent(submission& aCall,
                   wire::wire_state aState,
                   wire::dispatch_reply aReply);
  void EndAttempt(submission& aCall, const call_outcome& aOutcome);
  void ApplyRecordStep(submission& aCall, record_step aStep);
  void Write(submission& aCall, std::uint32_t aChoice);
  void ReadBack(submission& aCall, std::uint32_t aChoice);
  void EndCall(submission& aCall, const call_outcome& aOutcome);
  wire::dispatch_reply Serve(const message& aMessage);
  void CountRun(const std::string& aAttempt);
  void CheckInvariant(bool aHolds, const std::string& aViolation);
  std::string RequestOf(const std::string& aAttempt) const;

  fault_counts& mFaults;
  std::string mViolation;
  time_point mNow;
  attempt_limits mLimits;
  std::vector<agent> mAgents;
  std::vector<submission> mCalls;
  std::vector<message> mMessages;
  std::map<int, platform::stored_object> mStore;
  std::int64_t mRevision = 0;
  /** Oracle: the runs that actually took place. */
  std::map<std::string, int> mRunsByAttempt;
  std::map<std::string, int> mRunsByRequest;
  std::map<int, int> mRunsByKey;
};

} // namespace lavender::dispatch::model
