#include "Duties/Routing/Subset.h"

#include <algorithm>
#include <cstdint>

namespace lavender::routing {
namespace {

/** A server assigned to fewer entries would be unreachable for callers when
 * those entries fail. */
constexpr std::size_t kMinimumEntries = 3;

/** FNV-1a, because std::hash may differ between processes. */
std::uint64_t
HashName(const std::string& aName)
{
  std::uint64_t hash = 14695981039346656037u;
  for (const char byte : aName) {
    hash = (hash ^ static_cast<unsigned char>(byte)) * 1099511628211u;
  }
  return hash;
}

/** Combines two hashes with the finalizer of SplitMix64. */
std::uint64_t
Mix(std::uint64_t aServer, std::uint64_t aEntry)
{
  std::uint64_t mixed = aServer ^ (aEntry * 0x9e3779b97f4a7c15u);
  mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9u;
  mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebu;
  return mixed ^ (mixed >> 31);
}

} // namespace

std::size_t
EntriesPerServer(std::size_t aServers,
                 std::size_t aEntries,
                 std::size_t aTarget)
{
  if (aServers == 0) {
    return 0;
  }
  const std::size_t enough = (aTarget * aEntries + aServers - 1) / aServers;
  return std::min(std::max(enough, kMinimumEntries), aEntries);
}

std::vector<std::string>
FindSubset(const std::vector<std::string>& aServers,
           const std::vector<std::string>& aEntries,
           const std::string& aOwnEntry,
           std::size_t aTarget)
{
  const auto entries =
    EntriesPerServer(aServers.size(), aEntries.size(), aTarget);
  if (entries >= aEntries.size()) {
    return aServers;
  }
  std::vector<std::uint64_t> hashes;
  hashes.reserve(aEntries.size());
  for (const auto& entry : aEntries) {
    hashes.push_back(HashName(entry));
  }
  const auto own = HashName(aOwnEntry);
  std::vector<std::string> subset;
  for (const auto& server : aServers) {
    const auto hash = HashName(server);
    const auto ownRank = Mix(hash, own);
    const auto higher =
      std::count_if(hashes.begin(), hashes.end(), [&](std::uint64_t aEntry) {
        return Mix(hash, aEntry) > ownRank;
      });
    if (static_cast<std::size_t>(higher) < entries) {
      subset.push_back(server);
    }
  }
  return subset;
}

} // namespace lavender::routing
