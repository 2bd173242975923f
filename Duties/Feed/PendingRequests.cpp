#include "Duties/Feed/PendingRequests.h"

#include <algorithm>
#include <sstream>

namespace lavender::feed {

using namespace std::chrono_literals;

namespace {

constexpr char kLifeField[] = "Lavender-Life";
constexpr char kSinceField[] = "Lavender-Since";
constexpr char kAgeField[] = "Lavender-Age-Ms";
/** KIND=REVISION, separated by commas. */
constexpr char kRevisionsField[] = "Lavender-Revisions";
/** A verification that is later by less counts as the same one, because the
 * transfer between entries makes a verification appear older. */
constexpr milliseconds kMinimumProofAdvance = 100ms;
/** A request is answered after this time at the latest, so a requester that
 * waits longer knows that this entry is gone. Normally the next verification
 * comes earlier. */
constexpr milliseconds kMaximumHold = 700ms;

/** An entry that starts or changes its source has the state within some tens of
 * milliseconds. After this time it rejects the requests, so that the requesters
 * try other entries. */
constexpr milliseconds kMaximumWaitForSource = 300ms;

/** Status of a rejection by an entry that the store doesn't answer. */
constexpr unsigned kStoreUnavailable = 503;

std::string
EncodeRevisions(const kind_revisions& aRevisions)
{
  std::string text;
  for (const auto& [kind, revision] : aRevisions) {
    text += (text.empty() ? "" : ",") + kind + "=" + std::to_string(revision);
  }
  return text;
}

kind_revisions
DecodeRevisions(const std::string& aText)
{
  kind_revisions revisions;
  std::istringstream input(aText);
  for (std::string part; std::getline(input, part, ',');) {
    const auto equals = std::min(part.find('='), part.size());
    const auto revision = edge::ParseInteger(
      std::string_view(part).substr(std::min(equals + 1, part.size())));
    if (revision) {
      revisions[part.substr(0, equals)] = *revision;
    }
  }
  return revisions;
}

milliseconds
Between(time_point aFrom, time_point aTo)
{
  return std::chrono::ceil<milliseconds>(aTo - aFrom);
}

} // namespace

feed_requester
RequesterOf(const edge::exchange_ptr& aExchange)
{
  return { [aExchange](edge::response aResponse) {
            aExchange->Answer(std::move(aResponse));
          },
           [aExchange] { return aExchange->IsEnded(); } };
}

edge::request
EncodeFeedRequest(const feed_request& aFeedRequest)
{
  edge::request request;
  request.mMethod = "GET";
  request.mTarget = kFeedPath;
  request.mHeaders.Add(kLifeField, aFeedRequest.mIncarnation);
  request.mHeaders.Add(kSinceField, std::to_string(aFeedRequest.mSince));
  request.mHeaders.Add(kAgeField, std::to_string(aFeedRequest.mAge.count()));
  request.mHeaders.Add(kRevisionsField,
                       EncodeRevisions(aFeedRequest.mRevisions));
  return request;
}

feed_request
DecodeFeedRequest(const edge::request& aRequest)
{
  return { aRequest.mHeaders.ValueOr(kLifeField, ""),
           aRequest.mHeaders.Integer(kSinceField).value_or(0),
           milliseconds(aRequest.mHeaders.Integer(kAgeField).value_or(0)),
           DecodeRevisions(aRequest.mHeaders.ValueOr(kRevisionsField, "")) };
}

pending_requests::pending_requests(scheduler aScheduler,
                                   std::function<void()> aAnswerHeldRequests)
  : mScheduler(std::move(aScheduler))
  , mAnswerHeldRequests(std::move(aAnswerHeldRequests))
{
}

void
pending_requests::Hold(const feed_request& aFeedRequest,
                       feed_requester aRequester,
                       const feed_snapshot& aSnapshot)
{
  held_request held;
  held.mRequester = std::move(aRequester);
  held.mReceivedAt = mScheduler.mNow();
  held.mRequesterVerifiedAt = held.mReceivedAt - aFeedRequest.mAge;
  if (aFeedRequest.mIncarnation == aSnapshot.mIncarnation) {
    held.mSince = aFeedRequest.mSince;
  }
  held.mRevisions = aFeedRequest.mRevisions;
  mHeld.push_back(std::move(held));
}

std::optional<feed_sequence>
pending_requests::SinceOf(const held_request& aHeld,
                          const feed_snapshot& aSnapshot)
{
  // A requester that changes its source keeps what it knows. If each had to get
  // the full state, the loss of a source would cost bytes in the square of the
  // fleet, just when its changes are missing.
  return aHeld.mSince ? aHeld.mSince
                      : FindSequence(aSnapshot.mState, aHeld.mRevisions);
}

bool
pending_requests::IsDue(const held_request& aHeld,
                        const feed_snapshot& aSnapshot) const
{
  return !aHeld.mSince || *aHeld.mSince < aSnapshot.mState.mNewest ||
         aHeld.mRequesterVerifiedAt + kMinimumProofAdvance <
           aSnapshot.mVerifiedAt ||
         mScheduler.mNow() >= aHeld.mReceivedAt + kMaximumHold;
}

time_point
pending_requests::WaitDeadline(const held_request& aHeld) const
{
  return std::max(aHeld.mReceivedAt,
                  mWaitingForSourceSince.value_or(aHeld.mReceivedAt)) +
         kMaximumWaitForSource;
}

void
pending_requests::Answer(const feed_snapshot& aSnapshot)
{
  const auto now = mScheduler.mNow();
  if (aSnapshot.mRefusal != refusal::WaitingForSource) {
    mWaitingForSourceSince.reset();
  } else if (!mWaitingForSourceSince) {
    mWaitingForSourceSince = now;
  }
  std::vector<held_request> kept;
  // Encode once per sequence number: many entries that start at the same time
  // request the full state.
  std::map<std::optional<feed_sequence>, encoded_changes> encoded;
  for (auto& held : std::exchange(mHeld, {})) {
    if (held.mRequester.mHasDisconnected()) {
      continue;
    }
    if (aSnapshot.mRefusal == refusal::WaitingForSource &&
        now < WaitDeadline(held)) {
      kept.push_back(std::move(held));
    } else if (aSnapshot.mRefusal != refusal::None) {
      const auto status = aSnapshot.mRefusal == refusal::StoreUnavailable
                            ? kStoreUnavailable
                            : kRetryLater;
      held.mRequester.mAnswer({ status, {}, {} });
    } else if (IsDue(held, aSnapshot)) {
      const feed_provenance proof{ aSnapshot.mOrigin,
                                   Between(aSnapshot.mVerifiedAt, now),
                                   std::chrono::floor<milliseconds>(
                                     now - held.mReceivedAt) };
      const auto since = SinceOf(held, aSnapshot);
      auto changes = encoded.find(since);
      if (changes == encoded.end()) {
        changes =
          encoded.emplace(since, EncodeChanges(aSnapshot.mState, since)).first;
      }
      auto body = EncodeFeed(
        aSnapshot.mState, aSnapshot.mIncarnation, changes->second, proof);
      held.mRequester.mAnswer(
        { 200, {}, std::move(body.mHead), std::move(body.mSharedTail) });
    } else {
      kept.push_back(std::move(held));
    }
  }
  mHeld = std::move(kept);
  ScheduleAnswer(aSnapshot);
}

void
pending_requests::ScheduleAnswer(const feed_snapshot& aSnapshot)
{
  if (mHeld.empty()) {
    mNextAnswer.reset();
    return;
  }
  auto next = time_point::max();
  for (const auto& held : mHeld) {
    next = std::min(next,
                    aSnapshot.mRefusal == refusal::WaitingForSource
                      ? WaitDeadline(held)
                      : held.mReceivedAt + kMaximumHold);
  }
  const auto wait = Between(mScheduler.mNow(), next);
  mNextAnswer =
    mScheduler.mAfter(std::max<milliseconds>(wait, 1ms), mAnswerHeldRequests);
}

} // namespace lavender::feed
