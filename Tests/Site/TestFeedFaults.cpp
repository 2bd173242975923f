#include "Tests/Site/Support/SimulatedFeed.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <set>

using namespace lavender;
using namespace lavender::tests;
using namespace std::chrono_literals;

namespace {

/** A confirmed change must be in force at all entries within this time. */
constexpr milliseconds kInForceWithin = 2000ms;

/** Starts entries "a" to aLast, and checks that all of them know the value 1.
 */
void
StartEntries(simulated_site& aSite, char aLast)
{
  aSite.Put(1);
  for (char name = 'a'; name <= aLast; ++name) {
    aSite.Add(std::string(1, name)).Start();
  }
  aSite.mClock.RunFor(2s);
  for (const auto& [name, entry] : aSite.mEntries) {
    BOOST_TEST(entry->Value(kBusyKind) == 1);
  }
}

/** Returns the name of an entry of a large fleet; names sort like the numbers.
 */
std::string
FleetName(int aNumber)
{
  return "entry-" + std::to_string(100 + aNumber);
}

void
StartFleet(simulated_site& aSite, int aEntries)
{
  for (int i = 0; i < aEntries; ++i) {
    aSite.Add(FleetName(i)).Start();
  }
}

bool
KnowAll(const simulated_site& aSite, std::int64_t aValue)
{
  return std::all_of(
    aSite.mEntries.begin(), aSite.mEntries.end(), [&](const auto& aNamed) {
      return aNamed.second->Value(kBusyKind) == aValue;
    });
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestFeedFaults)

// Guards against two entries that watch the store and know the newest change,
// but reject all followers until each kind whose watch was closed has an event.
BOOST_AUTO_TEST_CASE(EntriesWhoseWatchesWereCutForwardChanges)
{
  simulated_site site;
  StartEntries(site, 'd');
  site.At("a").Freeze();
  site.mClock.RunFor(1200ms);
  site.At("a").Thaw();
  BOOST_TEST(site.At("a").mFeed->IsWatching());
  BOOST_TEST(site.At("b").mFeed->IsWatching());
  // Entries that have just started have no backoff for an unresponsive entry.
  site.Add("c").Start();
  site.Add("d").Start();
  site.mClock.RunFor(100ms);
  site.CutWatches();
  site.mClock.RunFor(400ms);
  site.Put(2);
  site.mClock.RunFor(kInForceWithin);
  for (const auto& [name, entry] : site.mEntries) {
    BOOST_TEST(entry->Value(kBusyKind) == 2, name);
  }
}

// Guards against an entry that has lost the store and takes its own old state
// back from one of its followers as a confirmation that its configuration is
// current.
BOOST_AUTO_TEST_CASE(AnEntryDoesNotAcceptItsOwnStateFromAFollower)
{
  // Try different offsets between the probes of one entry and the requests of
  // the other.
  for (auto distance = 0ms; distance < 500ms; distance += 20ms) {
    simulated_site site;
    StartEntries(site, 'a');
    site.mClock.RunFor(distance);
    site.Add("b").Start();
    site.mClock.RunFor(2s);
    auto& first = site.At("a");
    first.mWay = store_way::TurnedAway;
    first.BreakCalls();
    site.Put(2);
    site.mClock.RunUntil([&] { return first.mValueAtContact.has_value(); }, 5s);
    BOOST_TEST(first.mValueAtContact.value_or(-1) == 2, distance.count());
  }
}

// Guards against a confirmed change that is in force 27 s late at all entries:
// the response to the waiting watch is lost, while the store answers every
// other call.
BOOST_AUTO_TEST_CASE(AWatchWhoseAnswerIsLostIsNoticed)
{
  simulated_site site;
  StartEntries(site, 'c');
  site.At("a").SilenceWatches();
  site.Put(2);
  site.mClock.RunFor(kInForceWithin);
  for (const auto& [name, entry] : site.mEntries) {
    BOOST_TEST(entry->Value(kBusyKind) == 2, name);
  }
}

// Guards against an entry that the store refuses and that receives nothing from
// the others either: it sends a new request to an unresponsive entry again and
// again, each time before the previous request times out.
BOOST_AUTO_TEST_CASE(AnEntryThatIsRefusedSkipsAnUnresponsiveOne)
{
  simulated_site site;
  StartEntries(site, 'c');
  site.At("b").Freeze();
  site.At("a").mWay = store_way::TurnedAway;
  site.At("a").BreakCalls();
  site.mClock.RunFor(3s);
  site.Put(2);
  site.mClock.RunFor(kInForceWithin);
  BOOST_TEST(site.At("a").Value(kBusyKind) == 2);
}

// Guards against hundreds of entries that overload each other in an outage of
// the store, because each one asks all others in turn for a more recent state.
BOOST_AUTO_TEST_CASE(AnOutageOfTheStoreDoesNotFloodTheEntries)
{
  constexpr int kEntries = 60;
  constexpr int kMostCallsASecond = 20;
  simulated_site site;
  site.Put(1);
  StartFleet(site, kEntries);
  site.mClock.RunFor(3s);
  site.mState.mFault = standin::store_fault::Refuse;
  site.CutWatches();
  site.mClock.RunFor(3s);
  const auto before = site.mCallsBetweenEntries;
  site.mClock.RunFor(4s);
  BOOST_TEST(site.mCallsBetweenEntries - before <=
             4 * kEntries * kMostCallsASecond);
}

// Guards against callers being refused for most of a second after all entries
// were killed at once, though the store answers: each entry without a state
// rejects its followers, which wait before they retry, level by level of the
// tree.
BOOST_AUTO_TEST_CASE(EntriesThatStartTogetherKnowTheStateAtOnce)
{
  constexpr int kEntries = 360;
  simulated_site site;
  site.mState.mLatency = 40ms;
  site.Put(1);
  for (int i = 0; i < kEntries; ++i) {
    site.Add(FleetName(i));
  }
  for (auto& [name, entry] : site.mEntries) {
    entry->Start();
    if (name.back() == '9') {
      site.mClock.RunFor(3ms);
    }
  }
  BOOST_TEST(site.mClock.RunUntil([&] { return KnowAll(site, 1); }, 150ms));
}

// Guards against a whole fleet that watches the store at once, with six watches
// per entry for seconds: a third of the entries loses the store, among them the
// one that watches it for all and the next one by name.
BOOST_AUTO_TEST_CASE(TheLossOfTheWatchingEntryDoesNotSendAllToTheStore)
{
  constexpr int kEntries = 360;
  constexpr std::size_t kMostWatching = 12;
  for (const auto way : { store_way::Cut, store_way::TurnedAway }) {
    simulated_site site;
    site.mState.mLatency = 4ms;
    site.Put(1);
    StartFleet(site, kEntries);
    site.mClock.RunFor(4s);
    for (int i = 0; i < kEntries; ++i) {
      if (i < 2 || i % 3 == 0) {
        auto& cutOff = site.At(FleetName(i));
        cutOff.mWay = way;
        cutOff.BreakCalls();
      }
    }
    site.Put(2);
    std::size_t mostWatching = 0;
    for (int i = 0; i < 40; ++i) {
      site.mClock.RunFor(50ms);
      std::size_t watching = 0;
      for (const auto& [name, entry] : site.mEntries) {
        watching += entry->mFeed->IsWatching() ? 1 : 0;
      }
      mostWatching = std::max(mostWatching, watching);
    }
    BOOST_TEST(mostWatching <= kMostWatching);
    for (const auto& [name, entry] : site.mEntries) {
      BOOST_TEST(entry->Value(kBusyKind) == 2, name);
    }
  }
}

// Guards against a turned-away entry that stays without changes although most
// entries would answer it: all that it tries first are gone.
BOOST_AUTO_TEST_CASE(ATurnedAwayEntryFindsASourceBeyondTheFirstOnes)
{
  constexpr int kEntries = 120;
  constexpr int kGone = 60;
  simulated_site site;
  site.mState.mLatency = 4ms;
  site.Put(1);
  StartFleet(site, kEntries);
  site.mClock.RunFor(4s);
  for (int i = 0; i < kGone; ++i) {
    site.Kill(FleetName(i));
  }
  auto& turnedAway = site.At(FleetName(kEntries - 1));
  turnedAway.mWay = store_way::TurnedAway;
  turnedAway.BreakCalls();
  site.Put(2);
  BOOST_TEST(
    site.mClock.RunUntil([&] { return turnedAway.Value(kBusyKind) == 2; }, 8s));
}

// Guards against a fleet that falls behind, and links and memory that are full
// of whole states, when the entries that forward changes are lost: each entry
// that changed its source was sent all objects again.
BOOST_AUTO_TEST_CASE(TheLossOfInnerEntriesSendsOnlyWhatChanged)
{
  for (const int entries : { 360, 720 }) {
    simulated_site site;
    site.mState.mLatency = 4ms;
    for (int i = 0; i < 2 * entries; ++i) {
      standin::PutDirectly(
        site.mState, kQuietKind, FleetName(i), "{\"value\":1}");
    }
    site.Put(1);
    StartFleet(site, entries);
    site.mClock.RunFor(4s);
    const auto before = site.mBytesBetweenEntries;
    for (int i = 1; i <= entries / 16; ++i) {
      site.Kill(FleetName(i));
    }
    site.Put(2);
    site.mClock.RunFor(4s);
    BOOST_TEST(KnowAll(site, 2));
    // Eight responses of one change and a verification each, and as much again
    // for sources that are tried in vain.
    constexpr std::size_t kMostBytesPerEntry = 16 * 400;
    BOOST_TEST((site.mBytesBetweenEntries - before) / entries <=
               kMostBytesPerEntry);
  }
}

// Guards against a store that is listed by a seventh of all entries at once:
// two in five entries, the watching one among them, lose power, and a second
// later the store turns a third of the rest away.
BOOST_AUTO_TEST_CASE(FewEntriesWatchAfterALossOfPower)
{
  for (const int entries : { 360, 720 }) {
    simulated_site site;
    site.mState.mLatency = 4ms;
    site.Put(1);
    StartFleet(site, entries);
    site.mClock.RunFor(4s);
    std::vector<std::string> left;
    for (int i = 0; i < entries; ++i) {
      if (i % 5 == 1 || i % 5 == 2 || (i > 0 && i < 7)) {
        site.Kill(FleetName(i));
      } else {
        left.push_back(FleetName(i));
      }
    }
    site.mClock.RunFor(1s);
    for (std::size_t i = 0; i < left.size(); i += 3) {
      site.At(left[i]).mWay = store_way::TurnedAway;
      site.At(left[i]).BreakCalls();
    }
    site.Put(2);
    std::set<std::string> watched;
    for (int i = 0; i < 60; ++i) {
      site.mClock.RunFor(50ms);
      for (const auto& name : left) {
        if (site.At(name).mFeed->IsWatching()) {
          watched.insert(name);
        }
      }
    }
    BOOST_TEST(watched.size() <= static_cast<std::size_t>(entries) / 20);
    for (const auto& name : left) {
      BOOST_TEST(site.At(name).Value(kBusyKind) == 2, name);
    }
  }
}

// Guards against entries that watch the store for ten seconds and more after
// the first entries by name, their sources, have frozen: each searches for a
// source once in three seconds and tries another frozen entry.
BOOST_AUTO_TEST_CASE(FollowersOfFrozenEntriesSoonFindAnotherSource)
{
  constexpr int kEntries = 360;
  constexpr int kFrozen = 6;
  constexpr std::size_t kMostWatching = 12;
  simulated_site site;
  site.mState.mLatency = 4ms;
  site.Put(1);
  StartFleet(site, kEntries);
  site.mClock.RunFor(4s);
  for (int i = 0; i < kFrozen; ++i) {
    site.At(FleetName(i)).Freeze();
  }
  site.mClock.RunFor(2s);
  site.Put(2);
  site.mClock.RunFor(5s);
  std::size_t watching = 0;
  for (const auto& [name, entry] : site.mEntries) {
    if (!entry->mIsFrozen) {
      BOOST_TEST(entry->Value(kBusyKind) == 2, name);
      watching += entry->mFeed->IsWatching() ? 1 : 0;
    }
  }
  BOOST_TEST(watching <= kMostWatching);
}

// Guards against a store that is flooded with calls after an outage, because
// each of hundreds of entries lists all kinds and watches them for seconds.
BOOST_AUTO_TEST_CASE(AnOutageOfTheStoreEndsWithFewCalls)
{
  constexpr int kEntries = 360;
  constexpr int kMostCallsOfOne = 4;
  constexpr double kStalePart = 0.1;
  simulated_site site;
  site.mState.mLatency = 4ms;
  site.Put(1);
  StartFleet(site, kEntries);
  site.mClock.RunFor(4s);
  site.mState.mFault = standin::store_fault::Refuse;
  site.CutWatches();
  const auto callsBefore = site.mState.mCalls;
  const auto staleBefore = site.mState.mStaleReads;
  site.mClock.RunFor(3s);
  site.mState.mFault = standin::store_fault::None;
  site.Put(2);
  BOOST_TEST(
    site.mClock.RunUntil([&] { return KnowAll(site, 2); }, kInForceWithin));
  site.mClock.RunFor(4s);
  const auto calls = site.mState.mCalls - callsBefore;
  const auto stale = site.mState.mStaleReads - staleBefore;
  BOOST_TEST(calls - stale + stale * kStalePart <= kEntries * kMostCallsOfOne);
}

// Guards against an entry that loses a change when it gets the full state from
// another entry that doesn't have the change yet.
BOOST_AUTO_TEST_CASE(AListingFromALaggingEntryRevertsNothing)
{
  const auto object = [](const std::string& aName,
                         objects::revision_number aRevision) {
    objects::stored_object made;
    made.mName = aName;
    made.mRevision = aRevision;
    return std::pair(aName, made);
  };
  const feed::object_map known{ object("changed", 7),
                                object("created", 8),
                                object("removed", 3) };
  const feed::object_map received{ object("changed", 2), object("theirs", 5) };
  const auto merged = feed::MergeListing(known, received, 5);
  BOOST_TEST(merged.at("changed").mRevision == 7);
  BOOST_TEST(merged.count("created") == 1);
  BOOST_TEST(merged.count("removed") == 0);
  BOOST_TEST(merged.count("theirs") == 1);
}

BOOST_AUTO_TEST_SUITE_END()
