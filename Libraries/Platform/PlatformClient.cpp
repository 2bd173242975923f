#include "Libraries/Platform/PlatformClient.h"

#include "Libraries/Core/UrlEncoding.h"

namespace lavender::platform {
namespace {

void
CountCall(const client& aClient,
          const std::string& aCall,
          const std::string& aResult)
{
  if (aClient.mMetrics) {
    aClient.mMetrics->Count("lavender_platform_calls_total",
                            { { "call", aCall }, { "result", aResult } });
  }
}

bool
IsOverBudget(const client& aClient, const http::request& aRequest)
{
  if (!aClient.mBudget) {
    return false;
  }
  return aRequest.mMethod == "GET" ? !aClient.mBudget->TakeRead()
                                   : !aClient.mBudget->TakeWrite();
}

http::call_result
Send(const client& aClient,
     const std::string& aCounted,
     http::request aRequest,
     std::chrono::milliseconds aTimeout)
{
  aRequest.mHeaders.emplace_back("X-Caller", aClient.mCaller);
  http::call_result outcome;
  if (IsOverBudget(aClient, aRequest)) {
    // mState stays NotSent: a write that wasn't sent can't have taken effect.
    outcome.mLastReason = "platform budget is used up";
    CountCall(aClient, aCounted, "over_budget");
    return outcome;
  }
  outcome = http::Call(aClient.mEndpoint, aRequest, aTimeout);
  const bool isAnswered = outcome.mState == http::call_state::Answered;
  CountCall(aClient,
            aCounted,
            isAnswered ? std::to_string(outcome.mResponse.mStatus)
                       : "no_answer");
  return outcome;
}

std::string
ObjectPath(const std::string& aKind, const std::string& aName)
{
  return "/v1/objects/" + EncodeUrl(aKind) + "/" + EncodeUrl(aName);
}

stored_object
ToObject(const json::value& aItem)
{
  stored_object object;
  object.mKind = json::StringAt(aItem, "kind", "");
  object.mName = json::StringAt(aItem, "name", "");
  object.mRevision = json::IntegerAt(aItem, "revision", 0);
  if (const auto* content = aItem.Find("value")) {
    object.mValue = *content;
  }
  return object;
}

std::string
FailureOf(const http::call_result& aOutcome)
{
  return aOutcome.mState == http::call_state::Answered
           ? "platform answered " + std::to_string(aOutcome.mResponse.mStatus)
           : "platform gave no answer: " + aOutcome.mLastReason;
}

/** Parses the body of a response with status 200; fails for any other
 * outcome. */
result<json::value>
BodyOf(const http::call_result& aOutcome)
{
  if (aOutcome.mState != http::call_state::Answered ||
      aOutcome.mResponse.mStatus != 200) {
    return Fail<json::value>(FailureOf(aOutcome));
  }
  return json::Parse(aOutcome.mResponse.mBody);
}

write_result
ToWriteResult(const http::call_result& aOutcome)
{
  write_result written;
  if (aOutcome.mState == http::call_state::NotSent) {
    written.mState = write_state::Refused;
    written.mLastReason = aOutcome.mLastReason;
    return written;
  }
  const int status = aOutcome.mResponse.mStatus;
  const auto body = aOutcome.mState == http::call_state::Answered
                      ? json::Parse(aOutcome.mResponse.mBody)
                      : Fail<json::value>(aOutcome.mLastReason);
  if (body && status == 200) {
    written.mState = write_state::Done;
    written.mRevision = json::IntegerAt(*body, "revision", 0);
  } else if (body && status == 409) {
    written.mState = write_state::Conflict;
    written.mLastReason = "conflict";
    if (const auto* current = body->Find("current");
        current && current->IsObject()) {
      written.mCurrent = ToObject(*current);
    }
  } else if (status >= 400 && status < 500) {
    written.mState = write_state::Refused;
    written.mLastReason = FailureOf(aOutcome);
  } else {
    // No response, a truncated one or a 5xx: the write may have taken effect
    // before its response was lost.
    written.mState = write_state::Unknown;
    written.mLastReason = FailureOf(aOutcome);
  }
  return written;
}

} // namespace

read_result
Read(const client& aClient, const std::string& aKind, const std::string& aName)
{
  read_result outcome;
  const auto response = Send(aClient,
                             "read",
                             { "GET", ObjectPath(aKind, aName), "", {}, "" },
                             aClient.mTimeout);
  if (response.mState == http::call_state::Answered &&
      response.mResponse.mStatus == 404) {
    outcome.mState = read_state::Absent;
    return outcome;
  }
  if (auto body = BodyOf(response)) {
    outcome.mState = read_state::Found;
    outcome.mObject = ToObject(*body);
  } else {
    outcome.mLastReason = body.mLastReason;
  }
  return outcome;
}

result<object_list>
List(const client& aClient, const std::string& aKind)
{
  const std::string query = aKind.empty() ? "" : "kind=" + EncodeUrl(aKind);
  const auto body = BodyOf(Send(aClient,
                                "list",
                                { "GET", "/v1/objects", query, {}, "" },
                                aClient.mTimeout));
  if (!body) {
    return Fail<object_list>(body.mLastReason);
  }
  object_list list;
  list.mRevision = json::IntegerAt(*body, "revision", 0);
  if (const auto* items = body->Find("items")) {
    for (const auto& item : items->Elements()) {
      list.mObjects.push_back(ToObject(item));
    }
  }
  return Succeed(std::move(list));
}

write_result
Write(const client& aClient,
      const std::string& aKind,
      const std::string& aName,
      std::int64_t aExpected,
      const json::value& aValue)
{
  return ToWriteResult(Send(aClient,
                            "write",
                            { "PUT",
                              ObjectPath(aKind, aName),
                              "expected=" + std::to_string(aExpected),
                              {},
                              json::Write(aValue) },
                            aClient.mTimeout));
}

write_result
Delete(const client& aClient,
       const std::string& aKind,
       const std::string& aName,
       std::int64_t aExpected)
{
  return ToWriteResult(Send(aClient,
                            "delete",
                            { "DELETE",
                              ObjectPath(aKind, aName),
                              "expected=" + std::to_string(aExpected),
                              {},
                              "" },
                            aClient.mTimeout));
}

result<watch_batch>
Watch(const client& aClient,
      std::int64_t aFrom,
      std::chrono::milliseconds aWait)
{
  const auto response = Send(aClient,
                             "watch",
                             { "GET",
                               "/v1/watch",
                               "from=" + std::to_string(aFrom) +
                                 "&wait_ms=" + std::to_string(aWait.count()),
                               {},
                               "" },
                             aWait + aClient.mTimeout);
  watch_batch batch;
  if (response.mState == http::call_state::Answered &&
      response.mResponse.mStatus == 410) {
    batch.mIsTooOld = true;
    return Succeed(std::move(batch));
  }
  const auto body = BodyOf(response);
  if (!body) {
    return Fail<watch_batch>(body.mLastReason);
  }
  batch.mRevision = json::IntegerAt(*body, "revision", aFrom);
  if (const auto* events = body->Find("events")) {
    for (const auto& event : events->Elements()) {
      batch.mEvents.push_back(
        { json::StringAt(event, "type", "") == "delete", ToObject(event) });
    }
  }
  return Succeed(std::move(batch));
}

result<std::vector<instance>>
ListInstances(const client& aClient)
{
  const auto body = BodyOf(Send(aClient,
                                "instances",
                                { "GET", "/v1/instances", "", {}, "" },
                                aClient.mTimeout));
  if (!body) {
    return Fail<std::vector<instance>>(body.mLastReason);
  }
  std::vector<instance> instances;
  if (const auto* items = body->Find("instances")) {
    for (const auto& item : items->Elements()) {
      const auto endpoint =
        http::ParseEndpoint(json::StringAt(item, "address", ""));
      if (!endpoint) {
        continue;
      }
      instances.push_back({ json::StringAt(item, "name", ""),
                            json::StringAt(item, "zone", ""),
                            json::StringAt(item, "pool", ""),
                            json::StringAt(item, "role", ""),
                            *endpoint,
                            json::StringAt(item, "state", "") == "leaving" });
    }
  }
  return Succeed(std::move(instances));
}

http::call_result
Post(const client& aClient, const std::string& aPath, const json::value& aBody)
{
  return Send(aClient,
              "post",
              { "POST", aPath, "", {}, json::Write(aBody) },
              aClient.mTimeout);
}

http::call_result
Get(const client& aClient, const std::string& aPath)
{
  return Send(aClient, "get", { "GET", aPath, "", {}, "" }, aClient.mTimeout);
}

} // namespace lavender::platform
