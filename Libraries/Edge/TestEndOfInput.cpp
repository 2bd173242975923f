#include "Libraries/Edge/EndOfInput.h"

#include <boost/test/unit_test.hpp>

using namespace lavender::edge;

namespace {

constexpr request_progress kRequests[] = { request_progress::Writing,
                                           request_progress::Written,
                                           request_progress::Failed };

} // namespace

BOOST_AUTO_TEST_SUITE(TestEndOfInput)

// Guards against a part of a body that passes for the whole because the write
// took the error of a broken connection.
BOOST_AUTO_TEST_CASE(ABodyWithoutALengthIsWholeOnlyOnceTheRequestIsWritten)
{
  const auto end = [](bool aIsError, request_progress aRequest) {
    return DecideEnd(
      { aIsError, response_progress::EndsWithConnection, aRequest });
  };
  BOOST_TEST((end(false, request_progress::Written) == call_end::Complete));
  BOOST_TEST((end(false, request_progress::Failed) == call_end::Broken));
  BOOST_TEST(!end(false, request_progress::Writing));
  for (const auto request : kRequests) {
    BOOST_TEST((end(true, request) == call_end::Broken));
  }
}

// Guards against a part of a response that passes for the whole.
BOOST_AUTO_TEST_CASE(APartOfAResponseIsBroken)
{
  for (const auto request : kRequests) {
    for (const bool isError : { false, true }) {
      BOOST_TEST((DecideEnd({ isError, response_progress::Partial, request }) ==
                  call_end::Broken));
    }
  }
}

// Guards against a whole response that is thrown away with its connection.
BOOST_AUTO_TEST_CASE(AWholeResponseIsCompleteHoweverItsConnectionEnds)
{
  for (const auto request : kRequests) {
    for (const bool isError : { false, true }) {
      BOOST_TEST((DecideEnd({ isError, response_progress::Whole, request }) ==
                  call_end::Complete));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
