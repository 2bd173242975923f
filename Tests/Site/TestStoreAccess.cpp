#include "Duties/StoreAccess/StoreAccess.h"
#include "Tests/Site/Support/SimulatedClock.h"

#include <boost/test/unit_test.hpp>
#include <memory>

using namespace lavender;
using namespace lavender::tests;
using namespace std::chrono_literals;

namespace {

/** What the store does for one entry. */
enum class way
{
  Open,
  /** Calls get no answer. */
  Silent,
  /** Calls are refused. */
  Refused
};

/** Entries that reach the store directly or through one another, on simulated
 * time, without any network. */
struct access_site
{
  struct entry
  {
    std::unique_ptr<storeaccess::store_access> mAccess;
    way mWay = way::Open;
    /** Unreachable for other entries. */
    bool mIsAlone = false;
    int mDirectCalls = 0;
    /** Calls made for others that reached the store. */
    int mHelped = 0;
    int mHelpedAtOnce = 0;
    int mMostAtOnce = 0;
  };

  explicit access_site(int aEntries)
  {
    for (int i = 0; i < aEntries; ++i) {
      Add("entry-" + std::to_string(i));
    }
    mOrigin = "entry-0";
  }

  ~access_site() { mEntries.clear(); }

  void Add(const std::string& aName)
  {
    auto& added = mEntries[aName];
    mAddresses.push_back(
      { aName, { aName, static_cast<unsigned short>(mAddresses.size() + 1) } });
    added.mAccess = std::make_unique<storeaccess::store_access>(
      storeaccess::access_dependencies{
        mClock.Scheduler(),
        [this, aName](const edge::request&,
                      milliseconds aDeadline,
                      const edge::call_options&,
                      const edge::whole_answer& aDone) {
          CallStore(aName, aDeadline, aDone);
        },
        [this](const edge::endpoint& aEntry,
               const edge::request& aRequest,
               milliseconds aDeadline,
               const edge::whole_answer& aDone) {
          CallEntry(aEntry.mAddress, aRequest, aDeadline, aDone);
        },
        [this, aName] {
          return storeaccess::helper_candidates{ aName, mOrigin, mAddresses };
        },
        [](edge::call_end aEnd, unsigned aStatus) {
          return aEnd != edge::call_end::Complete || aStatus == 503;
        },
        {} });
  }

  void After(milliseconds aPause, std::function<void()> aAction)
  {
    RunAfter(mClock.Scheduler(), aPause, std::move(aAction));
  }

  void CallStore(const std::string& aName,
                 milliseconds aDeadline,
                 const edge::whole_answer& aDone)
  {
    auto& caller = mEntries.at(aName);
    ++caller.mDirectCalls;
    if (caller.mWay == way::Silent) {
      After(aDeadline, [aDone] { aDone(edge::call_end::TimedOut, {}); });
      return;
    }
    const unsigned status = caller.mWay == way::Refused ? 503 : 201;
    After(4ms, [aDone, status] {
      aDone(edge::call_end::Complete, { status, {}, {} });
    });
  }

  void CallEntry(const std::string& aName,
                 const edge::request& aRequest,
                 milliseconds aDeadline,
                 const edge::whole_answer& aDone)
  {
    auto& asked = mEntries.at(aName);
    if (asked.mIsAlone) {
      After(aDeadline, [aDone] { aDone(edge::call_end::TimedOut, {}); });
      return;
    }
    const auto isAnswered = std::make_shared<bool>(false);
    After(aDeadline, [aDone, isAnswered] {
      if (!std::exchange(*isAnswered, true)) {
        aDone(edge::call_end::TimedOut, {});
      }
    });
    asked.mMostAtOnce = std::max(asked.mMostAtOnce, ++asked.mHelpedAtOnce);
    asked.mAccess->Help(
      aRequest, [this, &asked, aDone, isAnswered](edge::response aAnswer) {
        --asked.mHelpedAtOnce;
        asked.mHelped += aAnswer.mStatus == 201 ? 1 : 0;
        After(2ms, [aDone, isAnswered, aAnswer] {
          if (!std::exchange(*isAnswered, true)) {
            aDone(edge::call_end::Complete, aAnswer);
          }
        });
      });
  }

