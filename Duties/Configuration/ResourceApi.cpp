#include "Duties/Configuration/ResourceApi.h"

#include "Duties/Configuration/Validation.h"
#include "Libraries/Core/Identity.h"
#include "Libraries/Platform/SettledWrite.h"

#include <algorithm>
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
  shown.Set("generation", json::IntegerAt(aObject.mValue, "generation", 0));
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

/** A version or wait in the query; the fallback when absent, none when it is
 * no number. */
std::optional<std::int64_t>
QueryNumber(const http::request& aRequest,
            const char* aName,
            std::int64_t aFallback)
{
  const auto text = http::QueryOr(aRequest, aName, "");
  if (text.empty()) {
    return aFallback;
  }
  constexpr std::size_t kMostDigits = 18;
  if (text.size() > kMostDigits ||
      text.find_first_not_of("0123456789") != std::string::npos) {
    return std::nullopt;
  }
  return std::stoll(text);
}

http::response
AnswerWrite(const platform::write_result& aWritten,
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
  return Refuse(503, "outcome_unknown", aWritten.mLastReason);
}

/** What an operator asks to be written. */
struct put_order
{
  std::string mKind;
  std::string mName;
  json::value mSpec;
  /** Version that the resource must still have; 0 for "must be absent". */
  std::optional<std::int64_t> mExpected;
};

/** Reads the order and collects everything that is wrong with it. */
put_order
ReadOrder(const http::request& aRequest,
          const http::path_parts& aParts,
          const json::value& aBody,
          findings& aFound)
{
  put_order order{ aParts[0], aParts[1], {}, std::nullopt };
  const std::string place = order.mKind + "/" + order.mName;
  if (const auto* spec = aBody.Find("spec")) {
    order.mSpec = *spec;
  }
  aFound = ValidateSpec(order.mKind, order.mName, order.mSpec);
  for (const auto& [name, member] : aBody.Members()) {
    if (name != "spec") {
      aFound.Add(place + " " + name,
                 name == "status" ? "is written by the system only"
                                  : "unknown field");
    }
  }
  if (!http::QueryOr(aRequest, "resource_version", "").empty()) {
    order.mExpected = QueryNumber(aRequest, "resource_version", 0);
    if (!order.mExpected) {
      aFound.Add(place + " resource_version", "is not a whole number");
    }
  }
  return order;
}

/** The snapshot may be a moment behind another entry's write, so the platform
 * has the last word on what doesn't exist. */
existence
ExistenceIn(const configuration_store& aStore,
            const platform::client& aPlatform)
{
  return [&](const std::string& aKind, const std::string& aName) {
    const auto current = aStore.Current();
    const bool isHeld = aKind == "Customer"
                          ? current->mCustomers.count(aName) > 0
                          : current->mPools.count(aName) > 0;
    return isHeld || platform::Read(aPlatform, aKind, aName).mState !=
                       platform::read_state::Absent;
  };
}

/** Puts a key's hash into its spec: the one it has, or that of a new key.
 * @return the new key, to be shown this once; empty for a key that exists */
std::string
GiveHash(json::value& aSpec, const json::value& aPrevious)
{
  const auto* stored = aPrevious.Find("spec");
  if (stored) {
    aSpec.Set("hash", json::StringAt(*stored, "hash", ""));
    return {};
  }
  const std::string key = "lk_" + MakeRandomName();
  aSpec.Set("hash", HashKey(key));
  return key;
}

http::response
PutResource(const configuration_store& aStore,
            const platform::client& aPlatform,
            const http::request& aRequest,
            const http::path_parts& aParts)
{
  const auto body = json::Parse(aRequest.mBody);
  if (!body) {
    return Refuse(400, "bad_json", body.mLastReason);
  }
  findings found;
  auto order = ReadOrder(aRequest, aParts, *body, found);
  const auto references = ValidateReferences(
    order.mKind, order.mName, order.mSpec, ExistenceIn(aStore, aPlatform));
  for (const auto& finding : references.mAll) {
    found.Add(finding.mPlace, finding.mProblem);
  }
  if (!found.IsEmpty()) {
    return Refuse(400, "invalid_resource", Describe(found));
  }
  const auto read = platform::Read(aPlatform, order.mKind, order.mName);
  if (read.mState == platform::read_state::Failed) {
    return Refuse(503, "platform_unavailable", read.mLastReason);
  }
  const bool isFound = read.mState == platform::read_state::Found;
  const auto previous = isFound ? read.mObject.mValue : json::value();
  platform::stored_object object{ order.mKind, order.mName, 0, {} };
  std::string shownKey;
  if (order.mKind == "Key") {
    shownKey = GiveHash(order.mSpec, previous);
  }
  object.mValue.Set("spec", order.mSpec);
  object.mValue.Set("generation",
                    json::IntegerAt(previous, "generation", 0) + 1);
  if (const auto* status = previous.Find("status")) {
    object.mValue.Set("status", *status);
  }
  const auto current = isFound ? read.mObject.mRevision : 0;
  const auto written = platform::WriteSettled(
    aPlatform, object, order.mExpected.value_or(current), previous);
  return AnswerWrite(written, object, shownKey);
}

