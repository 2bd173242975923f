#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace lavender::leases {

/** How many entries are preferred to this one for a lease, by rendezvous
 * hashing: each lease prefers another entry, all entries agree without talking,
 * and an entry that goes moves only its own leases.
 * @param aEntries names of live entries; may lack aSelf */
std::size_t
RankOf(const std::string& aLease,
       const std::string& aSelf,
       const std::vector<std::string>& aEntries);

} // namespace lavender::leases
