#include "Duties/Dispatch/TestHistoryModel.h"

#include <algorithm>

namespace lavender::dispatch::model {
namespace {

using wire::run_state;
using wire::wire_state;
using namespace std::chrono_literals;

constexpr std::size_t kMaximumCalls = 12;
constexpr int kKeys = 2;
/** Longer than any deadline in the model, as in the binaries. */
constexpr milliseconds kKeepRecords = 3600000ms;

std::string
IncarnationOf(std::size_t aServer, int aProcess)
{
  return std::to_string(aServer) + "/" + std::to_string(aProcess);
}

} // namespace

world::world(fault_counts& aFaults)
  : mFaults(aFaults)
  , mNow(1000s)
{
  for (std::size_t i = 0; i < 2; ++i) {
    mAgents.push_back(MakeAgent(i, 1));
  }
}

agent
world::MakeAgent(std::size_t aServer, int aProcess) const
{
  agent made;
  made.mProcess = aProcess;
  made.mLedger.mIncarnation = IncarnationOf(aServer, aProcess);
  auto& limits = made.mLedger.mLimits;
  limits.mMaximumQueued = 2;
  limits.mSlots = 1;
  limits.mMaximumEnded = 2;
  limits.mMaximumAnswerBytes = 16;
  return made;
}

void
world::Step(std::uint32_t aChoice)
{
  struct weighted
  {
    std::uint32_t mWeight;
    void (world::*mHandler)(std::uint32_t);
  };
  // Common things stand several times, so that histories get somewhere.
  static constexpr weighted kSteps[] = {
    { 8, &world::StartCall },       { 30, &world::Progress },
    { 30, &world::DeliverMessage }, { 12, &world::RunServer },
    { 12, &world::EndRun },         { 6, &world::TimeOut },
    { 8, &world::DisturbNetwork },  { 3, &world::Advance },
    { 2, &world::Restart },         { 1, &world::EndEntry },
    { 1, &world::StopCall }
  };
  constexpr std::uint32_t kWeights = 113;
  auto ticket = aChoice % kWeights;
  for (const auto& step : kSteps) {
    if (ticket < step.mWeight) {
      (this->*step.mHandler)(aChoice / kWeights);
      return;
    }
    ticket -= step.mWeight;
  }
}

void
world::StartCall(std::uint32_t aChoice)
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
  auto& made = mCalls.back();
  Issue(made, aChoice / 8);
  if (made.mKey) {
    TakeRecordStep(made, Begin(made.mIdempotent, "same request"));
  } else {
    BeginAttempt(made, attempt_role::Owner);
  }
}

void
world::Issue(submission& aCall, std::uint32_t aChoice)
{
  const std::size_t server = aChoice % mAgents.size();
  // The entry may still believe in a process that is gone, and reckons the
  // agent's clock a little late.
  auto process = mAgents[server].mProcess;
  if (aChoice / 2 % 8 == 0 && process > 1) {
    --process;
  }
  const auto stamp = mNow - milliseconds(aChoice / 16 % 3 * 400);
  aCall.mTicket = { aCall.mId + "." + std::to_string(++aCall.mIssued),
                    std::to_string(server),
                    IncarnationOf(server, process),
                    std::chrono::duration_cast<milliseconds>(
                      stamp.time_since_epoch()) };
}

void
world::BeginAttempt(submission& aCall, attempt_role aRole)
{
  const auto& ticket = aRole == attempt_role::Owner
                         ? aCall.mTicket
                         : aCall.mIdempotent.mKept.mTicket;
  aCall.mAttempt = {};
  aCall.mAttempt.mRole = aRole;
  aCall.mAttempt.mIncarnation = ticket.mIncarnation;
  aCall.mAttempt.mDeadline = aCall.mDeadline;
  aCall.mDecision = Begin(mLimits, aCall.mAttempt, mNow);
  aCall.mPhase = call_phase::Sending;
}

void
world::Progress(std::uint32_t aChoice)
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
    TakeRecordStep(call, TakeWrite(call.mIdempotent, call.mWritten));
  } else if (call.mPhase == call_phase::Reading) {
    ReadBack(call, choice);
  }
}