  struct outcome
  {
    bool mIsDone = false;
    edge::call_end mEnd = edge::call_end::NotSent;
    unsigned mStatus = 0;
    milliseconds mTook{ 0 };
  };

  std::shared_ptr<outcome> Start(const std::string& aName)
  {
    auto seen = std::make_shared<outcome>();
    mEntries.at(aName).mAccess->Call(
      {},
      1500ms,
      {},
      [this, seen, start = mClock.Now()](edge::call_end aEnd,
                                         const edge::response& aAnswer) {
        *seen = { true,
                  aEnd,
                  aAnswer.mStatus,
                  std::chrono::duration_cast<milliseconds>(mClock.Now() -
                                                           start) };
      });
    return seen;
  }

  outcome Call(const std::string& aName)
  {
    const auto seen = Start(aName);
    BOOST_TEST(mClock.RunUntil([&] { return seen->mIsDone; }, 10s));
    return *seen;
  }

  entry& At(const std::string& aName) { return mEntries.at(aName); }

  simulated_clock mClock;
  std::map<std::string, entry> mEntries;
  std::vector<storeaccess::helper> mAddresses;
  std::string mOrigin;
};

} // namespace

BOOST_AUTO_TEST_SUITE(TestStoreAccess)

// Trainers' batches fail for seconds although most entries reach the store: an
// entry that is cut off wrote through one that was cut off too, and asked no
// other one.
BOOST_AUTO_TEST_CASE(AHelperThatIsCutOffTooIsPassedOver)
{
  for (const auto cut : { way::Silent, way::Refused }) {
    access_site site(6);
    for (const char* name : { "entry-1", "entry-2", "entry-3" }) {
      site.At(name).mWay = cut;
    }
    for (const char* name : { "entry-1", "entry-2", "entry-3" }) {
      const auto call = site.Call(name);
      BOOST_TEST(call.mStatus == 201u);
      BOOST_TEST((call.mTook < 2200ms));
    }
  }
}

// Each write of an entry that is cut off takes seconds: every one waits for the
// silent store before another entry is asked.
BOOST_AUTO_TEST_CASE(AnEntryThatIsCutOffAsksItsHelperAtOnce)
{
  access_site site(6);
  site.At("entry-1").mWay = way::Silent;
  site.Call("entry-1");
  for (int i = 0; i < 20; ++i) {
    const auto call = site.Call("entry-1");
    BOOST_TEST(call.mStatus == 201u);
    BOOST_TEST((call.mTook < 100ms));
    site.mClock.RunFor(300ms);
  }
}

// A third of a large fleet is cut off at once, and all of it writes through the
// one entry that everybody hears of: that one is overloaded, its callers wait.
BOOST_AUTO_TEST_CASE(ManyThatAreCutOffSpreadOverTheOthers)
{
  constexpr int kEntries = 360;
  constexpr int kCutOff = 120;
  access_site site(kEntries);
  for (int i = 0; i < kCutOff; ++i) {
    site.At("entry-" + std::to_string(1 + 3 * i - (3 * i == 357 ? 1 : 0)))
      .mWay = way::Silent;
  }
  const auto callAll = [&] {
    std::vector<std::shared_ptr<access_site::outcome>> calls;
    for (auto& [name, entry] : site.mEntries) {
      if (entry.mWay == way::Silent) {
        calls.push_back(site.Start(name));
      }
    }
    site.mClock.RunFor(4s);
    return calls;
  };
  for (const auto& call : callAll()) {
    BOOST_TEST(call->mIsDone);
  }
  for (auto& [name, entry] : site.mEntries) {
    entry.mHelped = 0;
  }
  constexpr int kRounds = 10;
  int failed = 0;
  for (int round = 0; round < kRounds; ++round) {
    for (const auto& call : callAll()) {
      failed += call->mStatus == 201 ? 0 : 1;
    }
  }
  BOOST_TEST(failed == 0);
  int busiest = 0;
  for (const auto& [name, entry] : site.mEntries) {
    busiest = std::max(busiest, entry.mHelped);
    BOOST_TEST(entry.mMostAtOnce <= storeaccess::kMaximumHelpedCalls + 1);
  }
  // The mean is half a call of each round.
  BOOST_TEST(busiest <= 8 * kRounds);
  BOOST_TEST(site.At(site.mOrigin).mHelped <= 8 * kRounds);
}

