#include "Duties/Samples/StepJob.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <rapidcheck.h>
#include <set>
#include <utility>

using namespace lavender;
using namespace lavender::samples;
using platform::read_state;
using platform::write_state;

namespace {

constexpr std::int64_t kBound = 1;
constexpr std::size_t kEntries = 3;

int
Draw(int aFrom, int aTo)
{
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(aFrom, aTo));
}

enum class store_fault
{
  None,
  Down,
  /** The write takes effect and its answer is lost. */
  AnswerLost,
  /** No answer, and the write comes in much later. */
  Delayed
};

struct fault_tally
{
  std::int64_t mDown = 0;
  std::int64_t mLost = 0;
  std::int64_t mDelayed = 0;
  std::int64_t mCrashes = 0;
  std::int64_t mTakeOvers = 0;
  std::int64_t mRemade = 0;
  std::int64_t mDeliveries = 0;
  std::int64_t mAgain = 0;
  std::int64_t mLateAsks = 0;
  std::int64_t mOrphans = 0;
};

/** The Object API with its faults. */
struct fake_store
{
  using key = std::pair<std::string, std::string>;
  struct call
  {
    key mKey;
    std::int64_t mExpected;
    json::value mValue;
  };

  std::map<key, platform::stored_object> mObjects;
  std::vector<call> mDelayed;
  std::int64_t mRevision = 0;
  store_fault mNext = store_fault::None;
  /** Calls that still go well before the fault. */
  int mCallsBeforeFault = 0;
  fault_tally* mTally = nullptr;
  std::function<void(const batch_record&)> mOnDeliveryWrite;

  store_fault TakeFault()
  {
    if (mNext == store_fault::None || mCallsBeforeFault-- > 0) {
      return store_fault::None;
    }
    return std::exchange(mNext, store_fault::None);
  }

  platform::write_result Apply(const call& aCall)
  {
    platform::write_result written;
    const auto found = mObjects.find(aCall.mKey);
    const auto current = found == mObjects.end() ? 0 : found->second.mRevision;
    if (aCall.mExpected >= 0 && current != aCall.mExpected) {
      written.mState = write_state::Conflict;
      return written;
    }
    auto& object = mObjects[aCall.mKey];
    object.mValue = aCall.mValue;
    object.mRevision = ++mRevision;
    written.mState = write_state::Done;
    written.mRevision = mRevision;
    return written;
  }

  platform::write_result Write(const call& aCall)
  {
    platform::write_result unknown;
    unknown.mState = write_state::Unknown;
    if (json::StringAt(aCall.mValue, "state", "") == "delivered") {
      platform::stored_object written;
      written.mValue = aCall.mValue;
      mOnDeliveryWrite(ToRecord(written));
    }
    switch (TakeFault()) {
      case store_fault::Down:
        ++mTally->mDown;
        return unknown;
      case store_fault::AnswerLost:
        ++mTally->mLost;
        Apply(aCall);
        return unknown;
      case store_fault::Delayed:
        ++mTally->mDelayed;
        mDelayed.push_back(aCall);
        return unknown;
      case store_fault::None:
        break;
    }
    return Apply(aCall);
  }

  batch_store Interface()
  {
    batch_store store;
    store.mRead = [this](const auto& aKind, const auto& aName) {
      platform::read_result read;
      if (TakeFault() != store_fault::None) {
        ++mTally->mDown;
        return read;
      }
      const auto found = mObjects.find({ aKind, aName });
      read.mState =
        found == mObjects.end() ? read_state::Absent : read_state::Found;
      if (found != mObjects.end()) {
        read.mObject = found->second;
      }
      return read;
    };
    store.mWrite = [this](const auto& aKind,
                          const auto& aName,
                          std::int64_t aExpected,
                          const auto& aValue) {
      return Write({ { aKind, aName }, aExpected, aValue });
    };
    store.mDelete = [this](const auto& aKind, const auto& aName) {
      platform::write_result removed;
      removed.mState = write_state::Unknown;
      if (TakeFault() != store_fault::None) {
        ++mTally->mDown;
        return removed;
      }
      mObjects.erase({ aKind, aName });
      removed.mState = write_state::Done;
      return removed;
    };
    return store;
  }
};

/** Three entries, one store, one trainer, and what the trainer must see. */
struct world
{
  fake_store mStore;
  batch_store mCalls = mStore.Interface();
  std::vector<std::optional<step_job>> mJobs{ kEntries };
  std::vector<std::vector<sample_place>> mUnderWay{ kEntries };
  fault_tally* mTally = nullptr;
  std::int64_t mAccepted = 1;
  int mNextName = 0;
  bool mIsAcknowledged = false;
  std::string mDelivered;
  std::set<std::int64_t> mOldestInDeliveryWrites;

  static batch_spec Shape()
  {
    batch_spec shape;
    shape.mRun = "minutes";
    shape.mStep = 7;
    shape.mPrompts = { "first", "second", "third" };
    shape.mSamplesPerPrompt = 2;
    return shape;
  }

