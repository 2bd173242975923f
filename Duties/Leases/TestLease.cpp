#include "Duties/Leases/Lease.h"
#include "Duties/Leases/Preference.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <rapidcheck.h>
#include <set>

using namespace lavender;
using namespace lavender::leases;
using namespace std::chrono_literals;

namespace {

using nanoseconds = std::chrono::nanoseconds;

constexpr std::size_t kEvents = 250;
/** Clocks run one part in 32 faster or slower. That is far more than real
 * clocks do, so that a missing drift allowance fails within few histories. */
constexpr int kRateParts = 32;
constexpr std::int64_t kDriftDivisor = 15;

/** A request in transit to the store. */
struct message
{
  std::size_t mHolder = 0;
  std::int64_t mCall = 0;
  lease_step mStep;
};

/** Bytes sent under a lease and still in transit. */
struct sent_bytes
{
  std::int64_t mFencing = 0;
  nanoseconds mSentAt{ 0 };
};

struct holder
{
  candidate mSelf;
  lease_state mState;
  nanoseconds mClockOffset{ 0 };
  /** Clock rate error, in parts of kRateParts. */
  int mRate = 0;
  bool mIsPaused = false;
  std::int64_t mCall = 0;
  bool mIsCallWrite = false;
  std::optional<platform::write_result> mWritten;
  std::optional<platform::read_result> mRead;
};

enum class fault
{
  Pause,
  Outage,
  LostResponse,
  DoubledRequest,
  LateRequest,
  Restart,
  LateBytes
};

/** Simulates three candidates, a store and a network that delays, loses and
 * duplicates messages. Each candidate derives its own clock from the simulated
 * true time. */
struct simulation
{
  lease_settings mSettings;
  std::vector<holder> mHolders = std::vector<holder>(3);
  std::vector<message> mNetwork;
  std::vector<sent_bytes> mBytes;
  nanoseconds mNow{ 0 };
  bool mIsDown = false;
  std::int64_t mRevision = 0;
  std::optional<lease_record> mStored;
  std::int64_t mStoredRevision = 0;
  std::int64_t mNextId = 0;
  std::int64_t mHighestArrived = 0;
  std::string mViolation;
  std::set<fault> mFaults;

  simulation()
  {
    mSettings.mDriftDivisor = kDriftDivisor;
    for (std::size_t i = 0; i < mHolders.size(); ++i) {
      mHolders[i].mSelf = { "holder" + std::to_string(mNextId++), i };
      mHolders[i].mClockOffset = std::chrono::hours(i * 1000);
      // The most preferred candidate, which waits least, has the fastest
      // clock.
      mHolders[i].mRate = 1 - static_cast<int>(i);
    }
  }

  time_point Clock(const holder& aHolder) const
  {
    return time_point(aHolder.mClockOffset + mNow +
                      mNow * aHolder.mRate / kRateParts);
  }

  nanoseconds TrueTime(const holder& aHolder, time_point aLocal) const
  {
    return (aLocal.time_since_epoch() - aHolder.mClockOffset) * kRateParts /
           (kRateParts + aHolder.mRate);
  }

  /** Advances to a boundary: just before a lease expires, when a candidate's
   * next step is due, or when bytes can last arrive. Random times alone rarely
   * hit these boundaries. */
  void AdvanceToBoundary(std::size_t aIndex)
  {
    std::set<nanoseconds> boundaries;
    for (const auto& each : mHolders) {
      if (each.mState.mHeld) {
        boundaries.insert(TrueTime(each, each.mState.mHeld->mExpiresAt) - 1ms);
      }
      boundaries.insert(TrueTime(each, each.mState.mNextStepAt) + 1us);
    }
    for (const auto& bytes : mBytes) {
      boundaries.insert(bytes.mSentAt + mSettings.mMaximumTransitTime);
    }
    boundaries.erase(boundaries.begin(), boundaries.upper_bound(mNow));
    if (!boundaries.empty()) {
      mNow =
        *std::next(boundaries.begin(),
                   static_cast<std::ptrdiff_t>(aIndex % boundaries.size()));
    }
  }

  void ActBeforeExpiry()
  {
    for (std::size_t i = 0; i < mHolders.size(); ++i) {
      const auto& each = mHolders[i];
      if (HeldAt(each.mState, Clock(each))) {
        mNow =
          std::max(mNow, TrueTime(each, each.mState.mHeld->mExpiresAt) - 1ms);
        Act(i);
        mHolders[i].mIsPaused = true;
        return;
      }
    }
  }

  void ResumeAll()
  {
    for (auto& each : mHolders) {
      each.mIsPaused = false;
    }
  }

