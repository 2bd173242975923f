#include "Libraries/Edge/GrowingBody.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace lavender;

BOOST_AUTO_TEST_SUITE(TestGrowingBody)

// Guards against bytes that are lost or moved between the blocks.
BOOST_AUTO_TEST_CASE(PiecesMakeTheWholeBody)
{
  BOOST_TEST(rc::check([](std::vector<std::string> aPieces, bool aIsAnnounced) {
    std::string whole;
    for (auto& piece : aPieces) {
      piece.resize(piece.size() * 997, 'x');
      whole += piece;
    }
    edge::growing_body body(aIsAnnounced ? std::optional(whole.size())
                                         : std::nullopt);
    for (const auto& piece : aPieces) {
      body.Append(piece);
    }
    RC_ASSERT(body.Size() == whole.size());
    RC_ASSERT(body.HeldBytes() >= whole.size());
    RC_ASSERT(body.Take() == whole);
    RC_ASSERT(body.Size() == 0u);
  }));
}

// Guards against a body that counts for far more or less than it takes.
BOOST_AUTO_TEST_CASE(WhatIsHeldIsLittleMoreThanTheBytes)
{
  constexpr std::size_t kLength = 1 << 20;
  for (const auto& length :
       { std::optional(kLength), std::optional<std::size_t>() }) {
    edge::growing_body body(length);
    BOOST_TEST(body.HeldBytes() == 0u);
    for (std::size_t size = 0; size < kLength; size += 4096) {
      body.Append(std::string(4096, 'a'));
      BOOST_TEST(body.HeldBytes() <= 2 * body.Size() + 8192);
    }
    BOOST_TEST(body.HeldBytes() <= kLength + kLength / 8);
  }
}

BOOST_AUTO_TEST_SUITE_END()
