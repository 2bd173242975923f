#pragma once

#include "Duties/Configuration/Snapshot.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lavender::configuration {

/** What is known of one pool's servers. */
struct pool_facts
{
  /** Servers by the word for their state. */
  std::map<std::string, std::int64_t> mServers;
  /** Live servers by the weight version that they hold. */
  std::map<std::int64_t, std::int64_t> mHolding;
};

/** What status is made from. */
struct status_inputs
{
  /** Every entry by the instance list knows all changes up to here; 0 while
   * any of them can't be heard. */
  std::int64_t mRevisionOnAllEntries = 0;
  std::int64_t mEntries = 1;
  std::map<std::string, pool_facts> mPools;
};

/** One resource as the store holds it. */
struct held_resource
{
  std::string mKind;
  std::string mName;
  std::int64_t mRevision = 0;
  json::value mValue;
};

/** The status that the resource should show; none when it shows that already.
 *
 * "observed_generation" equals the resource's generation once the operator's
 * last write is in force on all entries. A status write is itself a change, but
 * doesn't raise the generation, so status comes to rest. Members that other
 * duties wrote are left as they are. */
std::optional<json::value>
NextStatus(const held_resource& aResource,
           const snapshot& aSnapshot,
           const status_inputs& aFacts);

/** True when the last write is shown as in force everywhere. */
bool
IsObserved(const held_resource& aResource);

/** The entry that writes a resource's status: each resource has one, chosen by
 * rendezvous, so that no lease is needed. Two entries that see different peers
 * may both write; the conditional write lets one of them through. */
std::string
ChooseStatusWriter(const held_resource& aResource,
                   const std::vector<std::string>& aEntries);

} // namespace lavender::configuration
