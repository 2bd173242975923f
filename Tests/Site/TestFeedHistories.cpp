#include "Tests/Site/Support/SimulatedFeed.h"

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <random>

using namespace lavender;
using namespace lavender::tests;
using namespace std::chrono_literals;

/** Randomly generated histories of a site. Entries join, end, freeze, and lose
 * the store or each other. The store has outages, drops its history of changes,
 * or leaves watches without events. */
namespace {

/** A change must be in force this long after its confirmation, at all entries
 * that no fault has affected for kStable. */
constexpr milliseconds kInForceWithin = 2000ms;
constexpr milliseconds kStable = 3000ms;
constexpr milliseconds kLength = 24000ms;
constexpr milliseconds kStep = 50ms;

struct confirmed_change
{
  std::int64_t mValue = 0;
  time_point mAt;
};

class history
{
public:
  explicit history(unsigned aSeed);

  /** @return a description of the first violation; empty if there was none */
  std::string Play();

private:
  int Pick(int aFrom, int aTo);
  milliseconds Time(int aFrom, int aTo)
  {
    return milliseconds(Pick(aFrom, aTo));
  }
  std::string PickEntry();
  void RunLater(milliseconds aPause, std::function<void()> aAction);
  void InjectEntryFault(const std::string& aName);
  void InjectStoreFault();
  void Step();
  void Start(const std::string& aName);
  /** Records that a fault affects the entry now. */
  void MarkFaulty(const std::string& aName)
  {
    mLastFault[aName] = mSite.mClock.Now();
  }
  void MarkStoreFaulty() { mLastStoreFault = mSite.mClock.Now(); }
  std::string Check() const;

