#include "Duties/Routing/Subset.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <rapidcheck.h>

using namespace lavender::routing;

namespace {

using names = std::vector<std::string>;

names
MakeNames(const std::string& aPrefix, std::size_t aCount)
{
  names made;
  for (std::size_t i = 0; i < aCount; ++i) {
    made.push_back(aPrefix + std::to_string(i));
  }
  return made;
}

/** Subset of each entry, by entry name. */
std::map<std::string, names>
FindAll(const names& aServers, const names& aEntries, std::size_t aTarget)
{
  std::map<std::string, names> all;
  for (const auto& entry : aEntries) {
    all[entry] = FindSubset(aServers, aEntries, entry, aTarget);
  }
  return all;
}

std::map<std::string, names>
Invert(const std::map<std::string, names>& aSubsets)
{
  std::map<std::string, names> known;
  for (const auto& [entry, servers] : aSubsets) {
    for (const auto& server : servers) {
      known[server].push_back(entry);
    }
  }
  return known;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestSubset)

BOOST_AUTO_TEST_CASE(EveryServerIsAssignedAndReplacementChangesFew)
{
  BOOST_TEST(rc::check("subsets of small fleets", [] {
    auto servers = MakeNames("server-", *rc::gen::inRange<std::size_t>(1, 24));
    auto entries = MakeNames("entry-", *rc::gen::inRange<std::size_t>(1, 12));
    const auto target = *rc::gen::inRange<std::size_t>(1, 24);
    const auto copies =
      EntriesPerServer(servers.size(), entries.size(), target);
    const auto before = Invert(FindAll(servers, entries, target));
    RC_ASSERT(before.size() == servers.size());
    for (const auto& [server, entriesThatKnow] : before) {
      RC_ASSERT(entriesThatKnow.size() == copies);
    }
    // When an entry is replaced, at most one of the entries of each server
    // changes.
    const auto gone = *rc::gen::inRange<std::size_t>(0, entries.size());
    const auto goneName = entries[gone];
    entries[gone] = "entry-new";
    const auto after = Invert(FindAll(servers, entries, target));
    for (const auto& server : servers) {
      names kept;
      std::set_intersection(before.at(server).begin(),
                            before.at(server).end(),
                            after.at(server).begin(),
                            after.at(server).end(),
                            std::back_inserter(kept));
      RC_ASSERT(kept.size() + 1 >= copies);
    }
    // When a server is replaced, all other servers keep their entries.
    auto changed = servers;
    changed[*rc::gen::inRange<std::size_t>(0, servers.size())] = "server-new";
    const auto renewed = Invert(FindAll(changed, entries, target));
    for (const auto& server : servers) {
      if (std::count(changed.begin(), changed.end(), server) > 0) {
        RC_ASSERT(renewed.at(server) == after.at(server));
      }
    }
  }));
}

// Subset sizes at 1200 servers and 360 entries: an entry with too few servers
// can't spread its load, and one with too many polls more than its share.
BOOST_AUTO_TEST_CASE(SubsetsAreBalancedAtSize)
{
  const auto servers = MakeNames("server-", 1200);
  const auto entries = MakeNames("entry-", 360);
  std::size_t fewest = servers.size();
  std::size_t most = 0;
  std::map<std::string, int> known;
  for (const auto& entry : entries) {
    const auto subset = FindSubset(servers, entries, entry, 30);
    fewest = std::min(fewest, subset.size());
    most = std::max(most, subset.size());
    for (const auto& server : subset) {
      ++known[server];
    }
  }
  BOOST_TEST_MESSAGE("servers per entry " << fewest << " to " << most);
  BOOST_TEST(known.size() == servers.size());
  BOOST_TEST(std::all_of(known.begin(), known.end(), [](const auto& aServer) {
    return aServer.second == 9;
  }));
  BOOST_TEST(fewest >= 10u);
  BOOST_TEST(most <= 60u);
}

BOOST_AUTO_TEST_SUITE_END()
