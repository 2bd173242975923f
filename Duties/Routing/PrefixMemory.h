#pragma once

#include "Libraries/Core/Clock.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lavender::routing {

/** Digest of a prompt's prefix, by which engines key their prompt cache; 0 for
 * an empty prompt. Engines send the same digest in their cache events. */
std::int64_t
PrefixDigest(std::string_view aPrompt);

struct prefix_holder
{
  std::string mServer;
  time_point mConfirmedAt;
};

struct prefix_limits
{
  /** Maximum number of prefixes in each of the two generations. */
  std::size_t mGenerationSize = 4096;
  std::size_t mMaximumHolders = 2;
  /** A holder expires when neither a request nor a cache event has confirmed it
   * for this long. Engines evict prefixes without an event, and events may be
   * lost. */
  milliseconds mExpireAfter{ 30000 };
};

/** Which servers probably cache which prompt prefixes, as known to one entry
 * from the requests that it sent and from cache events in load reports.
 *
 * Cache events are delayed and may be lost, so a missing event proves nothing.
 * Two generations bound the memory: when the newer one is full, the older one
 * is dropped, and every prefix used in the meantime has been moved to the newer
 * one. */
struct prefix_index
{
  using generation =
    std::unordered_map<std::int64_t, std::vector<prefix_holder>>;

  prefix_limits mLimits;
  generation mNewer;
  generation mOlder;
};

void
RecordHolder(prefix_index& aMemory,
             std::int64_t aDigest,
             const std::string& aServer,
             time_point aNow);

/** Servers that probably cache the prefix, most recently confirmed first. */
std::vector<prefix_holder>
FindHolders(const prefix_index& aMemory, std::int64_t aDigest, time_point aNow);

} // namespace lavender::routing
