#include "Duties/Feed/HeldQuestions.h"

#include <algorithm>

namespace lavender::feed {

using namespace std::chrono_literals;

namespace {

constexpr char kLifeField[] = "Lavender-Life";
constexpr char kSinceField[] = "Lavender-Since";
/** A question is answered after this at the latest, so that silence beyond it
 * shows that this entry is gone. In health the next proof comes before. */
constexpr milliseconds kHold = 700ms;

/** An entry that starts knows the state within a few tens of ms. One whose own
 * source is gone sends those that ask it elsewhere after this. */
constexpr milliseconds kHoldStarting = 300ms;

/** The answer of one that doesn't know the store's state. */
constexpr unsigned kNoStore = 503;

milliseconds
Between(time_point aFrom, time_point aTo)
{
  return std::chrono::ceil<milliseconds>(aTo - aFrom);
}

} // namespace

feed_asker
AskerOf(const edge::exchange_ptr& aExchange)
{
  return { [aExchange](edge::response aAnswer) {
            aExchange->Answer(std::move(aAnswer));
          },
           [aExchange] { return aExchange->IsEnded(); } };
}

edge::request
EncodeQuestion(const feed_question& aQuestion)
{
  edge::request request;
  request.mMethod = "GET";
  request.mTarget = kFeedPath;
  request.mHeaders.Add(kLifeField, aQuestion.mLife);
  request.mHeaders.Add(kSinceField, std::to_string(aQuestion.mSince));
  return request;
}

feed_question
DecodeQuestion(const edge::request& aRequest)
{
  return { aRequest.mHeaders.ValueOr(kLifeField, ""),
           aRequest.mHeaders.Integer(kSinceField).value_or(0) };
}

held_questions::held_questions(scheduler aScheduler,
                               std::function<void()> aAnswerAll)
  : mScheduler(std::move(aScheduler))
  , mAnswerAll(std::move(aAnswerAll))
{
}

void
held_questions::Hold(const feed_question& aQuestion,
                     feed_asker aAsker,
                     const feed_knowledge& aKnown)
{
  held question;
  question.mAsker = std::move(aAsker);
  question.mAskedAt = mScheduler.mNow();
  question.mProvenWhenAsked = aKnown.mProvenAt;
  if (aQuestion.mLife == aKnown.mLife) {
    question.mSince = aQuestion.mSince;
  }
  mHeld.push_back(std::move(question));
}

bool
held_questions::IsDue(const held& aHeld, const feed_knowledge& aKnown) const
{
  return !aHeld.mSince || *aHeld.mSince < aKnown.mState.mNewest ||
         aHeld.mProvenWhenAsked < aKnown.mProvenAt ||
         mScheduler.mNow() >= aHeld.mAskedAt + kHold;
}

void
held_questions::Answer(const feed_knowledge& aKnown)
{
  const auto now = mScheduler.mNow();
  std::vector<held> kept;
  for (auto& question : std::exchange(mHeld, {})) {
    if (question.mAsker.mHasLeft()) {
      continue;
    }
    if (aKnown.mRefusal == refusal::Starting &&
        now < question.mAskedAt + kHoldStarting) {
      kept.push_back(std::move(question));
    } else if (aKnown.mRefusal != refusal::None) {
      const auto status =
        aKnown.mRefusal == refusal::NoStore ? kNoStore : kNotYet;
      question.mAsker.mAnswer({ status, {}, {} });
    } else if (IsDue(question, aKnown)) {
      const feed_proof proof{ aKnown.mOrigin,
                              Between(aKnown.mProvenAt, now),
                              std::chrono::floor<milliseconds>(
                                now - question.mAskedAt) };
      question.mAsker.mAnswer(
        { 200,
          {},
          EncodeFeed(aKnown.mState, aKnown.mLife, question.mSince, proof) });
    } else {
      kept.push_back(std::move(question));
    }
  }
  mHeld = std::move(kept);
  PlanAnswer(aKnown.mRefusal == refusal::Starting ? kHoldStarting : kHold);
}

void
held_questions::PlanAnswer(milliseconds aHold)
{
  if (mHeld.empty()) {
    mNextAnswer.reset();
    return;
  }
  const auto first = std::min_element(
    mHeld.begin(), mHeld.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.mAskedAt < aRight.mAskedAt;
    });
  const auto wait = Between(mScheduler.mNow(), first->mAskedAt + aHold);
  mNextAnswer =
    mScheduler.mAfter(std::max<milliseconds>(wait, 1ms), mAnswerAll);
}

} // namespace lavender::feed
