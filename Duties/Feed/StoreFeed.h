#pragma once

#include "Duties/Feed/FeedOrder.h"
#include "Duties/Feed/HeldQuestions.h"
#include "Libraries/Edge/Caller.h"
#include "Libraries/ObjectStore/Mirror.h"

namespace lavender::feed {

/** By what an entry that watches a kind knows that it is up to date. */
enum class freshness_rule
{
  /** Each answer to a watch proves it anew; changes must be known in time. */
  EveryResponse,
  /** The watch isn't known to be lost. Its waits may be longer, as each answer
   * is priced. */
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
  /** The same store without other entries' help: whether it serves this one. */
  const objects::object_store& mDirectStore;
  /** Calls another entry; the deadline is of the whole call. */
  std::function<void(const edge::endpoint&,
                     const edge::request&,
                     const edge::call_options&,
                     milliseconds aDeadline,
                     edge::whole_answer)>
    mCall;
  std::string mName;
  /** An object of this entry's own, read to learn whether the store answers. */
  std::string mProbeKind;
  /** All entries in the order of their names, this one included. */
  std::function<std::vector<feed_candidate>()> mCandidates;
  /** The store's state is known again, or can't be learned from anybody. */
  std::function<void(bool aIsReachable)> mOnReachabilityChange;
};

/** Keeps this entry up to date about some kinds of objects.
 *
 * The first entry by name watches the store; the others ask it, or one that
 * asks it, and learn of a change as soon as that one does. Each answer tells
 * when its knowledge was last proven to be the store's state, by the entry that
 * watches; passing it on makes it no younger. An entry whose own knowledge is
 * older than kMostAge watches the store itself, whoever answers it. So the loss
 * of any other entry delays a change by that much at most, and being cut off
 * from the store but not from the other entries delays nothing. */
class store_feed
{
public:
  store_feed(feed_dependencies aParts, std::vector<watched_kind> aKinds);

  void Start();
  /** Another entry's question. */
  void Serve(const edge::request& aQuestion, feed_requester aAsker);
  /** Every kind has been listed at least once. */
  bool HasListed() const;
  bool IsReachable() const { return mIsReachable; }
  /** This entry watches the store, and the store answers it. */
  bool IsWatching() const { return mIsWatching && mDoesStoreAnswer; }
  /** How long ago what is known here was known to be the store's state. */
  milliseconds Age() const
  {
    return std::chrono::duration_cast<milliseconds>(Now() - VerifiedAt());
  }
  /** Name of the entry that this one hears from, or "store". */
  std::string SourceName() const { return mIsWatching ? "store" : mSourceName; }
  /** Name of the entry whose watch tells of changes here. */
  const std::string& Origin() const { return mOrigin; }
  /** The entry that this one hears from, unless it watches itself. */
  std::optional<edge::endpoint> Source() const
  {
    return mIsWatching || mSourceNumber == 0 ? std::nullopt
                                             : std::optional(mSource);
  }

private:
  struct question
  {
    std::uint64_t mNumber = 0;
    std::string mEntry;
    time_point mAskedAt;
  };

  time_point Now() const { return mDependencies.mScheduler.mNow(); }
  time_point VerifiedAt() const;
  /** Whom this entry may follow for long, in the order in which it asks. */
  std::vector<feed_candidate> Candidates() const;
  /** Those, then all others, for one that the store doesn't serve. */
  std::vector<feed_candidate> AllCandidates() const;
  std::optional<feed_candidate> NextCandidate(
    const std::vector<feed_candidate>& aCandidates) const;
  void Avoid(const std::string& aName, milliseconds aTime);
  void Choose();
  void AskCandidate(const feed_candidate& aCandidate);
  void Ask();
  void TakeAnswer(const question& aQuestion,
                  edge::call_end aEnd,
                  const edge::response& aAnswer);
  std::string ReasonToReject(const decoded_feed& aFeed,
                             time_point aProvenAt) const;
  void Accept(const decoded_feed& aFeed,
              const std::string& aEntry,
              time_point aProvenAt);
  void AskAnother();
  void LookWhetherStoreAnswers();
  void Apply(const decoded_feed& aFeed);
  void ApplyWhole(const decoded_feed& aFeed);
  /** Entries whose names come before this one's. */
  std::size_t Rank() const;
  /** Age of its knowledge at which this entry watches the store itself. */
  milliseconds AgeLimit() const;
  void PlanAgeLimit();
  void WatchStore();
  /** Looks for somebody who knows, and whether the store answers, before it
   * watches anything. */
  void SeekSource();
  void AddMirrors();
  void AddMirror(const watched_kind& aKind);
  void NoteListing(const watched_kind& aKind, const object_map& aObjects);
  bool HaveMirrorsListed() const;
  void StopWatching();
  void Probe(milliseconds aPause);
  void TakeFirstAnswer();
  void TakeProbe(const objects::object_reply& aReply);
  /** Plans to look for an entry to follow, while this one watches. */
  void LookForBetter();
  void LookNow();
  void FollowAnyone();
  refusal Refusal() const;
  void NoteRefusal(refusal aRefusal);
  feed_knowledge Knowledge() const;
  void AnswerAll();
  void SetReachable(bool aIsReachable);

  feed_dependencies mDependencies;
  std::vector<watched_kind> mKinds;
  feed_state mState;
  const std::string mIncarnation;
  pending_requests mHeld;
  std::vector<std::shared_ptr<objects::mirror>> mMirrors;
  std::map<std::string, time_point> mAvoidedUntil;
  std::map<std::string, bool> mIsListed;
  planned_action mNextLook;
  planned_action mNextProbe;
  planned_action mMirrorsSoon;
  planned_action mAgeLimit;
  edge::endpoint mSource;
  std::string mSourceName;
  std::string mSourceLife;
  std::string mOrigin;
  feed_sequence mSourceNumber = 0;
  std::uint64_t mQuestion = 0;
  /** An answer to the newest question may still come. */
  bool mIsAsking = false;
  /** Pauses for a source that may know in a moment, since the last answer. */
  int mPauses = 0;
  int mAskedSinceProbe = 0;
  int mLooksLeft = 0;
  time_point mFollowsSince;
  /** Of what was known when this entry last heard from another one. */
  time_point mVerifiedAt;
  bool mIsWatching = false;
  /** It watches nothing yet, as others should know more. */
  bool mIsSeeking = false;
  bool mDoesStoreAnswer = true;
  bool mIsReachable = true;
  /** What the log last said of it. */
  refusal mNotedRefusal = refusal::None;
};

} // namespace lavender::feed
