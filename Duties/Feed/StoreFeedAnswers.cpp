#include "Duties/Feed/StoreFeed.h"

#include "Libraries/EventLog/EventLog.h"

/** Responses of an entry to those that follow it. */
namespace lavender::feed {

using namespace std::chrono_literals;

namespace {

/** An older state isn't sent, so that requesters have time left to try other
 * entries. */
constexpr milliseconds kMaximumServedAge = 1200ms;

const char*
ToString(refusal aRefusal)
{
  switch (aRefusal) {
    case refusal::None:
      return "none";
    case refusal::WaitingForSource:
      return "waiting for another entry";
    case refusal::RetryLater:
      return "state too old";
    case refusal::StoreUnavailable:
      break;
  }
  return "store doesn't answer";
}

} // namespace

refusal
store_feed::CurrentRefusal() const
{
  if (mIsWatching && !mDoesStoreAnswer) {
    return refusal::StoreUnavailable;
  }
  if (!HasListed()) {
    return refusal::WaitingForSource;
  }
  if (Age() <= kMaximumServedAge) {
    return refusal::None;
  }
  return mIsWatching ? refusal::RetryLater : refusal::WaitingForSource;
}

void
store_feed::LogRefusal(refusal aRefusal)
{
  if (aRefusal == mLoggedRefusal) {
    return;
  }
  std::string lost;
  for (const auto& mirror : mMirrors) {
    if (mirror->LostSince()) {
      lost += (lost.empty() ? "" : ",") + mirror->Kind();
    }
  }
  events::line(aRefusal == refusal::None ? "feed_serves" : "feed_refuses")
    .With("reason", ToString(aRefusal))
    .With("origin", mOrigin)
    .With("known_ms_ago", Age())
    .With("lost", lost);
  mLoggedRefusal = aRefusal;
}

feed_snapshot
store_feed::Snapshot() const
{
  return { mState, mIncarnation, mOrigin, VerifiedAt(), CurrentRefusal() };
}

void
store_feed::Serve(const edge::request& aRequest, feed_requester aRequester)
{
  mHeld.Hold(DecodeFeedRequest(aRequest), std::move(aRequester), Snapshot());
  AnswerHeldRequests();
}

void
store_feed::AnswerHeldRequests()
{
  if (mIsWatching) {
    for (const auto& mirror : mMirrors) {
      RecordRevision(mState, mirror->Kind(), mirror->Revision());
    }
  }
  const auto known = Snapshot();
  if (!mHeld.IsEmpty()) {
    LogRefusal(known.mRefusal);
  }
  mHeld.Answer(known);
}

void
store_feed::SetReachable(bool aIsReachable)
{
  if (mIsReachable != aIsReachable) {
    mIsReachable = aIsReachable;
    events::line(aIsReachable ? "store_regained" : "store_lost")
      .With("known_ms_ago", Age());
    mDependencies.mOnReachabilityChange(aIsReachable);
  }
}

} // namespace lavender::feed