  /** Steps all candidates until one takes the lease over, possibly from a
   * paused holder. Bytes sent before the takeover arrive after newer ones. */
  void TakeOver(int aValue)
  {
    mIsDown = false;
    if (aValue % 3 == 0) {
      ResumeAll();
    }
    const auto before = mStored ? mStored->mFencing : 0;
    for (int round = 0; round < 40; ++round) {
      AdvanceToBoundary(0);
      StepAll();
      if (mStored && mStored->mFencing > before) {
        break;
      }
    }
    Arrive(mBytes.size() - 1);
    Arrive(0);
  }

  void StepAll()
  {
    for (std::size_t i = 0; i < mHolders.size(); ++i) {
      Step(i);
      Execute(mNetwork.size() - 1, false, false);
      Finish(i, false);
      Act(i);
      Check();
    }
  }

  void Check()
  {
    std::set<std::string> holders;
    for (const auto& each : mHolders) {
      if (HeldAt(each.mState, Clock(each))) {
        holders.insert(each.mSelf.mIncarnation);
      }
    }
    if (holders.size() > 1) {
      mViolation = "two processes hold the lease at the same time";
    }
  }

  void Step(std::size_t aIndex)
  {
    auto& each = mHolders[aIndex];
    if (each.mIsPaused || each.mCall != 0) {
      return;
    }
    const auto step = Decide(each.mState,
                             each.mSelf,
                             mSettings,
                             "nonce" + std::to_string(mNextId++),
                             Clock(each));
    if (step.mAction == lease_action::Wait) {
      return;
    }
    Send(aIndex, step);
  }

  void Send(std::size_t aIndex, const lease_step& aStep)
  {
    auto& each = mHolders[aIndex];
    each.mCall = ++mNextId;
    each.mIsCallWrite = aStep.mAction == lease_action::Write;
    each.mWritten.reset();
    each.mRead.reset();
    if (each.mIsCallWrite) {
      BeginWrite(each.mState, aStep.mRecord, Clock(each));
    }
    mNetwork.push_back({ aIndex, each.mCall, aStep });
  }

  platform::stored_object Stored() const
  {
    return { "Lease", "L", mStoredRevision, ToJson(*mStored) };
  }

  /** The store executes a request; the response may be lost. */
  void Execute(std::size_t aIndex, bool aDuplicates, bool aLosesResponse)
  {
    if (mNetwork.empty()) {
      return;
    }
    aIndex %= mNetwork.size();
    const auto sent = mNetwork[aIndex];
    if (!aDuplicates) {
      mNetwork.erase(mNetwork.begin() + static_cast<std::ptrdiff_t>(aIndex));
    }
    platform::write_result written;
    platform::read_result read;
    if (mIsDown) {
      mFaults.insert(fault::Outage);
      written.mState = platform::write_state::Unknown;
    } else if (sent.mStep.mAction == lease_action::Read) {
      read.mState =
        mStored ? platform::read_state::Found : platform::read_state::Absent;
      if (mStored) {
        read.mObject = Stored();
      }
    } else if (sent.mStep.mExpected == mStoredRevision) {
      Apply(sent.mStep.mRecord);
      written.mState = platform::write_state::Done;
      written.mRevision = mStoredRevision;
    } else {
      written.mState = platform::write_state::Conflict;
      if (mStored) {
        written.mCurrent = Stored();
      }
    }
    auto& each = mHolders[sent.mHolder];
    if (each.mCall != sent.mCall) {
      mFaults.insert(aDuplicates ? fault::DoubledRequest : fault::LateRequest);
    } else if (aLosesResponse) {
      mFaults.insert(fault::LostResponse);
    } else {
      each.mWritten = written;
      each.mRead = read;
    }
  }

  void Apply(const lease_record& aRecord)
  {
    if (mStored && aRecord.mFencing < mStored->mFencing) {
      mViolation = "the fencing number decreased";
    }
    if (mStored && aRecord.mHolder != mStored->mHolder &&
        aRecord.mFencing <= mStored->mFencing) {
      mViolation = "a new holder has no higher fencing number";
    }
    mStored = aRecord;
    mStoredRevision = ++mRevision;
  }

  /** The caller processes the response, or stops waiting for it. */
  void Finish(std::size_t aIndex, bool aGivesUp)
  {
    auto& each = mHolders[aIndex];
    const bool isAnswered = each.mRead.has_value();
    if (each.mIsPaused || each.mCall == 0 || (!isAnswered && !aGivesUp)) {
      return;
    }
    each.mCall = 0;
    platform::write_result unknown;
    unknown.mState = platform::write_state::Unknown;
    if (each.mIsCallWrite) {
      ApplyWrite(each.mState,
                 isAnswered ? *each.mWritten : unknown,
                 each.mSelf,
                 mSettings,
                 Clock(each));
    } else {
      ApplyRead(each.mState,
                isAnswered ? *each.mRead : platform::read_result(),
                each.mSelf,
                mSettings,
                Clock(each));
    }
  }