  std::mt19937 mRandom;
  simulated_site mSite;
  std::vector<std::string> mNames;
  std::map<std::string, time_point> mLastFault;
  /** End of the current fault of each entry. */
  std::map<std::string, time_point> mFaultyUntil;
  time_point mLastStoreFault;
  time_point mStoreFaultyUntil;
  std::vector<confirmed_change> mChanges;
};

history::history(unsigned aSeed)
  : mRandom(aSeed)
{
  mSite.Put(1);
  mChanges.push_back({ 1, mSite.mClock.Now() });
  const int entries = Pick(0, 9) == 0 ? Pick(18, 24) : Pick(2, 8);
  for (int i = 0; i < entries; ++i) {
    // Leave every other name free for entries that join later.
    mNames.push_back("entry-" + std::to_string(100 + 2 * i));
    Start(mNames.back());
  }
  MarkStoreFaulty();
}

int
history::Pick(int aFrom, int aTo)
{
  // Not std::uniform_int_distribution: its results differ between libraries.
  return aFrom + static_cast<int>(mRandom() % (aTo - aFrom + 1));
}

std::string
history::PickEntry()
{
  // Prefer the first entries by name, because the others depend on them.
  const int last = static_cast<int>(mNames.size()) - 1;
  return mNames[Pick(0, Pick(0, 1) == 0 ? std::min(last, 1) : last)];
}

void
history::Start(const std::string& aName)
{
  mSite.Add(aName).Start();
  MarkFaulty(aName);
}

void
history::RunLater(milliseconds aPause, std::function<void()> aAction)
{
  RunAfter(mSite.mClock.Scheduler(), aPause, std::move(aAction));
}

void
history::InjectEntryFault(const std::string& aName)
{
  const auto now = mSite.mClock.Now();
  if (mFaultyUntil[aName] >= now) {
    return;
  }
  MarkFaulty(aName);
  const auto time = Time(100, 4000);
  mFaultyUntil[aName] = now + time;
  auto& entry = mSite.At(aName);
  switch (Pick(0, 5)) {
    case 0:
      entry.Freeze();
      RunLater(time, [&entry] { entry.Thaw(); });
      return;
    case 1:
      mSite.Kill(aName);
      RunLater(time, [this, aName] { Start(aName); });
      return;
    case 2:
      entry.mWay = store_way::Cut;
      RunLater(time, [&entry] { entry.mWay = store_way::Open; });
      return;
    case 3:
      entry.mWay = store_way::TurnedAway;
      entry.BreakCalls();
      RunLater(time, [&entry] { entry.mWay = store_way::Open; });
      return;
    case 4:
      entry.mIsAlone = true;
      RunLater(time, [&entry] { entry.mIsAlone = false; });
      return;
    default:
      entry.BreakCalls();
      return;
  }
}

void
history::InjectStoreFault()
{
  const auto now = mSite.mClock.Now();
  if (mStoreFaultyUntil >= now) {
    return;
  }
  MarkStoreFaulty();
  const auto time = Time(100, 3000);
  mStoreFaultyUntil = now + time;
  auto& state = mSite.mState;
  switch (Pick(0, 4)) {
    case 0:
      state.mFault = standin::store_fault::Silent;
      RunLater(time, [&state] { state.mFault = standin::store_fault::None; });
      return;
    case 1:
      state.mFault = standin::store_fault::Refuse;
      RunLater(time, [&state] { state.mFault = standin::store_fault::None; });
      return;
    case 2:
      // Lose the responses to all waiting watches.
      for (const auto& [name, entry] : mSite.mEntries) {
        entry->SilenceWatches();
      }
      mStoreFaultyUntil = now;
      return;
    case 3:
      mSite.CutWatches();
      mStoreFaultyUntil = now;
      return;
    default:
      // Watches get no events for a second. Then the store drops its history
      // and ends the watches without a response.
      state.mAreWatchesDeaf = true;
      mStoreFaultyUntil = now + 1s;
      RunLater(1s, [this, &state] {
        state.mAreWatchesDeaf = false;
        state.mForgottenBefore = state.mRevision;
        mSite.CutWatches();
      });
      return;
  }
}

void
history::Step()
{
  const auto now = mSite.mClock.Now();
  if (Pick(0, 99) < 5) {
    const auto value = mChanges.back().mValue + 1;
    mSite.Put(value);
    mChanges.push_back({ value, now });
  }
  if (Pick(0, 99) < 3) {
    InjectEntryFault(PickEntry());
  }
  if (Pick(0, 199) < 2) {
    InjectStoreFault();
  }
  if (Pick(0, 399) < 2) {
    const auto joined =
      "entry-" +
      std::to_string(99 + 2 * Pick(0, static_cast<int>(mNames.size())));
    if (mSite.mPeers.count(joined) == 0) {
      mNames.push_back(joined);
      Start(joined);
    }
  }
  for (const auto& [name, until] : mFaultyUntil) {
    if (until >= now) {
      MarkFaulty(name);
    }
  }
  if (mStoreFaultyUntil >= now) {
    MarkStoreFaulty();
  }
}

std::string
history::Check() const
{
  const auto now = mSite.mClock.Now();
  std::int64_t due = 0;
  for (const auto& change : mChanges) {
    if (now - change.mAt > kInForceWithin) {
      due = change.mValue;
    }
  }
  for (const auto& [name, entry] : mSite.mEntries) {
    if (entry->mHasGoneBack) {
      return name + " went back";
    }
    const bool isStable =
      now - mLastFault.at(name) > kStable && now - mLastStoreFault > kStable;
    if (isStable && entry->Value(kBusyKind) < due) {
      return name + " has " + std::to_string(entry->Value(kBusyKind)) +
             " where " + std::to_string(due) + " is due";
    }
  }
  return "";
}

std::string
history::Play()
{
  const auto end = mSite.mClock.Now() + kLength;
  while (mSite.mClock.Now() < end) {
    mSite.mClock.RunFor(kStep);
    if (auto seen = Check(); !seen.empty()) {
      const auto at = std::chrono::duration_cast<milliseconds>(
        mSite.mClock.Now() - (end - kLength));
      return seen + " at " + std::to_string(at.count()) + " ms";
    }
    Step();
  }
  return "";
}

unsigned
FromEnvironment(const char* aName, unsigned aFallback)
{
  const auto* value = std::getenv(aName);
  return value ? static_cast<unsigned>(std::strtoul(value, nullptr, 10))
               : aFallback;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestFeedHistories)

// Guards against a confirmed change that isn't in force in time, or is
// reverted, at an entry that no fault has affected recently, for any earlier
// faults of other entries and the store. The environment variables
// FEED_FIRST_SEED and FEED_HISTORIES select other histories.
BOOST_AUTO_TEST_CASE(ChangesAreInForceInTimeAndNeverGoBack)
{
  const auto first = FromEnvironment("FEED_FIRST_SEED", 1);
  const auto count = FromEnvironment("FEED_HISTORIES", 400);
  for (auto seed = first; seed < first + count; ++seed) {
    const auto seen = history(seed).Play();
    BOOST_TEST(seen == "", "seed " << seed << ": " << seen);
  }
}

BOOST_AUTO_TEST_SUITE_END()
