#include "Duties/Configuration/ResourceStatus.h"

#include "Libraries/Core/Identity.h"

namespace lavender::configuration {
namespace {

constexpr const char* kObserved = "observed_generation";

const char*
KeyState(const std::string& aName,
         const json::value& aSpec,
         const snapshot& aSnapshot)
{
  const auto key =
    aSnapshot.mKeysByHash.find(json::StringAt(aSpec, "hash", ""));
  if (key == aSnapshot.mKeysByHash.end() || key->second.mName != aName) {
    return "unknown";
  }
  if (key->second.mIsWithdrawn) {
    return "withdrawn";
  }
  return aSnapshot.mCustomers.count(key->second.mCustomer) > 0
           ? "valid"
           : "customer_unknown";
}

void
SetPoolMembers(json::value& aStatus, const pool_facts& aFacts)
{
  json::value servers = json::object{};
  for (const auto& [state, count] : aFacts.mServers) {
    servers.Set(state, count);
  }
  json::value versions = json::object{};
  for (const auto& [version, count] : aFacts.mHolding) {
    versions.Set(std::to_string(version), count);
  }
  aStatus.Set("servers", std::move(servers));
  aStatus.Set("versions", std::move(versions));
}

} // namespace

bool
IsObserved(const held_resource& aResource)
{
  const auto* status = aResource.mValue.Find("status");
  return status && json::IntegerAt(*status, kObserved, 0) ==
                     json::IntegerAt(aResource.mValue, "generation", 0);
}

std::optional<json::value>
NextStatus(const held_resource& aResource,
           const snapshot& aSnapshot,
           const status_inputs& aFacts)
{
  const auto* shown = aResource.mValue.Find("status");
  json::value next = shown ? *shown : json::value(json::object{});
  if (!IsObserved(aResource) &&
      aFacts.mRevisionOnAllEntries >= aResource.mRevision) {
    next.Set(kObserved, json::IntegerAt(aResource.mValue, "generation", 0));
    next.Set("in_force_revision", aResource.mRevision);
    next.Set("entries", aFacts.mEntries);
  }
  if (const auto* spec = aResource.mValue.Find("spec");
      spec && aResource.mKind == "Key") {
    next.Set("state", KeyState(aResource.mName, *spec, aSnapshot));
  }
  if (aResource.mKind == "BackendPool") {
    const auto pool = aFacts.mPools.find(aResource.mName);
    SetPoolMembers(next,
                   pool == aFacts.mPools.end() ? pool_facts{} : pool->second);
  }
  const bool isSame =
    shown ? json::Write(next) == json::Write(*shown) : next.Members().empty();
  return isSame ? std::nullopt : std::optional(std::move(next));
}

std::string
ChooseStatusWriter(const held_resource& aResource,
                   const std::vector<std::string>& aEntries)
{
  std::string chosen;
  std::string highest;
  for (const auto& entry : aEntries) {
    auto rank = HashKey(aResource.mKind + "/" + aResource.mName + "\n" + entry);
    if (rank > highest) {
      highest = std::move(rank);
      chosen = entry;
    }
  }
  return chosen;
}

} // namespace lavender::configuration
