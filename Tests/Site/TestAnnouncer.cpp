#include "Duties/Registration/Announcer.h"
#include "StandIns/ObjectStore/MemoryStore.h"
#include "Tests/Site/Support/SimulatedClock.h"

#include <boost/test/unit_test.hpp>
#include <list>

using namespace lavender;
using namespace lavender::tests;
using namespace std::chrono_literals;

namespace {

/** A fleet whose entries start within 0.3 s. */
struct announced_fleet
{
  void Start(int aEntries)
  {
    for (int i = 0; i < aEntries; ++i) {
      RunAfter(mClock.Scheduler(), 300ms * i / aEntries, [this, i] {
        const auto name = "entry-" + std::to_string(1000 + i);
        mStarted.emplace_back(registration::announcer_dependencies{
          mClock.Scheduler(),
          mStore,
          "entries",
          name,
          "{\"address\":\"" + name + "\"}",
          [this](const auto& aListed) { mListed.push_back(aListed.size()); } });
        mStarted.back().Start();
      });
    }
    mClock.RunFor(3s);
  }

  /** Calls as the platform bills them. */
  double BilledCalls() const
  {
    return mState.mCalls - 0.9 * mState.mStaleReads;
  }

  simulated_clock mClock;
  standin::memory_store_state mState;
  objects::object_store mStore =
    standin::MakeMemoryStore(mClock.Scheduler(), mState);
  std::list<registration::announcer> mStarted;
  /** Number of entries that each one found at its start. */
  std::vector<std::size_t> mListed;
};

} // namespace

BOOST_AUTO_TEST_SUITE(TestAnnouncer)

// Guards against a store that refuses calls when a whole fleet starts, or
// starts again after a loss of power: each entry made two full calls, also
// where nothing had changed.
BOOST_AUTO_TEST_CASE(AFleetThatStartsMakesFewCalls)
{
  for (const int entries : { 360, 720 }) {
    announced_fleet fleet;
    fleet.Start(entries);
    BOOST_TEST(fleet.mListed.size() == static_cast<std::size_t>(entries));
    for (const auto listed : fleet.mListed) {
      BOOST_TEST(listed >= static_cast<std::size_t>(entries * 9 / 10));
    }
    BOOST_TEST(fleet.BilledCalls() <= 1.25 * entries);
    const auto first = fleet.BilledCalls();
    fleet.mStarted.clear();
    fleet.Start(entries);
    BOOST_TEST(fleet.mListed.size() == static_cast<std::size_t>(2 * entries));
    BOOST_TEST(fleet.BilledCalls() - first <= 0.15 * entries);
  }
}

// Guards against an entry that takes itself for the only one, and watches the
// store, because a stale listing is older than all entries.
BOOST_AUTO_TEST_CASE(AListingWithoutTheEntryItselfIsRepeated)
{
  announced_fleet fleet;
  const auto list = fleet.mStore.mList;
  fleet.mStore.mList = [&](const auto& aKind,
                           const auto& aAfter,
                           objects::freshness aFreshness,
                           objects::list_done aDone) {
    if (aFreshness == objects::freshness::MayBeStale) {
      aDone({ objects::store_outcome::Done, {}, false, 1 });
    } else {
      list(aKind, aAfter, aFreshness, std::move(aDone));
    }
  };
  fleet.Start(10);
  BOOST_TEST(fleet.mListed.size() == 10u);
  for (const auto listed : fleet.mListed) {
    BOOST_TEST(listed == 10u);
  }
}

// Guards against an entry that never starts because the store is away.
BOOST_AUTO_TEST_CASE(AnEntryStartsWithoutTheStoreAndIsAnnouncedLater)
{
  announced_fleet fleet;
  fleet.mState.mFault = standin::store_fault::Refuse;
  fleet.Start(3);
  BOOST_TEST(fleet.mListed.size() == 3u);
  fleet.mState.mFault = standin::store_fault::None;
  BOOST_TEST(fleet.mClock.RunUntil(
    [&] { return fleet.mState.mKinds["entries"].size() == 3; }, 2s));
}

// Guards against calls to an entry's former address after its instance was
// replaced under the same name.
BOOST_AUTO_TEST_CASE(AnEntryAtANewAddressReplacesItsObject)
{
  announced_fleet fleet;
  standin::PutDirectly(
    fleet.mState, "entries", "entry-1000", "{\"address\":\"former\"}");
  fleet.Start(1);
  const auto& spec = fleet.mState.mKinds["entries"]["entry-1000"].mSpec;
  BOOST_TEST(json::StringAt(spec, "address", "") == "entry-1000");
}

BOOST_AUTO_TEST_SUITE_END()
