#include "Libraries/Edge/RoomDecision.h"

#include <boost/test/unit_test.hpp>

using namespace lavender;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kLimit = 1 << 20;
constexpr std::size_t kReserved = 1 << 16;

} // namespace

BOOST_AUTO_TEST_SUITE(TestRoomDecision)

// Guards against ordinary callers that are refused for a crowd that waits.
BOOST_AUTO_TEST_CASE(WhoKeepsMuchForLongEndsFirst)
{
  BOOST_TEST(!edge::ChooseByMemory({}));
  // An ordinary request, a part of one that stopped, and an idle connection.
  BOOST_TEST(*edge::ChooseByMemory(
               { { 4'000, 10ms }, { 100'000, 2s }, { 2'000, 10s } }) == 1u);
  // A large request that is arriving.
  BOOST_TEST(*edge::ChooseByMemory({ { 300'000, 50ms }, { 100'000, 2s } }) ==
             1u);
  // All come at the same time.
  BOOST_TEST(*edge::ChooseByMemory(
               { { 4'000, 0ms }, { 300'000, 0ms }, { 100'000, 0ms } }) == 1u);
}

// Guards against new callers that find no connection beside silent ones.
BOOST_AUTO_TEST_CASE(WhoIsSilentLongestEndsForANewConnection)
{
  BOOST_TEST(!edge::ChooseBySilence({}));
  BOOST_TEST(*edge::ChooseBySilence(
               { { 100'000, 1s }, { 2'000, 3s }, { 4'000, 0ms } }) == 1u);
}

// Guards against large requests that leave no room for any other.
BOOST_AUTO_TEST_CASE(SmallRequestsHaveRoomOfTheirOwn)
{
  BOOST_TEST(edge::LimitFor(4'000, kLimit, kReserved) == kLimit);
  BOOST_TEST(edge::LimitFor(100'000, kLimit, kReserved) == kLimit - kReserved);
  BOOST_TEST(edge::LimitFor(100'000, kLimit, 2 * kLimit) == 0u);
}

BOOST_AUTO_TEST_SUITE_END()
