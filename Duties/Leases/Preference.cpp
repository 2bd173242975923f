#include "Duties/Leases/Preference.h"

#include <algorithm>
#include <cstdint>

namespace lavender::leases {
namespace {

/** FNV-1a with a final mix: the same in all processes, which std::hash need
 * not be. */
std::uint64_t
Weigh(const std::string& aLease, const std::string& aEntry)
{
  std::uint64_t hash = 14695981039346656037ULL;
  for (const char byte : aLease + '\n' + aEntry) {
    hash = (hash ^ static_cast<unsigned char>(byte)) * 1099511628211ULL;
  }
  hash ^= hash >> 33;
  hash *= 0xff51afd7ed558ccdULL;
  hash ^= hash >> 33;
  return hash;
}

} // namespace

std::size_t
RankOf(const std::string& aLease,
       const std::string& aSelf,
       const std::vector<std::string>& aEntries)
{
  const auto own = Weigh(aLease, aSelf);
  return static_cast<std::size_t>(
    std::count_if(aEntries.begin(), aEntries.end(), [&](const auto& aEntry) {
      return aEntry != aSelf && Weigh(aLease, aEntry) > own;
    }));
}

} // namespace lavender::leases