void
world::Send(std::size_t aCall, std::uint32_t aChoice)
{
  auto& call = mCalls[aCall];
  const bool isOwner = call.mAttempt.mRole == attempt_role::Owner;
  const auto& ticket = isOwner ? call.mTicket : call.mIdempotent.mKept.mTicket;
  const std::size_t server = std::stoul(ticket.mServerName);
  if (!mAgents[server].mIsListening) {
    ++mFaults["connection_refused"];
    TakeEvent(call, wire_state::Refused, {});
    return;
  }
  if (aChoice % 16 == 0) {
    ++mFaults["connection_timed_out"];
    mNow += 1s;
    TakeEvent(call, wire_state::NotSent, {});
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
world::DeliverMessage(std::uint32_t aChoice)
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
    TakeEvent(call, wire_state::Answered, *arrived.mReply);
  } else {
    // Its connection was closed when the entry stopped waiting.
    ++mFaults["late_answer"];
  }
}

wire::dispatch_reply
world::Serve(const message& aMessage)
{
  auto& ledger = mAgents[aMessage.mServer].mLedger;
  const auto& order = aMessage.mOrder;
  wire::dispatch_reply reply;
  reply.agent_incarnation = ledger.mIncarnation;
  ledger_answer answer;
  if (aMessage.mStep == attempt_step::Dispatch) {
    answer = Admit(ledger, order, mNow);
  } else if (order.agent_incarnation != ledger.mIncarnation) {
    ++mFaults["asked_a_successor"];
  } else if (aMessage.mStep == attempt_step::Await) {
    answer = Ask(ledger, order.request_id, mNow);
  } else {
    const time_point issuedAt{ milliseconds(order.issued_at_ms) };
    answer = Cancel(ledger, order.request_id, issuedAt, mNow);
  }
  reply.state = answer.mState;
  reply.reason = answer.mReason;
  if (answer.mState == run_state::FINISHED) {
    reply.__set_result(ledger.mRows.at(order.request_id).mResult);
  }
  if (!answer.mReason.empty()) {
    ++mFaults[answer.mReason];
  }
  return reply;
}

void
world::TakeEvent(submission& aCall,
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
world::EndAttempt(submission& aCall, const call_outcome& aOutcome)
{
  const bool isOwner = aCall.mAttempt.mRole == attempt_role::Owner;
  if (aOutcome.mRan == ran::OutcomeUnknown) {
    ++aCall.mUnknown;
  }
  if (aCall.mKey) {
    TakeRecordStep(aCall,
                   isOwner ? TakeOwnEnd(aCall.mIdempotent, aOutcome)
                           : TakeKeptEnd(aCall.mIdempotent, aOutcome));
    return;
  }
  if (TakeAttempt(aCall.mProgress, aOutcome) && aCall.mStopReason.empty()) {
    ++mFaults["retried"];
    Issue(aCall, static_cast<std::uint32_t>(aCall.mIssued) + 2);
    BeginAttempt(aCall, attempt_role::Owner);
    return;
  }
  EndCall(aCall, Conclude(aCall.mProgress, aOutcome));
}

void
world::TakeRecordStep(submission& aCall, record_step aStep)
{
  aCall.mRecordStep = aStep;
  switch (aStep) {
    case record_step::WriteNew:
      if (aCall.mIssued > 1 || aCall.mIdempotent.mProgress.mAttempts > 0) {
        ++mFaults["record_replaced"];
        Issue(aCall, static_cast<std::uint32_t>(aCall.mIssued) + 2);
      }
      aCall.mIdempotent.mOwn.mTicket = aCall.mTicket;
      aCall.mIdempotent.mOwn.mFingerprint = aCall.mIdempotent.mFingerprint;
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
    case record_step::FollowKept:
      ++mFaults["followed_another"];
      BeginAttempt(aCall, attempt_role::Follower);
      return;
    case record_step::Finish:
      EndCall(aCall, aCall.mIdempotent.mOutcome);
      return;
  }
}

void
world::Write(submission& aCall, std::uint32_t aChoice)
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
  object.mValue = ToValue(aCall.mIdempotent.mOwn);
  if (!isLost) {
    written.mState = platform::write_state::Done;
    written.mRevision = object.mRevision;
  }
}

void
world::ReadBack(submission& aCall, std::uint32_t aChoice)
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
  TakeRecordStep(aCall, TakeRead(aCall.mIdempotent, read));
}

