#pragma once

#include "Duties/Feed/FeedState.h"
#include "Libraries/Core/Scheduler.h"
#include "Libraries/Edge/Caller.h"
#include "Libraries/Edge/Listener.h"
#include "Libraries/ObjectStore/Mirror.h"

namespace lavender::feed {

struct followed_kind
{
  std::string mKind;
  objects::mirror_options mOptions;
  std::function<void(const object_map&)> mOnListed;
  std::function<void(const objects::object_event&)> mOnEvent;
};

/** An entry that may watch for others. */
struct feed_candidate
{
  std::string mName;
  edge::endpoint mAddress;
};

/** Whom an entry asks, in this order, before it watches the store itself: the
 * one above it in a tree of entries by name, those above that one up to the
 * first, then the others whose names come before its own.
 * @param aAll all entries in the order of their names */
std::vector<feed_candidate>
FeedOrder(const std::vector<feed_candidate>& aAll, const std::string& aName);

struct feed_parts
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
  /** All entries in the order in which they are asked, this one included. */
  std::function<std::vector<feed_candidate>()> mCandidates;
  /** The store's state is known again, or can't be learned from anybody. */
  std::function<void(bool aIsReachable)> mOnContact;
};

/** Where the answer to another entry's question goes. */
struct feed_asker
{
  std::function<void(edge::response)> mAnswer;
  std::function<bool()> mHasLeft;
};

feed_asker
AskerOf(const edge::exchange_ptr& aExchange);

/** Keeps this entry up to date about some kinds of objects.
 *
 * The first entry by name watches the store; the others ask it, or one that
 * asks it, and learn of a change as soon as that one does. One that gets no
 * answer asks the next, and last watches the store itself; so the loss of the
 * watching entry delays a change by about a second, and being cut off from the
 * store but not from the other entries delays nothing. The watching entry reads
 * a small object twice a second: a watch alone would not show for long that the
 * store is out of reach. */
class store_feed
{
public:
  store_feed(feed_parts aParts, std::vector<followed_kind> aKinds);

  void Start();
  /** Another entry's question. */
  void Serve(const edge::request& aQuestion, feed_asker aAsker);
  /** Every kind has been listed at least once. */
  bool HasListed() const;
  bool IsReachable() const { return mIsReachable; }
  /** This entry watches the store, and the store answers it. */
  bool IsWatching() const { return mIsWatching && mDoesStoreAnswer; }
  /** How long ago what is known here was known to be the store's state. */
  milliseconds Age() const
  {
    return std::chrono::duration_cast<milliseconds>(Now() - mFreshAt);
  }
  /** Name of the entry that this one hears from, or "store". */
  std::string SourceName() const { return mIsWatching ? "store" : mSourceName; }
  /** The entry that this one hears from, unless it watches itself. */
  std::optional<edge::endpoint> Source() const
  {
    return mIsWatching || mSourceNumber == 0 ? std::nullopt
                                             : std::optional(mSource);
  }

private:
  struct asking
  {
    feed_asker mAsker;
    std::optional<feed_number> mSince;
    time_point mUntil;
  };

  time_point Now() const { return mParts.mScheduler.mNow(); }
  std::vector<feed_candidate> Candidates() const;
  void Choose();
  bool IsTried(const feed_candidate& aCandidate, time_point aNow) const;
  void Avoid(const std::string& aName, milliseconds aTime);
  void Ask();
  void TakeAnswer(std::uint64_t aQuestion,
                  const std::string& aName,
                  edge::call_end aEnd,
                  const edge::response& aAnswer);
  void LookWhetherStoreAnswers();
  void Apply(const decoded_feed& aFeed);
  void WatchStore();
  void StopWatching();
  void Probe();
  void TakeProbe(const objects::object_reply& aReply);
  void LookForBetter();
  void FollowAnyone();
  void AnswerAll();
  void PlanAnswer();
  void SetReachable(bool aIsReachable);
  /** Why other entries get no answer now; empty when they do. */
  std::string ReasonToRefuse() const;
  void NoteRefusal(const std::string& aReason);

  feed_parts mParts;
  std::vector<followed_kind> mKinds;
  feed_state mState;
  const std::string mLife;
  std::vector<std::shared_ptr<objects::mirror>> mMirrors;
  std::vector<asking> mAsking;
  std::map<std::string, time_point> mAvoidedUntil;
  std::map<std::string, bool> mIsListed;
  planned_action mNextLook;
  planned_action mNextProbe;
  planned_action mNextAnswer;
  edge::endpoint mSource;
  std::string mSourceName;
  std::string mSourceLife;
  feed_number mSourceNumber = 0;
  std::uint64_t mQuestion = 0;
  int mWaitsForSource = 0;
  time_point mFollowsSince;
  time_point mFreshAt;
  bool mIsWatching = false;
  bool mDoesStoreAnswer = true;
  bool mIsReachable = true;
  /** What the log last said of it. */
  std::string mNotedRefusal;
};

/** Path of the questions between entries. */
constexpr char kFeedPath[] = "/feed";

} // namespace lavender::feed
