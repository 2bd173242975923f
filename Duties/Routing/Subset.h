#pragma once

#include <string>
#include <vector>

namespace lavender::routing {

/** Servers that one entry knows, of all servers of a pool, by rendezvous
 * hashing: every server is known to the same number of entries, those that
 * rank highest for it. Each entry works it out alone from the two lists.
 *
 * Ranking by server and not by entry is what makes every server known to
 * enough entries; ranking by entry leaves some known to none. When an entry
 * goes, only the servers that it knew move, each to one further entry; when a
 * server goes, nothing else moves.
 * @param aServers names of the pool's servers
 * @param aEntries names of all entries, the own one among them
 * @param aTarget servers that an entry should know on average
 * @return names in the order of aServers */
std::vector<std::string>
FindSubset(const std::vector<std::string>& aServers,
           const std::vector<std::string>& aEntries,
           const std::string& aOwnEntry,
           std::size_t aTarget);

/** How many entries know each server for that target. */
std::size_t
EntriesPerServer(std::size_t aServers,
                 std::size_t aEntries,
                 std::size_t aTarget);

} // namespace lavender::routing
