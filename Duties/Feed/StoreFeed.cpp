#include "Duties/Feed/StoreFeed.h"

#include "Libraries/Core/Identity.h"
#include "Libraries/Core/Rendezvous.h"
#include "Libraries/EventLog/EventLog.h"

#include <algorithm>

namespace lavender::feed {

using namespace std::chrono_literals;

namespace {

/** Longer than another entry holds a request. */
constexpr milliseconds kResponseTimeout = 900ms;
/** A live entry accepts a connection within some milliseconds. An instance that
 * was removed stays in the list for twenty seconds, and if its name sorts
 * first, each entry that starts would wait for it. */
constexpr milliseconds kConnectTimeout = 150ms;
/** An entry that seeks a source tries many, of which a large part may be gone.
 * Longer than a connection between regions takes. */
constexpr milliseconds kSeekingConnectTimeout = 60ms;
/** An entry whose state is older watches the store itself. Including the time
 * of a listing this stays below the two seconds within which a configuration
 * must be in force. Normally the age stays below a probe's interval and
 * timeout. */
constexpr milliseconds kMaximumAge = 1500ms;
/** Normally the state is more recent. At this age the first kStandbys entries
 * start to watch the store, each kStandbyStep after the one before, so
 * that the other entries can follow one of them before they reach kMaximumAge.
 */
constexpr milliseconds kStandbyAge = 950ms;
constexpr milliseconds kStandbyStep = 80ms;
/** An entry that didn't respond isn't tried again for this long. */
constexpr milliseconds kUnresponsiveBackoff = 5000ms;
/** An entry that rejected a request isn't tried again for this long, since it
 * may have a recent state soon. Longer than it takes to try all other entries:
 * else two that reject would be tried in turn and a third one never. */
constexpr milliseconds kRefusalBackoff = 1500ms;
/** How often an entry that watches, though another one should, searches for
 * that one. */
constexpr milliseconds kSourceSearchInterval = 3000ms;
/** Entries that are tried, one after the other, in each search. */
constexpr int kTriesPerSearch = 3;
/** The first candidates, which a search tries in their order; it rotates the
 * others. */
constexpr std::size_t kCommonCandidates = 3;
/** An entry that has just lost its own source is tried again after this. */
constexpr milliseconds kRetryDelay = 200ms;
constexpr int kMaximumRetries = 3;
/** Entries that one without access to the store tries between two probes. In an
 * outage of the store for all, hundreds of entries would overload each other
 * with requests. */
constexpr int kMaximumTriesPerProbe = 8;
/** The same while seeking, when probes are half as frequent. */
constexpr int kMaximumTriesWhileSeeking = 16;
/** The same while the store answers, so that some entries watch it by now. */
constexpr int kMaximumTriesWhileOthersWatch = 24;
/** The first entries in the order, which begin to watch before the others. An
 * entry that seeks a source tries these before the rest. */
constexpr std::size_t kLikelySources = 48;

} // namespace

store_feed::store_feed(feed_dependencies aParts,
                       std::vector<watched_kind> aKinds)
  : mDependencies(std::move(aParts))
  , mKinds(std::move(aKinds))
  , mIncarnation(MakeRandomName())
  , mHeld(mDependencies.mScheduler, [this] { AnswerHeldRequests(); })
  , mVerifiedAt(Now())
{
}

void
store_feed::Start()
{
  mVerifiedAt = Now();
  ScheduleAgeCheck();
  ChooseSource();
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
  return RankOf(mDependencies.mCandidates(), mDependencies.mName);
}

bool
store_feed::IsLater(const std::string& aEntry) const
{
  const auto all = mDependencies.mCandidates();
  return RankOf(all, aEntry) > RankOf(all, mDependencies.mName);
}

milliseconds
store_feed::AgeLimit() const
{
  const auto rank = Rank();
  return rank == 0 || rank > kStandbys
           ? kMaximumAge
           : kStandbyAge + kStandbyStep * static_cast<int>(rank - 1);
}

void
store_feed::ScheduleAgeCheck()
{
  const auto limit = AgeLimit();
  const auto left =
    std::chrono::ceil<milliseconds>(mVerifiedAt + limit - Now());
  mAgeCheck = mDependencies.mScheduler.mAfter(std::max<milliseconds>(left, 1ms),
                                              [this, limit] {
                                                if (mIsWatching) {
                                                  return;
                                                }
                                                if (Age() < limit) {
                                                  ScheduleAgeCheck();
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

// Choosing a source

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
  auto candidates = Candidates();
  const auto all = mDependencies.mCandidates();
  const auto next = RankOf(all, mDependencies.mName) + 1;
  for (auto rank = next; rank < all.size(); ++rank) {
    candidates.push_back(all[rank]);
  }
  return candidates;
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
store_feed::ChooseSource()
{
  if (const auto candidate = NextCandidate(Candidates())) {
    RequestFrom(*candidate);
  } else {
    WatchStore();
  }
}

void
store_feed::ScheduleSourceSearch()
{
  mSearchTriesLeft = kTriesPerSearch;
  mNextSearch = mDependencies.mScheduler.mAfter(kSourceSearchInterval, [this] {
    if (mIsWatching) {
      SearchSource();
    }
  });
}

void
store_feed::SearchSource()
{
  const auto candidate = NextCandidate(Rotate(Candidates()));
  if (candidate && mSearchTriesLeft > 0) {
    --mSearchTriesLeft;
    RequestFrom(*candidate);
  } else {
    ScheduleSourceSearch();
  }
}

std::vector<feed_candidate>
store_feed::Rotate(std::vector<feed_candidate> aCandidates) const
{
  const auto same = static_cast<std::ptrdiff_t>(
    std::min(kCommonCandidates, aCandidates.size()));
  if (const auto rest = aCandidates.begin() + same; rest != aCandidates.end()) {
    // Each entry begins at another candidate, because the first ones may all be
    // unresponsive.
    const auto count = static_cast<std::uint64_t>(aCandidates.end() - rest);
    const auto shift = RendezvousHash(mDependencies.mName, {}) % count;
    std::rotate(
      rest, rest + static_cast<std::ptrdiff_t>(shift), aCandidates.end());
  }
  return aCandidates;
}

std::vector<feed_candidate>
store_feed::LikelySources() const
{
  const auto all = mDependencies.mCandidates();
  const auto count = std::min(all.size(), kLikelySources);
  const auto rest = all.begin() + static_cast<std::ptrdiff_t>(count);
  auto sources = Rotate({ all.begin(), rest });
  sources.insert(sources.end(), rest, all.end());
  return sources;
}

void
store_feed::TryAnySource()
{
  // The store may refuse this instance but serve others.
  const auto candidate =
    NextCandidate(mIsSeeking ? LikelySources() : AllCandidates());
  const auto mostTries = mDelayedMirrorStart ? kMaximumTriesWhileOthersWatch
                         : mIsSeeking        ? kMaximumTriesWhileSeeking
                                             : kMaximumTriesPerProbe;
  if (candidate && mTriedSinceProbe < mostTries) {
    ++mTriedSinceProbe;
    RequestFrom(*candidate);
    return;
  }
  mNextSearch = mDependencies.mScheduler.mAfter(kRetryDelay, [this] {
    if (mIsWatching && !mDoesStoreAnswer) {
      TryAnySource();
    } else if (mIsWatching) {
      ScheduleSourceSearch();
    }
  });
}

// Following another entry

void
store_feed::RequestFrom(const feed_candidate& aCandidate)
{
  mSourceName = aCandidate.mName;
  mSource = aCandidate.mAddress;
  SendRequest();
}

void
store_feed::SendRequest()
{
  edge::call_options options;
  options.mConnectTimeout =
    mIsSeeking ? kSeekingConnectTimeout : kConnectTimeout;
  options.mSilenceTimeout = kResponseTimeout;
  const sent_request sent{ ++mRequestNumber, mSourceName, Now() };
  mIsRequestOutstanding = true;
  mDependencies.mCall(
    mSource,
    EncodeFeedRequest({ mSourceIncarnation,
                        mSourceNumber,
                        Age(),
                        HasListed() ? mState.mRevisions : kind_revisions{} }),
    options,
    kResponseTimeout,
    [this, sent](edge::call_end aEnd, const edge::response& aResponse) {
      HandleResponse(sent, aEnd, aResponse);
    });
}

void
store_feed::HandleResponse(const sent_request& aSent,
                           edge::call_end aEnd,
                           const edge::response& aResponse)
{
  if (aSent.mNumber != mRequestNumber) {
    return;
  }
  mIsRequestOutstanding = false;
  const bool isComplete = aEnd == edge::call_end::Complete;
  const auto feed = isComplete && aResponse.mStatus == 200
                      ? DecodeFeed(aResponse.mBody)
                      : std::nullopt;
  std::string reason = isComplete ? "refused" : "no response";
  if (feed) {
    // The duration of the transfer isn't known, so the response is assumed to
    // have been sent at the earliest possible time.
    const auto provenAt =
      aSent.mSentAt + feed->mProof.mHeld - feed->mProof.mAge;
    reason = ReasonToReject(*feed, provenAt);
    if (reason.empty()) {
      Accept(*feed, aSent.mEntry, provenAt);
      return;
    }
  }
  const bool mayKnowSoon =
    isComplete && (feed || aResponse.mStatus == kRetryLater);
  if (mayKnowSoon && !mIsWatching && mRetries < kMaximumRetries &&
      Age() < kStandbyAge) {
    ++mRetries;
    mNextSearch =
      mDependencies.mScheduler.mAfter(kRetryDelay, [this] { ChooseSource(); });
    return;
  }
  events::line("feed_lost")
    .With("entry", aSent.mEntry)
    .With("end", edge::ToString(aEnd))
    .With("status", static_cast<std::int64_t>(aResponse.mStatus))
    .With("reason", reason)
    .With("known_ms_ago", Age());
  // An entry that follows this one may start to watch the store soon.
  const bool isAskedAgainSoon = mayKnowSoon && mIsWatching && !mDoesStoreAnswer;
  Avoid(aSent.mEntry,
        !isComplete        ? kUnresponsiveBackoff
        : isAskedAgainSoon ? kRetryDelay
                           : kRefusalBackoff);
  TryNextSource();
}

std::string
store_feed::ReasonToReject(const decoded_feed& aFeed,
                           time_point aProvenAt) const
{
  if (aFeed.mProof.mOrigin == mDependencies.mName) {
    return "state comes from this entry";
  }
  if (Now() - aProvenAt > kMaximumAge) {
    return "state too old";
  }
  if (mIsWatching && !mDoesStoreAnswer && aProvenAt <= VerifiedAt()) {
    return "state no more recent than own";
  }
  return "";
}

void
store_feed::Accept(const decoded_feed& aFeed,
                   const std::string& aEntry,
                   time_point aProvenAt)
{
  mRetries = 0;
  mVerifiedAt = std::max(VerifiedAt(), aProvenAt);
  mOrigin = aFeed.mProof.mOrigin;
  if (mIsWatching) {
    events::line("feed_followed")
      .With("entry", aEntry)
      .With("origin", mOrigin)
      .With("known_ms_ago", Age());
    StopWatching();
    mFollowingSince = Now();
    ScheduleAgeCheck();
  }
  if (Now() - mFollowingSince > kSourceSearchInterval) {
    mFollowingSince = Now();
    if (IsLater(aEntry)) {
      CheckDirectAccess();
    }
  }
  ApplyFeed(aFeed);
  SetReachable(true);
  AnswerHeldRequests();
  SendRequest();
}

void
store_feed::TryNextSource()
{
  if (!mIsWatching) {
    ChooseSource();
  } else if (mDoesStoreAnswer) {
    SearchSource();
  } else {
    TryAnySource();
  }
}

void
store_feed::ApplyFeed(const decoded_feed& aFeed)
{
  mSourceIncarnation = aFeed.mIncarnation;
  mSourceNumber = aFeed.mNewest;
  if (aFeed.mIsComplete) {
    ApplyFullState(aFeed);
  } else {
    for (const auto& change : aFeed.mChanges) {
      for (const auto& kind : mKinds) {
        if (kind.mKind == change.mKind &&
            IsNewer(mState, change.mKind, change.mEvent)) {
          ApplyEvent(mState, change.mKind, change.mEvent);
          kind.mOnEvent(change.mEvent);
        }
      }
    }
  }
  for (const auto& [kind, gaps] : aFeed.mGaps) {
    for (const auto& gap : gaps) {
      AddGap(mState, kind, gap);
    }
  }
  for (const auto& [kind, revision] : aFeed.mRevisions) {
    RecordRevision(mState, kind, revision);
  }
}

void
store_feed::ApplyFullState(const decoded_feed& aFeed)
{
  std::map<std::string, object_map> received;
  for (const auto& change : aFeed.mChanges) {
    received[change.mKind][change.mEvent.mObject.mName] = change.mEvent.mObject;
  }
  for (const auto& kind : mKinds) {
    const auto toldUpTo = aFeed.mRevisions.find(kind.mKind);
    const auto merged =
      MergeListing(mState.mKinds[kind.mKind],
                   received[kind.mKind],
                   toldUpTo == aFeed.mRevisions.end() ? 0 : toldUpTo->second);
    ApplyListing(mState, kind.mKind, merged);
    mIsListed[kind.mKind] = true;
    kind.mOnListed(merged);
  }
}

} // namespace lavender::feed
