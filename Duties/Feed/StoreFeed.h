#pragma once

#include "Duties/Feed/FeedOrder.h"
#include "Duties/Feed/PendingRequests.h"
#include "Libraries/Edge/Caller.h"
#include "Libraries/ObjectStore/Mirror.h"

namespace lavender::feed {

/** How an entry that watches a kind decides that its state is current. */
enum class freshness_rule
{
  /** The state is verified by each response to a watch. For kinds whose
   * changes must become known in time. */
  EveryResponse,
  /** The state counts as current unless the watch is known to be lost. Allows
   * longer watches, and each response to a watch is billed. */
  WatchConnected
};

struct watched_kind
{
  std::string mKind;
  freshness_rule mProof = freshness_rule::EveryResponse;
  objects::mirror_options mOptions;
  std::function<void(const object_map&)> mOnListed;
  std::function<void(const objects::object_event&)> mOnEvent;
};

struct feed_dependencies
{
  scheduler mScheduler;
  const objects::object_store& mStore;
  /** The same store, but never through other entries; shows whether the store
   * serves this entry. */
  const objects::object_store& mDirectStore;
  /** Calls another entry; the deadline covers the whole call. */
  std::function<void(const edge::endpoint&,
                     const edge::request&,
                     const edge::call_options&,
                     milliseconds aDeadline,
                     edge::whole_answer)>
    mCall;
  std::string mName;
  /** Kind of this entry's own object, which is read to check whether the store
   * answers. */
  std::string mProbeKind;
  /** Returns all entries, including this one, in an order that is the same at
   * all of them: those first that are best suited to work for the others. */
  std::function<std::vector<feed_candidate>()> mCandidates;
  /** Called when the store's state becomes known again, or can no longer be
   * obtained from the store or any entry. */
  std::function<void(bool aIsReachable)> mOnReachabilityChange;
};

/** Keeps this entry's copy of some kinds of objects up to date.
 *
 * The first entry in the order watches the store. The others follow it,
 * directly or through other entries, by long polls, and receive a change as
 * soon as their source does. Each response tells when the entry that watches
 * last verified the state; forwarding doesn't change that time. An entry whose
 * state was last verified more than kMaximumAge ago seeks another source, even
 * if its own still answers, and watches the store itself if it finds none
 * within SeekingTime(). The loss of other entries thus delays a change by these
 * two times at most, and an entry that reaches the other entries but not the
 * store has no delay. */
class store_feed
{
public:
  store_feed(feed_dependencies aParts, std::vector<watched_kind> aKinds);

  void Start();
  /** Handles another entry's request. */
  void Serve(const edge::request& aRequest, feed_requester aRequester);
  /** Whether every kind has been listed at least once. */
  bool HasListed() const;
  bool IsReachable() const { return mIsReachable; }
  /** Whether this entry watches the store and the store answers it. */
  bool IsWatching() const { return mIsWatching && mDoesStoreAnswer; }
  /** Returns how long ago the state here was verified to match the store. */
  milliseconds Age() const
  {
    return std::chrono::duration_cast<milliseconds>(Now() - VerifiedAt());
  }
  /** Returns the name of the entry that this one follows, or "store". */
  std::string SourceName() const { return mIsWatching ? "store" : mSourceName; }
  /** Returns the name of the entry that watches the store and from which the
   * state here comes. */
  const std::string& Origin() const { return mOrigin; }
  /** Returns the address of the entry that this one follows; none if it watches
   * the store itself or no entry has answered yet. */
  std::optional<edge::endpoint> Source() const
  {
    return mIsWatching || mSourceNumber == 0 ? std::nullopt
                                             : std::optional(mSource);
  }

  /** The first entries in the order. Of those, each begins to watch a little
   * after the one before, if none watches. */
  static constexpr std::size_t kStandbys = 6;

private:
  /** A request to another entry. */
  struct sent_request
  {
    std::uint64_t mNumber = 0;
    std::string mEntry;
    time_point mSentAt;
  };

