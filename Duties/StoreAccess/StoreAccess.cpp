#include "Duties/StoreAccess/StoreAccess.h"

#include "Libraries/EventLog/EventLog.h"

#include <algorithm>

namespace lavender::storeaccess {

using namespace std::chrono_literals;

namespace {

constexpr char kHelpMethod[] = "Lavender-Method";
constexpr char kHelpTarget[] = "Lavender-Target";
/** A slow store answers within 0.4 s; then another entry is asked as well, and
 * the call's own answer may still come. */
constexpr milliseconds kPatience = 600ms;
/** For an entry that helps: the store's answer and the way there and back. A
 * batch's items on a narrow link take some tenths of a second. */
constexpr milliseconds kHelpTimeout = 700ms;
/** Asked at most for one call; with a third of all entries cut off, one in
 * eighty calls meets four that are. */
constexpr std::size_t kMostAsked = 4;
/** One that is busy may help in a moment; one that is turned away too, or
 * silent, stays so for seconds. */
constexpr milliseconds kAvoidRefusing = 2000ms;
constexpr milliseconds kAvoidSilent = 5000ms;
constexpr milliseconds kTrialEach = 2000ms;
constexpr milliseconds kTrialTimeout = 1500ms;
/** A call that fails now and then says nothing of the next one. */
constexpr milliseconds kLostAfter = 1000ms;

edge::request
EncodeHelp(const edge::request& aRequest)
{
  edge::request help;
  help.mMethod = "POST";
  help.mTarget = kHelpPath;
  help.mHeaders.Add(kHelpMethod, aRequest.mMethod);
  help.mHeaders.Add(kHelpTarget, aRequest.mTarget);
  help.mBody = aRequest.mBody;
  return help;
}

edge::request
DecodeHelp(const edge::request& aAsked)
{
  edge::request request;
  request.mMethod = aAsked.mHeaders.ValueOr(kHelpMethod, "GET");
  request.mTarget = aAsked.mHeaders.ValueOr(kHelpTarget, "/");
  request.mBody = aAsked.mBody;
  if (!request.mBody.empty()) {
    request.mHeaders.Add("Content-Type", "application/json");
  }
  return request;
}

/** Whether a call that ended so may have been carried out. */
bool
MayHaveHappened(edge::call_end aEnd)
{
  return aEnd != edge::call_end::Complete && aEnd != edge::call_end::NotSent;
}

} // namespace

/** One call of this entry's own. */
struct store_access::helped_call
{
  edge::request mRequest;
  edge::call_options mOptions;
  time_point mUntil;
  edge::whole_answer mDone;
  std::set<std::string> mAsked;
  bool mAwaitsDirect = false;
  bool mAwaitsHelp = false;
  /** Some try had no answer. */
  bool mMayHaveHappened = false;
  bool mIsFinished = false;
  edge::call_end mLastEnd = edge::call_end::NotSent;
  edge::response mLastAnswer;
};

store_access::store_access(access_dependencies aParts)
  : mDependencies(std::move(aParts))
{
}

void
store_access::Call(const edge::request& aRequest,
                   milliseconds aDeadline,
                   const edge::call_options& aOptions,
                   edge::whole_answer aDone)
{
  if (aOptions.mProbesConnection) {
    // A watch isn't passed on: the feed between entries replaces it.
    mDependencies.mDirect(aRequest, aDeadline, aOptions, std::move(aDone));
    return;
  }
  auto call = std::make_shared<helped_call>();
  call->mRequest = aRequest;
  call->mOptions = aOptions;
  call->mUntil = Now() + aDeadline;
  call->mDone = std::move(aDone);
  if (mTurnedAwaySince && HasHelpers()) {
    TryDirect();
    AskNext(call);
  } else {
    CallDirect(call);
  }
}

void
store_access::CallDirect(const call_ptr& aCall)
{
  aCall->mAwaitsDirect = true;
  const auto left =
    std::chrono::duration_cast<milliseconds>(aCall->mUntil - Now());
  mDependencies.mDirect(
    aCall->mRequest,
    left,
    aCall->mOptions,
    [this, aCall](edge::call_end aEnd, edge::response aAnswer) {
      TakeDirect(aCall, aEnd, std::move(aAnswer));
    });
  RunAfter(mDependencies.mScheduler, kPatience, [this, aCall] {
    if (!aCall->mIsFinished && !aCall->mAwaitsHelp && aCall->mAwaitsDirect) {
      AskNext(aCall);
    }
  });
}

void
store_access::TakeDirect(const call_ptr& aCall,
                         edge::call_end aEnd,
                         edge::response aAnswer)
{
  aCall->mAwaitsDirect = false;
  const bool isTurnedAway = mDependencies.mIsTurnedAway(aEnd, aAnswer.mStatus);
  NoteDirect(isTurnedAway);
  if (aCall->mIsFinished) {
    return;
  }
  if (!isTurnedAway) {
    Finish(aCall, aEnd, std::move(aAnswer));
    return;
  }
  aCall->mMayHaveHappened = aCall->mMayHaveHappened || MayHaveHappened(aEnd);
  aCall->mLastEnd = aEnd;
  aCall->mLastAnswer = std::move(aAnswer);
  if (!aCall->mAwaitsHelp) {
    // The time that the silent store took is not the helpers'.
    aCall->mUntil = std::max(aCall->mUntil, Now() + kHelpTimeout);
    AskNext(aCall);
  }
}

void
store_access::AskNext(const call_ptr& aCall)
{
  const auto view = mDependencies.mView();
  const auto left =
    std::chrono::duration_cast<milliseconds>(aCall->mUntil - Now());
  const auto chosen = aCall->mAsked.size() < kMostAsked && left > 0ms
                        ? ChooseHelper(mMemory, view, aCall->mAsked, Now())
                        : std::nullopt;
  if (!chosen) {
    if (!aCall->mAwaitsDirect) {
      Fail(aCall);
    }
    return;
  }
  aCall->mAsked.insert(chosen->mName);
  aCall->mAwaitsHelp = true;
  mDependencies.mCallEntry(chosen->mAddress,
                           EncodeHelp(aCall->mRequest),
                           std::min(left, kHelpTimeout),
                           [this, aCall, name = chosen->mName](
                             edge::call_end aEnd, edge::response aAnswer) {
                             TakeHelp(aCall, name, aEnd, std::move(aAnswer));
                           });
}

void
store_access::TakeHelp(const call_ptr& aCall,
                       const std::string& aName,
                       edge::call_end aEnd,
                       edge::response aAnswer)
{
  aCall->mAwaitsHelp = false;
  const bool isAnswered = aEnd == edge::call_end::Complete;
  const bool cannotHelp = isAnswered && aAnswer.mStatus == kCannotHelp;
  const bool hadNoAnswer = isAnswered && aAnswer.mStatus == kNoAnswer;
  const bool isTurnedAway = cannotHelp || hadNoAnswer ||
                            mDependencies.mIsTurnedAway(aEnd, aAnswer.mStatus);
  events::line("store_helped")
    .With("entry", aName)
    .With("target", aCall->mRequest.mTarget)
    .With("tried", static_cast<std::int64_t>(aCall->mAsked.size()))
    .With("end", edge::ToString(aEnd))
    .With("status", static_cast<std::int64_t>(aAnswer.mStatus));
  if (isTurnedAway) {
    NoteRefused(
      mMemory, aName, isAnswered ? kAvoidRefusing : kAvoidSilent, Now());
  } else {
    NoteHelped(mMemory, mDependencies.mView(), aName);
    if (aCall->mAwaitsDirect) {
      NoteDirect(true);
    }
  }
  if (aCall->mIsFinished) {
    return;
  }
  if (!isTurnedAway) {
    Finish(aCall, aEnd, std::move(aAnswer));
    return;
  }
  aCall->mMayHaveHappened =
    aCall->mMayHaveHappened || hadNoAnswer || MayHaveHappened(aEnd);
  if (!cannotHelp) {
    aCall->mLastEnd = aEnd;
    aCall->mLastAnswer = std::move(aAnswer);
  }
  AskNext(aCall);
}

void
store_access::Finish(const call_ptr& aCall,
                     edge::call_end aEnd,
                     edge::response aAnswer)
{
  mLostSince.reset();
  aCall->mIsFinished = true;
  const auto done = std::move(aCall->mDone);
  done(aEnd, std::move(aAnswer));
}

void
store_access::Fail(const call_ptr& aCall)
{
  if (!mLostSince) {
    mLostSince = Now();
    PlanLook();
  }
  aCall->mIsFinished = true;
  const auto done = std::move(aCall->mDone);
  // Ours may have been carried out, or may yet be: that the last one asked
  // refused doesn't make it undone. Taken for a refusal, it would let a batch
  // be called "not run" that runs seconds later.
  done(aCall->mMayHaveHappened ? edge::call_end::TimedOut : aCall->mLastEnd,
       std::move(aCall->mLastAnswer));
}

void
store_access::NoteDirect(bool aIsTurnedAway)
{
  if (!aIsTurnedAway) {
    if (mTurnedAwaySince) {
      events::line("store_takes_back")
        .With(
          "after_ms",
          std::chrono::duration_cast<milliseconds>(Now() - *mTurnedAwaySince));
    }
    mTurnedAwaySince.reset();
    mLostSince.reset();
  } else if (!mTurnedAwaySince) {
    events::line("store_turns_away");
    mTurnedAwaySince = Now();
    mNextTrial = Now() + kTrialEach;
  }
}

void
store_access::TryDirect()
{
  if (Now() < mNextTrial) {
    return;
  }
  mNextTrial = Now() + kTrialEach;
  mDependencies.mDirect(
    mDependencies.mTrial,
    kTrialTimeout,
    {},
    [this](edge::call_end aEnd, const edge::response& aAnswer) {
      NoteDirect(mDependencies.mIsTurnedAway(aEnd, aAnswer.mStatus));
    });
}

void
store_access::Help(const edge::request& aAsked, help_done aDone)
{
  if (mTurnedAwaySince) {
    TryDirect();
  }
  if (mTurnedAwaySince || mHelped >= kMaximumHelpedCalls) {
    aDone({ kCannotHelp, {}, {} });
    return;
  }
  ++mHelped;
  edge::call_options options;
  options.mSilenceTimeout = kHelpTimeout;
  mDependencies.mDirect(
    DecodeHelp(aAsked),
    kHelpTimeout,
    options,
    [this, done = std::move(aDone)](edge::call_end aEnd,
                                    edge::response aAnswer) {
      --mHelped;
      NoteDirect(mDependencies.mIsTurnedAway(aEnd, aAnswer.mStatus));
      if (aEnd == edge::call_end::NotSent) {
        done({ kCannotHelp, {}, {} });
      } else if (aEnd != edge::call_end::Complete) {
        done({ kNoAnswer, {}, {} });
      } else {
        done({ aAnswer.mStatus, {}, std::move(aAnswer.mBody) });
      }
    });
}

void
store_access::PlanLook()
{
  // An entry that is spared work makes no calls that would show it can work.
  mNextLook = mDependencies.mScheduler.mAfter(kTrialEach, [this] {
    if (!mLostSince) {
      return;
    }
    if (HasHelpers()) {
      Call(
        mDependencies.mTrial, kTrialTimeout, {}, [](edge::call_end, auto) {});
    }
    PlanLook();
  });
}

bool
store_access::CanReachStore() const
{
  return !mLostSince || !HasHelpers() || Now() - *mLostSince < kLostAfter;
}

} // namespace lavender::storeaccess