void
world::RunServer(std::uint32_t aChoice)
{
  auto& agent = mAgents[aChoice % mAgents.size()];
  const auto order = TakeNext(agent.mLedger, mNow);
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
world::EndRun(std::uint32_t aChoice)
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
world::DisturbNetwork(std::uint32_t aChoice)
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
world::TimeOut(std::uint32_t aChoice)
{
  if (mCalls.empty()) {
    return;
  }
  auto& call = mCalls[aChoice % mCalls.size()];
  if (call.mPhase == call_phase::Waiting) {
    ++mFaults["silence"];
    mNow += call.mDecision.mTimeout;
    ++call.mNumber;
    TakeEvent(call, wire_state::Unknown, {});
  }
}

void
world::Advance(std::uint32_t aChoice)
{
  static constexpr milliseconds kSpans[] = { 10ms,     600ms,   6000ms,
                                             40000ms,  70000ms, 700000ms,
                                             3700000ms };
  constexpr std::uint32_t kCount = sizeof kSpans / sizeof *kSpans;
  const auto span = kSpans[aChoice % kCount];
  mNow += span;
  for (auto& agent : mAgents) {
    Sweep(agent.mLedger, mNow);
  }
  if (span > kKeepRecords && !mStore.empty()) {
    RemoveRecords();
  }
}

void
world::RemoveRecords()
{
  ++mFaults["records_removed"];
  mStore.clear();
  mRunsByKey.clear();
  for (auto& call : mCalls) {
    call.mIsKeyForgotten = true;
  }
}

void
world::Restart(std::uint32_t aChoice)
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
world::EndEntry(std::uint32_t aChoice)
{
  for (std::size_t i = aChoice % 2; i < mCalls.size(); i += 2) {
    if (mCalls[i].mPhase != call_phase::Over) {
      ++mFaults["entry_died"];
      mCalls[i].mPhase = call_phase::Over;
    }
  }
}

void
world::StopCall(std::uint32_t aChoice)
{
  if (!mCalls.empty()) {
    ++mFaults["stopped"];
    mCalls[aChoice % mCalls.size()].mStopReason = "key_withdrawn";
  }
}

std::string
world::RequestOf(const std::string& aAttempt) const
{
  return aAttempt.substr(0, aAttempt.find('.'));
}

void
world::CountRun(const std::string& aAttempt)
{
  const auto request = RequestOf(aAttempt);
  const auto call = std::find_if(mCalls.begin(), mCalls.end(), [&](auto& aOne) {
    return aOne.mId == request;
  });
  Claim(++mRunsByAttempt[aAttempt] <= 1, "attempt ran twice: " + aAttempt);
  const int runs = ++mRunsByRequest[request];
  Claim(runs <= 1 || call->mIsRepeatable,
        "request ran twice though it may not be repeated: " + request);
  Claim(runs <= 1 + call->mUnknown,
        "request ran again without an unknown outcome before: " + request);
  if (call->mKey) {
    Claim(++mRunsByKey[*call->mKey] <= 1,
          "two runs for one Idempotency-Key, second by " + aAttempt);
  }
  const bool isToldNotRun =
    call->mOutcome && call->mOutcome->mRan == ran::NotRun;
  Claim(!isToldNotRun, "ran after its caller was told not run: " + aAttempt);
}

void
world::EndCall(submission& aCall, const call_outcome& aOutcome)
{
  aCall.mPhase = call_phase::Over;
  aCall.mOutcome = aOutcome;
  const int runs = mRunsByRequest[aCall.mId];
  if (aOutcome.mRan == ran::NotRun) {
    ++mFaults["told_not_run"];
    Claim(runs == 0, "told not run though it ran: " + aCall.mId);
  } else if (aOutcome.mRan == ran::Ran) {
    ++mFaults["told_answer"];
    const auto& body = aOutcome.mResult.body;
    if (aCall.mKey && aCall.mIsKeyForgotten) {
      Claim(body.rfind("answer to r", 0) == 0, "no answer: " + aCall.mId);
    } else if (aCall.mKey) {
      Claim(mRunsByKey[*aCall.mKey] == 1 && body.rfind("answer to r", 0) == 0,
            "answer without a run for the key: " + aCall.mId);
    } else {
      Claim(body == "answer to " + aCall.mId, "another's answer: " + aCall.mId);
    }
  } else {
    ++mFaults["told_unknown"];
  }
}

void
world::Claim(bool aHolds, const std::string& aPromise)
{
  if (!aHolds && mFault.empty()) {
    mFault = aPromise;
  }
}

std::string
world::Check()
{
  for (int i = 0; i < 400 && !mMessages.empty(); ++i) {
    DeliverMessage(0);
    RunServer(2);
    RunServer(3);
    EndRun(2);
    EndRun(3);
  }
  return mFault;
}

} // namespace lavender::dispatch::model
