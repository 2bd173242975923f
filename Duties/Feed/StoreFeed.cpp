#include "Duties/Feed/StoreFeed.h"

#include "Libraries/Core/Identity.h"
#include "Libraries/EventLog/EventLog.h"

#include <algorithm>

namespace lavender::feed {

using namespace std::chrono_literals;
using objects::store_outcome;

namespace {

/** Longer than another entry holds a question. */
constexpr milliseconds kAnswerTimeout = 900ms;
/** A live entry accepts a connection within some ms. An instance that was taken
 * away stays in the list for twenty seconds, and is asked first when its name
 * is first; each entry that starts would wait for it. */
constexpr milliseconds kConnectTimeout = 150ms;
/** How often the watching entry makes sure that the store answers, and how
 * long it waits for that. */
constexpr milliseconds kProbeEach = 500ms;
constexpr milliseconds kProbeTimeout = 600ms;
/** An entry whose knowledge is older watches the store itself. With a listing
 * this stays below the two seconds within which a configuration must be in
 * force; in health the age stays below a probe's pause and timeout. */
constexpr milliseconds kMostAge = 1500ms;
/** In health knowledge is younger. Past this the first entries by name watch
 * the store one after the other, until one of them has the others' ear: all
 * would else reach the greatest age together. */
constexpr milliseconds kStandbyAge = 950ms;
constexpr milliseconds kStandbyStep = 80ms;
constexpr std::size_t kStandbys = 6;
/** Other entries look for somebody who knows before they watch. The first
 * probe is early, since the store may serve them and none of the others. */
constexpr milliseconds kFirstProbe = 100ms;
constexpr milliseconds kSeekingProbeEach = 1000ms;
/** After an outage the first entries know the state within a probe's pause and
 * a listing. */
constexpr milliseconds kOthersList = 700ms;
/** Older knowledge isn't passed on: who gets it has time left to ask others. */
constexpr milliseconds kMostAgePassedOn = 1200ms;
/** An entry that was silent isn't asked again for this long. */
constexpr milliseconds kAvoidSilent = 5000ms;
/** One that refused may know soon. Longer than it takes to ask all others, or
 * two that refuse would be asked in turn and a third one never. */
constexpr milliseconds kAvoidRefusing = 1500ms;
/** How often an entry that watches out of turn looks for the one whose turn
 * it is. */
constexpr milliseconds kLookForBetter = 3000ms;
/** An entry that has just lost its own source is asked again after this. */
constexpr milliseconds kPause = 200ms;
constexpr int kMostPauses = 3;
/** Entries that one without the store asks between two probes. In an outage for
 * all, hundreds would keep one another busy. */
constexpr int kMostAskedAProbe = 8;

/** Whether the store answered a read, whatever it found. */
bool
IsAnswer(const objects::object_reply& aReply)
{
  return aReply.mOutcome == store_outcome::Done ||
         aReply.mOutcome == store_outcome::NotFound;
}

const char*
WordFor(refusal aRefusal)
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

store_feed::store_feed(feed_parts aParts, std::vector<followed_kind> aKinds)
  : mParts(std::move(aParts))
  , mKinds(std::move(aKinds))
  , mLife(MakeRandomName())
  , mHeld(mParts.mScheduler, [this] { AnswerAll(); })
  , mProvenAt(Now())
{
}

void
store_feed::Start()
{
  mProvenAt = Now();
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
store_feed::ProvenAt() const
{
  if (!mIsWatching || !HaveMirrorsListed()) {
    return mProvenAt;
  }
  auto provenAt = time_point::min();
  for (const auto& mirror : mMirrors) {
    provenAt = std::max(provenAt, mirror->ProvenAt());
  }
  for (std::size_t i = 0; i < mKinds.size(); ++i) {
    const auto& mirror = *mMirrors[i];
    if (mKinds[i].mProof == kind_proof::EachAnswer) {
      provenAt = std::min(provenAt, mirror.ProvenAt());
    } else if (const auto lostSince = mirror.LostSince()) {
      provenAt = std::min(provenAt, *lostSince);
    }
  }
  return provenAt;
}

std::size_t
store_feed::Rank() const
{
  const auto candidates = mParts.mCandidates();
  const auto isBefore = [&](const feed_candidate& aOther) {
    return aOther.mName < mParts.mName;
  };
  return static_cast<std::size_t>(
    std::count_if(candidates.begin(), candidates.end(), isBefore));
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
  const auto left = std::chrono::ceil<milliseconds>(mProvenAt + limit - Now());
  mAgeLimit =
    mParts.mScheduler.mAfter(std::max<milliseconds>(left, 1ms), [this, limit] {
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
  return FeedOrder(mParts.mCandidates(), mParts.mName);
}

std::vector<feed_candidate>
store_feed::AllCandidates() const
{
  auto all = Candidates();
  for (auto& candidate : mParts.mCandidates()) {
    if (candidate.mName > mParts.mName) {
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
    if (!isAvoided && candidate.mName != mParts.mName) {
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
  mNextLook = mParts.mScheduler.mAfter(kLookForBetter, [this] {
    if (!mIsWatching) {
      return;
    }
    if (const auto candidate = NextCandidate(Candidates())) {
      AskCandidate(*candidate);
    } else {
      LookForBetter();
    }
  });
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
  mNextLook = mParts.mScheduler.mAfter(kPause, [this] {
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
  mParts.mCall(
    mSource,
    EncodeQuestion({ mSourceLife, mSourceNumber, Age() }),
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
    mNextLook = mParts.mScheduler.mAfter(kPause, [this] { Choose(); });
    return;
  }
  events::line("feed_lost")
    .With("entry", aQuestion.mEntry)
    .With("end", edge::WordFor(aEnd))
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
  if (aFeed.mProof.mOrigin == mParts.mName) {
    return "own knowledge";
  }
  if (Now() - aProvenAt > kMostAge) {
    return "knowledge too old";
  }
  if (mIsWatching && !mDoesStoreAnswer && aProvenAt <= ProvenAt()) {
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
  mProvenAt = std::max(ProvenAt(), aProvenAt);
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
  if (aEntry > mParts.mName && Now() - mFollowsSince > kLookForBetter) {
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
    LookForBetter();
  } else {
    FollowAnyone();
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
                               mIsAsking = false;
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
    auto& known = mState.mRevisions[kind];
    known = std::max(known, revision);
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

// Watching the store

void
store_feed::WatchStore()
{
  if (mIsWatching) {
    return;
  }
  mIsWatching = true;
  mDoesStoreAnswer = true;
  events::line("feed_watches_store").With("known_ms_ago", Age());
  AddMirrors();
  Probe(kProbeEach);
  LookForBetter();
}

void
store_feed::SeekSource()
{
  mIsWatching = true;
  mIsSeeking = true;
  mDoesStoreAnswer = false;
  mAskedSinceProbe = 0;
  ++mQuestion;
  mIsAsking = false;
  Probe(kFirstProbe);
  FollowAnyone();
}

void
store_feed::AddMirrors()
{
  mIsSeeking = false;
  for (const auto& kind : mKinds) {
    AddMirror(kind);
  }
}

void
store_feed::AddMirror(const followed_kind& aKind)
{
  objects::mirror_options options = aKind.mOptions;
  options.mKind = aKind.mKind;
  options.mMayCall = [this] { return mDoesStoreAnswer; };
  objects::mirror_events heard;
  heard.mOnListed = [this, &aKind](const object_map& aObjects) {
    NoteListing(aKind, aObjects);
  };
  heard.mOnEvent = [this, &aKind](const objects::object_event& aEvent) {
    TakeEvent(mState, aKind.mKind, aEvent);
    aKind.mOnEvent(aEvent);
  };
  heard.mOnProven = [this] { AnswerAll(); };
  mMirrors.push_back(std::make_shared<objects::mirror>(
    mParts.mScheduler, mParts.mStore, options, heard));
  mMirrors.back()->Start();
}

void
store_feed::NoteListing(const followed_kind& aKind, const object_map& aObjects)
{
  TakeListing(mState, aKind.mKind, aObjects);
  mIsListed[aKind.mKind] = true;
  if (HaveMirrorsListed()) {
    mOrigin = mParts.mName;
  }
  aKind.mOnListed(aObjects);
  AnswerAll();
}

void
store_feed::StopWatching()
{
  mIsWatching = false;
  mIsSeeking = false;
  mMirrorsSoon.reset();
  for (const auto& mirror : mMirrors) {
    mirror->Stop();
  }
  mMirrors.clear();
  mNextProbe.reset();
}

void
store_feed::Probe(milliseconds aPause)
{
  mNextProbe = mParts.mScheduler.mAfter(aPause, [this] {
    if (!mIsWatching) {
      return;
    }
    const auto answered = std::make_shared<bool>(false);
    const auto take = [this, answered](const objects::object_reply& aReply) {
      if (!std::exchange(*answered, true) && mIsWatching) {
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
  mAskedSinceProbe = 0;
  const bool answers = IsAnswer(aReply);
  const bool isRegained = answers && !mDoesStoreAnswer;
  mDoesStoreAnswer = answers;
  if (isRegained && mIsSeeking) {
    TakeFirstAnswer();
  } else if (isRegained) {
    // Watches from before the silence may never be answered.
    for (const auto& mirror : mMirrors) {
      mirror->ListAgain();
    }
    LookForBetter();
  }
  SetReachable(answers && !mIsSeeking);
  AnswerAll();
  // Asking anew would hide for ever that the one asked now is silent.
  if (!answers && !mIsAsking) {
    FollowAnyone();
  }
  Probe(mIsSeeking ? kSeekingProbeEach : kProbeEach);
}

void
store_feed::TakeFirstAnswer()
{
  if (mIsReachable) {
    AddMirrors();
    LookForBetter();
    return;
  }
  // The store is back for all, and the first entries by name list it now.
  mDoesStoreAnswer = false;
  mAvoidedUntil.clear();
  mMirrorsSoon = mParts.mScheduler.mAfter(kOthersList, [this] {
    if (mIsSeeking) {
      mDoesStoreAnswer = true;
      AddMirrors();
      LookForBetter();
    }
  });
  if (!mIsAsking) {
    FollowAnyone();
  }
}

// Answering other entries

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
    .With("reason", WordFor(aRefusal))
    .With("origin", mOrigin)
    .With("known_ms_ago", Age())
    .With("lost", lost);
  mNotedRefusal = aRefusal;
}

feed_knowledge
store_feed::Knowledge() const
{
  return { mState, mLife, mOrigin, ProvenAt(), Refusal() };
}

void
store_feed::Serve(const edge::request& aQuestion, feed_asker aAsker)
{
  mHeld.Hold(DecodeQuestion(aQuestion), std::move(aAsker), Knowledge());
  AnswerAll();
}

void
store_feed::AnswerAll()
{
  if (mIsWatching) {
    for (const auto& mirror : mMirrors) {
      auto& known = mState.mRevisions[mirror->Kind()];
      known = std::max(known, mirror->Revision());
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
    mParts.mOnContact(aIsReachable);
  }
}

} // namespace lavender::feed
