#include "Duties/Registration/Announcement.h"
#include "Services/Agent/SiteAgent.h"

#include <boost/test/unit_test.hpp>

using namespace lavender;

namespace {

objects::stored_object
Announcement(const std::string& aName, const char* aAddress)
{
  objects::stored_object object;
  object.mName = aName;
  object.mSpec = registration::EncodeAnnouncement(
    aName, { { aName, *edge::ParseAddress(aAddress), "zone", 1 } });
  return object;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestSiteAgent)

// Guards against agents that ask different entries, and so load more servers at
// a time than they may, because one of them read the first page alone.
BOOST_AUTO_TEST_CASE(NoEntryIsTakenFromAnIncompleteListing)
{
  objects::listing listing;
  listing.mObjects["b"] = Announcement("b", "10.0.0.2:1");
  BOOST_TEST(agent::AddressesInOrder(listing).empty());
  listing.mIsComplete = true;
  listing.mObjects["a"] = Announcement("a", "10.0.0.1:1");
  const auto addresses = agent::AddressesInOrder(listing);
  BOOST_REQUIRE(addresses.size() == 2u);
  BOOST_TEST(addresses[0].Text() == "10.0.0.1:1");
}

BOOST_AUTO_TEST_SUITE_END()
