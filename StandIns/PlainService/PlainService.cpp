#include "StandIns/PlainService/PlainService.h"

#include "Libraries/Core/Identity.h"
#include "StandIns/Common/Program.h"

#include <thread>

namespace lavender::standin {

http::response
plain_service::Serve(const http::request& aRequest)
{
  if (aRequest.mPath == "/control/faults") {
    return SetFaults(aRequest);
  }
  std::unique_lock lock(mMutex);
  if (aRequest.mPath == "/control/log") {
    json::value runs = json::object{};
    for (const auto& [id, count] : mRunsById) {
      runs.Set(id, count);
    }
    json::value body;
    body.Set("bookings", mBookings);
    body.Set("runs", std::move(runs));
    json::value byBody = json::object{};
    for (const auto& [sent, count] : mRunsByBody) {
      byBody.Set(sent, count);
    }
    body.Set("runs_by_body", std::move(byBody));
    body.Set("ended", mCompletedRuns);
    return JsonResponse(200, body);
  }
  if (aRequest.mPath == "/control/received") {
    http::response response;
    response.mBody = mReceived;
    return response;
  }
  if (aRequest.mPath == "/load") {
    json::value body;
    body.Set("running", 0);
    body.Set("slots", 16);
    return JsonResponse(200, body);
  }
  lock.unlock();
  return RunCall(aRequest);
}

http::response
plain_service::RunCall(const http::request& aRequest)
{
  std::chrono::milliseconds delay{ 0 };
  std::int64_t booking = 0;
  bool isFailing = false;
  {
    std::lock_guard lock(mMutex);
    mReceived += aRequest.mPath + aRequest.mBody;
    for (const auto& [name, content] : aRequest.mHeaders) {
      mReceived += name + content;
    }
    ++mRunsById[http::HeaderOr(aRequest.mHeaders, "X-Request-Id", "")];
    ++mRunsByBody[aRequest.mBody];
    booking = ++mBookings;
    delay = mResponseDelay;
    isFailing = mFails;
  }
  std::this_thread::sleep_for(delay);
  {
    std::lock_guard lock(mMutex);
    ++mCompletedRuns;
  }
  json::value body;
  body.Set("booking", booking);
  body.Set("path", aRequest.mPath);
  body.Set("body_digest", HashKey(aRequest.mBody));
  return JsonResponse(isFailing ? 500 : 200, body);
}

http::response
plain_service::SetFaults(const http::request& aRequest)
{
  const auto body = json::Parse(aRequest.mBody);
  if (!body) {
    return JsonResponse(400, json::value(body.mLastReason));
  }
  std::lock_guard lock(mMutex);
  mResponseDelay = std::chrono::milliseconds(
    json::IntegerAt(*body, "slow_ms", mResponseDelay.count()));
  mFails = json::BooleanAt(*body, "fail", mFails);
  return JsonResponse(200, json::object{});
}

} // namespace lavender::standin
