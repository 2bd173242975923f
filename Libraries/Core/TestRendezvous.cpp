#include "Libraries/Core/Rendezvous.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <rapidcheck.h>

using namespace lavender;

BOOST_AUTO_TEST_SUITE(TestRendezvous)

BOOST_AUTO_TEST_CASE(ChoosesNoneWithoutPositiveWeight)
{
  BOOST_TEST(!ChooseByRendezvous("key", {}));
  BOOST_TEST(!ChooseByRendezvous("key", { { "a", 0 } }));
  BOOST_TEST(*ChooseByRendezvous("key", { { "a", 0 }, { "b", 0.1 } }) == "b");
}

BOOST_AUTO_TEST_CASE(DistributesKeysByWeight)
{
  std::map<std::string, int> keys;
  for (int i = 0; i < 10000; ++i) {
    ++keys[*ChooseByRendezvous(
      "model-" + std::to_string(i),
      { { "small", 0.1 }, { "middle", 0.4 }, { "large", 0.5 } })];
  }
  BOOST_TEST(std::abs(keys["small"] - 1000) < 150);
  BOOST_TEST(std::abs(keys["middle"] - 4000) < 250);
  BOOST_TEST(std::abs(keys["large"] - 5000) < 250);
}

/** The order of the candidates doesn't matter, and removing a candidate moves
 * only that candidate's keys. */
BOOST_AUTO_TEST_CASE(RemovalMovesOnlyTheRemovedCandidatesKeys)
{
  BOOST_TEST(rc::check("stable", [] {
    std::vector<weighted_candidate> candidates;
    const int count = *rc::gen::inRange(1, 12);
    for (int i = 0; i < count; ++i) {
      candidates.push_back(
        { "entry-" + std::to_string(i), *rc::gen::inRange(1, 9) / 10.0 });
    }
    const auto key = *rc::gen::string<std::string>();
    const auto chosen = ChooseByRendezvous(key, candidates);
    std::reverse(candidates.begin(), candidates.end());
    RC_ASSERT(ChooseByRendezvous(key, candidates) == chosen);
    const auto gone = *rc::gen::inRange<std::size_t>(0, candidates.size());
    const auto name = candidates[gone].mName;
    candidates.erase(candidates.begin() + static_cast<std::ptrdiff_t>(gone));
    if (name != *chosen) {
      RC_ASSERT(ChooseByRendezvous(key, candidates) == chosen);
    }
  }));
}

BOOST_AUTO_TEST_SUITE_END()
