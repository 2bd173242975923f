#include "Duties/StoreAccess/StoreAccess.h"

#include "Libraries/EventLog/EventLog.h"

#include <algorithm>

namespace lavender::storeaccess {

using namespace std::chrono_literals;

namespace {

constexpr char kHelpMethod[] = "Lavender-Method";
constexpr char kHelpTarget[] = "Lavender-Target";
/** Another entry is asked if the store hasn't answered after this; the direct
 * response may still arrive. A slow store answers within 0.4 s. */
constexpr milliseconds kHelpDelay = 600ms;
/** Timeout of a call through another entry: the store's response and both
 * transfers. Transferring a batch's items over a slow link takes some tenths of
 * a second. */
constexpr milliseconds kHelpTimeout = 700ms;
/** Maximum number of entries asked for one call. If a third of all entries
 * don't reach the store, one call in eighty meets four of those. */
constexpr std::size_t kMaximumAsked = 4;
/** An entry that can't help isn't asked again for this long, or longer if it
 * didn't respond. One that is busy may help soon; one that doesn't respond or
 * doesn't reach the store either usually stays so for seconds. */
constexpr milliseconds kRefusalBackoff = 2000ms;
constexpr milliseconds kUnresponsiveBackoff = 5000ms;
constexpr milliseconds kProbeInterval = 2000ms;
constexpr milliseconds kProbeTimeout = 1500ms;
/** Failures for a shorter time don't count: a single failed call doesn't
 * predict that the next one fails. */
constexpr milliseconds kUnreachableAfter = 1000ms;

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
DecodeHelp(const edge::request& aHelpRequest)
{
  edge::request request;
  request.mMethod = aHelpRequest.mHeaders.ValueOr(kHelpMethod, "GET");
  request.mTarget = aHelpRequest.mHeaders.ValueOr(kHelpTarget, "/");
  request.mBody = aHelpRequest.mBody;
  if (!request.mBody.empty()) {
    request.mHeaders.Add("Content-Type", "application/json");
  }
  return request;
}

/** Whether a call that ended in this way may have been carried out. */
bool
MayHaveExecuted(edge::call_end aEnd)
{
  return aEnd != edge::call_end::Complete && edge::MayHaveBeenSent(aEnd);
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
  /** Whether some attempt that may have been carried out had no response. */
  bool mMayHaveExecuted = false;
  bool mIsFinished = false;
  edge::call_end mLastEnd = edge::call_end::NotSent;
  edge::response mLastResponse;
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
    // A watch isn't sent through other entries: the feed between entries
    // replaces it.
    mDependencies.mDirect(aRequest, aDeadline, aOptions, std::move(aDone));
    return;
  }
  auto call = std::make_shared<helped_call>();
  call->mRequest = aRequest;
  call->mOptions = aOptions;
  call->mUntil = Now() + aDeadline;
  call->mDone = std::move(aDone);
  if (mUnavailableSince && HasHelpers()) {
    ProbeDirect();
    TryNextHelper(call);
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
    [this, aCall](edge::call_end aEnd, edge::response aResponse) {
      HandleDirectResponse(aCall, aEnd, std::move(aResponse));
    });
  RunAfter(mDependencies.mScheduler, kHelpDelay, [this, aCall] {
    if (!aCall->mIsFinished && !aCall->mAwaitsHelp && aCall->mAwaitsDirect) {
      TryNextHelper(aCall);
    }
  });
}

void
store_access::HandleDirectResponse(const call_ptr& aCall,
                                   edge::call_end aEnd,
                                   edge::response aResponse)
{
  aCall->mAwaitsDirect = false;
  const bool isUnavailable =
    mDependencies.mIsUnavailable(aEnd, aResponse.mStatus);
  RecordDirectResult(isUnavailable);
  if (aCall->mIsFinished) {
    return;
  }
  if (!isUnavailable) {
    Finish(aCall, aEnd, std::move(aResponse));
    return;
  }
  aCall->mMayHaveExecuted = aCall->mMayHaveExecuted || MayHaveExecuted(aEnd);
  aCall->mLastEnd = aEnd;
  aCall->mLastResponse = std::move(aResponse);
  if (!aCall->mAwaitsHelp) {
    // Don't let the time that the store took without a response shorten the
    // helper's.
    aCall->mUntil = std::max(aCall->mUntil, Now() + kHelpTimeout);
    TryNextHelper(aCall);
  }
}

void
store_access::TryNextHelper(const call_ptr& aCall)
{
  const auto view = mDependencies.mView();
  const auto left =
    std::chrono::duration_cast<milliseconds>(aCall->mUntil - Now());
  const auto chosen = aCall->mAsked.size() < kMaximumAsked && left > 0ms
                        ? ChooseHelper(mHistory, view, aCall->mAsked, Now())
                        : std::nullopt;
  if (!chosen) {
    if (!aCall->mAwaitsDirect) {
      Fail(aCall);
    }
    return;
  }
  aCall->mAsked.insert(chosen->mName);
  aCall->mAwaitsHelp = true;
  mDependencies.mCallEntry(
    chosen->mAddress,
    EncodeHelp(aCall->mRequest),
    std::min(left, kHelpTimeout),
    [this, aCall, name = chosen->mName](edge::call_end aEnd,
                                        edge::response aResponse) {
      HandleHelpResponse(aCall, name, aEnd, std::move(aResponse));
    });
}

void
store_access::HandleHelpResponse(const call_ptr& aCall,
                                 const std::string& aName,
                                 edge::call_end aEnd,
                                 edge::response aResponse)
{
  aCall->mAwaitsHelp = false;
  const bool isAnswered = aEnd == edge::call_end::Complete;
  const bool cannotHelp = isAnswered && aResponse.mStatus == kCannotHelp;
  const bool hadNoResponse =
    isAnswered && aResponse.mStatus == kNoStoreResponse;
  const bool isUnavailable =
    cannotHelp || hadNoResponse ||
    mDependencies.mIsUnavailable(aEnd, aResponse.mStatus);
  events::line("store_helped")
    .With("entry", aName)
    .With("target", aCall->mRequest.mTarget)
    .With("tried", static_cast<std::int64_t>(aCall->mAsked.size()))
    .With("end", edge::ToString(aEnd))
    .With("status", static_cast<std::int64_t>(aResponse.mStatus));
  if (isUnavailable) {
    RecordRefusal(mHistory,
                  aName,
                  isAnswered ? kRefusalBackoff : kUnresponsiveBackoff,
                  Now());
  } else {
    RecordHelp(mHistory, mDependencies.mView(), aName);
    if (aCall->mAwaitsDirect) {
      RecordDirectResult(true);
    }
  }
  if (aCall->mIsFinished) {
    return;
  }
  if (!isUnavailable) {
    Finish(aCall, aEnd, std::move(aResponse));
    return;
  }
  aCall->mMayHaveExecuted =
    aCall->mMayHaveExecuted || hadNoResponse || MayHaveExecuted(aEnd);
  if (!cannotHelp) {
    aCall->mLastEnd = aEnd;
    aCall->mLastResponse = std::move(aResponse);
  }
  TryNextHelper(aCall);
}

void
store_access::Finish(const call_ptr& aCall,
                     edge::call_end aEnd,
                     edge::response aResponse)
{
  mUnreachableSince.reset();
  aCall->mIsFinished = true;
  const auto done = std::move(aCall->mDone);
  done(aEnd, std::move(aResponse));
}

void
store_access::Fail(const call_ptr& aCall)
{
  if (!mUnreachableSince) {
    mUnreachableSince = Now();
    ScheduleProbe();
  }
  aCall->mIsFinished = true;
  const auto done = std::move(aCall->mDone);
  // An earlier attempt may have been carried out, or may still be, even if the
  // last helper refused. Reporting that refusal would let a batch be called
  // "not run" that runs seconds later.
  done(aCall->mMayHaveExecuted ? edge::call_end::TimedOut : aCall->mLastEnd,
       std::move(aCall->mLastResponse));
}

void
store_access::RecordDirectResult(bool aIsUnavailable)
{
  if (!aIsUnavailable) {
    if (mUnavailableSince) {
      events::line("store_takes_back")
        .With(
          "after_ms",
          std::chrono::duration_cast<milliseconds>(Now() - *mUnavailableSince));
    }
    mUnavailableSince.reset();
    mUnreachableSince.reset();
  } else if (!mUnavailableSince) {
    events::line("store_turns_away");
    mUnavailableSince = Now();
    mNextProbeAt = Now() + kProbeInterval;
  }
}

void
store_access::ProbeDirect()
{
  if (Now() < mNextProbeAt) {
    return;
  }
  mNextProbeAt = Now() + kProbeInterval;
  mDependencies.mDirect(
    mDependencies.mProbe,
    kProbeTimeout,
    {},
    [this](edge::call_end aEnd, const edge::response& aResponse) {
      RecordDirectResult(mDependencies.mIsUnavailable(aEnd, aResponse.mStatus));
    });
}

void
store_access::Help(const edge::request& aHelpRequest, help_done aDone)
{
  if (mUnavailableSince) {
    ProbeDirect();
  }
  if (mUnavailableSince || mHelped >= kMaximumHelpedCalls) {
    aDone({ kCannotHelp, {}, {} });
    return;
  }
  ++mHelped;
  edge::call_options options;
  options.mSilenceTimeout = kHelpTimeout;
  mDependencies.mDirect(
    DecodeHelp(aHelpRequest),
    kHelpTimeout,
    options,
    [this, done = std::move(aDone)](edge::call_end aEnd,
                                    edge::response aResponse) {
      --mHelped;
      RecordDirectResult(mDependencies.mIsUnavailable(aEnd, aResponse.mStatus));
      if (!edge::MayHaveBeenSent(aEnd)) {
        done({ kCannotHelp, {}, {} });
      } else if (aEnd != edge::call_end::Complete) {
        done({ kNoStoreResponse, {}, {} });
      } else {
        done({ aResponse.mStatus, {}, std::move(aResponse.mBody) });
      }
    });
}

void
store_access::ScheduleProbe()
{
  // An entry that is given no work because of CanReachStore() makes no calls of
  // its own that could succeed, so it must probe.
  mNextProbe = mDependencies.mScheduler.mAfter(kProbeInterval, [this] {
    if (!mUnreachableSince) {
      return;
    }
    if (HasHelpers()) {
      Call(
        mDependencies.mProbe, kProbeTimeout, {}, [](edge::call_end, auto) {});
    }
    ScheduleProbe();
  });
}

bool
store_access::CanReachStore() const
{
  return !mUnreachableSince || !HasHelpers() ||
         Now() - *mUnreachableSince < kUnreachableAfter;
}

} // namespace lavender::storeaccess
