#include "Tests/Site/Support/SimulatedFeed.h"

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <random>

using namespace lavender;
using namespace lavender::tests;
using namespace std::chrono_literals;

/** Generated histories of a site: entries join, die, freeze and lose the store
 * or one another, the store is down, drops its history or falls deaf. */
namespace {

/** A change is in force this long after its confirmation at entries in touch,
 * which nothing has disturbed for kStable. */
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

  /** @return what was seen that must not be; empty when all held */
  std::string Play();

private:
  int Pick(int aFrom, int aTo);
  milliseconds Time(int aFrom, int aTo)
  {
    return milliseconds(Pick(aFrom, aTo));
  }
  std::string PickEntry();
  void Later(milliseconds aPause, std::function<void()> aAction);
  void DisturbEntry(const std::string& aName);
  void DisturbStore();
  void Step();
  void Start(const std::string& aName);
  /** The entry isn't in touch now, nor for a while after the last call. */
  void Touch(const std::string& aName)
  {
    mDisturbed[aName] = mSite.mClock.Now();
  }
  void TouchStore() { mStoreDisturbed = mSite.mClock.Now(); }
  std::string Check() const;

  std::mt19937 mRandom;
  simulated_site mSite;
  std::vector<std::string> mNames;
  std::map<std::string, time_point> mDisturbed;
  /** Entries that are kept from working until then. */
  std::map<std::string, time_point> mHeldUntil;
  time_point mStoreDisturbed;
  time_point mStoreHeldUntil;
  std::vector<confirmed_change> mChanges;
};

history::history(unsigned aSeed)
  : mRandom(aSeed)
{
  mSite.Put(1);
  mChanges.push_back({ 1, mSite.mClock.Now() });
  const int entries = Pick(0, 9) == 0 ? Pick(18, 24) : Pick(2, 8);
  for (int i = 0; i < entries; ++i) {
    // Every other name stays free for entries that join later.
    mNames.push_back("entry-" + std::to_string(100 + 2 * i));
    Start(mNames.back());
  }
  TouchStore();
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
  // Those that come first are the ones that others depend on.
  const int last = static_cast<int>(mNames.size()) - 1;
  return mNames[Pick(0, Pick(0, 1) == 0 ? std::min(last, 1) : last)];
}

void
history::Start(const std::string& aName)
{
  mSite.Add(aName).Start();
  Touch(aName);
}

void
history::Later(milliseconds aPause, std::function<void()> aAction)
{
  RunAfter(mSite.mClock.Scheduler(), aPause, std::move(aAction));
}

void
history::DisturbEntry(const std::string& aName)
{
  const auto now = mSite.mClock.Now();
  if (mHeldUntil[aName] >= now) {
    return;
  }
  Touch(aName);
  const auto time = Time(100, 4000);
  mHeldUntil[aName] = now + time;
  auto& entry = mSite.At(aName);
  switch (Pick(0, 5)) {
    case 0:
      entry.Freeze();
      Later(time, [&entry] { entry.Thaw(); });
      return;
    case 1:
      mSite.Kill(aName);
      Later(time, [this, aName] { Start(aName); });
      return;
    case 2:
      entry.mWay = store_way::Cut;
      Later(time, [&entry] { entry.mWay = store_way::Open; });
      return;
    case 3:
      entry.mWay = store_way::TurnedAway;
      entry.BreakCalls();
      Later(time, [&entry] { entry.mWay = store_way::Open; });
      return;
    case 4:
      entry.mIsAlone = true;
      Later(time, [&entry] { entry.mIsAlone = false; });
      return;
    default:
      entry.BreakCalls();
      return;
  }
}

void
history::DisturbStore()
{
  const auto now = mSite.mClock.Now();
  if (mStoreHeldUntil >= now) {
    return;
  }
  TouchStore();
  const auto time = Time(100, 3000);
  mStoreHeldUntil = now + time;
  auto& state = mSite.mState;
  switch (Pick(0, 4)) {
    case 0:
      state.mFault = standin::store_fault::Silent;
      Later(time, [&state] { state.mFault = standin::store_fault::None; });
      return;
    case 1:
      state.mFault = standin::store_fault::Refuse;
      Later(time, [&state] { state.mFault = standin::store_fault::None; });
      return;
    case 2:
      // The answers of all watches that wait now are lost.
      for (const auto& [name, entry] : mSite.mEntries) {
        entry->SilenceWatches();
      }
      mStoreHeldUntil = now;
      return;
    case 3:
      mSite.CutWatches();
      mStoreHeldUntil = now;
      return;
    default:
      // Watches hear nothing for a second; then the history is dropped and they
      // are cut.
      state.mAreWatchesDeaf = true;
      mStoreHeldUntil = now + 1s;
      Later(1s, [this, &state] {
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
    DisturbEntry(PickEntry());
  }
  if (Pick(0, 199) < 2) {
    DisturbStore();
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
  for (const auto& [name, until] : mHeldUntil) {
    if (until >= now) {
      Touch(name);
    }
  }
  if (mStoreHeldUntil >= now) {
    TouchStore();
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
    const bool isInTouch =
      now - mDisturbed.at(name) > kStable && now - mStoreDisturbed > kStable;
    if (isInTouch && entry->Value(kBusyKind) < due) {
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

// A confirmed change isn't in force in time, or goes back, at an entry that
// nothing has disturbed, whatever happened to the others and the store before.
// FEED_FIRST_SEED and FEED_HISTORIES choose other histories.
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
