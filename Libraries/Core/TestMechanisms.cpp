#include "Libraries/Core/Mechanisms.h"

#include <boost/test/unit_test.hpp>

using namespace lavender;

BOOST_AUTO_TEST_SUITE(TestMechanisms)

BOOST_AUTO_TEST_CASE(AllAreOnUnlessAnExperimentNamesThem)
{
  findings found;
  BOOST_TEST(ReadMechanisms("", "--without", found).empty());
  const auto off =
    ReadMechanisms("hedged-rewards,group-homes", "--without", found);
  BOOST_TEST(off.size() == 2u);
  BOOST_TEST(found.mAll.empty());
  SwitchOff(off);
  BOOST_TEST(!IsOn(mechanism::HedgedRewards));
  BOOST_TEST(IsOn(mechanism::StoredTexts));
  SwitchOff({});
  BOOST_TEST(IsOn(mechanism::HedgedRewards));
}

BOOST_AUTO_TEST_CASE(AnUnknownNameIsAFinding)
{
  findings found;
  ReadMechanisms("hedged-rewards,nonsense", "--without", found);
  BOOST_TEST(found.mAll.size() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()