  std::int64_t Oldest() const { return mAccepted - kBound; }

  /** No step of the trainer's may use what was too old when its first
   * delivery was decided. */
  void CheckDeliveryWrite(const batch_record& aRecord)
  {
    auto table = MakeTable(3, 2);
    const auto fault = std::exchange(mStore.mNext, store_fault::None);
    const bool isLoaded = LoadParts(mCalls, aRecord, table);
    mStore.mNext = fault;
    RC_ASSERT(isLoaded);
    for (const auto& group : table) {
      for (const auto& one : group) {
        RC_ASSERT(one.has_value());
        RC_ASSERT(OldestVersion(*one) >= Oldest());
      }
    }
  }

  void Begin(std::size_t aEntry, std::int64_t aTakeOver)
  {
    mJobs[aEntry] =
      StartJob(Shape(), "n" + std::to_string(mNextName++), aTakeOver);
    mUnderWay[aEntry].clear();
  }

  void Ask(std::size_t aEntry, bool aIsMakerSilent)
  {
    if (mJobs[aEntry] && mJobs[aEntry]->mPhase == job_phase::Working) {
      return;
    }
    mJobs[aEntry].reset();
    const auto outcome = Deliver(mCalls, Shape(), Oldest());
    switch (outcome.mState) {
      case delivery_status::Ready:
        CheckBatch(outcome.mBatch);
        break;
      case delivery_status::Absent:
        RC_ASSERT(mDelivered.empty());
        Begin(aEntry, 0);
        break;
      case delivery_status::InProgress:
        if (aIsMakerSilent) {
          ++mTally->mTakeOvers;
          Begin(aEntry, outcome.mRecord.mRevision);
        }
        break;
      case delivery_status::TooOld:
        ++mTally->mRemade;
        Begin(aEntry, outcome.mRecord.mRevision);
        break;
      case delivery_status::Acknowledged:
        ++mTally->mLateAsks;
        break;
      default:
        break;
    }
  }

  void CheckBatch(const json::value& aBatch)
  {
    RC_ASSERT(!mIsAcknowledged);
    std::set<std::string> ids;
    for (const auto& one : aBatch.Find("samples")->Elements()) {
      RC_ASSERT(ids.insert(json::StringAt(one, "id", "")).second);
    }
    RC_ASSERT(ids.size() == 6u);
    const auto text = json::Write(aBatch);
    if (mDelivered.empty()) {
      ++mTally->mDeliveries;
      mDelivered = text;
    } else {
      ++mTally->mAgain;
      RC_ASSERT(text == mDelivered);
    }
  }

  void Give(std::size_t aEntry)
  {
    if (!mJobs[aEntry]) {
      return;
    }
    if (const auto place = TakeNext(*mJobs[aEntry])) {
      mUnderWay[aEntry].push_back(*place);
    }
  }

  void Finish(std::size_t aEntry, std::int64_t aAge)
  {
    if (!mJobs[aEntry] || mUnderWay[aEntry].empty()) {
      return;
    }
    const auto place = mUnderWay[aEntry].back();
    mUnderWay[aEntry].pop_back();
    sample made;
    made.mGroup = static_cast<int>(place.mGroup);
    made.mIndex = static_cast<int>(place.mIndex);
    made.mId = "minutes.7." + std::to_string(made.mGroup) + "." +
               std::to_string(made.mIndex);
    made.mText = "text " + std::to_string(mNextName++);
    wire::weight_part part;
    part.version = std::max<std::int64_t>(1, mAccepted - aAge);
    part.tokens = 1;
    made.mVersions = { part };
    PutResult(*mJobs[aEntry], place, made);
  }

  void SaveAt(std::size_t aEntry)
  {
    if (mJobs[aEntry]) {
      Save(*mJobs[aEntry], mCalls, Oldest());
    }
  }

