#pragma once

#include "Libraries/Platform/PlatformClient.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>

/** The operators' configuration: its objects, how an entry receives them, and
 * the API to change them. */
namespace lavender::configuration {

struct customer
{
  std::string mName;
  /** Weight of the customer's share of a busy server, relative to other
   * customers. */
  double mWeight = 1;
  /** Maximum number of concurrent requests, summed over all entries; 0 for no
   * limit. */
  std::int64_t mMaximumConcurrent = 0;
  /** Maximum requests per second, summed over all entries; 0 for no limit. */
  double mRequestsPerSecond = 0;
};

/** A customer key as it is stored, without the key itself. */
struct key_record
{
  std::string mName;
  std::string mCustomer;
  bool mIsWithdrawn = false;
};

struct training_run
{
  std::string mName;
  std::string mCustomer;
  std::string mPool;
  std::string mModel;
  /** How many versions older than mAcceptedVersion a sample may be. */
  std::int64_t mStalenessBound = 1;
  /** Newest weight version of the model that the operator declared. */
  std::int64_t mAcceptedVersion = 0;
};

struct backend_pool
{
  std::string mName;
  /** Model that the pool's inference engines serve, or empty. */
  std::string mModel;
  /** Service name under /v1/services, or empty. */
  std::string mService;
  bool mIsRepeatable = true;
  /** Minimum number of servers that the system keeps in each availability
   * zone. */
  std::int64_t mMinimumPerZone = 0;
  /** Maximum number of servers in each availability zone. While it is 0, the
   * system doesn't start or stop servers of this pool. */
  std::int64_t mMaximumPerZone = 0;
};

/** The whole configuration at one revision of the Object API. Immutable once
 * published. */
struct snapshot
{
  std::int64_t mRevision = 0;
  std::map<std::string, customer> mCustomers;
  std::unordered_map<std::string, key_record> mKeysByHash;
  std::map<std::string, training_run> mRuns;
  std::map<std::string, backend_pool> mPools;
};

/** One object of the local copy. The value is kept as JSON text because the
 * parsed trees of all keys would take the largest part of an entry's memory. */
struct stored_json
{
  std::int64_t mRevision = 0;
  std::string mText;
};

/** Objects by kind and name, as in the Object API. */
using object_map = std::map<std::pair<std::string, std::string>, stored_json>;

/** True for the kinds that make up the configuration. */
bool
IsConfigurationKind(const std::string& aKind);

/** Builds a snapshot from all objects. Missing or malformed fields get their
 * defaults; they can only come from a writer that bypassed the validation. */
snapshot
BuildSnapshot(const object_map& aObjects, std::int64_t aRevision);

/** JSON text of one object before and after a change; empty where it doesn't
 * exist. */
struct object_change
{
  std::string mKind;
  std::string mName;
  std::string mBefore;
  std::string mAfter;
};

/** Applies one change to a snapshot. After RefreshAcceptedVersions has run too,
 * the snapshot equals one that BuildSnapshot creates. */
void
ApplyChange(snapshot& aSnapshot, const object_change& aChange);

/** Sets each run's accepted version from the declared model versions. */
void
RefreshAcceptedVersions(snapshot& aSnapshot, const object_map& aObjects);

/** Returns the pool that serves the model, or null. */
const backend_pool*
FindPoolForModel(const snapshot& aSnapshot, const std::string& aModel);
/** Returns the pool that serves the service, or null. */
const backend_pool*
FindPoolForService(const snapshot& aSnapshot, const std::string& aService);

} // namespace lavender::configuration
