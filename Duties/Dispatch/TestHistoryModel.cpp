#include "Duties/Dispatch/TestHistoryModel.h"

#include <algorithm>

namespace lavender::dispatch::model {
namespace {

using wire::run_state;
using wire::wire_state;
using namespace std::chrono_literals;

constexpr std::size_t kMaximumCalls = 12;
constexpr int kKeys = 2;
/** Retention of records; longer than any deadline in the simulation, as in the
 * binaries. */
constexpr milliseconds kRecordRetention = 3600000ms;

std::string
IncarnationOf(std::size_t aServer, int aProcess)
{
  return std::to_string(aServer) + "/" + std::to_string(aProcess);
}

} // namespace

simulation::simulation(fault_counts& aFaults)
  : mFaults(aFaults)
  , mNow(1000s)
{
  for (std::size_t i = 0; i < 2; ++i) {
    mAgents.push_back(MakeAgent(i, 1));
  }
}

agent
simulation::MakeAgent(std::size_t aServer, int aProcess) const
{
  agent created;
  created.mProcess = aProcess;
  created.mLedger.mIncarnation = IncarnationOf(aServer, aProcess);
  auto& limits = created.mLedger.mLimits;
  limits.mMaximumQueued = 2;
  limits.mSlots = 1;
  limits.mMaximumEnded = 2;
  limits.mMaximumResultBytes = 16;
  return created;
}

void
simulation::Step(std::uint32_t aChoice)
{
  struct weighted
  {
    std::uint32_t mWeight;
    void (simulation::*mHandler)(std::uint32_t);
  };
  // Common steps have higher weights, so that calls make progress.
  static constexpr weighted kSteps[] = {
    { 8, &simulation::StartCall },       { 30, &simulation::AdvanceCall },
    { 30, &simulation::DeliverMessage }, { 12, &simulation::RunServer },
    { 12, &simulation::EndRun },         { 6, &simulation::TimeOut },
    { 8, &simulation::DisturbNetwork },  { 3, &simulation::AdvanceTime },
    { 2, &simulation::Restart },         { 1, &simulation::EndEntry },
    { 1, &simulation::StopCall }
  };
  constexpr std::uint32_t kWeights = 113;
  auto remaining = aChoice % kWeights;
  for (const auto& step : kSteps) {
    if (remaining < step.mWeight) {
      (this->*step.mHandler)(aChoice / kWeights);
      return;
    }
    remaining -= step.mWeight;
  }
}

void
simulation::StartCall(std::uint32_t aChoice)
{
  if (mCalls.size() >= kMaximumCalls) {
    return;
  }
  submission call;
  call.mId = "r" + std::to_string(mCalls.size());
  call.mDeadline = mNow + (aChoice % 2 == 0 ? 10s : 100s);
  const auto sort = aChoice / 2 % 4;
  if (sort >= 2) {
    call.mKey = static_cast<int>(sort) % kKeys;
  }
  call.mIsRepeatable = sort == 0;
  call.mProgress.mIsRepeatable = call.mIsRepeatable;
  mCalls.push_back(call);
  auto& created = mCalls.back();
  Issue(created, aChoice / 8);
  if (created.mKey) {
    ApplyRecordStep(created, Begin(created.mIdempotent, "same request"));
  } else {
    BeginAttempt(created, attempt_role::Owner);
  }
}

void
simulation::Issue(submission& aCall, std::uint32_t aChoice)
{
  const std::size_t server = aChoice % mAgents.size();
  // The entry may address an agent process that no longer runs, and its
  // estimate of the agent's clock may be behind the true time.
  auto process = mAgents[server].mProcess;
  if (aChoice / 2 % 8 == 0 && process > 1) {
    --process;
  }
  const auto stamp = mNow - milliseconds(aChoice / 16 % 3 * 400);
  aCall.mTicket = { aCall.mId + "." + std::to_string(++aCall.mIssuedAttempts),
                    std::to_string(server),
                    IncarnationOf(server, process),
                    std::chrono::duration_cast<milliseconds>(
                      stamp.time_since_epoch()) };
}

void
simulation::BeginAttempt(submission& aCall, attempt_role aRole)
{
  const auto& ticket = aRole == attempt_role::Owner
                         ? aCall.mTicket
                         : aCall.mIdempotent.mExistingRecord.mTicket;
  aCall.mAttempt = {};
  aCall.mAttempt.mRole = aRole;
  aCall.mAttempt.mIncarnation = ticket.mIncarnation;
  aCall.mAttempt.mDeadline = aCall.mDeadline;
  aCall.mDecision = Begin(mLimits, aCall.mAttempt, mNow);
  aCall.mPhase = call_phase::Sending;
}

void
simulation::AdvanceCall(std::uint32_t aChoice)
{
  if (mCalls.empty()) {
    return;
  }
  const std::size_t index = aChoice % mCalls.size();
  auto& call = mCalls[index];
  const auto choice = aChoice / kMaximumCalls;
  if (call.mPhase == call_phase::Sending) {
    Send(index, choice);
  } else if (call.mPhase == call_phase::Writing) {
    Write(call, choice);
  } else if (call.mPhase == call_phase::Written) {
    ApplyRecordStep(call, ApplyWrite(call.mIdempotent, call.mWritten));
  } else if (call.mPhase == call_phase::Reading) {
    ReadBack(call, choice);
  }
}

void
simulation::Send(std::size_t aCall, std::uint32_t aChoice)
{
  auto& call = mCalls[aCall];
  const bool isOwner = call.mAttempt.mRole == attempt_role::Owner;
  const auto& ticket =
    isOwner ? call.mTicket : call.mIdempotent.mExistingRecord.mTicket;
  const std::size_t server = std::stoul(ticket.mServerName);
  if (!mAgents[server].mIsListening) {
    ++mFaults["connection_refused"];
    HandleEvent(call, wire_state::Refused, {});
    return;
  }
  if (aChoice % 16 == 0) {
    ++mFaults["connection_timed_out"];
    mNow += 1s;
    HandleEvent(call, wire_state::NotSent, {});
    return;
  }
  message sent;
  sent.mCall = aCall;
  sent.mNumber = ++call.mNumber;
  sent.mServer = server;
  sent.mProcess = mAgents[server].mProcess;
  sent.mStep = call.mDecision.mStep;
  sent.mOrder.request_id = ticket.mId;
  sent.mOrder.agent_incarnation = ticket.mIncarnation;
  sent.mOrder.issued_at_ms = ticket.mIssuedAt.count();
  sent.mOrder.deadline_left_ms =
    std::chrono::duration_cast<milliseconds>(call.mDeadline - mNow).count();
  mMessages.push_back(std::move(sent));
  call.mPhase = call_phase::Waiting;
}

void
simulation::DeliverMessage(std::uint32_t aChoice)
{
  if (mMessages.empty()) {
    return;
  }
  const std::size_t index = aChoice % mMessages.size();
  auto arrived = mMessages[index];
  mMessages.erase(mMessages.begin() + static_cast<std::ptrdiff_t>(index));
  if (index > 0) {
    ++mFaults["reordered"];
  }
  auto& call = mCalls[arrived.mCall];
  if (!arrived.mReply) {
    if (mAgents[arrived.mServer].mProcess != arrived.mProcess) {
      ++mFaults["lost_with_its_process"];
      return;
    }
    if (call.mNumber != arrived.mNumber) {
      ++mFaults["arrived_after_its_timeout"];
    }
    arrived.mReply = Serve(arrived);
    mMessages.push_back(std::move(arrived));
    return;
  }
  const bool isAwaited =
    call.mPhase == call_phase::Waiting && call.mNumber == arrived.mNumber;
  if (isAwaited) {
    HandleEvent(call, wire_state::Answered, *arrived.mReply);
  } else {
    // The entry closed the connection when it stopped waiting.
    ++mFaults["late_answer"];
  }
}

wire::dispatch_reply
simulation::Serve(const message& aMessage)
{
  auto& ledger = mAgents[aMessage.mServer].mLedger;
  const auto& order = aMessage.mOrder;
  wire::dispatch_reply reply;
  reply.agent_incarnation = ledger.mIncarnation;
  request_status status;
  if (aMessage.mStep == attempt_step::Dispatch) {
    status = Admit(ledger, order, mNow);
  } else if (order.agent_incarnation != ledger.mIncarnation) {
    ++mFaults["asked_a_successor"];
  } else if (aMessage.mStep == attempt_step::Await) {
    status = Query(ledger, order.request_id, mNow);
  } else {
    const time_point issuedAt{ milliseconds(order.issued_at_ms) };
    status = Cancel(ledger, order.request_id, issuedAt, mNow);
  }
  reply.state = status.mState;
  reply.reason = status.mReason;
  if (status.mState == run_state::FINISHED) {
    reply.__set_result(ledger.mRows.at(order.request_id).mResult);
  }
  if (!status.mReason.empty()) {
    ++mFaults[status.mReason];
  }
  return reply;
}

void
simulation::HandleEvent(submission& aCall,
                        wire_state aState,
                        wire::dispatch_reply aReply)
{
  attempt_event event;
  event.mWire = aState;
  event.mReply = std::move(aReply);
  event.mNow = mNow;
  event.mStopReason = aCall.mStopReason;
  aCall.mDecision = Decide(mLimits, aCall.mAttempt, std::move(event));
  aCall.mPhase = call_phase::Sending;
  if (aCall.mDecision.mStep == attempt_step::Finish) {
    EndAttempt(aCall, aCall.mDecision.mOutcome);
  }
}

void
simulation::EndAttempt(submission& aCall, const call_outcome& aOutcome)
{
  const bool isOwner = aCall.mAttempt.mRole == attempt_role::Owner;
  if (aOutcome.mRan == ran::OutcomeUnknown) {
    ++aCall.mUnknownOutcomes;
  }
  if (aCall.mKey) {
    ApplyRecordStep(aCall,
                    isOwner
                      ? ApplyOwnOutcome(aCall.mIdempotent, aOutcome)
                      : ApplyExistingOutcome(aCall.mIdempotent, aOutcome));
    return;
  }
  if (ApplyAttemptOutcome(aCall.mProgress, aOutcome) &&
      aCall.mStopReason.empty()) {
    ++mFaults["retried"];
    Issue(aCall, static_cast<std::uint32_t>(aCall.mIssuedAttempts) + 2);
    BeginAttempt(aCall, attempt_role::Owner);
    return;
  }
  EndCall(aCall, FinalOutcome(aCall.mProgress, aOutcome));
}

void
simulation::ApplyRecordStep(submission& aCall, record_step aStep)
{
  aCall.mRecordStep = aStep;
  switch (aStep) {
    case record_step::WriteNew:
      if (aCall.mIssuedAttempts > 1 ||
          aCall.mIdempotent.mProgress.mAttempts > 0) {
        ++mFaults["record_replaced"];
        Issue(aCall, static_cast<std::uint32_t>(aCall.mIssuedAttempts) + 2);
      }
      aCall.mIdempotent.mOwnRecord.mTicket = aCall.mTicket;
      aCall.mIdempotent.mOwnRecord.mFingerprint =
        aCall.mIdempotent.mFingerprint;
      [[fallthrough]];
    case record_step::WriteAgain:
      aCall.mPhase = call_phase::Writing;
      return;
    case record_step::ReadBack:
      aCall.mPhase = call_phase::Reading;
      return;
    case record_step::RunOwn:
      BeginAttempt(aCall, attempt_role::Owner);
      return;
    case record_step::FollowExisting:
      ++mFaults["followed_another"];
      BeginAttempt(aCall, attempt_role::Follower);
      return;
    case record_step::Finish:
      EndCall(aCall, aCall.mIdempotent.mOutcome);
      return;
  }
}

void
simulation::Write(submission& aCall, std::uint32_t aChoice)
{
  aCall.mPhase = call_phase::Written;
  auto& written = aCall.mWritten;
  written = {};
  if (aChoice % 8 == 0) {
    ++mFaults["platform_gave_no_answer"];
    written.mState = platform::write_state::Unknown;
    if (aChoice / 8 % 2 == 0) {
      return;
    }
    ++mFaults["answer_lost_after_the_write"];
  }
  const auto found = mStore.find(*aCall.mKey);
  const auto present = found == mStore.end() ? 0 : found->second.mRevision;
  const bool isLost = written.mState == platform::write_state::Unknown;
  if (present != aCall.mIdempotent.mExpectedRevision) {
    if (!isLost) {
      written.mState = platform::write_state::Conflict;
      if (found != mStore.end()) {
        written.mCurrent = found->second;
      }
    }
    return;
  }
  auto& object = mStore[*aCall.mKey];
  object.mRevision = ++mRevision;
  object.mValue = ToValue(aCall.mIdempotent.mOwnRecord);
  if (!isLost) {
    written.mState = platform::write_state::Done;
    written.mRevision = object.mRevision;
  }
}

void
simulation::ReadBack(submission& aCall, std::uint32_t aChoice)
{
  platform::read_result read;
  if (aChoice % 8 != 0) {
    const auto found = mStore.find(*aCall.mKey);
    read.mState = found == mStore.end() ? platform::read_state::Absent
                                        : platform::read_state::Found;
    if (found != mStore.end()) {
      read.mObject = found->second;
    }
  }
  ApplyRecordStep(aCall, ApplyRead(aCall.mIdempotent, read));
}

void
simulation::RunServer(std::uint32_t aChoice)
{
  auto& agent = mAgents[aChoice % mAgents.size()];
  const auto order = StartNextRun(agent.mLedger, mNow);
  if (!order) {
    return;
  }
  if (aChoice / 2 % 8 == 0) {
    ++mFaults["server_refused_the_connection"];
    Finish(agent.mLedger,
           order->request_id,
           run_state::NOT_RUN,
           "server_unreachable",
           {},
           mNow);
    return;
  }
  CountRun(order->request_id);
  agent.mRunning.push_back(order->request_id);
}

void
simulation::EndRun(std::uint32_t aChoice)
{
  auto& agent = mAgents[aChoice % mAgents.size()];
  if (agent.mRunning.empty()) {
    return;
  }
  const auto id = agent.mRunning.back();
  agent.mRunning.pop_back();
  const bool isCut = aChoice / 2 % 8 == 0;
  mFaults["answer_cut"] += isCut ? 1 : 0;
  wire::run_result result;
  result.body = isCut ? "" : "answer to " + RequestOf(id);
  Finish(agent.mLedger,
         id,
         isCut ? run_state::OUTCOME_UNKNOWN : run_state::FINISHED,
         isCut ? "answer_cut_short" : "",
         result,
         mNow);
}

void
simulation::DisturbNetwork(std::uint32_t aChoice)
{
  if (mMessages.empty()) {
    return;
  }
  const std::size_t index = aChoice / 2 % mMessages.size();
  if (aChoice % 2 == 0) {
    ++mFaults["doubled"];
    mMessages.push_back(mMessages[index]);
  } else {
    ++mFaults["dropped"];
    mMessages.erase(mMessages.begin() + static_cast<std::ptrdiff_t>(index));
  }
}

void
simulation::TimeOut(std::uint32_t aChoice)
{
  if (mCalls.empty()) {
    return;
  }
  auto& call = mCalls[aChoice % mCalls.size()];
  if (call.mPhase == call_phase::Waiting) {
    ++mFaults["silence"];
    mNow += call.mDecision.mTimeout;
    ++call.mNumber;
    HandleEvent(call, wire_state::Unknown, {});
  }
}

void
simulation::AdvanceTime(std::uint32_t aChoice)
{
  static constexpr milliseconds kSpans[] = { 10ms,     600ms,   6000ms,
                                             40000ms,  70000ms, 700000ms,
                                             3700000ms };
  constexpr std::uint32_t kCount = sizeof kSpans / sizeof *kSpans;
  const auto span = kSpans[aChoice % kCount];
  mNow += span;
  for (auto& agent : mAgents) {
    RemoveExpired(agent.mLedger, mNow);
  }
  if (span > kRecordRetention && !mStore.empty()) {
    RemoveRecords();
  }
}

void
simulation::RemoveRecords()
{
  ++mFaults["records_removed"];
  mStore.clear();
  mRunsByKey.clear();
  for (auto& call : mCalls) {
    call.mIsRecordExpired = true;
  }
}

void
simulation::Restart(std::uint32_t aChoice)
{
  const std::size_t server = aChoice / 4 % mAgents.size();
  auto& agent = mAgents[server];
  if (aChoice % 4 == 0) {
    agent.mLedger.mIsDraining = true;
    RefuseQueued(agent.mLedger, "draining", mNow);
  } else if (agent.mIsListening && aChoice % 4 == 1) {
    ++mFaults["agent_died"];
    agent.mIsListening = false;
    ++agent.mProcess;
  } else {
    ++mFaults["agent_restarted"];
    agent = MakeAgent(server, agent.mProcess + 1);
  }
}

void
simulation::EndEntry(std::uint32_t aChoice)
{
  for (std::size_t i = aChoice % 2; i < mCalls.size(); i += 2) {
    if (mCalls[i].mPhase != call_phase::Ended) {
      ++mFaults["entry_died"];
      mCalls[i].mPhase = call_phase::Ended;
    }
  }
}

void
simulation::StopCall(std::uint32_t aChoice)
{
  if (!mCalls.empty()) {
    ++mFaults["stopped"];
    mCalls[aChoice % mCalls.size()].mStopReason = "key_withdrawn";
  }
}

std::string
simulation::RequestOf(const std::string& aAttempt) const
{
  return aAttempt.substr(0, aAttempt.find('.'));
}

void
simulation::CountRun(const std::string& aAttempt)
{
  const auto request = RequestOf(aAttempt);
  const auto call = std::find_if(mCalls.begin(), mCalls.end(), [&](auto& aOne) {
    return aOne.mId == request;
  });
  CheckInvariant(++mRunsByAttempt[aAttempt] <= 1,
                 "attempt ran twice: " + aAttempt);
  const int runs = ++mRunsByRequest[request];
  CheckInvariant(runs <= 1 || call->mIsRepeatable,
                 "request ran twice though it may not be repeated: " + request);
  CheckInvariant(runs <= 1 + call->mUnknownOutcomes,
                 "request ran again without an unknown outcome before: " +
                   request);
  if (call->mKey) {
    CheckInvariant(++mRunsByKey[*call->mKey] <= 1,
                   "two runs for one Idempotency-Key, second by " + aAttempt);
  }
  const bool isToldNotRun =
    call->mOutcome && call->mOutcome->mRan == ran::NotRun;
  CheckInvariant(!isToldNotRun,
                 "ran after its caller was told not run: " + aAttempt);
}

void
simulation::EndCall(submission& aCall, const call_outcome& aOutcome)
{
  aCall.mPhase = call_phase::Ended;
  aCall.mOutcome = aOutcome;
  const int runs = mRunsByRequest[aCall.mId];
  if (aOutcome.mRan == ran::NotRun) {
    ++mFaults["told_not_run"];
    CheckInvariant(runs == 0, "told not run though it ran: " + aCall.mId);
  } else if (aOutcome.mRan == ran::Ran) {
    ++mFaults["told_answer"];
    const auto& body = aOutcome.mResult.body;
    if (aCall.mKey && aCall.mIsRecordExpired) {
      CheckInvariant(body.rfind("answer to r", 0) == 0,
                     "no answer: " + aCall.mId);
    } else if (aCall.mKey) {
      CheckInvariant(mRunsByKey[*aCall.mKey] == 1 &&
                       body.rfind("answer to r", 0) == 0,
                     "answer without a run for the key: " + aCall.mId);
    } else {
      CheckInvariant(body == "answer to " + aCall.mId,
                     "another's answer: " + aCall.mId);
    }
  } else {
    ++mFaults["told_unknown"];
  }
}

void
simulation::CheckInvariant(bool aHolds, const std::string& aViolation)
{
  if (!aHolds && mViolation.empty()) {
    mViolation = aViolation;
  }
}

std::string
simulation::Check()
{
  for (int i = 0; i < 400 && !mMessages.empty(); ++i) {
    DeliverMessage(0);
    RunServer(2);
    RunServer(3);
    EndRun(2);
    EndRun(3);
  }
  return mViolation;
}

} // namespace lavender::dispatch::model