http::response
DeleteResource(const platform::client& aPlatform,
               const http::request& aRequest,
               const http::path_parts& aParts)
{
  const auto& kind = aParts[0];
  const auto& name = aParts[1];
  if (!IsConfigurationKind(kind)) {
    return Refuse(404, "unknown_resource");
  }
  const auto read = platform::Read(aPlatform, kind, name);
  if (read.mState == platform::read_state::Failed) {
    return Refuse(503, "platform_unavailable", read.mLastReason);
  }
  if (read.mState == platform::read_state::Absent) {
    return Refuse(404, "unknown_resource");
  }
  const auto expected =
    QueryNumber(aRequest, "resource_version", read.mObject.mRevision);
  if (!expected) {
    return Refuse(400, "invalid_resource", "resource_version is no number");
  }
  const auto written =
    platform::DeleteSettled(aPlatform, kind, name, *expected);
  if (written.mState == platform::write_state::Done) {
    return JsonResponse(200, json::object{});
  }
  return AnswerWrite(written, read.mObject, "");
}

http::response
WatchResources(configuration_store& aStore, const http::request& aRequest)
{
  const auto from = QueryNumber(aRequest, "from", 0);
  const auto wait = QueryNumber(aRequest, "wait_ms", 1000);
  if (!from || !wait) {
    return Refuse(400, "bad_request", "from and wait_ms are whole numbers");
  }
  const auto kind = http::QueryOr(aRequest, "kind", "");
  const auto batch = aStore.WaitForChanges(
    *from, milliseconds(std::min<std::int64_t>(*wait, 30000)));
  if (batch.mIsTooOld) {
    // List anew, then watch from the list's revision.
    return Refuse(410, "revision_too_old", json::value(batch.mRevision));
  }
  json::array events;
  for (const auto& event : batch.mEvents) {
    if (!kind.empty() && event.mKind != kind) {
      continue;
    }
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
                if (!IsConfigurationKind(aParts[0])) {
                  return Refuse(404, "unknown_kind");
                }
                json::array items;
                const auto revision = aStore.Digest().mKnownRevision;
                for (const auto& object : aStore.Objects(aParts[0])) {
                  items.push_back(Describe(object));
                }
                json::value body;
                body.Set("revision", revision);
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
  aRouter.Add("PUT",
              "/v1/resources/*/*",
              [&aStore, aPlatform](const http::request& aRequest,
                                   const http::path_parts& aParts) {
                return PutResource(aStore, aPlatform, aRequest, aParts);
              });
  aRouter.Add(
    "DELETE",
    "/v1/resources/*/*",
    [aPlatform](const http::request& aRequest, const http::path_parts& aParts) {
      return DeleteResource(aPlatform, aRequest, aParts);
    });
  aRouter.Add(
    "GET", "/v1/watch", [&aStore](const http::request& aRequest, const auto&) {
      return WatchResources(aStore, aRequest);
    });
}

http::response
ServeOperatorRequest(const http::router& aRouter,
                     const std::string& aKeyHash,
                     const http::request& aRequest)
{
  if (!aKeyHash.empty()) {
    static const std::string kScheme = "Bearer ";
    const auto header = http::HeaderOr(aRequest.mHeaders, "Authorization", "");
    const bool isBearer = header.rfind(kScheme, 0) == 0;
    // Hashes are compared, so the time taken tells nothing of the key.
    if (!isBearer || HashKey(header.substr(kScheme.size())) != aKeyHash) {
      return Refuse(401, "operator_key_wrong");
    }
  }
  return http::Serve(aRouter, aRequest);
}

} // namespace lavender::configuration
