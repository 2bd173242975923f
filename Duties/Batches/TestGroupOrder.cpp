#include "Duties/Batches/GroupOrder.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>

using namespace lavender::batches;

namespace {

using ranks = std::vector<std::size_t>;

std::vector<open_group>
Groups(std::size_t aGroups, int aItems)
{
  return std::vector<open_group>(aGroups, { aItems, 0 });
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestGroupOrder)

/** Load above what the servers bear: items of all groups run in turn, and at
 * the due time each group lacks some, so that none counts. */
BOOST_AUTO_TEST_CASE(UnderOverloadSomeGroupsAreFinishedInsteadOfAPartOfEach)
{
  BOOST_TEST(RankGroups(Groups(5, 16), 4, 40) == (ranks{ 0, 0, 1, 2, 3 }),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(GroupsThatTheTrainerDoesNotWaitForComeLast)
{
  BOOST_TEST(RankGroups(Groups(5, 16), 4, 1000) == (ranks{ 0, 0, 0, 0, 1 }),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(GroupsThatAreFurtherOnComeFirst)
{
  auto groups = Groups(4, 16);
  groups[2] = { 6, 12 };
  BOOST_TEST(RankGroups(groups, 4, 30) == (ranks{ 0, 1, 0, 2 }),
             boost::test_tools::per_element());
}

/** Guards against complete groups that use up the number of groups that the
 * trainer still waits for: the others would run one by one, and the longest
 * items of the last one would start last. */
BOOST_AUTO_TEST_CASE(CompleteGroupsTakeNoPlace)
{
  auto groups = Groups(4, 16);
  groups[0] = { 0, 16 };
  groups[1] = { 0, 16 };
  BOOST_TEST(RankGroups(groups, 2, 40) == (ranks{ 0, 0, 0, 0 }),
             boost::test_tools::per_element());
}

/** A step that is late already still gets its groups one by one. */
BOOST_AUTO_TEST_CASE(WithoutTimeLeftGroupsFollowOneByOne)
{
  BOOST_TEST(RankGroups(Groups(3, 16), 3, -10) == (ranks{ 0, 1, 2 }),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(TheSharedRankHoldsNoMoreThanIsFeasible)
{
  BOOST_TEST(rc::check("feasible groups", [] {
    std::vector<open_group> groups;
    for (int i = *rc::gen::inRange(0, 30); i > 0; --i) {
      groups.push_back({ *rc::gen::inRange(0, 20), *rc::gen::inRange(0, 20) });
    }
    const auto target = *rc::gen::inRange<std::size_t>(0, 30);
    const double feasible = *rc::gen::inRange(-50, 400);
    const auto ranked = RankGroups(groups, target, feasible);
    RC_ASSERT(ranked.size() == groups.size());
    std::size_t shared = 0;
    double items = 0;
    for (std::size_t i = 0; i < groups.size(); ++i) {
      shared += ranked[i] == 0 && groups[i].mOpenItems > 0 ? 1 : 0;
      items += ranked[i] == 0 ? groups[i].mOpenItems : 0;
    }
    RC_ASSERT(shared <= target);
    RC_ASSERT(shared <= 1 || items <= feasible);
    const bool hasOpen =
      std::any_of(groups.begin(), groups.end(), [](const auto& aGroup) {
        return aGroup.mOpenItems > 0;
      });
    RC_ASSERT(shared >= 1 || target == 0 || !hasOpen);
  }));
}

BOOST_AUTO_TEST_SUITE_END()
