#include "Duties/Configuration/Snapshot.h"

namespace lavender::configuration {
namespace {

constexpr const char* kCustomer = "Customer";
constexpr const char* kKey = "Key";
constexpr const char* kTrainingRun = "TrainingRun";
constexpr const char* kBackendPool = "BackendPool";
constexpr const char* kModelVersion = "ModelVersion";

json::value
SpecOf(const platform::stored_object& aObject)
{
  const auto* spec = aObject.mValue.Find("spec");
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

snapshot
BuildSnapshot(const object_map& aObjects, std::int64_t aRevision)
{
  snapshot built;
  built.mRevision = aRevision;
  for (const auto& [identity, object] : aObjects) {
    const auto& [kind, name] = identity;
    const auto spec = SpecOf(object);
    if (kind == kCustomer) {
      built.mCustomers[name] = ToCustomer(name, spec);
    } else if (kind == kKey) {
      built.mKeysByHash[json::StringAt(spec, "hash", "")] = {
        name,
        json::StringAt(spec, "customer", ""),
        json::BooleanAt(spec, "withdrawn", false)
      };
    } else if (kind == kTrainingRun) {
      built.mRuns[name] = ToRun(name, spec);
    } else if (kind == kBackendPool) {
      built.mPools[name] = ToPool(name, spec);
    }
  }
  for (const auto& [identity, object] : aObjects) {
    if (identity.first != kModelVersion) {
      continue;
    }
    const auto spec = SpecOf(object);
    for (auto& [name, run] : built.mRuns) {
      if (run.mModel == json::StringAt(spec, "model", "")) {
        run.mAcceptedVersion =
          std::max(run.mAcceptedVersion, json::IntegerAt(spec, "version", 0));
      }
    }
  }
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
