#pragma once

#include <string>
#include <vector>

namespace lavender::routing {

/** Computes the subset of a pool's servers that one entry uses, by rendezvous
 * hashing. Each server is assigned to the same number of entries, those that
 * rank highest for it. Each entry computes its subset from the two lists alone,
 * without coordination.
 *
 * Entries are ranked for each server rather than servers for each entry,
 * because the latter leaves some servers without any entry. When an entry is
 * removed, only its servers are reassigned, each to one other entry. When a
 * server is removed, no other assignment changes.
 * @param aServers names of the pool's servers
 * @param aEntries names of all entries, aOwnEntry included
 * @param aTarget mean number of servers in a subset
 * @return names in the order of aServers */
std::vector<std::string>
FindSubset(const std::vector<std::string>& aServers,
           const std::vector<std::string>& aEntries,
           const std::string& aOwnEntry,
           std::size_t aTarget);

/** Number of entries that each server is assigned to. */
std::size_t
EntriesPerServer(std::size_t aServers,
                 std::size_t aEntries,
                 std::size_t aTarget);

} // namespace lavender::routing
