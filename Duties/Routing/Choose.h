#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

/** Which backend server gets a request. */
namespace lavender::routing {

/** One server that could take the request. */
struct candidate
{
  std::string mName;
  std::string mAvailabilityZone;
  int mSlots = 1;
  /** Requests queued and running by the server's last report. */
  int mReported = 0;
  /** Own requests sent since that report can't show all of them. */
  int mOwnUnreported = 0;
};

/** Load of a candidate as a share of its slots. */
double
LoadOf(const candidate& aCandidate);

/** Two random choices, the less loaded of them; on a tie the one in the own
 * availability zone. None when there is no candidate. */
std::optional<std::size_t>
Choose(const std::vector<candidate>& aCandidates,
       const std::string& aOwnZone,
       std::mt19937_64& aRandom);

} // namespace lavender::routing
