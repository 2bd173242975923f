#pragma once

#include "Duties/Configuration/Snapshot.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lavender::configuration {

/** State of the servers of one pool. */
struct pool_summary
{
  /** Number of servers by the name of their state. */
  std::map<std::string, std::int64_t> mServers;
  /** Number of live servers by the weight version that they hold. */
  std::map<std::int64_t, std::int64_t> mHolding;
};

/** Inputs from which the status of resources is computed. */
struct status_inputs
{
  /** Every entry on the instance list knows all changes up to this revision; 0
   * while any of them is unreachable. */
  std::int64_t mRevisionOnAllEntries = 0;
  std::int64_t mEntries = 1;
  std::map<std::string, pool_summary> mPools;
};

/** A resource as stored in the Object API. */
struct stored_resource
{
  std::string mKind;
  std::string mName;
  std::int64_t mRevision = 0;
  json::value mValue;
};

/** Computes the status that the resource should have; none when its status is
 * already up to date.
 *
 * "observed_generation" equals the resource's generation once the operator's
 * last write is in force on all entries. A status write changes the resource's
 * revision but not its generation, so that it doesn't cause further status
 * writes. Status members that other components wrote are preserved. */
std::optional<json::value>
NextStatus(const stored_resource& aResource,
           const snapshot& aSnapshot,
           const status_inputs& aInputs);

/** True when the status shows that the last write is in force on all entries.
 */
bool
IsObserved(const stored_resource& aResource);

/** Chooses the entry that writes a resource's status, by rendezvous hashing
 * over the entries, so that no lease is needed. Entries that see different
 * peers may choose differently and both write; the conditional write lets one
 * of them succeed. */
std::string
ChooseStatusWriter(const stored_resource& aResource,
                   const std::vector<std::string>& aEntries);

} // namespace lavender::configuration
