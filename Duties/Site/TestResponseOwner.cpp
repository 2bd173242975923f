#include "Duties/Site/ResponseOwner.h"

#include <boost/test/unit_test.hpp>

using namespace lavender::site;

BOOST_AUTO_TEST_SUITE(TestResponseOwner)

// Guards against a response to another request that is taken for the own one:
// only the id that the request bears makes it the own one.
BOOST_AUTO_TEST_CASE(OnlyAResponseWithTheRequestsIdIsItsOwn)
{
  BOOST_TEST((OwnerOf("a1", "a1") == response_owner::Request));
  BOOST_TEST((OwnerOf("a1", "a2") == response_owner::AnotherRequest));
  BOOST_TEST((OwnerOf("a1", "a") == response_owner::AnotherRequest));
  BOOST_TEST((OwnerOf("a1", "A1") == response_owner::AnotherRequest));
  BOOST_TEST((OwnerOf("a1", "") == response_owner::Unknown));
}

// Guards against a request without an id that is answered with the response to
// a request that has one.
BOOST_AUTO_TEST_CASE(ARequestWithoutAnIdTakesNoResponseWithOne)
{
  BOOST_TEST((OwnerOf("", "") == response_owner::Request));
  BOOST_TEST((OwnerOf("", "a1") == response_owner::AnotherRequest));
}

BOOST_AUTO_TEST_SUITE_END()
