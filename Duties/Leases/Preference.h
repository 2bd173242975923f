#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace lavender::leases {

/** Returns how many entries are preferred to this one for a lease, by
 * rendezvous hashing: leases are spread over the entries, all entries agree
 * without communicating, and the departure of an entry moves only its own
 * leases.
 * @param aEntries names of live entries; may lack aSelf */
std::size_t
RankOf(const std::string& aLease,
       const std::string& aSelf,
       const std::vector<std::string>& aEntries);

} // namespace lavender::leases
