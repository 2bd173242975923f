#include "Duties/Site/ServerChanges.h"

#include <boost/test/unit_test.hpp>

using namespace lavender;
using namespace lavender::site;

BOOST_AUTO_TEST_SUITE(TestServerChanges)

// Guards against a roll-out that floods the logs of the whole fleet, because
// each entry writes a line for each change of each server.
BOOST_AUTO_TEST_CASE(ManyChangesMakeOneLine)
{
  server_changes changes;
  int lines = 0;
  for (int i = 0; i < 1200; ++i) {
    lines += RecordChange(changes, server_change::Ready) ? 1 : 0;
  }
  RecordChange(changes, server_change::Leaving);
  RecordChange(changes, server_change::Removed);
  BOOST_TEST(lines == 1);
  const auto counts = TakeChanges(changes);
  BOOST_TEST(counts.mReady == 1200);
  BOOST_TEST(counts.mLeaving == 1);
  BOOST_TEST(counts.mRemoved == 1);
  BOOST_TEST(RecordChange(changes, server_change::Leaving));
}

BOOST_AUTO_TEST_SUITE_END()
