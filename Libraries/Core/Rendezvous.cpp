#include "Libraries/Core/Rendezvous.h"

#include <cmath>
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace lavender {

std::uint64_t
RendezvousHash(std::string_view aKey, std::string_view aCandidate)
{
  const auto seed = XXH64(aKey.data(), aKey.size(), 0);
  return XXH64(aCandidate.data(), aCandidate.size(), seed);
}

std::optional<std::string>
ChooseByRendezvous(std::string_view aKey,
                   const std::vector<weighted_candidate>& aCandidates)
{
  const weighted_candidate* chosen = nullptr;
  double highest = 0;
  for (const auto& candidate : aCandidates) {
    if (candidate.mWeight <= 0) {
      continue;
    }
    // With the score -weight / log(uniform), each candidate has the highest
    // score for a share of the keys that is proportional to its weight.
    const auto hash = RendezvousHash(aKey, candidate.mName);
    const double uniform =
      (static_cast<double>(hash >> 11) + 0.5) / static_cast<double>(1ULL << 53);
    const double score = -candidate.mWeight / std::log(uniform);
    if (!chosen || score > highest) {
      chosen = &candidate;
      highest = score;
    }
  }
  return chosen ? std::optional(chosen->mName) : std::nullopt;
}

} // namespace lavender
