#pragma once

#include "Libraries/Core/Clock.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lavender::routing {

/** Digest of the part of a prompt that engines cache by; 0 for none. Engines
 * tell the same figure in their cache events. */
std::int64_t
PrefixDigest(std::string_view aPrompt);

struct prefix_home
{
  std::string mServer;
  time_point mSeenAt;
};

struct prefix_limits
{
  /** Prefixes remembered, in each of two generations. */
  std::size_t mGenerationSize = 4096;
  std::size_t mHomes = 2;
  /** Engines evict without a word, and events get lost: a home that neither
   * a request nor an event has confirmed for this long is forgotten. */
  milliseconds mForgetAfter{ 30000 };
};

/** Which servers hold which prompt prefixes, as far as one entry knows: from
 * what it sent where, and from cache events in load reports.
 *
 * Events come late and with gaps, so that a missing event proves nothing. Two
 * generations bound the memory: the older one is dropped whole when the newer
 * is full, and what was used meanwhile has moved to the newer. */
struct prefix_memory
{
  using generation = std::unordered_map<std::int64_t, std::vector<prefix_home>>;

  prefix_limits mLimits;
  generation mNewer;
  generation mOlder;
};

void
Remember(prefix_memory& aMemory,
         std::int64_t aDigest,
         const std::string& aServer,
         time_point aNow);

/** Servers that probably hold the prefix, newest evidence first. */
std::vector<prefix_home>
FindHomes(const prefix_memory& aMemory, std::int64_t aDigest, time_point aNow);

} // namespace lavender::routing
