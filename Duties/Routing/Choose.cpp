#include "Duties/Routing/Choose.h"

#include <algorithm>

namespace lavender::routing {

double
LoadOf(const candidate& aCandidate)
{
  return static_cast<double>(aCandidate.mReported + aCandidate.mOwnUnreported) /
         std::max(aCandidate.mSlots, 1);
}

std::optional<std::size_t>
Choose(const std::vector<candidate>& aCandidates,
       const std::string& aOwnZone,
       std::mt19937_64& aRandom)
{
  if (aCandidates.empty()) {
    return std::nullopt;
  }
  std::uniform_int_distribution<std::size_t> pick(0, aCandidates.size() - 1);
  const std::size_t first = pick(aRandom);
  const std::size_t second = pick(aRandom);
  const double firstLoad = LoadOf(aCandidates[first]);
  const double secondLoad = LoadOf(aCandidates[second]);
  if (firstLoad != secondLoad) {
    return firstLoad < secondLoad ? first : second;
  }
  return aCandidates[second].mAvailabilityZone == aOwnZone ? second : first;
}

} // namespace lavender::routing
