#pragma once

#include "Duties/Feed/FeedState.h"
#include "Libraries/Core/Scheduler.h"
#include "Libraries/Edge/Listener.h"

namespace lavender::feed {

/** Where the answer to another entry's question goes. */
struct feed_requester
{
  std::function<void(edge::response)> mAnswer;
  std::function<bool()> mHasLeft;
};

feed_requester
RequesterOf(const edge::exchange_ptr& aExchange);

/** What another entry asks: all changes after the last that it has from one
 * life of this process, and proof that is later than its own. */
struct feed_request
{
  std::string mIncarnation;
  feed_sequence mSince = 0;
  /** How long ago what it knows was known to be the store's state. */
  milliseconds mAge{ 0 };
};

edge::request
EncodeFeedRequest(const feed_request& aQuestion);
feed_request
DecodeFeedRequest(const edge::request& aRequest);

/** Path of the questions between entries. */
constexpr char kFeedPath[] = "/feed";

/** Status of a refusal by an entry that may know in a moment. */
constexpr unsigned kNotYet = 421;

/** Why an entry refuses to answer, and what the one that asks makes of it. */
enum class refusal
{
  None,
  /** It hears from another entry and should know in a moment, until when the
   * question waits. */
  Waiting,
  /** It may know in a moment: ask again. */
  NotYet,
  /** The store doesn't answer it: ask another one. */
  NoStore
};

/** What this entry can say at one moment. */
struct feed_knowledge
{
  const feed_state& mState;
  const std::string& mIncarnation;
  std::string mOrigin;
  /** A time at which all that is known was the store's state. */
  time_point mVerifiedAt;
  refusal mRefusal = refusal::None;
};

/** Questions of other entries that wait for news. */
class pending_requests
{
public:
  /** @param aAnswerAll called when a question has waited long enough */
  pending_requests(scheduler aScheduler, std::function<void()> aAnswerAll);

  void Hold(const feed_request& aQuestion,
            feed_requester aAsker,
            const feed_knowledge& aKnown);
  /** Answers those for which there is news, a later proof, or a refusal. */
  void Answer(const feed_knowledge& aKnown);
  bool IsEmpty() const { return mHeld.empty(); }

private:
  struct held
  {
    feed_requester mAsker;
    /** None when all is asked for. */
    std::optional<feed_sequence> mSince;
    time_point mAskedAt;
    /** Of what the one that asks knows. */
    time_point mProven;
  };

  bool IsDue(const held& aHeld, const feed_knowledge& aKnown) const;
  /** Until when a question waits for what this entry can't tell yet. */
  time_point WaitsUntil(const held& aHeld) const;
  void PlanAnswer(const feed_knowledge& aKnown);

  const scheduler mScheduler;
  const std::function<void()> mAnswerAll;
  std::vector<held> mHeld;
  /** Since when this entry can't tell what it will know in a moment. */
  std::optional<time_point> mWaitingSince;
  planned_action mNextAnswer;
};

} // namespace lavender::feed