  void Act(std::size_t aIndex)
  {
    auto& each = mHolders[aIndex];
    if (const auto held = HeldAt(each.mState, Clock(each));
        held && !each.mIsPaused) {
      mBytes.push_back({ held->mFencing, mNow });
    }
  }

  void Arrive(std::size_t aIndex)
  {
    mBytes.erase(std::remove_if(mBytes.begin(),
                                mBytes.end(),
                                [&](const auto& aBytes) {
                                  return mNow - aBytes.mSentAt >
                                         mSettings.mMaximumTransitTime;
                                }),
                 mBytes.end());
    if (mBytes.empty()) {
      return;
    }
    aIndex %= mBytes.size();
    const auto bytes = mBytes[aIndex];
    mBytes.erase(mBytes.begin() + static_cast<std::ptrdiff_t>(aIndex));
    mFaults.insert(fault::LateBytes);
    if (bytes.mFencing < mHighestArrived) {
      mViolation =
        "bytes of an older holder arrived after bytes of a newer one";
    }
    mHighestArrived = std::max(mHighestArrived, bytes.mFencing);
  }

  void Restart(std::size_t aIndex)
  {
    auto& each = mHolders[aIndex];
    mFaults.insert(fault::Restart);
    each.mSelf.mIncarnation = "holder" + std::to_string(mNextId++);
    each.mState = {};
    each.mCall = 0;
    each.mIsPaused = false;
  }

  void ReleaseOne(std::size_t aIndex)
  {
    auto& each = mHolders[aIndex];
    // A process releases a lease only after it has stopped acting and all its
    // requests have been answered.
    if (each.mIsPaused || each.mCall != 0 || !mBytes.empty()) {
      return;
    }
    if (const auto step = Release(each.mState, "r", Clock(each))) {
      Send(aIndex, *step);
    }
  }

  void RunEvent(int aEvent, int aValue)
  {
    const auto index = static_cast<std::size_t>(aValue);
    const auto which = index % mHolders.size();
    switch (aEvent) {
      case 0:
        mNow += milliseconds(aValue * 7);
        break;
      case 1:
        if (aValue % 4 == 0) {
          mNow += milliseconds(aValue * 100);
        }
        break;
      case 2:
        Step(which);
        break;
      case 3:
        Execute(index, index % 2 == 0, index % 3 == 0);
        break;
      case 4:
        Finish(which, true);
        break;
      case 5:
        if (aValue % 2 == 0) {
          mHolders[which].mIsPaused = true;
          mFaults.insert(fault::Pause);
        } else {
          ResumeAll();
        }
        break;
      case 6:
        mIsDown = aValue % 4 == 0;
        break;
      case 7:
        Arrive(index);
        break;
      case 8:
        if (aValue % 8 == 0) {
          Restart(which);
        } else if (aValue % 8 == 1) {
          ReleaseOne(which);
        }
        break;
      case 9:
        Execute(index, false, false);
        break;
      case 10:
      case 11:
      case 12:
        AdvanceToBoundary(index);
        break;
      case 13:
      case 14:
        // The holder acts just before its lease expires and is then paused.
        ActBeforeExpiry();
        break;
      case 15:
        // A successor takes over as early as possible.
        TakeOver(aValue);
        break;
      default:
        // Normal operation of a healthy process.
        Step(which);
        Execute(mNetwork.size() - 1, false, false);
        Finish(which, false);
        Act(which);
        break;
    }
    Check();
  }

