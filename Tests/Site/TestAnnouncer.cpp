#include "Duties/Registration/Announcer.h"
#include "StandIns/ObjectStore/MemoryStore.h"
#include "Tests/Site/Support/SimulatedClock.h"

#include <boost/test/unit_test.hpp>
#include <list>

using namespace lavender;
using namespace lavender::registration;
using namespace lavender::tests;
using namespace std::chrono_literals;

namespace {

constexpr char kKind[] = "entries";

/** A fleet whose entries start within 0.3 s. */
struct announced_fleet
{
  struct entry
  {
    entry(announced_fleet& aFleet, const announced_entry& aSelf)
      : mRegistrar(
          { aFleet.mClock.Scheduler(), aFleet.mStore, kKind, aSelf.mName })
      , mAnnouncer(
          { aFleet.mClock.Scheduler(),
            aFleet.mStore,
            kKind,
            aSelf,
            [&aFleet](const edge::endpoint& aAddress,
                      const announced_entry& aAsking,
                      announce_done aDone) {
              aFleet.Ask(aAddress, aAsking, std::move(aDone));
            },
            [this](const auto& aOwn) { mRegistrar.SetOwnObject(aOwn); },
            [&aFleet](const auto& aListed) {
              aFleet.mListed.push_back(CollectEntries(aListed).size());
            } })
    {
    }

    registrar mRegistrar;
    announcer mAnnouncer;
  };

  static announced_entry Describe(int aNumber)
  {
    return { "entry-" + std::to_string(1000 + aNumber),
             { "10.0.0.1", static_cast<unsigned short>(1000 + aNumber) },
             "zone",
             1 };
  }

  void Start(int aEntries)
  {
    for (int i = 0; i < aEntries; ++i) {
      RunAfter(mClock.Scheduler(), 300ms * i / aEntries, [this, i] {
        const auto self = Describe(i);
        mByPort[self.mAddress.mPort] = &mStarted.emplace_back(*this, self);
        mStarted.back().mAnnouncer.Start();
      });
    }
    mClock.RunFor(4s);
  }

  void Ask(const edge::endpoint& aAddress,
           const announced_entry& aAsking,
           announce_done aDone)
  {
    RunAfter(mClock.Scheduler(), 1ms, [this, aAddress, aAsking, aDone] {
      if (mAreRegistrarsGone) {
        aDone(false);
      } else {
        mByPort.at(aAddress.mPort)->mRegistrar.Announce(aAsking, aDone);
      }
    });
  }

  /** Calls as the platform bills them. */
  double BilledCalls() const
  {
    return mState.mCalls - 0.9 * mState.mStaleReads;
  }

  std::map<std::string, announced_entry> Entries()
  {
    return CollectEntries(mState.mKinds[kKind]);
  }

  simulated_clock mClock;
  standin::memory_store_state mState;
  objects::object_store mStore =
    standin::MakeMemoryStore(mClock.Scheduler(), mState);
  std::list<entry> mStarted;
  std::map<unsigned short, entry*> mByPort;
  bool mAreRegistrarsGone = false;
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
    BOOST_TEST(fleet.Entries().size() == static_cast<std::size_t>(entries));
    BOOST_TEST(fleet.mListed.size() == static_cast<std::size_t>(entries));
    for (const auto listed : fleet.mListed) {
      BOOST_TEST(listed >= static_cast<std::size_t>(entries * 9 / 10));
    }
    BOOST_TEST(fleet.BilledCalls() <= 0.5 * entries);
    const auto first = fleet.BilledCalls();
    fleet.Start(entries);
    BOOST_TEST(fleet.mListed.size() == static_cast<std::size_t>(2 * entries));
    BOOST_TEST(fleet.BilledCalls() - first <= 0.15 * entries);
  }
}

// Guards against entries that nobody knows because the one that they asked to
// announce them is gone.
BOOST_AUTO_TEST_CASE(AnEntryThatNobodyAnnouncesAnnouncesItself)
{
  announced_fleet fleet;
  fleet.mAreRegistrarsGone = true;
  fleet.Start(20);
  BOOST_TEST(fleet.Entries().size() == 20u);
  BOOST_TEST(fleet.mState.mKinds[kKind].size() == 20u);
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
      aDone({ objects::store_outcome::Done, {}, false, {}, 1 });
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
  BOOST_TEST(
    fleet.mClock.RunUntil([&] { return fleet.Entries().size() == 3; }, 2s));
}

// Guards against calls to an entry's former address after its instance was
// replaced under the same name, while another entry still announces the old
// one.
BOOST_AUTO_TEST_CASE(AnEntryAtANewAddressIsKnownThere)
{
  announced_fleet fleet;
  auto former = announced_fleet::Describe(0);
  former.mAddress.mPort = 9;
  const auto other = announced_fleet::Describe(7);
  standin::PutDirectly(
    fleet.mState,
    kKind,
    other.mName,
    json::Write(EncodeAnnouncement(other.mName, { other, former })));
  fleet.Start(1);
  const auto self = announced_fleet::Describe(0);
  BOOST_TEST(IsSame(fleet.Entries().at(self.mName), self));
}

// Guards against entries that vanish from the list when the one that announces
// them was removed while it was away, and comes back.
BOOST_AUTO_TEST_CASE(AWriterThatComesBackKeepsTheOthers)
{
  announced_fleet fleet;
  const auto self = announced_fleet::Describe(0);
  const auto other = announced_fleet::Describe(7);
  standin::PutDirectly(fleet.mState,
                       kKind,
                       self.mName,
                       json::Write(EncodeAnnouncement(self.mName, { other })));
  fleet.Start(1);
  BOOST_TEST(fleet.Entries().count(self.mName) == 1u);
  BOOST_TEST(fleet.Entries().count(other.mName) == 1u);
}

// Guards against entries that vanish from the list when an entry that is gone
// is removed from the object that announces them too.
BOOST_AUTO_TEST_CASE(ARemovalEndsOneAnnouncementOnly)
{
  announced_fleet fleet;
  fleet.Start(60);
  const auto gone = announced_fleet::Describe(7).mName;
  for (const auto& write : RemovalsOf(fleet.mState.mKinds[kKind], gone)) {
    if (write.mSpec) {
      fleet.mStore.mReplace(
        kKind, write.mObject, write.mRevision, *write.mSpec, [](const auto&) {
        });
    } else {
      fleet.mStore.mDelete(kKind, write.mObject, [](const auto&) {});
    }
  }
  // The writers of the changed objects don't know their newest revisions.
  fleet.mClock.RunFor(100ms);
  const auto entries = fleet.Entries();
  BOOST_TEST(entries.size() == 59u);
  BOOST_TEST(entries.count(gone) == 0u);
  fleet.Start(61);
  BOOST_TEST(fleet.Entries().size() == 61u);
}

BOOST_AUTO_TEST_SUITE_END()
