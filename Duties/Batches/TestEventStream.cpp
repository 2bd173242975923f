#include "Duties/Batches/EventStream.h"

#include <boost/test/unit_test.hpp>

using namespace lavender::batches;

namespace {

/** Number of pieces that a stream takes until it counts as one without an end;
 * aMost if it never does. */
int
PiecesTaken(const std::string& aPiece, int aMost)
{
  event_stream stream;
  for (int i = 0; i < aMost; ++i) {
    const bool isBounded = ParseChunk(
      stream,
      aPiece,
      [](auto) { return std::optional<std::int64_t>(); },
      [](auto&&) {});
    if (!isBounded) {
      return i;
    }
  }
  return aMost;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestEventStream)

// Guards against memory that grows with bytes that never become an event,
// whatever they are.
BOOST_AUTO_TEST_CASE(BytesWithoutAnEventHaveABound)
{
  const std::string plain(1024, 'a');
  constexpr int kPieces = 4096;
  for (const auto& piece :
       { plain, "data: " + plain + "\n", ": " + plain + "\n\n" }) {
    BOOST_TEST(PiecesTaken(piece, kPieces) <= 1024);
    BOOST_TEST(PiecesTaken(piece, kPieces) > 900);
  }
  BOOST_TEST(PiecesTaken(std::string(1024, '\n'), kPieces) <= 1024);
}

// Guards against a long stream of sound events that is taken for one without
// an end.
BOOST_AUTO_TEST_CASE(EventsStartTheBoundAnew)
{
  const std::string plain(1024, 'a');
  constexpr int kPieces = 4096;
  BOOST_TEST(PiecesTaken("id: 1\ndata: " + plain + "\n\n", kPieces) == kPieces);
  // The next event's first line arrives with the end of the one before.
  BOOST_TEST(PiecesTaken("data: " + plain + "\n\nid: 1\n", kPieces) == kPieces);
}

BOOST_AUTO_TEST_SUITE_END()
