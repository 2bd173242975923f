#include "Duties/Feed/StoreFeed.h"

#include "Libraries/Core/Identity.h"
#include "Libraries/Core/Rendezvous.h"
#include "Libraries/EventLog/EventLog.h"

#include <algorithm>

namespace lavender::feed {

using namespace std::chrono_literals;

namespace {

/** Longer than another entry holds a question. */
constexpr milliseconds kAnswerTimeout = 900ms;
/** A live entry accepts a connection within some ms. An instance that was taken
 * away stays in the list for twenty seconds, and is asked first when its name
 * is first; each entry that starts would wait for it. */
constexpr milliseconds kConnectTimeout = 150ms;
/** An entry whose knowledge is older watches the store itself. With a listing
 * this stays below the two seconds within which a configuration must be in
 * force; in health the age stays below a probe's pause and timeout. */
constexpr milliseconds kMostAge = 1500ms;
/** In health knowledge is younger. Past this the first entries by name begin to
 * watch the store, one step after the other, so that the rest hears from one of
 * them before it reaches the greatest age. */
constexpr milliseconds kStandbyAge = 950ms;
constexpr milliseconds kStandbyStep = 80ms;
constexpr std::size_t kStandbys = 6;
/** An entry that was silent isn't asked again for this long. */
constexpr milliseconds kAvoidSilent = 5000ms;
/** One that refused may know soon. Longer than it takes to ask all others, or
 * two that refuse would be asked in turn and a third one never. */
constexpr milliseconds kAvoidRefusing = 1500ms;
/** How often an entry that watches out of turn looks for the one whose turn
 * it is. */
constexpr milliseconds kLookForBetter = 3000ms;
/** Others that are asked, one after the other, each time. */
constexpr int kLooksInARow = 3;
/** Of those whom it may follow, the tree and the first ones come first. */
constexpr std::size_t kSameForAll = 3;
/** An entry that has just lost its own source is asked again after this. */
constexpr milliseconds kPause = 200ms;
constexpr int kMostPauses = 3;
/** Entries that one without the store asks between two probes. In an outage for
 * all, hundreds would keep one another busy. */
constexpr int kMostAskedAProbe = 8;

} // namespace

store_feed::store_feed(feed_dependencies aParts,
                       std::vector<watched_kind> aKinds)
  : mDependencies(std::move(aParts))
  , mKinds(std::move(aKinds))
  , mIncarnation(MakeRandomName())
  , mHeld(mDependencies.mScheduler, [this] { AnswerAll(); })
  , mVerifiedAt(Now())
{
}

void
store_feed::Start()
{
  mVerifiedAt = Now();
  PlanAgeLimit();
  Choose();
}

bool
store_feed::HasListed() const
{
  return mIsListed.size() == mKinds.size();
}

bool
store_feed::HaveMirrorsListed() const
{
  return mMirrors.size() == mKinds.size() &&
         std::all_of(mMirrors.begin(), mMirrors.end(), [](const auto& aMirror) {
           return aMirror->HasListed();
         });
}

time_point
store_feed::VerifiedAt() const
{
  if (!mIsWatching || !HaveMirrorsListed()) {
    return mVerifiedAt;
  }
  auto provenAt = time_point::min();
  for (const auto& mirror : mMirrors) {
    provenAt = std::max(provenAt, mirror->VerifiedAt());
  }
  for (std::size_t i = 0; i < mKinds.size(); ++i) {
    const auto& mirror = *mMirrors[i];
    if (mKinds[i].mProof == freshness_rule::EveryResponse) {
      provenAt = std::min(provenAt, mirror.VerifiedAt());
    } else if (const auto lostSince = mirror.LostSince()) {
      provenAt = std::min(provenAt, *lostSince);
    }
  }
  return provenAt;
}

std::size_t
store_feed::Rank() const
{
  return PlaceOf(mDependencies.mCandidates(), mDependencies.mName);
}

milliseconds
store_feed::AgeLimit() const
{
  const auto rank = Rank();
  return rank == 0 || rank > kStandbys
           ? kMostAge
           : kStandbyAge + kStandbyStep * static_cast<int>(rank - 1);
}

void
store_feed::PlanAgeLimit()
{
  const auto limit = AgeLimit();
  const auto left =
    std::chrono::ceil<milliseconds>(mVerifiedAt + limit - Now());
  mAgeLimit = mDependencies.mScheduler.mAfter(std::max<milliseconds>(left, 1ms),
                                              [this, limit] {
                                                if (mIsWatching) {
                                                  return;
                                                }
                                                if (Age() < limit) {
                                                  PlanAgeLimit();
                                                  return;
                                                }
                                                events::line("feed_too_old")
                                                  .With("entry", mSourceName)
                                                  .With("origin", mOrigin)
                                                  .With("known_ms_ago", Age());
                                                if (Rank() > kStandbys) {
                                                  SeekSource();
                                                } else {
                                                  WatchStore();
                                                }
                                              });
}

// Whom to ask

void
store_feed::Avoid(const std::string& aName, milliseconds aTime)
{
  mAvoidedUntil[aName] = Now() + aTime;
}

std::vector<feed_candidate>
store_feed::Candidates() const
{
  return SourcePreference(mDependencies.mCandidates(), mDependencies.mName);
}

std::vector<feed_candidate>
store_feed::AllCandidates() const
{
  auto all = Candidates();
  for (auto& candidate : mDependencies.mCandidates()) {
    if (candidate.mName > mDependencies.mName) {
      all.push_back(std::move(candidate));
    }
  }
  return all;
}

std::optional<feed_candidate>
store_feed::NextCandidate(const std::vector<feed_candidate>& aCandidates) const
{
  for (const auto& candidate : aCandidates) {
    const auto avoided = mAvoidedUntil.find(candidate.mName);
    const bool isAvoided =
      avoided != mAvoidedUntil.end() && avoided->second > Now();
    if (!isAvoided && candidate.mName != mDependencies.mName) {
      return candidate;
    }
  }
  return std::nullopt;
}

void
store_feed::Choose()
{
  if (const auto candidate = NextCandidate(Candidates())) {
    AskCandidate(*candidate);
  } else {
    WatchStore();
  }
}

void
store_feed::LookForBetter()
{
  mLooksLeft = kLooksInARow;
  mNextLook = mDependencies.mScheduler.mAfter(kLookForBetter, [this] {
    if (mIsWatching) {
      LookNow();
    }
  });
}

void
store_feed::LookNow()
{
  auto candidates = Candidates();
  const auto same =
    static_cast<std::ptrdiff_t>(std::min(kSameForAll, candidates.size()));
  if (const auto rest = candidates.begin() + same; rest != candidates.end()) {
    // Each begins at another one: the first by name may all be silent.
    const auto places = static_cast<std::uint64_t>(candidates.end() - rest);
    const auto shift =
      RendezvousHash(mDependencies.mName, mIncarnation) % places;
    std::rotate(
      rest, rest + static_cast<std::ptrdiff_t>(shift), candidates.end());
  }
  const auto candidate = NextCandidate(candidates);
  if (candidate && mLooksLeft > 0) {
    --mLooksLeft;
    AskCandidate(*candidate);
  } else {
    LookForBetter();
  }
}

void
store_feed::FollowAnyone()
{
  // The store may turn this instance away and serve the others.
  const auto candidate = NextCandidate(AllCandidates());
  if (candidate && mAskedSinceProbe < kMostAskedAProbe) {
    ++mAskedSinceProbe;
    AskCandidate(*candidate);
    return;
  }
  mNextLook = mDependencies.mScheduler.mAfter(kPause, [this] {
    if (mIsWatching && !mDoesStoreAnswer) {
      FollowAnyone();
    } else if (mIsWatching) {
      LookForBetter();
    }
  });
}

// Following another entry

void
store_feed::AskCandidate(const feed_candidate& aCandidate)
{
  mSourceName = aCandidate.mName;
  mSource = aCandidate.mAddress;
  Ask();
}

void
store_feed::Ask()
{
  edge::call_options options;
  options.mConnectTimeout = kConnectTimeout;
  options.mSilenceTimeout = kAnswerTimeout;
  const question asked{ ++mQuestion, mSourceName, Now() };
  mIsAsking = true;
  mDependencies.mCall(
    mSource,
    EncodeFeedRequest({ mSourceLife, mSourceNumber, Age() }),
    options,
    kAnswerTimeout,
    [this, asked](edge::call_end aEnd, const edge::response& aAnswer) {
      TakeAnswer(asked, aEnd, aAnswer);
    });
}

void
store_feed::TakeAnswer(const question& aQuestion,
                       edge::call_end aEnd,
                       const edge::response& aAnswer)
{
  if (aQuestion.mNumber != mQuestion) {
    return;
  }
  mIsAsking = false;
  const bool isComplete = aEnd == edge::call_end::Complete;
  const auto feed = isComplete && aAnswer.mStatus == 200
                      ? DecodeFeed(aAnswer.mBody)
                      : std::nullopt;
  std::string reason = isComplete ? "refused" : "no answer";
  if (feed) {
    // The time on the way back isn't known, so the answer is taken to have been
    // given as early as it can have been.
    const auto provenAt =
      aQuestion.mAskedAt + feed->mProof.mHeld - feed->mProof.mAge;
    reason = ReasonToReject(*feed, provenAt);
    if (reason.empty()) {
      Accept(*feed, aQuestion.mEntry, provenAt);
      return;
    }
  }
  const bool mayKnowSoon = isComplete && (feed || aAnswer.mStatus == kNotYet);
  if (mayKnowSoon && !mIsWatching && mPauses < kMostPauses &&
      Age() < kStandbyAge) {
    ++mPauses;
    mNextLook = mDependencies.mScheduler.mAfter(kPause, [this] { Choose(); });
    return;
  }
  events::line("feed_lost")
    .With("entry", aQuestion.mEntry)
    .With("end", edge::ToString(aEnd))
    .With("status", static_cast<std::int64_t>(aAnswer.mStatus))
    .With("reason", reason)
    .With("known_ms_ago", Age());
  // One that has followed this entry may watch for itself in a moment.
  const bool isAskedAgainSoon = mayKnowSoon && mIsWatching && !mDoesStoreAnswer;
  Avoid(aQuestion.mEntry,
        !isComplete        ? kAvoidSilent
        : isAskedAgainSoon ? kPause
                           : kAvoidRefusing);
  AskAnother();
}

std::string
store_feed::ReasonToReject(const decoded_feed& aFeed,
                           time_point aProvenAt) const
{
  if (aFeed.mProof.mOrigin == mDependencies.mName) {
    return "own knowledge";
  }
  if (Now() - aProvenAt > kMostAge) {
    return "knowledge too old";
  }
  if (mIsWatching && !mDoesStoreAnswer && aProvenAt <= VerifiedAt()) {
    return "knows no more";
  }
  return "";
}

void
store_feed::Accept(const decoded_feed& aFeed,
                   const std::string& aEntry,
                   time_point aProvenAt)
{
  mPauses = 0;
  mVerifiedAt = std::max(VerifiedAt(), aProvenAt);
  mOrigin = aFeed.mProof.mOrigin;
  if (mIsWatching) {
    events::line("feed_followed")
      .With("entry", aEntry)
      .With("origin", mOrigin)
      .With("known_ms_ago", Age());
    StopWatching();
    mFollowsSince = Now();
    PlanAgeLimit();
  }
  if (aEntry > mDependencies.mName && Now() - mFollowsSince > kLookForBetter) {
    mFollowsSince = Now();
    LookWhetherStoreAnswers();
  }
  Apply(aFeed);
  SetReachable(true);
  AnswerAll();
  Ask();
}

void
store_feed::AskAnother()
{
  if (!mIsWatching) {
    Choose();
  } else if (mDoesStoreAnswer) {
    LookNow();
  } else {
    FollowAnyone();
  }
}

void
store_feed::Apply(const decoded_feed& aFeed)
{
  mSourceLife = aFeed.mIncarnation;
  mSourceNumber = aFeed.mNewest;
  if (aFeed.mIsWhole) {
    ApplyWhole(aFeed);
  } else {
    for (const auto& change : aFeed.mChanges) {
      for (const auto& kind : mKinds) {
        if (kind.mKind == change.mKind &&
            IsNews(mState, change.mKind, change.mEvent)) {
          TakeEvent(mState, change.mKind, change.mEvent);
          kind.mOnEvent(change.mEvent);
        }
      }
    }
  }
  for (const auto& [kind, revision] : aFeed.mRevisions) {
    NoteRevision(mState, kind, revision);
  }
}

void
store_feed::ApplyWhole(const decoded_feed& aFeed)
{
  std::map<std::string, object_map> told;
  for (const auto& change : aFeed.mChanges) {
    told[change.mKind][change.mEvent.mObject.mName] = change.mEvent.mObject;
  }
  for (const auto& kind : mKinds) {
    const auto toldUpTo = aFeed.mRevisions.find(kind.mKind);
    const auto merged =
      MergeListing(mState.mKinds[kind.mKind],
                   told[kind.mKind],
                   toldUpTo == aFeed.mRevisions.end() ? 0 : toldUpTo->second);
    TakeListing(mState, kind.mKind, merged);
    mIsListed[kind.mKind] = true;
    kind.mOnListed(merged);
  }
}

} // namespace lavender::feed
