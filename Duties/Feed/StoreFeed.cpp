#include "Duties/Feed/StoreFeed.h"

#include "Libraries/Core/Identity.h"
#include "Libraries/EventLog/EventLog.h"

#include <algorithm>

namespace lavender::feed {

using namespace std::chrono_literals;
using objects::store_outcome;

namespace {

constexpr char kLifeField[] = "Lavender-Life";
constexpr char kSinceField[] = "Lavender-Since";
/** A question is answered after this at the latest, so that silence beyond it
 * shows that the other entry is gone. */
constexpr milliseconds kHold = 500ms;
constexpr milliseconds kAnswerTimeout = 900ms;
/** A live entry accepts a connection within some ms. An instance that was taken
 * away stays in the list for twenty seconds, and is asked first when its name
 * is first; each entry that starts would wait for it. */
constexpr milliseconds kConnectTimeout = 150ms;
/** How often the watching entry makes sure that the store answers, and how
 * long it waits for that. Together with a listing this stays below the two
 * seconds within which a configuration must be in force. */
constexpr milliseconds kProbeEach = 500ms;
constexpr milliseconds kProbeTimeout = 600ms;
/** An entry that was silent isn't asked again for this long. */
constexpr milliseconds kAvoidSilent = 5000ms;
/** One that can't reach the store itself may soon. */
constexpr milliseconds kAvoidUnreachable = 1500ms;
/** How often an entry that watches out of turn looks for the one whose turn
 * it is. */
constexpr milliseconds kLookForBetter = 3000ms;
/** An entry that follows another one itself is asked again after this: it may
 * be about to watch in place of one that has died. */
constexpr milliseconds kWaitForSource = 200ms;
constexpr int kMostWaitsForSource = 3;
/** Entries that ask one other: a question each half second from so many takes
 * one or two percent of the smallest instance's processor. 360 entries are
 * three steps deep. */
constexpr std::size_t kFollowersOfOne = 16;

/** The answer of an entry that follows another one or has just started. */
constexpr unsigned kFollows = 421;
/** The answer of one that doesn't know the store's state. */
constexpr unsigned kUnreachable = 503;

/** Whether the store answered a read, whatever it found. */
bool
IsAnswer(const objects::object_reply& aReply)
{
  return aReply.mOutcome == store_outcome::Done ||
         aReply.mOutcome == store_outcome::NotFound;
}

} // namespace

std::vector<feed_candidate>
FeedOrder(const std::vector<feed_candidate>& aAll, const std::string& aName)
{
  std::size_t own = 0;
  while (own < aAll.size() && aAll[own].mName < aName) {
    ++own;
  }
  std::vector<feed_candidate> order;
  std::vector<bool> isTaken(own, false);
  for (auto place = own; place > 0;) {
    place = (place - 1) / kFollowersOfOne;
    order.push_back(aAll[place]);
    isTaken[place] = true;
  }
  for (std::size_t place = 0; place < own; ++place) {
    if (!isTaken[place]) {
      order.push_back(aAll[place]);
    }
  }
  return order;
}

feed_asker
AskerOf(const edge::exchange_ptr& aExchange)
{
  return { [aExchange](edge::response aAnswer) {
            aExchange->Answer(std::move(aAnswer));
          },
           [aExchange] { return aExchange->IsEnded(); } };
}

store_feed::store_feed(feed_parts aParts, std::vector<followed_kind> aKinds)
  : mParts(std::move(aParts))
  , mKinds(std::move(aKinds))
  , mLife(MakeRandomName())
  , mFreshAt(Now())
{
}

void
store_feed::Start()
{
  Choose();
}

bool
store_feed::HasListed() const
{
  return mIsListed.size() == mKinds.size();
}

bool
store_feed::IsTried(const feed_candidate& aCandidate, time_point aNow) const
{
  const auto avoided = mAvoidedUntil.find(aCandidate.mName);
  return avoided == mAvoidedUntil.end() || avoided->second <= aNow;
}

void
store_feed::Avoid(const std::string& aName, milliseconds aTime)
{
  mAvoidedUntil[aName] = Now() + aTime;
}

std::vector<feed_candidate>
store_feed::Candidates() const
{
  return FeedOrder(mParts.mCandidates(), mParts.mName);
}

void
store_feed::Choose()
{
  const auto now = Now();
  for (const auto& candidate : Candidates()) {
    if (!IsTried(candidate, now)) {
      continue;
    }
    if (mSourceName != candidate.mName) {
      mSourceName = candidate.mName;
      mSource = candidate.mAddress;
      mWaitsForSource = 0;
    }
    Ask();
    return;
  }
  mSourceName.clear();
  WatchStore();
}

// Following another entry

void
store_feed::Ask()
{
  edge::request request;
  request.mMethod = "GET";
  request.mTarget = kFeedPath;
  request.mHeaders.Add(kLifeField, mSourceLife);
  request.mHeaders.Add(kSinceField, std::to_string(mSourceNumber));
  edge::call_options options;
  options.mConnectTimeout = kConnectTimeout;
  options.mSilenceTimeout = kAnswerTimeout;
  mParts.mCall(mSource,
               request,
               options,
               kAnswerTimeout,
               [this, question = ++mQuestion, name = mSourceName](
                 edge::call_end aEnd, const edge::response& aAnswer) {
                 TakeAnswer(question, name, aEnd, aAnswer);
               });
}

void
store_feed::TakeAnswer(std::uint64_t aQuestion,
                       const std::string& aName,
                       edge::call_end aEnd,
                       const edge::response& aAnswer)
{
  if (aQuestion != mQuestion) {
    return;
  }
  const auto feed = aEnd == edge::call_end::Complete && aAnswer.mStatus == 200
                      ? DecodeFeed(aAnswer.mBody)
                      : std::nullopt;
  if (feed) {
    mWaitsForSource = 0;
    if (mIsWatching) {
      events::line("feed_followed").With("entry", aName);
      StopWatching();
      mFollowsSince = Now();
    }
    if (aName > mParts.mName && Now() - mFollowsSince > kLookForBetter) {
      mFollowsSince = Now();
      LookWhetherStoreAnswers();
    }
    Apply(*feed);
    mFreshAt = Now();
    SetReachable(true);
    AnswerAll();
    Ask();
    return;
  }
  const bool follows =
    aEnd == edge::call_end::Complete && aAnswer.mStatus == kFollows;
  if (follows && !mIsWatching && mWaitsForSource++ < kMostWaitsForSource) {
    mNextLook = mParts.mScheduler.mAfter(kWaitForSource, [this] { Choose(); });
    return;
  }
  events::line("feed_lost")
    .With("entry", aName)
    .With("end", edge::WordFor(aEnd))
    .With("status", static_cast<std::int64_t>(aAnswer.mStatus));
  const bool isAlive = aEnd == edge::call_end::Complete;
  Avoid(aName,
        follows   ? kWaitForSource
        : isAlive ? kAvoidUnreachable
                  : kAvoidSilent);
  if (mIsWatching) {
    if (!mDoesStoreAnswer) {
      FollowAnyone();
    } else {
      LookForBetter();
    }
  } else {
    Choose();
  }
}

void
store_feed::LookWhetherStoreAnswers()
{
  // This entry's turn comes before that of the one it follows, and the store
  // may have it back. It follows on meanwhile: leaving first, an entry that is
  // still turned away would know nothing for half a second of every three.
  mParts.mDirectStore.mGet(mParts.mProbeKind,
                           mParts.mName,
                           objects::freshness::MayBeStale,
                           [this](const objects::object_reply& aReply) {
                             if (IsAnswer(aReply) && !mIsWatching) {
                               ++mQuestion;
                               mSourceName.clear();
                               WatchStore();
                             }
                           });
}

void
store_feed::Apply(const decoded_feed& aFeed)
{
  mSourceLife = aFeed.mLife;
  mSourceNumber = aFeed.mNewest;
  if (aFeed.mIsWhole) {
    std::map<std::string, object_map> listed;
    for (const auto& change : aFeed.mChanges) {
      listed[change.mKind][change.mEvent.mObject.mName] = change.mEvent.mObject;
    }
    for (const auto& kind : mKinds) {
      TakeListing(mState, kind.mKind, listed[kind.mKind]);
      mIsListed[kind.mKind] = true;
      kind.mOnListed(listed[kind.mKind]);
    }
    return;
  }
  for (const auto& change : aFeed.mChanges) {
    for (const auto& kind : mKinds) {
      if (kind.mKind == change.mKind) {
        TakeEvent(mState, change.mKind, change.mEvent);
        kind.mOnEvent(change.mEvent);
      }
    }
  }
}

// Watching the store

void
store_feed::WatchStore()
{
  if (mIsWatching) {
    return;
  }
  mIsWatching = true;
  mDoesStoreAnswer = true;
  events::line("feed_watches_store");
  for (const auto& kind : mKinds) {
    objects::mirror_options options = kind.mOptions;
    options.mKind = kind.mKind;
    options.mMayCall = [this] { return mDoesStoreAnswer; };
    objects::mirror_events heard;
    heard.mOnListed = [this, &kind](const object_map& aObjects) {
      TakeListing(mState, kind.mKind, aObjects);
      mIsListed[kind.mKind] = true;
      kind.mOnListed(aObjects);
      AnswerAll();
    };
    heard.mOnEvent = [this, &kind](const objects::object_event& aEvent) {
      TakeEvent(mState, kind.mKind, aEvent);
      kind.mOnEvent(aEvent);
      AnswerAll();
    };
    mMirrors.push_back(std::make_shared<objects::mirror>(
      mParts.mScheduler, mParts.mStore, options, heard));
    mMirrors.back()->Start();
  }
  Probe();
  LookForBetter();
}

void
store_feed::StopWatching()
{
  mIsWatching = false;
  for (const auto& mirror : mMirrors) {
    mirror->Stop();
  }
  mMirrors.clear();
  mNextProbe.reset();
  AnswerAll();
}

void
store_feed::LookForBetter()
{
  mNextLook = mParts.mScheduler.mAfter(kLookForBetter, [this] {
    if (!mIsWatching) {
      return;
    }
    const auto now = Now();
    for (const auto& candidate : Candidates()) {
      if (IsTried(candidate, now)) {
        mSourceName = candidate.mName;
        mSource = candidate.mAddress;
        Ask();
        return;
      }
    }
    LookForBetter();
  });
}

void
store_feed::Probe()
{
  mNextProbe = mParts.mScheduler.mAfter(kProbeEach, [this] {
    if (!mIsWatching) {
      return;
    }
    const auto answered = std::make_shared<bool>(false);
    const auto take = [this, answered](const objects::object_reply& aReply) {
      if (!*answered && mIsWatching) {
        *answered = true;
        TakeProbe(aReply);
      }
    };
    mParts.mStore.mGet(
      mParts.mProbeKind, mParts.mName, objects::freshness::MayBeStale, take);
    mNextProbe = mParts.mScheduler.mAfter(kProbeTimeout, [take] {
      take({ store_outcome::Unknown, {} });
    });
  });
}

void
store_feed::TakeProbe(const objects::object_reply& aReply)
{
  const bool answers = IsAnswer(aReply);
  if (answers != mDoesStoreAnswer) {
    mDoesStoreAnswer = answers;
    if (answers) {
      // Watches from before the silence may never be answered.
      for (const auto& mirror : mMirrors) {
        mirror->WatchAgain();
      }
    }
  }
  if (answers) {
    mFreshAt = Now();
  }
  SetReachable(answers);
  AnswerAll();
  if (!answers) {
    FollowAnyone();
  }
  Probe();
}

void
store_feed::FollowAnyone()
{
  // The store may turn this instance away and serve the others.
  const auto now = Now();
  for (const auto& candidate : mParts.mCandidates()) {
    if (candidate.mName != mParts.mName && IsTried(candidate, now)) {
      mSourceName = candidate.mName;
      mSource = candidate.mAddress;
      Ask();
      return;
    }
  }
}

// Answering other entries

std::string
store_feed::ReasonToRefuse() const
{
  if (!mIsWatching) {
    // Passed on from one whose turn comes before; never in a circle.
    if (mSourceName >= mParts.mName) {
      return "follows a later entry";
    }
    return mSourceNumber > 0 && Now() - mFreshAt < kAnswerTimeout ? ""
                                                                  : "no source";
  }
  if (!mDoesStoreAnswer) {
    return "store doesn't answer";
  }
  for (const auto& mirror : mMirrors) {
    if (!mirror->HasListed()) {
      return "not listed: " + mirror->Kind();
    }
    if (!mirror->IsReachable()) {
      return "watch lost: " + mirror->Kind();
    }
  }
  return "";
}

void
store_feed::NoteRefusal(const std::string& aReason)
{
  if (aReason == mNotedRefusal) {
    return;
  }
  events::line(aReason.empty() ? "feed_serves" : "feed_refuses")
    .With("reason", aReason)
    .With("known_ms_ago", Age());
  mNotedRefusal = aReason;
}

void
store_feed::Serve(const edge::request& aQuestion, feed_asker aAsker)
{
  const auto& headers = aQuestion.mHeaders;
  asking asked;
  asked.mAsker = std::move(aAsker);
  asked.mUntil = Now() + kHold;
  if (headers.ValueOr(kLifeField, "") == mLife) {
    asked.mSince = headers.Integer(kSinceField);
  }
  mAsking.push_back(std::move(asked));
  AnswerAll();
}

void
store_feed::AnswerAll()
{
  const auto now = Now();
  const auto reason = ReasonToRefuse();
  if (!mAsking.empty()) {
    NoteRefusal(reason);
  }
  std::vector<asking> kept;
  for (auto& asked : mAsking) {
    if (asked.mAsker.mHasLeft()) {
      continue;
    }
    if (!reason.empty()) {
      // One that has just begun to watch will know in a moment.
      const unsigned status =
        mIsWatching && !mDoesStoreAnswer ? kUnreachable : kFollows;
      asked.mAsker.mAnswer({ status, {}, {} });
    } else if (!asked.mSince || *asked.mSince < mState.mNewest ||
               now >= asked.mUntil) {
      asked.mAsker.mAnswer(
        { 200, {}, EncodeFeed(mState, mLife, asked.mSince) });
    } else {
      kept.push_back(std::move(asked));
    }
  }
  mAsking = std::move(kept);
  PlanAnswer();
}

void
store_feed::PlanAnswer()
{
  if (mAsking.empty()) {
    return;
  }
  auto next = mAsking.front().mUntil;
  for (const auto& asked : mAsking) {
    next = std::min(next, asked.mUntil);
  }
  const auto wait = std::chrono::ceil<milliseconds>(next - Now());
  mNextAnswer = mParts.mScheduler.mAfter(std::max<milliseconds>(wait, 1ms),
                                         [this] { AnswerAll(); });
}

void
store_feed::SetReachable(bool aIsReachable)
{
  if (mIsReachable != aIsReachable) {
    mIsReachable = aIsReachable;
    events::line(aIsReachable ? "store_regained" : "store_lost");
    mParts.mOnContact(aIsReachable);
  }
}

} // namespace lavender::feed
