#include "Duties/Configuration/Snapshot.h"

namespace lavender::configuration {
namespace {

constexpr const char* kCustomer = "Customer";
constexpr const char* kKey = "Key";
constexpr const char* kTrainingRun = "TrainingRun";
constexpr const char* kBackendPool = "BackendPool";
constexpr const char* kModelVersion = "ModelVersion";

json::value
SpecOf(const std::string& aText)
{
  const auto value = json::Parse(aText);
  const auto* spec = value ? value->Find("spec") : nullptr;
  return spec ? *spec : json::value();
}

customer
ToCustomer(const std::string& aName, const json::value& aSpec)
{
  customer made;
  made.mName = aName;
  made.mWeight = json::NumberAt(aSpec, "weight", 1);
  made.mMaximumConcurrent = json::IntegerAt(aSpec, "max_concurrent", 0);
  made.mRequestsPerSecond = json::NumberAt(aSpec, "requests_per_second", 0);
  return made;
}

training_run
ToRun(const std::string& aName, const json::value& aSpec)
{
  training_run run;
  run.mName = aName;
  run.mCustomer = json::StringAt(aSpec, "customer", "");
  run.mPool = json::StringAt(aSpec, "pool", "");
  run.mModel = json::StringAt(aSpec, "model", "");
  run.mStalenessBound = json::IntegerAt(aSpec, "staleness_bound", 1);
  return run;
}

backend_pool
ToPool(const std::string& aName, const json::value& aSpec)
{
  backend_pool pool;
  pool.mName = aName;
  pool.mModel = json::StringAt(aSpec, "model", "");
  pool.mService = json::StringAt(aSpec, "service", "");
  pool.mIsRepeatable = json::BooleanAt(aSpec, "repeatable", true);
  pool.mMinimumPerZone = json::IntegerAt(aSpec, "minimum_per_zone", 0);
  pool.mMaximumPerZone = json::IntegerAt(aSpec, "maximum_per_zone", 0);
  return pool;
}

} // namespace

bool
IsConfigurationKind(const std::string& aKind)
{
  return aKind == kCustomer || aKind == kKey || aKind == kTrainingRun ||
         aKind == kBackendPool || aKind == kModelVersion;
}

void
ApplyChange(snapshot& aSnapshot, const object_change& aChange)
{
  const auto& [kind, name, before, after] = aChange;
  const bool isDeletion = after.empty();
  const auto spec = isDeletion ? json::value() : SpecOf(after);
  if (kind == kKey) {
    if (!before.empty()) {
      const auto old =
        aSnapshot.mKeysByHash.find(json::StringAt(SpecOf(before), "hash", ""));
      if (old != aSnapshot.mKeysByHash.end() && old->second.mName == name) {
        aSnapshot.mKeysByHash.erase(old);
      }
    }
    if (!isDeletion) {
      aSnapshot.mKeysByHash[json::StringAt(spec, "hash", "")] = {
        name,
        json::StringAt(spec, "customer", ""),
        json::BooleanAt(spec, "withdrawn", false)
      };
    }
  } else if (kind == kCustomer) {
    aSnapshot.mCustomers.erase(name);
    if (!isDeletion) {
      aSnapshot.mCustomers[name] = ToCustomer(name, spec);
    }
  } else if (kind == kTrainingRun) {
    aSnapshot.mRuns.erase(name);
    if (!isDeletion) {
      aSnapshot.mRuns[name] = ToRun(name, spec);
    }
  } else if (kind == kBackendPool) {
    aSnapshot.mPools.erase(name);
    if (!isDeletion) {
      aSnapshot.mPools[name] = ToPool(name, spec);
    }
  }
}

void
RefreshAcceptedVersions(snapshot& aSnapshot, const object_map& aObjects)
{
  for (auto& [name, run] : aSnapshot.mRuns) {
    run.mAcceptedVersion = 0;
  }
  for (auto item = aObjects.lower_bound({ kModelVersion, "" });
       item != aObjects.end() && item->first.first == kModelVersion;
       ++item) {
    const auto spec = SpecOf(item->second.mText);
    for (auto& [name, run] : aSnapshot.mRuns) {
      if (run.mModel == json::StringAt(spec, "model", "")) {
        run.mAcceptedVersion =
          std::max(run.mAcceptedVersion, json::IntegerAt(spec, "version", 0));
      }
    }
  }
}

snapshot
BuildSnapshot(const object_map& aObjects, std::int64_t aRevision)
{
  snapshot built;
  built.mRevision = aRevision;
  for (const auto& [identity, object] : aObjects) {
    ApplyChange(built, { identity.first, identity.second, "", object.mText });
  }
  RefreshAcceptedVersions(built, aObjects);
  return built;
}

const backend_pool*
FindPoolForModel(const snapshot& aSnapshot, const std::string& aModel)
{
  for (const auto& [name, pool] : aSnapshot.mPools) {
    if (!aModel.empty() && pool.mModel == aModel) {
      return &pool;
    }
  }
  return nullptr;
}

const backend_pool*
FindPoolForService(const snapshot& aSnapshot, const std::string& aService)
{
  for (const auto& [name, pool] : aSnapshot.mPools) {
    if (!aService.empty() && pool.mService == aService) {
      return &pool;
    }
  }
  return nullptr;
}

} // namespace lavender::configuration