  /** Ends all faults and advances in small steps. Returns whether a candidate
   * acquires the lease. */
  bool Recovers()
  {
    mIsDown = false;
    const auto end = mNow + 12 * TakeoverWait({}, mSettings);
    while (mNow < end) {
      mNow += 100ms;
      ResumeAll();
      for (std::size_t i = 0; i < mHolders.size(); ++i) {
        Step(i);
        while (!mNetwork.empty()) {
          Execute(0, false, false);
        }
        Finish(i, true);
        Check();
        if (HeldAt(mHolders[i].mState, Clock(mHolders[i]))) {
          return true;
        }
      }
    }
    return false;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(TestLease)

// Guards against two processes that act under the same lease at once. Random
// histories of three candidates with pauses, store outages, lost, late and
// duplicated requests, restarts, clock drift, and bytes in transit when a lease
// expires.
BOOST_AUTO_TEST_CASE(OneHolderActsAtAnyTime)
{
  std::map<fault, int> faultCounts;
  std::int64_t holders = 0;
  BOOST_TEST(rc::check("at most one process holds the lease and acts", [&] {
    simulation all;
    const auto events = *rc::gen::container<std::vector<std::pair<int, int>>>(
      kEvents,
      rc::gen::pair(rc::gen::inRange(0, 20), rc::gen::inRange(0, 120)));
    for (const auto& [what, value] : events) {
      all.RunEvent(what, value);
      if (!all.mViolation.empty()) {
        RC_FAIL(all.mViolation);
      }
    }
    RC_ASSERT(all.Recovers());
    RC_ASSERT(all.mViolation.empty());
    holders += all.mStored->mFencing;
    for (const auto each : all.mFaults) {
      ++faultCounts[each];
    }
  }));
  for (const auto each : { fault::Pause,
                           fault::Outage,
                           fault::LostResponse,
                           fault::DoubledRequest,
                           fault::LateRequest,
                           fault::Restart,
                           fault::LateBytes }) {
    BOOST_TEST_CONTEXT("fault " << static_cast<int>(each))
    {
      BOOST_TEST(faultCounts[each] > 100);
    }
  }
  BOOST_TEST_MESSAGE("holders over all histories: " << holders);
}

// The store executes a write and its response is lost. The holder must not
// treat the lease as another process's, and must count the duration from the
// write, not from the read that confirmed it.
BOOST_AUTO_TEST_CASE(LostAnswerIsSettledByTheNonce)
{
  lease_settings settings;
  const candidate self{ "a", 0 };
  lease_state state;
  state.mRevision = 0;
  const auto start = time_point(1000s);
  state.mLastSeenAt = start;
  const auto step = Decide(state, self, settings, "n1", start);
  BOOST_REQUIRE((step.mAction == lease_action::Write));
  BeginWrite(state, step.mRecord, start);
  platform::write_result lost;
  lost.mState = platform::write_state::Unknown;
  ApplyWrite(state, lost, self, settings, start + 2s);
  BOOST_TEST(!HeldAt(state, start + 2s).has_value());
  BOOST_TEST((Decide(state, self, settings, "n2", start + 2s).mAction ==
              lease_action::Read));
  platform::read_result read;
  read.mState = platform::read_state::Found;
  read.mObject = { "Lease", "L", 7, ToJson(step.mRecord) };
  ApplyRead(state, read, self, settings, start + 3s);
  BOOST_REQUIRE(HeldAt(state, start + 3s).has_value());
  BOOST_TEST((HeldAt(state, start + 3s)->mExpiresAt == start + 9s));
}

// A renewal that is sent in time and answered after the expiry keeps the
// fencing number; a write sent after the expiry gets a new one.
BOOST_AUTO_TEST_CASE(LateRenewalAfterTheEndGetsANewNumber)
{
  lease_settings settings;
  const candidate self{ "a", 0 };
  lease_state state;
  state.mRevision = 0;
  const auto start = time_point(1000s);
  state.mLastSeenAt = start;
  BeginWrite(state, Decide(state, self, settings, "n1", start).mRecord, start);
  platform::write_result done;
  done.mState = platform::write_state::Done;
  done.mRevision = 5;
  ApplyWrite(state, done, self, settings, start);
  const auto renewal = Decide(state, self, settings, "n2", start + 8s);
  BOOST_TEST(renewal.mRecord.mFencing == 1);
  BeginWrite(state, renewal.mRecord, start + 8s);
  BOOST_TEST(!HeldAt(state, start + 10s).has_value());
  done.mRevision = 6;
  ApplyWrite(state, done, self, settings, start + 10s);
  BOOST_REQUIRE(HeldAt(state, start + 10s).has_value());
  BOOST_TEST((HeldAt(state, start + 10s)->mExpiresAt == start + 17s));
  BOOST_TEST((Decide(state, self, settings, "n3", start + 18s).mAction ==
              lease_action::Wait));
  const auto afterExpiry = Decide(state, self, settings, "n3", start + 21s);
  BOOST_TEST(afterExpiry.mRecord.mFencing == 2);
}

// 33 leases, as for 16 zones and 17 training runs, over three entries: no entry
// holds all of them, and the departure of an entry moves only its own leases.
BOOST_AUTO_TEST_CASE(PreferenceSpreadsLeases)
{
  const std::vector<std::string> all = { "entry-1", "entry-2", "entry-3" };
  const std::vector<std::string> left = { "entry-1", "entry-3" };
  std::map<std::string, int> first;
  for (int i = 0; i < 33; ++i) {
    const auto lease = "lease-" + std::to_string(i);
    for (const auto& entry : all) {
      const auto rank = RankOf(lease, entry, all);
      first[entry] += rank == 0;
      if (rank == 0 && entry != "entry-2") {
        BOOST_TEST(RankOf(lease, entry, left) == 0u);
      }
    }
  }
  BOOST_TEST(first["entry-1"] + first["entry-2"] + first["entry-3"] == 33);
  for (const auto& entry : all) {
    BOOST_TEST(first[entry] >= 5);
  }
}

BOOST_AUTO_TEST_SUITE_END()
