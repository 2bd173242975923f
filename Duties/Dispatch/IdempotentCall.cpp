#include "Duties/Dispatch/IdempotentCall.h"

#include "Libraries/Core/Log.h"

#include <algorithm>

namespace lavender::dispatch {
namespace {

using platform::read_state;
using platform::write_state;
using std::chrono::system_clock;
using namespace std::chrono_literals;

/** Longest wait for one answer of the platform; a request must not hang on a
 * store that gives no word. */
constexpr milliseconds kPlatformTimeout = 1000ms;
/** After silence, requests are refused at once for this long; then one of
 * them asks again. */
constexpr milliseconds kSilencePause = 1000ms;
constexpr std::size_t kMaximumRecords = 200000;

/** How long a record outlives the deadline of its request at least. */
constexpr milliseconds kKeepAfterDeadline = 1000ms;

milliseconds
Left(const call& aCall)
{
  return std::chrono::duration_cast<milliseconds>(aCall.mDeadline -
                                                  boot_clock::now());
}

bool
IsAnswered(const platform::write_result& aWritten)
{
  return aWritten.mState == write_state::Done ||
         aWritten.mState == write_state::Conflict;
}

} // namespace

idempotent_calls::idempotent_calls(idempotent_call_options aOptions,
                                   entry_dispatch& aDispatch,
                                   metrics::registry& aMetrics)
  : mOptions(std::move(aOptions))
  , mDispatch(aDispatch)
  , mMetrics(aMetrics)
  , mRemover([this] { RemoveLoop(); })
{
}

idempotent_calls::~idempotent_calls()
{
  Stop();
}

void
idempotent_calls::Stop()
{
  {
    std::lock_guard lock(mMutex);
    mIsStopping = true;
  }
  mStopped.notify_all();
  if (mRemover.joinable()) {
    mRemover.join();
  }
}

call_outcome
idempotent_calls::Run(const std::string& aName, const call& aCall)
{
  idempotent_state state;
  state.mProgress.mMaximumAttempts = mDispatch.MaximumAttempts();
  auto step = Begin(state, aCall.mFingerprint);
  mDispatch.CountFirstAttempt();
  while (step != record_step::Finish) {
    step = TakeStep(step, state, aName, aCall);
  }
  return std::move(state.mOutcome);
}

record_step
idempotent_calls::TakeStep(record_step aStep,
                           idempotent_state& aState,
                           const std::string& aName,
                           const call& aCall)
{
  switch (aStep) {
    case record_step::WriteNew:
      return WriteNew(aState, aName, aCall);
    case record_step::WriteAgain:
      return WriteOwn(aState, aName, aCall);
    case record_step::ReadBack:
      return ReadBack(aState, aName, aCall);
    case record_step::RunOwn:
      return TakeOwnEnd(aState, mDispatch.Attempt(aCall, aState.mOwn.mTicket));
    case record_step::FollowKept:
      mMetrics.Count("lavender_shared_calls_total", {});
      return TakeKeptEnd(aState, mDispatch.Fetch(aCall, aState.mKept.mTicket));
    case record_step::Finish:
      break;
  }
  return record_step::Finish;
}

record_step
idempotent_calls::WriteNew(idempotent_state& aState,
                           const std::string& aName,
                           const call& aCall)
{
  const auto attempts = aState.mProgress.mAttempts;
  if (attempts > 0) {
    const bool isStopped = aCall.mStopReason && !aCall.mStopReason().empty();
    if (isStopped || !mDispatch.TakeRetry(aState.mOutcome.mReason)) {
      return record_step::Finish;
    }
  }
  if (IsPlatformSilent()) {
    return StopWithoutRecord(aState);
  }
  std::vector<std::string> tried;
  if (attempts > 0) {
    tried.push_back(aState.mOutcome.mServerName);
  }
  auto server = mDispatch.SelectServer(aCall.mPool, tried);
  if (!server) {
    server = mDispatch.SelectServer(aCall.mPool, {});
  }
  if (!server) {
    return TakeNoServer(aState);
  }
  // Issued before anybody can learn of the attempt: whoever takes it back
  // does so after the stamp, and the tombstone outlives an order of that age.
  aState.mOwn.mTicket = mDispatch.Issue(
    aCall.mRequestId + "." + std::to_string(attempts + 1), *server);
  aState.mOwn.mFingerprint = aCall.mFingerprint;
  aState.mOwn.mKeepUntil =
    system_clock::now() +
    std::max<milliseconds>(mOptions.mKeep, Left(aCall) + kKeepAfterDeadline);
  return WriteOwn(aState, aName, aCall);
}

record_step
idempotent_calls::WriteOwn(idempotent_state& aState,
                           const std::string& aName,
                           const call& aCall)
{
  const auto written = platform::Write(ClientFor(aCall),
                                       kCallKind,
                                       aName,
                                       aState.mExpectedRevision,
                                       ToValue(aState.mOwn));
  NotePlatform(IsAnswered(written));
  const auto next = TakeWrite(aState, written);
  if (next == record_step::RunOwn) {
    std::lock_guard lock(mMutex);
    if (mRecords.size() < kMaximumRecords) {
      mRecords.emplace(aState.mOwn.mKeepUntil,
                       old_record{ aName, aState.mExpectedRevision });
    }
  }
  return next;
}

record_step
idempotent_calls::ReadBack(idempotent_state& aState,
                           const std::string& aName,
                           const call& aCall)
{
  const auto read = platform::Read(ClientFor(aCall), kCallKind, aName);
  NotePlatform(read.mState != read_state::Failed);
  return TakeRead(aState, read);
}

platform::client
idempotent_calls::ClientFor(const call& aCall) const
{
  const auto left = std::chrono::duration_cast<milliseconds>(aCall.mDeadline -
                                                             boot_clock::now());
  auto client = mOptions.mPlatform;
  client.mTimeout = std::clamp(left, 1ms, kPlatformTimeout);
  return client;
}

bool
idempotent_calls::IsPlatformSilent()
{
  std::lock_guard lock(mMutex);
  const auto now = boot_clock::now();
  if (now < mPlatformSilentUntil) {
    return true;
  }
  if (mPlatformSilentUntil != time_point{}) {
    // This request asks; the others go on being refused until it knows.
    mPlatformSilentUntil = now + kSilencePause;
  }
  return false;
}

void
idempotent_calls::NotePlatform(bool aIsAnswering)
{
  std::lock_guard lock(mMutex);
  mPlatformSilentUntil =
    aIsAnswering ? time_point{} : boot_clock::now() + kSilencePause;
}

void
idempotent_calls::RemoveLoop()
{
  auto adoptAt = boot_clock::now();
  std::unique_lock lock(mMutex);
  while (!mIsStopping) {
    lock.unlock();
    if (boot_clock::now() >= adoptAt) {
      AdoptLeftRecords();
      adoptAt = boot_clock::now() + mOptions.mKeep;
    }
    RemoveOldRecords();
    lock.lock();
    mStopped.wait_for(lock, 1000ms, [this] { return mIsStopping; });
  }
}

void
idempotent_calls::AdoptLeftRecords()
{
  const auto left = platform::List(mOptions.mPlatform, kCallKind);
  if (!left) {
    Log(log_level::Warning,
        "dispatch",
        "Old call records weren't listed: " + left.mLastReason);
    return;
  }
  // A living entry removes its own records in time, so that those well over
  // it have none.
  const auto leftBefore = system_clock::now() - mOptions.mKeep / 2;
  std::lock_guard lock(mMutex);
  for (const auto& object : left->mObjects) {
    const auto record = ReadCallRecord(object.mValue);
    if (record && record->mKeepUntil < leftBefore) {
      mRecords.emplace(record->mKeepUntil,
                       old_record{ object.mName, object.mRevision });
    }
  }
}

void
idempotent_calls::RemoveOldRecords()
{
  for (int i = 0; i < mOptions.mRemovalsPerSecond; ++i) {
    old_record oldest;
    {
      std::lock_guard lock(mMutex);
      const auto first = mRecords.begin();
      if (mIsStopping || first == mRecords.end() ||
          system_clock::now() < first->first) {
        return;
      }
      oldest = std::move(first->second);
      mRecords.erase(first);
    }
    // Conditional: a record that another request took over stays.
    const auto removed = platform::Delete(
      mOptions.mPlatform, kCallKind, oldest.mName, oldest.mRevision);
    mMetrics.Count(
      "lavender_call_records_removed_total",
      { { "result",
          removed.mState == write_state::Done ? "done" : "not_done" } });
  }
}

} // namespace lavender::dispatch
