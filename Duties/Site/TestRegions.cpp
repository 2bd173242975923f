#include "Duties/Site/Regions.h"

#include <boost/test/unit_test.hpp>

using namespace lavender::site;

namespace {

const zone_regions kRegions{ { "north-1", "north" }, { "south-1", "south" } };

route
RouteIn(std::vector<std::string> aRegions)
{
  route allowed;
  allowed.mAllowedRegions = std::move(aRegions);
  return allowed;
}

customer
CustomerIn(std::vector<std::string> aRegions)
{
  customer allowed;
  allowed.mAllowedRegions = std::move(aRegions);
  return allowed;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestRegions)

/** Guards against a request that leaves the regions of its customer because its
 * route allows more, or the other way round. */
BOOST_AUTO_TEST_CASE(TheRouteAndTheCustomerBothBind)
{
  const auto anywhere = RouteIn({});
  const auto both = RouteIn({ "north", "south" });
  const auto north = RouteIn({ "north" });
  const auto southern = CustomerIn({ "south" });
  const auto free = CustomerIn({});
  BOOST_TEST(IsZoneAllowed(kRegions, &anywhere, &free, "north-1"));
  BOOST_TEST(!IsZoneAllowed(kRegions, &both, &southern, "north-1"));
  BOOST_TEST(IsZoneAllowed(kRegions, &both, &southern, "south-1"));
  BOOST_TEST(!IsZoneAllowed(kRegions, &north, &southern, "north-1"));
  BOOST_TEST(!IsZoneAllowed(kRegions, &north, &southern, "south-1"));
  BOOST_TEST(!IsZoneAllowed(kRegions, &north, nullptr, "south-1"));
  BOOST_TEST(!IsZoneAllowed(kRegions, nullptr, &southern, "north-1"));
}

BOOST_AUTO_TEST_CASE(AZoneOfUnknownRegionTakesOnlyUnrestrictedRequests)
{
  const auto anywhere = RouteIn({});
  const auto north = RouteIn({ "north" });
  BOOST_TEST(IsZoneAllowed(kRegions, &anywhere, nullptr, "new"));
  BOOST_TEST(!IsZoneAllowed(kRegions, &north, nullptr, "new"));
}

BOOST_AUTO_TEST_SUITE_END()
