#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lavender {

/** One that may be chosen for a key. */
struct weighted_candidate
{
  std::string mName;
  /** Its part of the keys, relative to the others'; none at zero. */
  double mWeight = 1;
};

/** How strongly a key prefers a candidate; the same in all processes, which
 * std::hash need not be. */
std::uint64_t
RendezvousHash(std::string_view aKey, std::string_view aCandidate);

/** The candidate that a key prefers, by weighted rendezvous hashing: all
 * processes that see the same candidates agree without talking, and one that
 * comes or goes moves only its own keys. None when nobody may be chosen. */
std::optional<std::string>
ChooseByRendezvous(std::string_view aKey,
                   const std::vector<weighted_candidate>& aCandidates);

} // namespace lavender
