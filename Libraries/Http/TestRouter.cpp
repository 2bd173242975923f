#include "Libraries/Http/Router.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace lavender;

namespace {

http::router
MakeRouter()
{
  http::router router;
  router.Add("GET", "/v1/things/*", [](const auto&, const auto& aParts) {
    return http::response{ 200, "", {}, aParts[0] };
  });
  router.Add("POST", "/v1/services/*/**", [](const auto&, const auto& aParts) {
    return http::response{ 200, "", {}, aParts[0] + "|" + aParts[1] };
  });
  return router;
}

http::response
Route(const std::string& aMethod, const std::string& aPath)
{
  return http::Serve(MakeRouter(), { aMethod, aPath, "", {}, "" });
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestRouter)

BOOST_AUTO_TEST_CASE(MatchesSegmentsAndTheRestOfThePath)
{
  BOOST_TEST(Route("GET", "/v1/things/a%20b").mBody == "a b");
  BOOST_TEST(Route("POST", "/v1/services/desk/book/now").mBody ==
             "desk|/book/now");
  BOOST_TEST(Route("POST", "/v1/services/desk").mBody == "desk|");
}

// Guards against a name whose plus is read as a space, which a plus is in a
// query alone.
BOOST_AUTO_TEST_CASE(APlusInAPathIsAPlus)
{
  BOOST_TEST(Route("GET", "/v1/things/a+b").mBody == "a+b");
  BOOST_TEST(Route("GET", "/v1/things/a%2Bb").mBody == "a+b");
  http::request request;
  request.mQuery = "name=a+b&other=c%2Bd";
  BOOST_TEST(http::QueryOr(request, "name", "") == "a b");
  BOOST_TEST(http::QueryOr(request, "other", "") == "c+d");
}

BOOST_AUTO_TEST_CASE(DistinguishesUnknownPathFromOtherMethod)
{
  BOOST_TEST(Route("GET", "/v1/things").mStatus == 404);
  BOOST_TEST(Route("GET", "/v1/things/").mStatus == 404);
  BOOST_TEST(Route("GET", "/v1/things/a/b").mStatus == 404);
  BOOST_TEST(Route("PUT", "/v1/things/a").mStatus == 405);
}

BOOST_AUTO_TEST_CASE(AnyPathGetsAResponse)
{
  BOOST_TEST(rc::check("routing never fails", [](std::string aPath) {
    const auto status = Route("GET", "/" + aPath).mStatus;
    RC_ASSERT(status == 200 || status == 404 || status == 405);
  }));
}

BOOST_AUTO_TEST_SUITE_END()
