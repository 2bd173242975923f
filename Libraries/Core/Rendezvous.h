#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lavender {

/** Candidate that may be chosen for a key. */
struct weighted_candidate
{
  std::string mName;
  /** Share of the keys relative to other candidates' weights; a candidate with
   * weight zero gets none. */
  double mWeight = 1;
};

/** Hash of a key and a candidate. It is the same in all processes, which
 * std::hash doesn't guarantee. */
std::uint64_t
RendezvousHash(std::string_view aKey, std::string_view aCandidate);

/** Chooses a candidate for a key by weighted rendezvous hashing. Processes that
 * see the same candidates choose the same one without communication, and adding
 * or removing a candidate moves only that candidate's keys. Returns none when
 * no candidate has a positive weight. */
std::optional<std::string>
ChooseByRendezvous(std::string_view aKey,
                   const std::vector<weighted_candidate>& aCandidates);

} // namespace lavender
