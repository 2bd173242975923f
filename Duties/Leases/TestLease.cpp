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
/** Clocks run apart far more than real ones, so that a missing allowance shows
 * within few histories: one in 32 faster and one in 32 slower. */
constexpr int kRateParts = 32;
constexpr std::int64_t kDriftPart = 15;

/** A request on its way to the store. */
struct message
{
  std::size_t mHolder = 0;
  std::int64_t mCall = 0;
  lease_step mStep;
};

/** Bytes sent under a lease that haven't arrived yet. */
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
  /** This clock runs faster by that many parts in kRateParts. */
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
  LostAnswer,
  DoubledRequest,
  LateRequest,
  Restart,
  LateBytes
};

/** Three candidates, a store and a network in which everything may be late,
 * lost or doubled. True time drives everything; each candidate sees it through
 * its own clock. */
struct world
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
  std::int64_t mNames = 0;
  std::int64_t mHighestArrived = 0;
  std::string mViolation;
  std::set<fault> mFaults;

  world()
  {
    mSettings.mDriftPart = kDriftPart;
    for (std::size_t i = 0; i < mHolders.size(); ++i) {
      mHolders[i].mSelf = { "holder" + std::to_string(mNames++), i };
      mHolders[i].mClockOffset = std::chrono::hours(i * 1000);
      // The most preferred one, which waits least, has the fastest clock.
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

  /** Goes to a moment at which something is about to change: just before a
   * belief ends, when a candidate's next step is due, or when bytes can last
   * arrive. Random times alone hardly ever meet these edges. */
  void GoToEdge(std::size_t aIndex)
  {
    std::set<nanoseconds> edges;
    for (const auto& each : mHolders) {
      if (each.mState.mHeld) {
        edges.insert(TrueTime(each, each.mState.mHeld->mExpiresAt) - 1ms);
      }
      edges.insert(TrueTime(each, each.mState.mNextAt) + 1us);
    }
    for (const auto& bytes : mBytes) {
      edges.insert(bytes.mSentAt + mSettings.mMaximumTransitTime);
    }
    edges.erase(edges.begin(), edges.upper_bound(mNow));
    if (!edges.empty()) {
      mNow = *std::next(edges.begin(),
                        static_cast<std::ptrdiff_t>(aIndex % edges.size()));
    }
  }

  void GoToLastMoment()
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

  /** The others go on while the holder may be paused, until one takes over.
   * Bytes of before arrive as late as they can. */
  void TakeOver(int aValue)
  {
    mIsDown = false;
    if (aValue % 3 == 0) {
      ResumeAll();
    }
    const auto before = mStored ? mStored->mFencing : 0;
    for (int round = 0; round < 40; ++round) {
      GoToEdge(0);
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
    std::set<std::string> believers;
    for (const auto& each : mHolders) {
      if (HeldAt(each.mState, Clock(each))) {
        believers.insert(each.mSelf.mIncarnation);
      }
    }
    if (believers.size() > 1) {
      mViolation = "two believe";
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
                             "nonce" + std::to_string(mNames++),
                             Clock(each));
    if (step.mAction == lease_action::Wait) {
      return;
    }
    Send(aIndex, step);
  }

  void Send(std::size_t aIndex, const lease_step& aStep)
  {
    auto& each = mHolders[aIndex];
    each.mCall = ++mNames;
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

  /** The store carries a request out; the answer may get lost. */
  void Execute(std::size_t aIndex, bool aKeeps, bool aLosesAnswer)
  {
    if (mNetwork.empty()) {
      return;
    }
    aIndex %= mNetwork.size();
    const auto sent = mNetwork[aIndex];
    if (!aKeeps) {
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
      mFaults.insert(aKeeps ? fault::DoubledRequest : fault::LateRequest);
    } else if (aLosesAnswer) {
      mFaults.insert(fault::LostAnswer);
    } else {
      each.mWritten = written;
      each.mRead = read;
    }
  }

  void Apply(const lease_record& aRecord)
  {
    if (mStored && aRecord.mFencing < mStored->mFencing) {
      mViolation = "fencing fell";
    }
    if (mStored && aRecord.mHolder != mStored->mHolder &&
        aRecord.mFencing <= mStored->mFencing) {
      mViolation = "fencing didn't grow with the holder";
    }
    mStored = aRecord;
    mStoredRevision = ++mRevision;
  }

  /** The caller takes the answer, or gives up waiting for it. */
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
      TakeWrite(each.mState,
                isAnswered ? *each.mWritten : unknown,
                each.mSelf,
                mSettings,
                Clock(each));
    } else {
      TakeRead(each.mState,
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
      mViolation = "orders of two holders interleave";
    }
    mHighestArrived = std::max(mHighestArrived, bytes.mFencing);
  }

  void Restart(std::size_t aIndex)
  {
    auto& each = mHolders[aIndex];
    mFaults.insert(fault::Restart);
    each.mSelf.mIncarnation = "holder" + std::to_string(mNames++);
    each.mState = {};
    each.mCall = 0;
    each.mIsPaused = false;
  }

  void ReleaseOne(std::size_t aIndex)
  {
    auto& each = mHolders[aIndex];
    // A duty stops acting, and its bytes are answered, before the release.
    if (each.mIsPaused || each.mCall != 0 || !mBytes.empty()) {
      return;
    }
    if (const auto step = Release(each.mState, "r", Clock(each))) {
      Send(aIndex, *step);
    }
  }

  void Do(int aWhat, int aValue)
  {
    const auto index = static_cast<std::size_t>(aValue);
    const auto which = index % mHolders.size();
    switch (aWhat) {
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
        GoToEdge(index);
        break;
      case 13:
      case 14:
        // The holder acts at the last moment, while nobody can renew.
        GoToLastMoment();
        break;
      case 15:
        // Its successors go on as soon as they may.
        TakeOver(aValue);
        break;
      default:
        // What a healthy process does all the time.
        Step(which);
        Execute(mNetwork.size() - 1, false, false);
        Finish(which, false);
        Act(which);
        break;
    }
    Check();
  }

  /** Faults end; the time goes on in small steps until somebody holds. */
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

// A user would see a zone started and stopped by two processes at once. Three
// candidates; pauses, store outages, lost, late and doubled requests, restarts,
// clocks that run apart, and bytes still on their way when a lease ends.
BOOST_AUTO_TEST_CASE(OneHolderActsAtAnyTime)
{
  std::map<fault, int> provoked;
  std::int64_t holders = 0;
  BOOST_TEST(rc::check("at most one holder believes and acts", [&] {
    world all;
    const auto events = *rc::gen::container<std::vector<std::pair<int, int>>>(
      kEvents,
      rc::gen::pair(rc::gen::inRange(0, 20), rc::gen::inRange(0, 120)));
    for (const auto& [what, value] : events) {
      all.Do(what, value);
      if (!all.mViolation.empty()) {
        RC_FAIL(all.mViolation);
      }
    }
    RC_ASSERT(all.Recovers());
    RC_ASSERT(all.mViolation.empty());
    holders += all.mStored->mFencing;
    for (const auto each : all.mFaults) {
      ++provoked[each];
    }
  }));
  for (const auto each : { fault::Pause,
                           fault::Outage,
                           fault::LostAnswer,
                           fault::DoubledRequest,
                           fault::LateRequest,
                           fault::Restart,
                           fault::LateBytes }) {
    BOOST_TEST_CONTEXT("fault " << static_cast<int>(each))
    {
      BOOST_TEST(provoked[each] > 100);
    }
  }
  BOOST_TEST_MESSAGE("holders over all histories: " << holders);
}

// The store carries a write out and its answer is lost. The holder must neither
// think the lease another's nor count its time from the read that settled it.
BOOST_AUTO_TEST_CASE(LostAnswerIsSettledByTheNonce)
{
  lease_settings settings;
  const candidate self{ "a", 0 };
  lease_state state;
  state.mRevision = 0;
  const auto start = time_point(1000s);
  state.mCheckedAt = start;
  const auto step = Decide(state, self, settings, "n1", start);
  BOOST_REQUIRE((step.mAction == lease_action::Write));
  BeginWrite(state, step.mRecord, start);
  platform::write_result lost;
  lost.mState = platform::write_state::Unknown;
  TakeWrite(state, lost, self, settings, start + 2s);
  BOOST_TEST(!HeldAt(state, start + 2s).has_value());
  BOOST_TEST((Decide(state, self, settings, "n2", start + 2s).mAction ==
              lease_action::Read));
  platform::read_result read;
  read.mState = platform::read_state::Found;
  read.mObject = { "Lease", "L", 7, ToJson(step.mRecord) };
  TakeRead(state, read, self, settings, start + 3s);
  BOOST_REQUIRE(HeldAt(state, start + 3s).has_value());
  BOOST_TEST((HeldAt(state, start + 3s)->mExpiresAt == start + 9s));
}

// A renewal that leaves in time and is answered after the lease's end goes on
// under the same number; one that starts after the end is a new lease.
BOOST_AUTO_TEST_CASE(LateRenewalAfterTheEndGetsANewNumber)
{
  lease_settings settings;
  const candidate self{ "a", 0 };
  lease_state state;
  state.mRevision = 0;
  const auto start = time_point(1000s);
  state.mCheckedAt = start;
  BeginWrite(state, Decide(state, self, settings, "n1", start).mRecord, start);
  platform::write_result done;
  done.mState = platform::write_state::Done;
  done.mRevision = 5;
  TakeWrite(state, done, self, settings, start);
  const auto renewal = Decide(state, self, settings, "n2", start + 8s);
  BOOST_TEST(renewal.mRecord.mFencing == 1);
  BeginWrite(state, renewal.mRecord, start + 8s);
  BOOST_TEST(!HeldAt(state, start + 10s).has_value());
  done.mRevision = 6;
  TakeWrite(state, done, self, settings, start + 10s);
  BOOST_REQUIRE(HeldAt(state, start + 10s).has_value());
  BOOST_TEST((HeldAt(state, start + 10s)->mExpiresAt == start + 17s));
  BOOST_TEST((Decide(state, self, settings, "n3", start + 18s).mAction ==
              lease_action::Wait));
  const auto afresh = Decide(state, self, settings, "n3", start + 21s);
  BOOST_TEST(afresh.mRecord.mFencing == 2);
}

// Sixteen zones and seventeen runs over a few entries: no entry holds all, and
// an entry that goes moves only its own leases.
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
