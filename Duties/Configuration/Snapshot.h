#pragma once

#include "Libraries/Platform/PlatformClient.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>

/** The configuration that is in force, and how it gets here. */
namespace lavender::configuration {

struct customer
{
  std::string mName;
  /** Share of a busy server relative to other customers. */
  double mWeight = 1;
  /** Requests that may be under way at once over all entries; 0 for no
   * limit. */
  std::int64_t mMaximumConcurrent = 0;
  /** Requests a second over all entries; 0 for no limit. */
  double mRequestsPerSecond = 0;
};

/** A key as it is stored: only its hash, never the key. */
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
  /** How many versions older than the accepted one a sample may be. */
  std::int64_t mStalenessBound = 1;
  /** Newest weight version that the operator declared. */
  std::int64_t mAcceptedVersion = 0;
};

struct backend_pool
{
  std::string mName;
  /** Model that an engine pool serves, or empty. */
  std::string mModel;
  /** Service name under /v1/services, or empty. */
  std::string mService;
  bool mIsRepeatable = true;
  /** Bounds of the servers that the system keeps in each zone. */
  std::int64_t mMinimumPerZone = 0;
  /** The system orders no start or stop while this is 0. */
  std::int64_t mMaximumPerZone = 0;
};

/** All of the configuration at one revision of the Object API. Immutable once
 * published. */
struct snapshot
{
  std::int64_t mRevision = 0;
  std::map<std::string, customer> mCustomers;
  std::unordered_map<std::string, key_record> mKeysByHash;
  std::map<std::string, training_run> mRuns;
  std::map<std::string, backend_pool> mPools;
};

/** One object as it is held: the value stays JSON text, because a parsed tree
 * of every key would be the largest part of an entry's memory. */
struct stored_json
{
  std::int64_t mRevision = 0;
  std::string mText;
};

/** Objects by kind and name, as the Object API holds them. */
using object_map = std::map<std::pair<std::string, std::string>, stored_json>;

/** True for the kinds that make up the configuration. */
bool
IsConfigurationKind(const std::string& aKind);

/** Builds the snapshot from objects. An object that doesn't make sense is
 * left out; it can only come from a writer that went round the validation. */
snapshot
BuildSnapshot(const object_map& aObjects, std::int64_t aRevision);

/** One object before and after a change; empty text where there is none. */
struct object_change
{
  std::string mKind;
  std::string mName;
  std::string mBefore;
  std::string mAfter;
};

/** Carries one change over into a snapshot, which then equals one built anew
 * once RefreshAcceptedVersions has run too. */
void
ApplyChange(snapshot& aSnapshot, const object_change& aChange);

/** Sets each run's accepted version from the declared model versions. */
void
RefreshAcceptedVersions(snapshot& aSnapshot, const object_map& aObjects);

/** Pool that serves the model, or the service; null when there is none. */
const backend_pool*
FindPoolForModel(const snapshot& aSnapshot, const std::string& aModel);
const backend_pool*
FindPoolForService(const snapshot& aSnapshot, const std::string& aService);

} // namespace lavender::configuration
