#include "Libraries/ObjectStore/Mirror.h"
#include "Tests/Site/Support/SimulatedClock.h"

#include <boost/test/unit_test.hpp>

using namespace lavender;
using namespace lavender::tests;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(TestListings)

// Guards against a store that a listing calls without a pause, and against
// objects that pass for gone meanwhile, when the store's pages lead nowhere.
BOOST_AUTO_TEST_CASE(AListingThatLeadsNowhereIsTriedAgainAfterAPause)
{
  const auto page = [](std::vector<std::string> aNames, bool aHasMore) {
    objects::list_reply reply;
    reply.mOutcome = objects::store_outcome::Done;
    reply.mHasMore = aHasMore;
    reply.mStoreRevision = 7;
    for (auto& name : aNames) {
      reply.mObjects.emplace_back();
      reply.mObjects.back().mName = std::move(name);
    }
    return reply;
  };
  for (const auto& faulty : { page({ "a" }, true), page({}, true) }) {
    simulated_clock clock;
    objects::list_reply answer = page({ "a", "b" }, false);
    int calls = 0;
    int faults = 0;
    objects::object_store store;
    store.mList = [&](const auto&, const auto&, auto, const auto& aDone) {
      ++calls;
      RunAfter(clock.Scheduler(), 1ms, [&, aDone] { aDone(answer); });
    };
    // Each watch ends at once, so that the kind is listed again.
    store.mWatch = [&](const auto&, auto, auto, const auto& aDone) {
      RunAfter(clock.Scheduler(), 1ms, [aDone] { aDone({}); });
    };
    store.mOnListingFault = [&](const auto&, const auto&, auto) { ++faults; };
    std::size_t known = 0;
    int listings = 0;
    objects::mirror_options options;
    options.mKind = "things";
    objects::mirror_events events;
    events.mOnListed = [&](const auto& aObjects) {
      known = aObjects.size();
      ++listings;
    };
    const auto mirror = std::make_shared<objects::mirror>(
      clock.Scheduler(), store, options, events);
    mirror->Start();
    clock.RunFor(10ms);
    BOOST_TEST(known == 2u);

    answer = faulty;
    clock.RunFor(options.mRetryDelay);
    calls = faults = listings = 0;
    constexpr int kTries = 20;
    clock.RunFor(options.mRetryDelay * kTries);
    BOOST_TEST(listings == 0);
    BOOST_TEST(known == 2u);
    BOOST_TEST(mirror->LostSince().has_value());
    BOOST_TEST(faults > kTries / 2);
    BOOST_TEST(faults <= kTries);
    BOOST_TEST(calls <= 2 * kTries);

    answer = page({ "a", "b", "c" }, false);
    clock.RunFor(2 * options.mRetryDelay);
    BOOST_TEST(known == 3u);
    mirror->Stop();
    clock.RunFor(2 * options.mRetryDelay);
  }
}

BOOST_AUTO_TEST_SUITE_END()
