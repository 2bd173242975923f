#include "Duties/Configuration/ResourceApi.h"

#include "Duties/Configuration/Validation.h"
#include "Libraries/Core/Identity.h"

#include <optional>

namespace lavender::configuration {
namespace {

/** Written by the system only; operators may read it. */
constexpr char kUsageWindow[] = "UsageWindow";

http::response
JsonResponse(int aStatus, const json::value& aBody)
{
  http::response answer;
  answer.mStatus = aStatus;
  answer.mBody = json::Write(aBody);
  return answer;
}

http::response
Refuse(int aStatus, const std::string& aReason, json::value aDetail = {})
{
  json::value error;
  error.Set("reason", aReason);
  if (!aDetail.IsNull()) {
    error.Set("detail", std::move(aDetail));
  }
  json::value body;
  body.Set("error", std::move(error));
  return JsonResponse(aStatus, body);
}

json::value
ParsedOrNull(const std::string& aText)
{
  auto value = json::Parse(aText);
  return value ? std::move(*value) : json::value();
}

/** What operators see of an object: a key's hash stays hidden. */
json::value
Describe(const platform::stored_object& aObject)
{
  json::value shown;
  shown.Set("kind", aObject.mKind);
  shown.Set("name", aObject.mName);
  shown.Set("resource_version", aObject.mRevision);
  json::value spec = json::object{};
  if (const auto* stored = aObject.mValue.Find("spec")) {
    for (const auto& [name, member] : stored->Members()) {
      if (aObject.mKind != "Key" || name != "hash") {
        spec.Set(name, member);
      }
    }
  }
  shown.Set("spec", std::move(spec));
  const auto* status = aObject.mValue.Find("status");
  shown.Set("status", status ? *status : json::value(json::object{}));
  return shown;
}

json::value
Describe(const findings& aFindings)
{
  json::array items;
  for (const auto& finding : aFindings.mAll) {
    json::value item;
    item.Set("place", finding.mPlace);
    item.Set("problem", finding.mProblem);
    items.push_back(std::move(item));
  }
  return items;
}

std::int64_t
ToNumber(const std::string& aText, std::int64_t aFallback)
{
  return aText.empty() ? aFallback : std::strtoll(aText.c_str(), nullptr, 10);
}

http::response
AnswerWrite(const platform::client& aPlatform,
            const platform::write_result& aWritten,
            const platform::stored_object& aMeant,
            const std::string& aShownKey)
{
  switch (aWritten.mState) {
    case platform::write_state::Done: {
      auto object = aMeant;
      object.mRevision = aWritten.mRevision;
      auto body = Describe(object);
      if (!aShownKey.empty()) {
        body.Set("key", aShownKey);
      }
      return JsonResponse(200, body);
    }
    case platform::write_state::Conflict:
      return Refuse(409,
                    "conflict",
                    aWritten.mCurrent ? Describe(*aWritten.mCurrent)
                                      : json::value());
    case platform::write_state::Refused:
      return Refuse(503, "platform_refused", aWritten.mLastReason);
    case platform::write_state::Unknown:
      break;
  }
  // The answer was lost: what stands there now tells whether it took effect.
  const auto read = platform::Read(aPlatform, aMeant.mKind, aMeant.mName);
  if (read.mState == platform::read_state::Found &&
      json::Write(read.mObject.mValue) == json::Write(aMeant.mValue)) {
    auto body = Describe(read.mObject);
    if (!aShownKey.empty()) {
      body.Set("key", aShownKey);
    }
    return JsonResponse(200, body);
  }
  return Refuse(503, "outcome_unknown", aWritten.mLastReason);
}

http::response
PutResource(const platform::client& aPlatform,
            const std::string& aKind,
            const std::string& aName,
            const http::request& aRequest)
{
  const auto body = json::Parse(aRequest.mBody);
  if (!body) {
    return Refuse(400, "bad_json", body.mLastReason);
  }
  const auto* spec = body->Find("spec");
  auto found = ValidateSpec(aKind, aName, spec ? *spec : json::value());
  for (const auto& [name, member] : body->Members()) {
    if (name != "spec") {
      found.Add(aKind + "/" + aName + " " + name,
                name == "status" ? "is written by the system only"
                                 : "unknown field");
    }
  }
  if (!found.IsEmpty()) {
    return Refuse(400, "invalid_resource", Describe(found));
  }
  const auto read = platform::Read(aPlatform, aKind, aName);
  if (read.mState == platform::read_state::Failed) {
    return Refuse(503, "platform_unavailable", read.mLastReason);
  }
  platform::stored_object object;
  object.mKind = aKind;
  object.mName = aName;
  object.mValue.Set("spec", *spec);
  std::int64_t current = 0;
  std::string shownKey;
  if (read.mState == platform::read_state::Found) {
    current = read.mObject.mRevision;
    if (const auto* status = read.mObject.mValue.Find("status")) {
      object.mValue.Set("status", *status);
    }
  }
  if (aKind == "Key") {
    std::string hash;
    if (read.mState == platform::read_state::Found) {
      const auto* stored = read.mObject.mValue.Find("spec");
      hash = stored ? json::StringAt(*stored, "hash", "") : "";
    } else {
      shownKey = "lk_" + MakeRandomName();
      hash = HashKey(shownKey);
    }
    auto keySpec = *spec;
    keySpec.Set("hash", hash);
    object.mValue.Set("spec", std::move(keySpec));
  }
  const auto expected =
    ToNumber(http::QueryOr(aRequest, "resource_version", ""), current);
  return AnswerWrite(
    aPlatform,
    platform::Write(aPlatform, aKind, aName, expected, object.mValue),
    object,
    shownKey);
}

http::response
DeleteResource(const platform::client& aPlatform,
               const std::string& aKind,
               const std::string& aName,
               const http::request& aRequest)
{
  const auto read = platform::Read(aPlatform, aKind, aName);
  if (read.mState == platform::read_state::Failed) {
    return Refuse(503, "platform_unavailable", read.mLastReason);
  }
  if (read.mState == platform::read_state::Absent) {
    return Refuse(404, "unknown_resource");
  }
  const auto expected = ToNumber(
    http::QueryOr(aRequest, "resource_version", ""), read.mObject.mRevision);
  const auto written = platform::Delete(aPlatform, aKind, aName, expected);
  if (written.mState == platform::write_state::Unknown &&
      platform::Read(aPlatform, aKind, aName).mState ==
        platform::read_state::Absent) {
    return JsonResponse(200, json::object{});
  }
  return AnswerWrite(aPlatform, written, read.mObject, "");
}

http::response
WatchResources(configuration_store& aStore, const http::request& aRequest)
{
  const auto from = ToNumber(http::QueryOr(aRequest, "from", ""), 0);
  const auto wait = std::clamp<std::int64_t>(
    ToNumber(http::QueryOr(aRequest, "wait_ms", ""), 1000), 0, 30000);
  const auto batch = aStore.WaitForChanges(from, milliseconds(wait));
  if (batch.mIsTooOld) {
    return Refuse(410, "revision_too_old");
  }
  json::array events;
  for (const auto& event : batch.mEvents) {
    auto shown = Describe({ event.mKind,
                            event.mName,
                            event.mObject.mRevision,
                            ParsedOrNull(event.mObject.mText) });
    shown.Set("type", event.mIsDeletion ? "delete" : "put");
    events.push_back(std::move(shown));
  }
  json::value body;
  body.Set("revision", batch.mRevision);
  body.Set("events", std::move(events));
  return JsonResponse(200, body);
}

} // namespace

void
AddResourceRoutes(http::router& aRouter,
                  configuration_store& aStore,
                  const platform::client& aPlatform)
{
  aRouter.Add("GET",
              "/v1/resources/*",
              [&aStore](const auto&, const http::path_parts& aParts) {
                json::array items;
                for (const auto& object : aStore.Objects(aParts[0])) {
                  items.push_back(Describe(object));
                }
                json::value body;
                body.Set("revision", aStore.Current()->mRevision);
                body.Set("items", std::move(items));
                return JsonResponse(200, body);
              });
  aRouter.Add(
    "GET",
    "/v1/resources/*/*",
    [aPlatform](const auto&, const http::path_parts& aParts) {
      const auto read = platform::Read(aPlatform, aParts[0], aParts[1]);
      if (read.mState == platform::read_state::Failed) {
        return Refuse(503, "platform_unavailable", read.mLastReason);
      }
      if (read.mState == platform::read_state::Absent ||
          !(IsConfigurationKind(aParts[0]) || aParts[0] == kUsageWindow)) {
        return Refuse(404, "unknown_resource");
      }
      return JsonResponse(200, Describe(read.mObject));
    });
  aRouter.Add(
    "PUT",
    "/v1/resources/*/*",
    [aPlatform](const http::request& aRequest, const http::path_parts& aParts) {
      return PutResource(aPlatform, aParts[0], aParts[1], aRequest);
    });
  aRouter.Add(
    "DELETE",
    "/v1/resources/*/*",
    [aPlatform](const http::request& aRequest, const http::path_parts& aParts) {
      return DeleteResource(aPlatform, aParts[0], aParts[1], aRequest);
    });
  aRouter.Add(
    "GET", "/v1/watch", [&aStore](const http::request& aRequest, const auto&) {
      return WatchResources(aStore, aRequest);
    });
}

} // namespace lavender::configuration
