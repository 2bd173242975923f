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

constexpr std::int64_t kStalenessBound = 1;
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
  /** The write takes effect and its response is lost. */
  ResponseLost,
  /** No response; the write takes effect much later. */
  Delayed
};

struct fault_counts
{
  std::int64_t mOutages = 0;
  std::int64_t mLostResponses = 0;
  std::int64_t mDelayed = 0;
  std::int64_t mCrashes = 0;
  std::int64_t mTakeOvers = 0;
  std::int64_t mRegenerated = 0;
  std::int64_t mDeliveries = 0;
  std::int64_t mRepeatedDeliveries = 0;
  std::int64_t mLateRequests = 0;
  std::int64_t mOrphanedParts = 0;
};

/** In-memory Object API with injected faults. */
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
  /** Number of calls that succeed before the fault. */
  int mCallsBeforeFault = 0;
  fault_counts* mCounts = nullptr;
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
        ++mCounts->mOutages;
        return unknown;
      case store_fault::ResponseLost:
        ++mCounts->mLostResponses;
        Apply(aCall);
        return unknown;
      case store_fault::Delayed:
        ++mCounts->mDelayed;
        mDelayed.push_back(aCall);
        return unknown;
      case store_fault::None:
        break;
    }
    return Apply(aCall);
  }

  batch_store MakeBatchStore()
  {
    batch_store store;
    store.mRead = [this](const auto& aKind, const auto& aName) {
      platform::read_result read;
      if (TakeFault() != store_fault::None) {
        ++mCounts->mOutages;
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
        ++mCounts->mOutages;
        return removed;
      }
      mObjects.erase({ aKind, aName });
      removed.mState = write_state::Done;
      return removed;
    };
    return store;
  }
};

/** Simulates three entries, one store and one trainer, and checks the trainer's
 * responses. */
struct simulation
{
  fake_store mStore;
  batch_store mCalls = mStore.MakeBatchStore();
  std::vector<std::optional<step_job>> mJobs{ kEntries };
  std::vector<std::vector<sample_position>> mInProgress{ kEntries };
  fault_counts* mCounts = nullptr;
  std::int64_t mAccepted = 1;
  int mNextName = 0;
  bool mIsAcknowledged = false;
  std::string mDelivered;
  std::set<std::int64_t> mOldestInDeliveryWrites;

  static batch_spec Spec()
  {
    batch_spec spec;
    spec.mRun = "minutes";
    spec.mStep = 7;
    spec.mPrompts = { "first", "second", "third" };
    spec.mSamplesPerPrompt = 2;
    return spec;
  }

  std::int64_t Oldest() const { return mAccepted - kStalenessBound; }

