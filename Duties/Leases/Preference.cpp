#include "Duties/Leases/Preference.h"

#include "Libraries/Core/Rendezvous.h"

#include <algorithm>

namespace lavender::leases {

std::size_t
RankOf(const std::string& aLease,
       const std::string& aSelf,
       const std::vector<std::string>& aEntries)
{
  const auto own = RendezvousHash(aLease, aSelf);
  return static_cast<std::size_t>(
    std::count_if(aEntries.begin(), aEntries.end(), [&](const auto& aEntry) {
      return aEntry != aSelf && RendezvousHash(aLease, aEntry) > own;
    }));
}

} // namespace lavender::leases