// An entry that helps serves its own callers no more: it takes as many calls of
// others as come.
BOOST_AUTO_TEST_CASE(AHelperTakesSoManyCallsAndRefusesTheRest)
{
  access_site site(2);
  int refused = 0;
  int answered = 0;
  for (int i = 0; i < 3 * storeaccess::kMaximumHelpedCalls; ++i) {
    site.At("entry-0").mAccess->Help({}, [&](const edge::response& aAnswer) {
      (aAnswer.mStatus == storeaccess::kCannotHelp ? refused : answered) += 1;
    });
  }
  site.mClock.RunFor(1s);
  BOOST_TEST(answered == storeaccess::kMaximumHelpedCalls);
  BOOST_TEST(refused == 2 * storeaccess::kMaximumHelpedCalls);
}

// After the store takes an entry back, its calls still go through another one
// for as long as it has any.
BOOST_AUTO_TEST_CASE(AnEntryThatIsTakenBackCallsTheStoreItself)
{
  access_site site(4);
  site.At("entry-1").mWay = way::Refused;
  site.Call("entry-1");
  site.At("entry-1").mWay = way::Open;
  site.mClock.RunFor(2500ms);
  site.Call("entry-1");
  site.mClock.RunFor(100ms);
  const auto before = site.At("entry-1").mDirectCalls;
  site.Call("entry-1");
  BOOST_TEST(site.At("entry-1").mDirectCalls == before + 1);
}

// A trainer is told "not run" and its batch runs: the store was silent to the
// entry's write, and every helper refused.
BOOST_AUTO_TEST_CASE(RefusalsOfHelpersDontUndoAWriteWithoutAnswer)
{
  access_site site(4);
  site.At("entry-1").mWay = way::Silent;
  for (const char* name : { "entry-0", "entry-2", "entry-3" }) {
    site.At(name).mWay = way::Refused;
  }
  BOOST_TEST((site.Call("entry-1").mEnd == edge::call_end::TimedOut));
}

// The same where each of them is refused: nothing was done, and the trainer may
// come again elsewhere.
BOOST_AUTO_TEST_CASE(WhatAllAreRefusedHasNotHappened)
{
  access_site site(4);
  for (auto& [name, entry] : site.mEntries) {
    entry.mWay = way::Refused;
  }
  const auto call = site.Call("entry-1");
  BOOST_TEST((call.mEnd == edge::call_end::Complete));
  BOOST_TEST(call.mStatus == 503u);
}

// An entry that can store nothing keeps its batches and takes new ones.
BOOST_AUTO_TEST_CASE(AnEntryWithoutAnyWayKnowsItAndLearnsOfTheNextOne)
{
  access_site site(3);
  auto& cut = site.At("entry-1");
  cut.mWay = way::Silent;
  site.At("entry-0").mIsAlone = site.At("entry-2").mIsAlone = true;
  BOOST_TEST(cut.mAccess->CanReachStore());
  site.Call("entry-1");
  site.mClock.RunFor(1100ms);
  BOOST_TEST(!cut.mAccess->CanReachStore());
  site.At("entry-2").mIsAlone = false;
  site.mClock.RunFor(8s);
  BOOST_TEST(cut.mAccess->CanReachStore());
}

// In an outage of the store for all, entries would send their batches to one
// another for nothing.
BOOST_AUTO_TEST_CASE(WhenNobodyIsServedNobodyIsBetter)
{
  access_site site(3);
  site.mAddresses.clear();
  auto& cut = site.At("entry-1");
  cut.mWay = way::Silent;
  site.Call("entry-1");
  site.mClock.RunFor(5s);
  BOOST_TEST(cut.mAccess->CanReachStore());
}

BOOST_AUTO_TEST_SUITE_END()
