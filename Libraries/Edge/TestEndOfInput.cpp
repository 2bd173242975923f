#include "Libraries/Edge/EndOfInput.h"

#include <boost/test/unit_test.hpp>

using namespace lavender::edge;

BOOST_AUTO_TEST_SUITE(TestEndOfInput)

// Guards against a part of a body that passes for the whole because the write
// took the error of a broken connection.
BOOST_AUTO_TEST_CASE(ABodyWithoutALengthIsWholeOnlyOnceTheRequestIsWritten)
{
  BOOST_TEST(
    (DecideUnboundedEnd(request_progress::Written) == call_end::Complete));
  BOOST_TEST(
    (DecideUnboundedEnd(request_progress::Failed) == call_end::Broken));
  BOOST_TEST(!DecideUnboundedEnd(request_progress::Writing));
}

BOOST_AUTO_TEST_SUITE_END()
