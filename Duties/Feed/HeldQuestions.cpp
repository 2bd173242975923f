#include "Duties/Feed/HeldQuestions.h"

#include <algorithm>

namespace lavender::feed {

using namespace std::chrono_literals;

namespace {

constexpr char kLifeField[] = "Lavender-Life";
constexpr char kSinceField[] = "Lavender-Since";
constexpr char kAgeField[] = "Lavender-Age-Ms";
/** By less a proof is the same one: the ways between entries make it older. */
constexpr milliseconds kLaterProof = 100ms;
/** A question is answered after this at the latest, so that silence beyond it
 * shows that this entry is gone. In health the next proof comes before. */
constexpr milliseconds kHold = 700ms;

/** An entry that starts, or finds another source, knows the state within some
 * tens of ms. One that doesn't sends those that ask it elsewhere after this. */
constexpr milliseconds kHoldWaiting = 300ms;

/** The answer of one that doesn't know the store's state. */
constexpr unsigned kNoStore = 503;

milliseconds
Between(time_point aFrom, time_point aTo)
{
  return std::chrono::ceil<milliseconds>(aTo - aFrom);
}

} // namespace

feed_requester
RequesterOf(const edge::exchange_ptr& aExchange)
{
  return { [aExchange](edge::response aAnswer) {
            aExchange->Answer(std::move(aAnswer));
          },
           [aExchange] { return aExchange->IsEnded(); } };
}

edge::request
EncodeFeedRequest(const feed_request& aQuestion)
{
  edge::request request;
  request.mMethod = "GET";
  request.mTarget = kFeedPath;
  request.mHeaders.Add(kLifeField, aQuestion.mIncarnation);
  request.mHeaders.Add(kSinceField, std::to_string(aQuestion.mSince));
  request.mHeaders.Add(kAgeField, std::to_string(aQuestion.mAge.count()));
  return request;
}

feed_request
DecodeFeedRequest(const edge::request& aRequest)
{
  return { aRequest.mHeaders.ValueOr(kLifeField, ""),
           aRequest.mHeaders.Integer(kSinceField).value_or(0),
           milliseconds(aRequest.mHeaders.Integer(kAgeField).value_or(0)) };
}

pending_requests::pending_requests(scheduler aScheduler,
                                   std::function<void()> aAnswerAll)
  : mScheduler(std::move(aScheduler))
  , mAnswerAll(std::move(aAnswerAll))
{
}

void
pending_requests::Hold(const feed_request& aQuestion,
                       feed_requester aAsker,
                       const feed_knowledge& aKnown)
{
  held question;
  question.mAsker = std::move(aAsker);
  question.mAskedAt = mScheduler.mNow();
  question.mProven = question.mAskedAt - aQuestion.mAge;
  if (aQuestion.mIncarnation == aKnown.mIncarnation) {
    question.mSince = aQuestion.mSince;
  }
  mHeld.push_back(std::move(question));
}

bool
pending_requests::IsDue(const held& aHeld, const feed_knowledge& aKnown) const
{
  return !aHeld.mSince || *aHeld.mSince < aKnown.mState.mNewest ||
         aHeld.mProven + kLaterProof < aKnown.mVerifiedAt ||
         mScheduler.mNow() >= aHeld.mAskedAt + kHold;
}

time_point
pending_requests::WaitsUntil(const held& aHeld) const
{
  return std::max(aHeld.mAskedAt, mWaitingSince.value_or(aHeld.mAskedAt)) +
         kHoldWaiting;
}

void
pending_requests::Answer(const feed_knowledge& aKnown)
{
  const auto now = mScheduler.mNow();
  if (aKnown.mRefusal != refusal::Waiting) {
    mWaitingSince.reset();
  } else if (!mWaitingSince) {
    mWaitingSince = now;
  }
  std::vector<held> kept;
  // Many that have just started ask for everything at once.
  std::map<std::optional<feed_sequence>, encoded_changes> encoded;
  for (auto& question : std::exchange(mHeld, {})) {
    if (question.mAsker.mHasLeft()) {
      continue;
    }
    if (aKnown.mRefusal == refusal::Waiting && now < WaitsUntil(question)) {
      kept.push_back(std::move(question));
    } else if (aKnown.mRefusal != refusal::None) {
      const auto status =
        aKnown.mRefusal == refusal::NoStore ? kNoStore : kNotYet;
      question.mAsker.mAnswer({ status, {}, {} });
    } else if (IsDue(question, aKnown)) {
      const feed_provenance proof{ aKnown.mOrigin,
                                   Between(aKnown.mVerifiedAt, now),
                                   std::chrono::floor<milliseconds>(
                                     now - question.mAskedAt) };
      auto changes = encoded.find(question.mSince);
      if (changes == encoded.end()) {
        changes = encoded
                    .emplace(question.mSince,
                             EncodeChanges(aKnown.mState, question.mSince))
                    .first;
      }
      question.mAsker.mAnswer(
        { 200,
          {},
          EncodeFeed(
            aKnown.mState, aKnown.mIncarnation, changes->second, proof) });
    } else {
      kept.push_back(std::move(question));
    }
  }
  mHeld = std::move(kept);
  PlanAnswer(aKnown);
}

void
pending_requests::PlanAnswer(const feed_knowledge& aKnown)
{
  if (mHeld.empty()) {
    mNextAnswer.reset();
    return;
  }
  auto next = time_point::max();
  for (const auto& question : mHeld) {
    next =
      std::min(next,
               aKnown.mRefusal == refusal::Waiting ? WaitsUntil(question)
                                                   : question.mAskedAt + kHold);
  }
  const auto wait = Between(mScheduler.mNow(), next);
  mNextAnswer =
    mScheduler.mAfter(std::max<milliseconds>(wait, 1ms), mAnswerAll);
}

} // namespace lavender::feed
