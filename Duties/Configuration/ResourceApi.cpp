#include "Duties/Configuration/ResourceApi.h"

#include "Duties/Configuration/Validation.h"
#include "Libraries/Core/Identity.h"
#include "Libraries/Platform/SettledWrite.h"

#include <algorithm>
#include <optional>

namespace lavender::configuration {
namespace {

/** Kind that only the system writes; operators may read it. */
constexpr char kUsageWindow[] = "UsageWindow";

http::response
JsonResponse(int aStatus, const json::value& aBody)
{
  http::response httpResponse;
  httpResponse.mStatus = aStatus;
  httpResponse.mBody = json::Write(aBody);
  return httpResponse;
}

http::response
ErrorResponse(int aStatus, const std::string& aReason, json::value aDetail = {})
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

/** Converts an object to the JSON that operators receive. The hash of a key is
 * omitted. */
json::value
ToJson(const platform::stored_object& aObject)
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
ToJson(const findings& aFindings)
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

/** Parses a query parameter as a whole number. Returns aFallback when it is
 * absent, and none when it isn't a number. */
std::optional<std::int64_t>
QueryNumber(const http::request& aRequest,
            const char* aName,
            std::int64_t aFallback)
{
  const auto text = http::QueryOr(aRequest, aName, "");
  if (text.empty()) {
    return aFallback;
  }
  constexpr std::size_t kMaximumDigits = 18;
  if (text.size() > kMaximumDigits ||
      text.find_first_not_of("0123456789") != std::string::npos) {
    return std::nullopt;
  }
  return std::stoll(text);
}

http::response
WriteResponse(const platform::write_result& aWritten,
              const platform::stored_object& aIntended,
              const std::string& aNewKey)
{
  switch (aWritten.mState) {
    case platform::write_state::Done: {
      auto object = aIntended;
      object.mRevision = aWritten.mRevision;
      auto body = ToJson(object);
      if (!aNewKey.empty()) {
        body.Set("key", aNewKey);
      }
      return JsonResponse(200, body);
    }
    case platform::write_state::Conflict:
      return ErrorResponse(409,
                           "conflict",
                           aWritten.mCurrent ? ToJson(*aWritten.mCurrent)
                                             : json::value());
    case platform::write_state::Refused:
      return ErrorResponse(503, "platform_refused", aWritten.mLastReason);
    case platform::write_state::Unknown:
      break;
  }
  return ErrorResponse(503, "outcome_unknown", aWritten.mLastReason);
}

/** A parsed write request of an operator. */
struct put_request
{
  std::string mKind;
  std::string mName;
  json::value mSpec;
  /** Version that the resource must have for the write to succeed; 0 when it
   * must not exist, none for an unconditional write. */
  std::optional<std::int64_t> mExpectedVersion;
};

/** Parses a write request and adds every problem to aFound. */
put_request
ParsePutRequest(const http::request& aRequest,
                const http::path_parts& aParts,
                const json::value& aBody,
                findings& aFound)
{
  put_request putRequest{ aParts[0], aParts[1], {}, std::nullopt };
  const std::string place = putRequest.mKind + "/" + putRequest.mName;
  if (const auto* spec = aBody.Find("spec")) {
    putRequest.mSpec = *spec;
  }
  aFound = ValidateSpec(putRequest.mKind, putRequest.mName, putRequest.mSpec);
  for (const auto& [name, member] : aBody.Members()) {
    if (name != "spec") {
      aFound.Add(place + " " + name,
                 name == "status" ? "is written by the system only"
                                  : "unknown field");
    }
  }
  if (!http::QueryOr(aRequest, "resource_version", "").empty()) {
    putRequest.mExpectedVersion = QueryNumber(aRequest, "resource_version", 0);
    if (!putRequest.mExpectedVersion) {
      aFound.Add(place + " resource_version", "is not a whole number");
    }
  }
  return putRequest;
}

/** Checks the snapshot first. It may lag behind another entry's write, so a
 * resource that it lacks is looked up in the platform's store. */
resource_lookup
ResourceLookup(const configuration_store& aStore,
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

/** Sets the hash in a key's spec: the existing one, or that of a newly
 * generated key.
 * @return the new key, which is shown only in this response; empty for a key
 * that exists already */
std::string
SetKeyHash(json::value& aSpec, const json::value& aPrevious)
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
    return ErrorResponse(400, "bad_json", body.mLastReason);
  }
  findings found;
  auto putRequest = ParsePutRequest(aRequest, aParts, *body, found);
  const auto references = ValidateReferences(putRequest.mKind,
                                             putRequest.mName,
                                             putRequest.mSpec,
                                             ResourceLookup(aStore, aPlatform));
  for (const auto& finding : references.mAll) {
    found.Add(finding.mPlace, finding.mProblem);
  }
  if (!found.IsEmpty()) {
    return ErrorResponse(400, "invalid_resource", ToJson(found));
  }
  const auto read =
    platform::Read(aPlatform, putRequest.mKind, putRequest.mName);
  if (read.mState == platform::read_state::Failed) {
    return ErrorResponse(503, "platform_unavailable", read.mLastReason);
  }
  const bool isFound = read.mState == platform::read_state::Found;
  const auto previous = isFound ? read.mObject.mValue : json::value();
  platform::stored_object object{ putRequest.mKind, putRequest.mName, 0, {} };
  std::string newKey;
  if (putRequest.mKind == "Key") {
    newKey = SetKeyHash(putRequest.mSpec, previous);
  }
  object.mValue.Set("spec", putRequest.mSpec);
  object.mValue.Set("generation",
                    json::IntegerAt(previous, "generation", 0) + 1);
  if (const auto* status = previous.Find("status")) {
    object.mValue.Set("status", *status);
  }
  const auto current = isFound ? read.mObject.mRevision : 0;
  const auto written = platform::WriteSettled(
    aPlatform, object, putRequest.mExpectedVersion.value_or(current), previous);
  return WriteResponse(written, object, newKey);
}

http::response
DeleteResource(const platform::client& aPlatform,
               const http::request& aRequest,
               const http::path_parts& aParts)
{
  const auto& kind = aParts[0];
  const auto& name = aParts[1];
  if (!IsConfigurationKind(kind)) {
    return ErrorResponse(404, "unknown_resource");
  }
  const auto read = platform::Read(aPlatform, kind, name);
  if (read.mState == platform::read_state::Failed) {
    return ErrorResponse(503, "platform_unavailable", read.mLastReason);
  }
  if (read.mState == platform::read_state::Absent) {
    return ErrorResponse(404, "unknown_resource");
  }
  const auto expected =
    QueryNumber(aRequest, "resource_version", read.mObject.mRevision);
  if (!expected) {
    return ErrorResponse(
      400, "invalid_resource", "resource_version is no number");
  }
  const auto written =
    platform::DeleteSettled(aPlatform, kind, name, *expected);
  if (written.mState == platform::write_state::Done) {
    return JsonResponse(200, json::object{});
  }
  return WriteResponse(written, read.mObject, "");
}

http::response
WatchResources(configuration_store& aStore, const http::request& aRequest)
{
  const auto from = QueryNumber(aRequest, "from", 0);
  const auto wait = QueryNumber(aRequest, "wait_ms", 1000);
  if (!from || !wait) {
    return ErrorResponse(
      400, "bad_request", "from and wait_ms are whole numbers");
  }
  const auto kind = http::QueryOr(aRequest, "kind", "");
  const auto batch = aStore.WaitForChanges(
    *from, milliseconds(std::min<std::int64_t>(*wait, 30000)));
  if (batch.mIsTooOld) {
    // The client has to list again and watch from the list's revision.
    return ErrorResponse(410, "revision_too_old", json::value(batch.mRevision));
  }
  json::array events;
  for (const auto& event : batch.mEvents) {
    if (!kind.empty() && event.mKind != kind) {
      continue;
    }
    auto shown = ToJson({ event.mKind,
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
                  return ErrorResponse(404, "unknown_kind");
                }
                json::array items;
                const auto revision = aStore.Digest().mKnownRevision;
                for (const auto& object : aStore.Objects(aParts[0])) {
                  items.push_back(ToJson(object));
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
        return ErrorResponse(503, "platform_unavailable", read.mLastReason);
      }
      if (read.mState == platform::read_state::Absent ||
          !(IsConfigurationKind(aParts[0]) || aParts[0] == kUsageWindow)) {
        return ErrorResponse(404, "unknown_resource");
      }
      return JsonResponse(200, ToJson(read.mObject));
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
    // Comparing hashes avoids a timing side channel on the key.
    if (!isBearer || HashKey(header.substr(kScheme.size())) != aKeyHash) {
      return ErrorResponse(401, "operator_key_wrong");
    }
  }
  return http::Serve(aRouter, aRequest);
}

} // namespace lavender::configuration