  time_point Now() const { return mDependencies.mScheduler.mNow(); }
  time_point VerifiedAt() const;
  /** Returns the entries that this one may follow permanently, preferred ones
   * first. */
  std::vector<feed_candidate> Candidates() const;
  /** Returns Candidates() and then all other entries; for an entry that the
   * store doesn't serve. */
  std::vector<feed_candidate> AllCandidates() const;
  std::optional<feed_candidate> NextCandidate(
    const std::vector<feed_candidate>& aCandidates) const;
  void Avoid(const std::string& aName, milliseconds aTime);
  void ChooseSource();
  void RequestFrom(const feed_candidate& aCandidate);
  void SendRequest();
  void HandleResponse(const sent_request& aSent,
                      edge::call_end aEnd,
                      const edge::response& aResponse);
  /** Returns why the feed isn't accepted; empty if it is. */
  std::string ReasonToReject(const decoded_feed& aFeed,
                             time_point aProvenAt) const;
  void Accept(const decoded_feed& aFeed,
              const std::string& aEntry,
              time_point aProvenAt);
  void TryNextSource();
  void CheckDirectAccess();
  void ApplyFeed(const decoded_feed& aFeed);
  void ApplyFullState(const decoded_feed& aFeed);
  /** Returns this entry's place in the order of all. */
  std::size_t Rank() const;
  /** Whether an entry comes after this one in the order of all. */
  bool IsLater(const std::string& aEntry) const;
  /** Returns the age of the state at which this entry watches the store
   * itself. */
  milliseconds AgeLimit() const;
  void ScheduleAgeCheck();
  void WatchStore();
  /** Looks for an entry to follow and probes the store, without watching
   * anything yet. */
  void SeekSource();
  void StartMirrors();
  void StartMirror(const watched_kind& aKind);
  void HandleListing(const watched_kind& aKind, const object_map& aObjects);
  bool HaveMirrorsListed() const;
  void StopWatching();
  void ScheduleProbe(milliseconds aDelay);
  void HandleFirstAnswer();
  /** How long this entry looks for a source though it could watch the store. */
  milliseconds SeekingTime() const;
  void HandleProbeResult(const objects::object_reply& aReply);
  /** Schedules a search for an entry to follow, while this one watches. */
  void ScheduleSourceSearch();
  void SearchSource();
  /** Returns the candidates in an order that differs from entry to entry after
   * the first ones. */
  std::vector<feed_candidate> Rotate(
    std::vector<feed_candidate> aCandidates) const;
  /** Returns all entries, those first that watch the store first when all seek
   * a source. */
  std::vector<feed_candidate> LikelySources() const;
  void TryAnySource();
  refusal CurrentRefusal() const;
  void LogRefusal(refusal aRefusal);
  feed_snapshot Snapshot() const;
  void AnswerHeldRequests();
  void SetReachable(bool aIsReachable);

  feed_dependencies mDependencies;
  std::vector<watched_kind> mKinds;
  feed_state mState;
  const std::string mIncarnation;
  pending_requests mHeld;
  std::vector<std::shared_ptr<objects::mirror>> mMirrors;
  std::map<std::string, time_point> mAvoidedUntil;
  std::map<std::string, bool> mIsListed;
  planned_action mNextSearch;
  planned_action mNextProbe;
  planned_action mDelayedMirrorStart;
  planned_action mAgeCheck;
  edge::endpoint mSource;
  std::string mSourceName;
  std::string mSourceIncarnation;
  std::string mOrigin;
  feed_sequence mSourceNumber = 0;
  std::uint64_t mRequestNumber = 0;
  /** Whether the newest request may still be answered. */
  bool mIsRequestOutstanding = false;
  /** Retries since the last accepted response, at sources that may have a
   * recent state soon. */
  int mRetries = 0;
  int mTriedSinceProbe = 0;
  int mSearchTriesLeft = 0;
  time_point mFollowingSince;
  /** When the state was verified to match the store, according to the last
   * accepted response of another entry. */
  time_point mVerifiedAt;
  bool mIsWatching = false;
  /** Whether this entry looks for a source before it starts any watch. */
  bool mIsSeeking = false;
  bool mDoesStoreAnswer = true;
  bool mIsReachable = true;
  /** Refusal in the last log line about refusals. */
  refusal mLoggedRefusal = refusal::None;
};

} // namespace lavender::feed