  /** Checks that no sample is too old when the first delivery is recorded. */
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
      StartJob(Spec(), "n" + std::to_string(mNextName++), aTakeOver);
    mInProgress[aEntry].clear();
  }

  void RequestBatch(std::size_t aEntry, bool aIsOwnerUnresponsive)
  {
    if (mJobs[aEntry] && mJobs[aEntry]->mPhase == job_phase::Working) {
      return;
    }
    mJobs[aEntry].reset();
    const auto outcome = Deliver(mCalls, Spec(), Oldest());
    switch (outcome.mState) {
      case delivery_status::Ready:
        CheckBatch(outcome.mBatch);
        break;
      case delivery_status::Absent:
        RC_ASSERT(mDelivered.empty());
        Begin(aEntry, 0);
        break;
      case delivery_status::InProgress:
        if (aIsOwnerUnresponsive) {
          ++mCounts->mTakeOvers;
          Begin(aEntry, outcome.mRecord.mRevision);
        }
        break;
      case delivery_status::TooOld:
        ++mCounts->mRegenerated;
        Begin(aEntry, outcome.mRecord.mRevision);
        break;
      case delivery_status::Acknowledged:
        ++mCounts->mLateRequests;
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
      ++mCounts->mDeliveries;
      mDelivered = text;
    } else {
      ++mCounts->mRepeatedDeliveries;
      RC_ASSERT(text == mDelivered);
    }
  }

  void StartSample(std::size_t aEntry)
  {
    if (!mJobs[aEntry]) {
      return;
    }
    if (const auto position = ReserveNext(*mJobs[aEntry])) {
      mInProgress[aEntry].push_back(*position);
    }
  }

  void Finish(std::size_t aEntry, std::int64_t aAge)
  {
    if (!mJobs[aEntry] || mInProgress[aEntry].empty()) {
      return;
    }
    const auto position = mInProgress[aEntry].back();
    mInProgress[aEntry].pop_back();
    sample generated;
    generated.mGroup = static_cast<int>(position.mGroup);
    generated.mIndex = static_cast<int>(position.mIndex);
    generated.mId = "minutes.7." + std::to_string(generated.mGroup) + "." +
                    std::to_string(generated.mIndex);
    generated.mText = "text " + std::to_string(mNextName++);
    wire::weight_part part;
    part.version = std::max<std::int64_t>(1, mAccepted - aAge);
    part.tokens = 1;
    generated.mVersions = { part };
    RecordResult(*mJobs[aEntry], position, generated);
  }

  void SaveJob(std::size_t aEntry)
  {
    if (mJobs[aEntry]) {
      Save(*mJobs[aEntry], mCalls, Oldest());
    }
  }

  /** Generates and saves several samples in succession. */
  void GenerateAndSave(std::size_t aEntry, int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      StartSample(aEntry);
      Finish(aEntry, 0);
      SaveJob(aEntry);
    }
  }

  void AcknowledgeIfDelivered()
  {
    // The trainer acknowledges only a batch that it has received.
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
        RequestBatch(entry, Draw(0, 4) == 0);
        break;
      case 2:
      case 3:
      case 4:
        StartSample(entry);
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
        SaveJob(entry);
        break;
      case 12:
        if (Draw(0, 3) == 0) {
          ++mCounts->mCrashes;
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
          store_fault::Down, store_fault::ResponseLost, store_fault::Delayed);
        mStore.mCallsBeforeFault = Draw(0, 10);
        break;
      case 16:
      case 17:
        GenerateAndSave(entry, Draw(1, 12));
        break;
      case 15:
        if (Draw(0, 2) == 0) {
          ApplyDelayed();
        } else {
          AcknowledgeIfDelivered();
        }
        break;
    }
  }

  /** Ends all faults and checks that the trainer gets its batch. */
  void RunToTheEnd()
  {
    mStore.mNext = store_fault::None;
    while (!mStore.mDelayed.empty()) {
      ApplyDelayed();
    }
    mJobs.assign(kEntries, std::nullopt);
    for (int i = 0; i < 200 && mDelivered.empty(); ++i) {
      RequestBatch(0, true);
      StartSample(0);
      Finish(0, 0);
      SaveJob(0);
    }
    RC_ASSERT(!mDelivered.empty());
    RequestBatch(1, false);
    AcknowledgeIfDelivered();
    RC_ASSERT(mIsAcknowledged);
    RequestBatch(2, false);
    for (const auto& [key, object] : mStore.mObjects) {
      mCounts->mOrphanedParts += key.first == kPartKind;
    }
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(TestStepJob)

// Guards against a trainer that trains on a step twice or on two different
// batches of one step. The trainer crashes before its acknowledgement or asks
// two entries at once, and the entry that generates the batch crashes or loses
// a response of the object store.
BOOST_AUTO_TEST_CASE(EachStepIsDeliveredOnceInEveryHistory)
{
  fault_counts counts;
  BOOST_TEST(
    rc::check("one complete, recent and unchanged batch per step", [&] {
      simulation run;
      run.mCounts = &counts;
      run.mStore.mCounts = &counts;
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
    "down=" << counts.mOutages << " lost=" << counts.mLostResponses
            << " delayed=" << counts.mDelayed << " crashes=" << counts.mCrashes
            << " take_overs=" << counts.mTakeOvers << " remade="
            << counts.mRegenerated << " deliveries=" << counts.mDeliveries
            << " again=" << counts.mRepeatedDeliveries
            << " late_asks=" << counts.mLateRequests
            << " orphaned_parts=" << counts.mOrphanedParts);
  for (const auto count : { counts.mOutages,
                            counts.mLostResponses,
                            counts.mDelayed,
                            counts.mCrashes,
                            counts.mTakeOvers,
                            counts.mRegenerated,
                            counts.mDeliveries,
                            counts.mRepeatedDeliveries,
                            counts.mLateRequests }) {
    BOOST_TEST(count > 0);
  }
}

// 1,024 samples of 2 KB exceed the 1 MB limit of one stored value, so the batch
// is stored in parts. All parts are deleted after the acknowledgement.
BOOST_AUTO_TEST_CASE(KeepsABatchOverAMegabyteInParts)
{
  fault_counts counts;
  fake_store store;
  store.mCounts = &counts;
  store.mOnDeliveryWrite = [](const batch_record&) {};
  const auto calls = store.MakeBatchStore();
  batch_spec spec;
  spec.mRun = "minutes";
  spec.mPrompts.assign(128, "prompt");
  spec.mSamplesPerPrompt = 8;
  auto job = StartJob(spec, "n", 0);
  while (const auto position = ReserveNext(job)) {
    sample generated;
    generated.mGroup = static_cast<int>(position->mGroup);
    generated.mIndex = static_cast<int>(position->mIndex);
    generated.mText = std::string(2048, 'x');
    RecordResult(job, *position, generated);
  }
  for (int i = 0; i < 20 && job.mPhase == job_phase::Working; ++i) {
    BOOST_TEST(Save(job, calls, 0));
  }
  BOOST_TEST((job.mPhase == job_phase::Fixed));
  BOOST_TEST(job.mRecord.mParts.size() > 2u);
  for (const auto& [key, object] : store.mObjects) {
    BOOST_TEST(json::Write(object.mValue).size() < (1u << 20));
  }
  const auto delivered = Deliver(calls, spec, 0);
  BOOST_REQUIRE((delivered.mState == delivery_status::Ready));
  BOOST_TEST(delivered.mBatch.Find("samples")->Elements().size() == 1024u);
  BOOST_TEST(
    (Acknowledge(calls, "minutes", 0).mState == delivery_status::Acknowledged));
  BOOST_TEST(store.mObjects.size() == 1u);
  BOOST_TEST((Deliver(calls, spec, 0).mState == delivery_status::Acknowledged));
}

BOOST_AUTO_TEST_SUITE_END()
