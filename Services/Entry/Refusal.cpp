#include "Services/Entry/Refusal.h"

#include "Libraries/Json/Value.h"

namespace lavender::entry {

http::response
ToResponse(const refusal& aRefusal)
{
  json::value error;
  error.Set("reason", aRefusal.mReason);
  error.Set("ran", dispatch::ToString(aRefusal.mRan));
  if (!aRefusal.mRequestId.empty()) {
    error.Set("request_id", aRefusal.mRequestId);
  }
  if (!aRefusal.mMessage.empty()) {
    error.Set("message", aRefusal.mMessage);
  }
  http::response response;
  response.mStatus = aRefusal.mStatus;
  if (aRefusal.mRetryAfter > milliseconds(0)) {
    error.Set("retry_after_ms", aRefusal.mRetryAfter.count());
    const auto seconds =
      std::chrono::ceil<std::chrono::seconds>(aRefusal.mRetryAfter);
    response.mHeaders.emplace_back("Retry-After",
                                   std::to_string(seconds.count()));
  }
  json::value body;
  body.Set("error", std::move(error));
  response.mBody = json::Write(body);
  return response;
}

int
StatusFor(const dispatch::call_outcome& aOutcome)
{
  if (aOutcome.mReason == "deadline") {
    return 504;
  }
  if (aOutcome.mReason == "platform_unavailable") {
    return 503;
  }
  if (aOutcome.mReason == "idempotency_key_reused") {
    return 409;
  }
  if (aOutcome.mReason == "key_withdrawn" ||
      aOutcome.mReason == "key_unknown") {
    return 401;
  }
  return aOutcome.mRan == dispatch::ran::OutcomeUnknown ? 502 : 503;
}

} // namespace lavender::entry
