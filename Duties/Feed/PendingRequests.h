#pragma once

#include "Duties/Feed/FeedState.h"
#include "Libraries/Core/Scheduler.h"
#include "Libraries/Edge/Listener.h"

namespace lavender::feed {

/** Sends the response to another entry's request. */
struct feed_requester
{
  std::function<void(edge::response)> mAnswer;
  std::function<bool()> mHasDisconnected;
};

feed_requester
RequesterOf(const edge::exchange_ptr& aExchange);

/** Another entry's request for the changes after the last one that it has, or
 * for a later verification of an unchanged state. */
struct feed_request
{
  /** Process that assigned mSince. */
  std::string mIncarnation;
  /** Sequence number of the last change that the requester has. */
  feed_sequence mSince = 0;
  /** How long ago the requester's state was verified to match the store. */
  milliseconds mAge{ 0 };
  /** Revisions up to which the requester knows each kind, from whatever source;
   * empty if it lacks some kind. */
  kind_revisions mRevisions;
};

edge::request
EncodeFeedRequest(const feed_request& aFeedRequest);
feed_request
DecodeFeedRequest(const edge::request& aRequest);

/** Path of the requests between entries. */
constexpr char kFeedPath[] = "/feed";

/** Status of a rejection that the requester should retry soon. */
constexpr unsigned kRetryLater = 421;

/** Why an entry doesn't answer with its state. */
enum class refusal
{
  None,
  /** The entry follows another one and should have a recent state soon.
   * Requests are held until then. */
  WaitingForSource,
  /** The entry's state is too old but may be verified soon; the requester
   * retries. */
  RetryLater,
  /** The store doesn't answer this entry; the requester tries another one. */
  StoreUnavailable
};

/** The state from which requests are answered at one moment. */
struct feed_snapshot
{
  const feed_state& mState;
  const std::string& mIncarnation;
  std::string mOrigin;
  /** Time at which the state was last verified to match the store. */
  time_point mVerifiedAt;
  refusal mRefusal = refusal::None;
};

/** Long polls of other entries, held until there is something new to send. */
class pending_requests
{
public:
  /** @param aAnswerHeldRequests called when some request must be answered;
   * shall call Answer() */
  pending_requests(scheduler aScheduler,
                   std::function<void()> aAnswerHeldRequests);

  void Hold(const feed_request& aFeedRequest,
            feed_requester aRequester,
            const feed_snapshot& aSnapshot);
  /** Answers the requests for which there are changes or a later verification,
   * whose hold is over, or which must be rejected. */
  void Answer(const feed_snapshot& aSnapshot);
  bool IsEmpty() const { return mHeld.empty(); }

private:
  struct held_request
  {
    feed_requester mRequester;
    /** None if the requester has a number of another process. */
    std::optional<feed_sequence> mSince;
    kind_revisions mRevisions;
    time_point mReceivedAt;
    /** When the requester's state was last verified to match the store. */
    time_point mRequesterVerifiedAt;
  };

  /** Number after which the requester lacks changes; none if it needs the full
   * state. */
  static std::optional<feed_sequence> SinceOf(const held_request& aHeld,
                                              const feed_snapshot& aSnapshot);
  bool IsDue(const held_request& aHeld, const feed_snapshot& aSnapshot) const;
  /** Until when a request is held while this entry waits for its own source. */
  time_point WaitDeadline(const held_request& aHeld) const;
  void ScheduleAnswer(const feed_snapshot& aSnapshot);

  const scheduler mScheduler;
  const std::function<void()> mAnswerHeldRequests;
  std::vector<held_request> mHeld;
  /** Since when this entry has been waiting for its own source. */
  std::optional<time_point> mWaitingForSourceSince;
  planned_action mNextAnswer;
};

} // namespace lavender::feed
