#include "StandIns/Platform/Platform.h"

#include "Libraries/Core/Clock.h"
#include "StandIns/Common/Program.h"

#include <thread>

namespace lavender::standin {
namespace {

using namespace std::chrono_literals;

http::response
Failure(int aStatus, const std::string& aReason)
{
  json::value body;
  body.Set("reason", aReason);
  return JsonResponse(aStatus, body);
}

std::int64_t
QueryInteger(const http::request& aRequest,
             const std::string& aName,
             std::int64_t aFallback)
{
  const auto text = http::QueryOr(aRequest, aName, "");
  return text.empty() ? aFallback : std::strtoll(text.c_str(), nullptr, 10);
}

void
ReplaceNames(const json::value& aBody,
             const std::string& aMember,
             std::set<std::string>& aNames)
{
  if (const auto* names = aBody.Find(aMember)) {
    aNames.clear();
    for (const auto& name : names->Elements()) {
      aNames.insert(name.StringOr(""));
    }
  }
}

bool
IsControl(const http::request& aRequest)
{
  return aRequest.mPath.rfind("/control/", 0) == 0;
}

} // namespace

platform::platform()
{
  AddObjectRoutes();
  AddInterfaceRoutes();
  AddControlRoutes();
}

http::response
platform::Serve(const http::request& aRequest)
{
  if (!IsControl(aRequest)) {
    RecordReceivedBytes(aRequest);
    if (auto fault = ApplyFaults(aRequest)) {
      return *fault;
    }
    if (auto stale = RespondFromSnapshot(aRequest)) {
      return *stale;
    }
  }
  return http::Serve(mRouter, aRequest);
}

void
platform::RecordReceivedBytes(const http::request& aRequest)
{
  constexpr std::size_t kMaximumBytes = 8 << 20;
  std::lock_guard lock(mMutex);
  if (mReceived.size() > kMaximumBytes) {
    return;
  }
  mReceived += aRequest.mPath + "?" + aRequest.mQuery + "\n";
  for (const auto& [name, content] : aRequest.mHeaders) {
    mReceived += name + ": " + content + "\n";
  }
  mReceived += aRequest.mBody + "\n";
}

std::optional<http::response>
platform::ApplyFaults(const http::request& aRequest)
{
  std::chrono::milliseconds delay{ 0 };
  bool isUnresponsive = false;
  {
    std::lock_guard lock(mMutex);
    ++mCalls[aRequest.mMethod];
    if (mFaults.mIsUnavailable) {
      return Failure(503, "down");
    }
    delay = mFaults.mResponseDelay;
    isUnresponsive = mFaults.mUnresponsiveCallers.count(
                       http::HeaderOr(aRequest.mHeaders, "X-Caller", "")) > 0;
  }
  if (isUnresponsive) {
    {
      std::lock_guard lock(mMutex);
      ++mCalls["cut"];
    }
    // The request has no effect, and the response is sent after every client's
    // timeout.
    std::this_thread::sleep_for(6s);
    return Failure(503, "cut");
  }
  std::this_thread::sleep_for(delay);
  return std::nullopt;
}

std::optional<http::response>
platform::RespondFromSnapshot(const http::request& aRequest)
{
  const bool isList = aRequest.mPath == "/v1/objects";
  const bool isWatch = aRequest.mPath == "/v1/watch";
  {
    std::lock_guard lock(mMutex);
    const auto caller = http::HeaderOr(aRequest.mHeaders, "X-Caller", "");
    if ((!isList && !isWatch) || mFaults.mSnapshotCallers.count(caller) == 0) {
      return std::nullopt;
    }
    ++mCalls["old_copy"];
  }
  auto [revision, items] = mStore.ListSnapshot();
  json::value body;
  body.Set("revision", revision);
  if (isList) {
    body.Set("items", std::move(items));
  } else {
    std::this_thread::sleep_for(500ms);
    body.Set("events", json::array{});
  }
  return JsonResponse(200, body);
}

http::response
platform::RespondToWrite(const write_result& aResult,
                         const std::string& aKind,
                         const std::string& aName)
{
  json::value body;
  if (!aResult.mIsApplied) {
    body.Set("current",
             aResult.mCurrent ? ToJson(aKind, aName, *aResult.mCurrent)
                              : json::value());
    return JsonResponse(409, body);
  }
  {
    std::lock_guard lock(mMutex);
    if (mFaults.mLostResponses > 0) {
      --mFaults.mLostResponses;
      return Failure(500, "answer_lost");
    }
  }
  body.Set("revision", aResult.mRevision);
  return JsonResponse(200, body);
}

void
platform::AddObjectRoutes()
{
  mRouter.Add(
    "GET", "/v1/objects", [this](const http::request& aRequest, const auto&) {
      auto [revision, items] = mStore.List(http::QueryOr(aRequest, "kind", ""));
      json::value body;
      body.Set("revision", revision);
      body.Set("items", std::move(items));
      return JsonResponse(200, body);
    });
  mRouter.Add("GET",
              "/v1/objects/*/*",
              [this](const http::request&, const http::path_parts& aParts) {
                const auto found = mStore.Read(aParts[0], aParts[1]);
                return found ? JsonResponse(
                                 200, ToJson(aParts[0], aParts[1], *found))
                             : Failure(404, "absent");
              });
  mRouter.Add(
    "PUT",
    "/v1/objects/*/*",
    [this](const http::request& aRequest, const http::path_parts& aParts) {
      auto body = json::Parse(aRequest.mBody);
      if (!body) {
        return Failure(400, body.mLastReason);
      }
      if (aRequest.mBody.size() > (1u << 20)) {
        return Failure(413, "value_too_large");
      }
      return RespondToWrite(
        mStore.Write(
          aParts[0], aParts[1], QueryInteger(aRequest, "expected", -1), *body),
        aParts[0],
        aParts[1]);
    });
  mRouter.Add(
    "DELETE",
    "/v1/objects/*/*",
    [this](const http::request& aRequest, const http::path_parts& aParts) {
      return RespondToWrite(
        mStore.Delete(
          aParts[0], aParts[1], QueryInteger(aRequest, "expected", -1)),
        aParts[0],
        aParts[1]);
    });
  mRouter.Add(
    "GET", "/v1/watch", [this](const http::request& aRequest, const auto&) {
      const auto wait = std::min(
        std::chrono::milliseconds(QueryInteger(aRequest, "wait_ms", 1000)),
        std::chrono::milliseconds(30000));
      const auto batch = mStore.Watch(QueryInteger(aRequest, "from", 0), wait);
      if (!batch) {
        return Failure(410, "revision_too_old");
      }
      json::value body;
      body.Set("revision", batch->first);
      body.Set("events", batch->second);
      return JsonResponse(200, body);
    });
}

void
platform::AddInterfaceRoutes()
{
  mRouter.Add("GET", "/v1/instances", [this](const auto&, const auto&) {
    return JsonResponse(200, VisibleInstances());
  });
  mRouter.Add(
    "POST",
    "/v1/zones/*/orders",
    [this](const http::request& aRequest, const http::path_parts& aParts) {
      return HandleOrder(aRequest, aParts[0]);
    });
  mRouter.Add(
    "POST",
    "/v1/usage/*",
    [this](const http::request& aRequest, const http::path_parts& aParts) {
      return HandleUsage(aRequest, aParts[0]);
    });
  mRouter.Add(
    "GET",
    "/v1/weights/*/*",
    [this](const http::request& aRequest, const http::path_parts& aParts) {
      json::value body;
      body.Set("model", aParts[0]);
      body.Set("version", aParts[1]);
      Record("weights", aRequest, body);
      return JsonResponse(200, body);
    });
}

json::value
platform::LeaseOf(const std::string& aName) const
{
  const auto found = mStore.Read("Lease", aName);
  return found ? found->mValue : json::value();
}

void
platform::ApplyOrderDelay()
{
  std::chrono::milliseconds delay{ 0 };
  {
    std::lock_guard lock(mMutex);
    delay = mFaults.mOrderDelay;
  }
  std::this_thread::sleep_for(delay);
}

http::response
platform::HandleOrder(const http::request& aRequest, const std::string& aZone)
{
  auto body = json::Parse(aRequest.mBody);
  if (!body) {
    return Failure(400, body.mLastReason);
  }
  ApplyOrderDelay();
  const auto fencing = json::IntegerAt(*body, "fencing", 0);
  const auto lease = LeaseOf("zone-" + aZone);
  bool isLost = false;
  bool isRepeated = false;
  {
    std::lock_guard lock(mMutex);
    auto& highest = mHighestFencing[aZone];
    if (fencing < highest && !mFaults.mIgnoresFencing) {
      return Failure(409, "old_fencing_number");
    }
    highest = std::max(highest, fencing);
    const auto id = json::StringAt(*body, "id", "");
    isRepeated = !id.empty() && !mOrderIds.insert(id).second;
    if (mFaults.mLostResponses > 0) {
      --mFaults.mLostResponses;
      isLost = true;
    }
  }
  body->Set("zone", aZone);
  body->Set("repeated", isRepeated);
  body->Set("lease", lease);
  Record("orders", aRequest, *body);
  return isLost ? Failure(500, "answer_lost") : JsonResponse(200, *body);
}

http::response
platform::HandleUsage(const http::request& aRequest, const std::string& aWindow)
{
  auto body = json::Parse(aRequest.mBody);
  if (!body) {
    return Failure(400, body.mLastReason);
  }
  ApplyOrderDelay();
  body->Set("window", aWindow);
  body->Set("lease", LeaseOf("usage"));
  Record("usage", aRequest, *body);
  std::lock_guard lock(mMutex);
  mUsage[aWindow] = *body;
  if (mFaults.mLostUsageResponses > 0) {
    --mFaults.mLostUsageResponses;
    return Failure(500, "answer_lost");
  }
  if (mFaults.mLostResponses > 0) {
    --mFaults.mLostResponses;
    return Failure(500, "answer_lost");
  }
  return JsonResponse(200, *body);
}

json::value
platform::VisibleInstances()
{
  std::lock_guard lock(mMutex);
  const auto visibleBefore =
    std::chrono::steady_clock::now() - mFaults.mListLag;
  json::value list;
  list.Set("instances", json::array{});
  for (const auto& state : mInstanceLists) {
    if (state.mAt <= visibleBefore) {
      list = state.mList;
    }
  }
  return list;
}

void
platform::Record(const std::string& aInterface,
                 const http::request& aRequest,
                 json::value aDetail)
{
  std::lock_guard lock(mMutex);
  mLog.push_back({ static_cast<std::int64_t>(mLog.size()) + 1,
                   aInterface,
                   http::HeaderOr(aRequest.mHeaders, "X-Caller", ""),
                   std::move(aDetail),
                   std::chrono::duration_cast<std::chrono::milliseconds>(
                     boot_clock::now().time_since_epoch()) });
}

http::response
platform::SetFaults(const http::request& aRequest)
{
  const auto body = json::Parse(aRequest.mBody);
  if (!body) {
    return Failure(400, body.mLastReason);
  }
  std::lock_guard lock(mMutex);
  mFaults.mIsUnavailable =
    json::BooleanAt(*body, "down", mFaults.mIsUnavailable);
  mFaults.mResponseDelay = std::chrono::milliseconds(
    json::IntegerAt(*body, "slow_ms", mFaults.mResponseDelay.count()));
  mFaults.mOrderDelay = std::chrono::milliseconds(
    json::IntegerAt(*body, "slow_orders_ms", mFaults.mOrderDelay.count()));
  mFaults.mLostResponses = static_cast<int>(
    json::IntegerAt(*body, "lose_answers", mFaults.mLostResponses));
  mFaults.mLostUsageResponses = static_cast<int>(
    json::IntegerAt(*body, "lose_usage_answers", mFaults.mLostUsageResponses));
  mFaults.mIgnoresFencing =
    json::BooleanAt(*body, "ignore_fencing", mFaults.mIgnoresFencing);
  mFaults.mListLag = std::chrono::milliseconds(
    json::IntegerAt(*body, "list_lag_ms", mFaults.mListLag.count()));
  ReplaceNames(*body, "cut", mFaults.mUnresponsiveCallers);
  if (body->Find("old_copy_for")) {
    mStore.SaveSnapshot();
    ReplaceNames(*body, "old_copy_for", mFaults.mSnapshotCallers);
  }
  return JsonResponse(200, json::object{});
}

void
platform::AddControlRoutes()
{
  mRouter.Add("POST",
              "/control/faults",
              [this](const http::request& aRequest, const auto&) {
                return SetFaults(aRequest);
              });
  mRouter.Add(
    "POST",
    "/control/instances",
    [this](const http::request& aRequest, const auto&) {
      auto body = json::Parse(aRequest.mBody);
      if (!body) {
        return Failure(400, body.mLastReason);
      }
      std::lock_guard lock(mMutex);
      mInstanceLists.push_back({ std::chrono::steady_clock::now(), *body });
      return JsonResponse(200, json::object{});
    });
  mRouter.Add("POST", "/control/compact", [this](const auto&, const auto&) {
    mStore.Compact();
    return JsonResponse(200, json::object{});
  });
  mRouter.Add("GET", "/control/log", [this](const auto&, const auto&) {
    std::lock_guard lock(mMutex);
    json::array lines;
    for (const auto& line : mLog) {
      json::value item;
      item.Set("sequence", line.mSequence);
      item.Set("interface", line.mInterface);
      item.Set("caller", line.mCaller);
      item.Set("detail", line.mDetail);
      item.Set("arrived_ms",
               static_cast<std::int64_t>(line.mArrivedAt.count()));
      lines.push_back(std::move(item));
    }
    json::value body;
    body.Set("lines", std::move(lines));
    return JsonResponse(200, body);
  });
  mRouter.Add("GET", "/control/received", [this](const auto&, const auto&) {
    std::lock_guard lock(mMutex);
    return http::response{ 200, "application/octet-stream", {}, mReceived };
  });
  mRouter.Add("GET", "/control/calls", [this](const auto&, const auto&) {
    std::lock_guard lock(mMutex);
    json::value body = json::object{};
    for (const auto& [method, count] : mCalls) {
      body.Set(method, count);
    }
    return JsonResponse(200, body);
  });
}

} // namespace lavender::standin
