#include "Services/Entry/MemoryShares.h"

#include <boost/test/unit_test.hpp>

using namespace lavender;

BOOST_AUTO_TEST_SUITE(TestMemoryShares)

// Guards against bytes of callers, peers and servers that together use up the
// memory of a small instance.
BOOST_AUTO_TEST_CASE(AThirdOfTheMemoryIsLeftWhateverOthersSend)
{
  for (const std::size_t megabytes : { 16, 110, 160, 260, 512, 4096 }) {
    const auto memory = megabytes << 20;
    const auto shares = entry::ShareMemory(memory);
    const auto peers = entry::PeerLimits(shares);
    const auto bodiless = entry::BodilessLimits(shares);
    BOOST_TEST(shares.mCallerBytes + peers.mMaximumHeldBytes +
                 shares.mAnswerBytes + 2 * bodiless.mMaximumHeldBytes <=
               memory - memory / 3);
    BOOST_TEST(peers.mMaximumBodyBytes <= peers.mMaximumHeldBytes);
    BOOST_TEST(bodiless.mMaximumBodyBytes == 0u);
  }
}

// Guards against shares of which none has room for the largest request.
BOOST_AUTO_TEST_CASE(OneRequestOfTheLargestSizeHasRoom)
{
  for (const std::size_t megabytes : { 88, 110, 160, 260, 512, 4096 }) {
    edge::listener_limits limits;
    entry::LimitCallers(limits, entry::ShareMemory(megabytes << 20));
    BOOST_TEST(limits.mMaximumHeldBytes - limits.mReservedBytes >=
               limits.mMaximumBodyBytes + (512 << 10));
  }
}

BOOST_AUTO_TEST_SUITE_END()
