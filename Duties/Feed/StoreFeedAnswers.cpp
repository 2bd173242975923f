#include "Duties/Feed/StoreFeed.h"

#include "Libraries/EventLog/EventLog.h"

/** What an entry tells those that follow it. */
namespace lavender::feed {

using namespace std::chrono_literals;

namespace {

/** Older knowledge isn't passed on: who gets it has time left to ask others. */
constexpr milliseconds kMostAgePassedOn = 1200ms;

const char*
ToString(refusal aRefusal)
{
  switch (aRefusal) {
    case refusal::None:
      return "none";
    case refusal::Waiting:
      return "waits for another entry";
    case refusal::NotYet:
      return "knowledge too old";
    case refusal::NoStore:
      break;
  }
  return "store doesn't answer";
}

} // namespace

refusal
store_feed::Refusal() const
{
  if (mIsWatching && !mDoesStoreAnswer) {
    return refusal::NoStore;
  }
  if (!HasListed()) {
    return refusal::Waiting;
  }
  if (Age() <= kMostAgePassedOn) {
    return refusal::None;
  }
  return mIsWatching ? refusal::NotYet : refusal::Waiting;
}

void
store_feed::NoteRefusal(refusal aRefusal)
{
  if (aRefusal == mNotedRefusal) {
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
  mNotedRefusal = aRefusal;
}

feed_knowledge
store_feed::Knowledge() const
{
  return { mState, mIncarnation, mOrigin, VerifiedAt(), Refusal() };
}

void
store_feed::Serve(const edge::request& aQuestion, feed_requester aAsker)
{
  mHeld.Hold(DecodeFeedRequest(aQuestion), std::move(aAsker), Knowledge());
  AnswerAll();
}

void
store_feed::AnswerAll()
{
  if (mIsWatching) {
    for (const auto& mirror : mMirrors) {
      NoteRevision(mState, mirror->Kind(), mirror->Revision());
    }
  }
  const auto known = Knowledge();
  if (!mHeld.IsEmpty()) {
    NoteRefusal(known.mRefusal);
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