  /** Several samples are made and saved without much between them. */
  void Rush(std::size_t aEntry, int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      Give(aEntry);
      Finish(aEntry, 0);
      SaveAt(aEntry);
    }
  }

  void AcknowledgeAt()
  {
    // The trainer acknowledges only what it was given.
    if (!mDelivered.empty() && Acknowledge(mCalls, "minutes", 7).mState ==
                                 delivery_status::Acknowledged) {
      mIsAcknowledged = true;
    }
  }

  void ApplyDelayed()
  {
    if (!mStore.mDelayed.empty()) {
      const auto call = mStore.mDelayed.back();
      mStore.mDelayed.pop_back();
      mStore.Apply(call);
    }
  }

  void Step()
  {
    const auto entry = static_cast<std::size_t>(Draw(0, kEntries));
    switch (Draw(0, 18)) {
      case 0:
      case 1:
        Ask(entry, Draw(0, 4) == 0);
        break;
      case 2:
      case 3:
      case 4:
        Give(entry);
        break;
      case 5:
      case 6:
      case 7:
        Finish(entry, Draw(0, 2));
        break;
      case 8:
      case 9:
      case 10:
      case 11:
        SaveAt(entry);
        break;
      case 12:
        if (Draw(0, 3) == 0) {
          ++mTally->mCrashes;
          mJobs[entry].reset();
        }
        break;
      case 13:
        if (Draw(0, 3) == 0) {
          mAccepted += Draw(1, 3);
        }
        break;
      case 14:
        mStore.mNext = *rc::gen::element(
          store_fault::Down, store_fault::AnswerLost, store_fault::Delayed);
        mStore.mCallsBeforeFault = Draw(0, 10);
        break;
      case 16:
      case 17:
        Rush(entry, Draw(1, 12));
        break;
      case 15:
        if (Draw(0, 2) == 0) {
          ApplyDelayed();
        } else {
          AcknowledgeAt();
        }
        break;
    }
  }

  /** With the faults over, the trainer gets its batch at the first entry. */
  void RunToTheEnd()
  {
    mStore.mNext = store_fault::None;
    while (!mStore.mDelayed.empty()) {
      ApplyDelayed();
    }
    mJobs.assign(kEntries, std::nullopt);
    for (int i = 0; i < 200 && mDelivered.empty(); ++i) {
      Ask(0, true);
      Give(0);
      Finish(0, 0);
      SaveAt(0);
    }
    RC_ASSERT(!mDelivered.empty());
    Ask(1, false);
    AcknowledgeAt();
    RC_ASSERT(mIsAcknowledged);
    Ask(2, false);
    for (const auto& [key, object] : mStore.mObjects) {
      mTally->mOrphans += key.first == kPartKind;
    }
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(TestStepJob)

// A trainer crashes before its acknowledgement, asks two entries at once, and
// the entry that makes its batch dies or loses an answer of the store. It
// would train on a step twice, or on two different batches of one step.
BOOST_AUTO_TEST_CASE(EachStepIsDeliveredOnceInEveryHistory)
{
  fault_tally seen;
  BOOST_TEST(rc::check("one batch a step, whole, fresh and unchanged", [&] {
    world run;
    run.mTally = &seen;
    run.mStore.mTally = &seen;
    run.mStore.mOnDeliveryWrite = [&](const batch_record& aRecord) {
      run.CheckDeliveryWrite(aRecord);
    };
    const int steps = Draw(1, 300);
    for (int i = 0; i < steps; ++i) {
      run.Step();
    }
    run.RunToTheEnd();
  }));
  BOOST_TEST_MESSAGE(
    "down=" << seen.mDown << " lost=" << seen.mLost
            << " delayed=" << seen.mDelayed << " crashes=" << seen.mCrashes
            << " take_overs=" << seen.mTakeOvers << " remade=" << seen.mRemade
            << " deliveries=" << seen.mDeliveries << " again=" << seen.mAgain
            << " late_asks=" << seen.mLateAsks
            << " orphaned_parts=" << seen.mOrphans);
  for (const auto count : { seen.mDown,
                            seen.mLost,
                            seen.mDelayed,
                            seen.mCrashes,
                            seen.mTakeOvers,
                            seen.mRemade,
                            seen.mDeliveries,
                            seen.mAgain,
                            seen.mLateAsks }) {
    BOOST_TEST(count > 0);
  }
}

// 1,024 samples of two kilobytes are over the megabyte that one value may
// hold: the batch is kept in parts, and nothing of it remains at the end.
BOOST_AUTO_TEST_CASE(KeepsABatchOverAMegabyteInParts)
{
  fault_tally seen;
  fake_store store;
  store.mTally = &seen;
  store.mOnDeliveryWrite = [](const batch_record&) {};
  const auto calls = store.Interface();
  batch_spec shape;
  shape.mRun = "minutes";
  shape.mPrompts.assign(128, "prompt");
  shape.mSamplesPerPrompt = 8;
  auto job = StartJob(shape, "n", 0);
  while (const auto place = TakeNext(job)) {
    sample made;
    made.mGroup = static_cast<int>(place->mGroup);
    made.mIndex = static_cast<int>(place->mIndex);
    made.mText = std::string(2048, 'x');
    PutResult(job, *place, made);
  }
  for (int i = 0; i < 20 && job.mPhase == job_phase::Working; ++i) {
    BOOST_TEST(Save(job, calls, 0));
  }
  BOOST_TEST((job.mPhase == job_phase::Fixed));
  BOOST_TEST(job.mRecord.mParts.size() > 2u);
  for (const auto& [key, object] : store.mObjects) {
    BOOST_TEST(json::Write(object.mValue).size() < (1u << 20));
  }
  const auto given = Deliver(calls, shape, 0);
  BOOST_REQUIRE((given.mState == delivery_status::Ready));
  BOOST_TEST(given.mBatch.Find("samples")->Elements().size() == 1024u);
  BOOST_TEST(
    (Acknowledge(calls, "minutes", 0).mState == delivery_status::Acknowledged));
  BOOST_TEST(store.mObjects.size() == 1u);
  BOOST_TEST(
    (Deliver(calls, shape, 0).mState == delivery_status::Acknowledged));
}

BOOST_AUTO_TEST_SUITE_END()
