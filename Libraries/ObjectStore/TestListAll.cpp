#include "Libraries/ObjectStore/ListAll.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <random>
#include <rapidcheck.h>
#include <set>

using namespace lavender;
using namespace lavender::objects;

namespace {

/** A listing of a store that answers with the given pages. */
struct listing_run
{
  /** @param aPageAfter called with the name from which a page is asked */
  explicit listing_run(
    const std::function<list_reply(const std::string&)>& aPageAfter)
  {
    object_store store;
    store.mList =
      [&](const auto&, const auto& aAfter, auto, const auto& aDone) {
        // Ends a listing that goes on for ever.
        constexpr int kMaximumCalls = 1000;
        aDone(++mCalls > kMaximumCalls ? list_reply{} : aPageAfter(aAfter));
      };
    store.mOnListingFault =
      [&](const auto&, const auto& aAfter, listing_fault aFault) {
        mFaults.push_back(std::string(ToString(aFault)) + ", after " + aAfter);
      };
    ListAll(store, { "things" }, [&](listing aListing) {
      ++mEnds;
      mListing = std::move(aListing);
    });
  }

  int mCalls = 0;
  int mEnds = 0;
  std::vector<std::string> mFaults;
  listing mListing;
};

list_reply
Page(const std::vector<std::string>& aNames, bool aHasMore)
{
  list_reply page;
  page.mOutcome = store_outcome::Done;
  page.mHasMore = aHasMore;
  page.mStoreRevision = 7;
  for (const auto& name : aNames) {
    stored_object object;
    object.mName = name;
    page.mObjects.push_back(object);
  }
  return page;
}

std::string
NotForward(const std::string& aAfter)
{
  return std::string(ToString(listing_fault::NotForward)) + ", after " + aAfter;
}

std::string
NoName(const std::string& aAfter)
{
  return std::string(ToString(listing_fault::NoName)) + ", after " + aAfter;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestListAll)

// Guards against a store that is called without end or pause, because it
// answers with a page that was read already.
BOOST_AUTO_TEST_CASE(APageThatLeadsBackEndsTheListing)
{
  const listing_run same([](const auto&) { return Page({ "a", "b" }, true); });
  BOOST_TEST(same.mEnds == 1);
  BOOST_TEST(!same.mListing.mIsComplete);
  BOOST_TEST(same.mCalls == 2);
  BOOST_TEST(same.mFaults == std::vector{ NotForward("b") },
             boost::test_tools::per_element());

  const listing_run inTurn([](const auto& aAfter) {
    return aAfter == "b" ? Page({ "c", "d" }, true) : Page({ "a", "b" }, true);
  });
  BOOST_TEST(!inTurn.mListing.mIsComplete);
  BOOST_TEST(inTurn.mCalls == 3);
  BOOST_TEST(inTurn.mFaults == std::vector{ NotForward("d") },
             boost::test_tools::per_element());

  const listing_run earlier([](const auto& aAfter) {
    return aAfter.empty() ? Page({ "a", "b", "c" }, true)
                          : Page({ "d", "b" }, true);
  });
  BOOST_TEST(!earlier.mListing.mIsComplete);
  BOOST_TEST(earlier.mCalls == 2);
}

// Guards against servers that pass for gone, because a page that isn't the last
// one names no object from which the next one could be asked.
BOOST_AUTO_TEST_CASE(APageWithoutANameIsNotTheLastOne)
{
  for (const auto& names :
       std::vector<std::vector<std::string>>{ {}, { "" }, { "", "" } }) {
    const listing_run first([&](const auto&) { return Page(names, true); });
    BOOST_TEST(first.mEnds == 1);
    BOOST_TEST(!first.mListing.mIsComplete);
    BOOST_TEST(first.mCalls == 1);
    BOOST_TEST(first.mFaults == std::vector{ NoName("") },
               boost::test_tools::per_element());

    const listing_run second([&](const auto& aAfter) {
      return aAfter.empty() ? Page({ "a" }, true) : Page(names, true);
    });
    BOOST_TEST(!second.mListing.mIsComplete);
    BOOST_TEST(second.mListing.mObjects.count("a") == 1u);
    BOOST_TEST(second.mFaults == std::vector{ NoName("a") },
               boost::test_tools::per_element());
  }
}

// Guards against a listing that begins again, or ends, at an object without a
// name at the end of a page.
BOOST_AUTO_TEST_CASE(AListingGoesOnFromTheLastNameOfAPage)
{
  const listing_run run([](const auto& aAfter) {
    return aAfter == "a" ? Page({ "c" }, false) : Page({ "a", "" }, true);
  });
  BOOST_TEST(run.mListing.mIsComplete);
  BOOST_TEST(run.mListing.mObjects.count("c") == 1u);
  BOOST_TEST(run.mCalls == 2);
}

BOOST_AUTO_TEST_CASE(AFailedPageEndsTheListing)
{
  const listing_run run([](const auto& aAfter) {
    return aAfter.empty() ? Page({ "a" }, true) : list_reply{};
  });
  BOOST_TEST(run.mEnds == 1);
  BOOST_TEST(!run.mListing.mIsComplete);
  BOOST_TEST(run.mFaults.empty());
}

// The store may sort names in any way, but always in the same.
BOOST_AUTO_TEST_CASE(AnyOrderOfNamesIsListed)
{
  BOOST_TEST(rc::check("a listing in any order", [](std::set<int> aNumbers) {
    std::vector<std::string> names;
    for (const auto number : aNumbers) {
      names.push_back("n" + std::to_string(number));
    }
    std::shuffle(names.begin(),
                 names.end(),
                 std::mt19937(*rc::gen::arbitrary<unsigned>()));
    const auto size = *rc::gen::inRange<std::ptrdiff_t>(1, 5);
    const listing_run run([&](const auto& aAfter) {
      const auto asked = std::find(names.begin(), names.end(), aAfter);
      const auto from = asked == names.end() ? names.begin() : asked + 1;
      const auto to = from + std::min(size, names.end() - from);
      return Page({ from, to }, to != names.end());
    });
    RC_ASSERT(run.mListing.mIsComplete);
    RC_ASSERT(run.mListing.mObjects.size() == names.size());
    RC_ASSERT(run.mListing.mStoreRevision == 7);
  }));
}

// Guards against a listing without end, whatever a store answers.
BOOST_AUTO_TEST_CASE(EachListingEnds)
{
  BOOST_TEST(rc::check("a listing of any pages", [](unsigned aSeed) {
    constexpr int kNames = 20;
    std::mt19937 random(aSeed);
    bool isLast = false;
    const listing_run run([&](const auto&) {
      std::vector<std::string> names(random() % 4);
      for (auto& name : names) {
        name = "n" + std::to_string(random() % kNames);
      }
      isLast = random() % 16 == 0;
      return Page(names, !isLast);
    });
    RC_ASSERT(run.mEnds == 1);
    RC_ASSERT(run.mCalls <= kNames + 1);
    RC_ASSERT(run.mListing.mIsComplete == isLast);
    RC_ASSERT(run.mFaults.size() == (isLast ? 0u : 1u));
  }));
}

BOOST_AUTO_TEST_SUITE_END()
