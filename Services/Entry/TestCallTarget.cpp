#include "Services/Entry/CallTarget.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace lavender;
using namespace lavender::entry;

namespace {

edge::request
Request(const std::string& aMethod, const std::string& aTarget)
{
  edge::request request;
  request.mMethod = aMethod;
  request.mTarget = aTarget;
  return request;
}

site::route
Route(const std::string& aPrefix, bool aAcceptsBatches)
{
  site::route route;
  route.mPathPrefix = aPrefix;
  route.mAcceptsBatches = aAcceptsBatches;
  return route;
}

/** Prefixes that match paths of batches, and others. */
const std::vector<std::string> kPrefixes{ "/",        "/lots/",    "/items/",
                                          "/lots/a/", "/items/a/", "/r/" };

std::string
AnyId()
{
  return *rc::gen::nonEmpty(rc::gen::container<std::string>(
    rc::gen::element('a', 'b', 'z', 'A', 'Z', '0', '9', '-', '_')));
}

/** A call that trainers make for one of their batches. */
edge::request
AnyBatchCall()
{
  const auto id = AnyId().substr(0, 128);
  const auto position = std::to_string(*rc::gen::inRange(0, 100000));
  return *rc::gen::element(Request("GET", "/lots/" + id),
                           Request("GET", "/lots/" + id + "?after=" + position),
                           Request("DELETE", "/lots/" + id),
                           Request("GET", "/items/" + id + "?id=" + AnyId()));
}

/** The route that the request's path selects among some of a host. */
std::shared_ptr<const site::route>
SelectedRoute(const edge::request& aRequest)
{
  site::site_configuration configuration;
  for (const auto& prefix : *rc::gen::container<std::vector<std::string>>(
         rc::gen::elementOf(kPrefixes))) {
    configuration.mRoutes["host"][prefix] =
      std::make_shared<site::route>(Route(prefix, *rc::gen::arbitrary<bool>()));
  }
  return site::FindRoute(configuration, "host", aRequest.mTarget);
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestCallTarget)

// Guards against batches that no trainer reaches any more because the operator
// added a route whose prefix matches their paths.
BOOST_AUTO_TEST_CASE(NoRouteTakesTheCallsForABatch)
{
  BOOST_TEST(rc::check("batch calls", [] {
    const auto request = AnyBatchCall();
    const auto route = SelectedRoute(request);
    const auto target = TargetOf(request, route.get());
    const bool isForwarded = route && !route->mAcceptsBatches;
    RC_ASSERT(target ==
              (isForwarded ? call_target::BatchOrServer : call_target::Batch));
  }));
}

// Guards against requests of a plain service that are answered as calls for
// batches.
BOOST_AUTO_TEST_CASE(OtherRequestsGoToTheirRoute)
{
  BOOST_TEST(rc::check("other requests", [] {
    const auto id = AnyId();
    const auto request =
      *rc::gen::element(Request("POST", "/lots/" + id),
                        Request("PUT", "/lots/" + id),
                        Request("POST", "/items/" + id + "?id=a"),
                        Request("DELETE", "/items/" + id + "?id=a"),
                        Request("HEAD", "/lots/" + id),
                        Request("GET", "/items/" + id),
                        Request("GET", "/lots/" + id + "/" + id),
                        Request("GET", "/lots/"),
                        Request("GET", "/r/" + id));
    const auto route = SelectedRoute(request);
    const bool isRouted = route != nullptr;
    RC_PRE(isRouted);
    RC_ASSERT(
      TargetOf(request, route.get()) ==
      (route->mAcceptsBatches ? call_target::Submission : call_target::Server));
  }));
}

BOOST_AUTO_TEST_CASE(WithoutARouteOnlyPathsOfBatchesAreServed)
{
  BOOST_TEST(
    (TargetOf(Request("GET", "/lots/a"), nullptr) == call_target::Batch));
  BOOST_TEST(
    (TargetOf(Request("POST", "/lots/a"), nullptr) == call_target::Batch));
  BOOST_TEST((TargetOf(Request("GET", "/r/a"), nullptr) == call_target::None));
}

BOOST_AUTO_TEST_SUITE_END()
