#include "Duties/Dispatch/IdempotentCall.h"

#include "Libraries/Core/Log.h"

#include <algorithm>

namespace lavender::dispatch {
namespace {

using platform::read_state;
using platform::write_state;
using std::chrono::system_clock;
using namespace std::chrono_literals;

/** Timeout of one call to the platform, so that an unresponsive store doesn't
 * block requests. */
constexpr milliseconds kPlatformTimeout = 1000ms;
/** After a failed call to the platform, requests are refused immediately for
 * this long; then one request calls the platform again. */
constexpr milliseconds kPlatformRetryDelay = 1000ms;
constexpr std::size_t kMaximumRecords = 200000;

/** A record is kept at least this long after its request's deadline. */
constexpr milliseconds kKeepAfterDeadline = 1000ms;

milliseconds
TimeLeft(const call& aCall)
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
  , mRemovalThread([this] { RunRemovalLoop(); })
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
  if (mRemovalThread.joinable()) {
    mRemovalThread.join();
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
    step = RunStep(step, state, aName, aCall);
  }
  return std::move(state.mOutcome);
}

record_step
idempotent_calls::RunStep(record_step aStep,
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
      return ApplyOwnOutcome(
        aState, mDispatch.Attempt(aCall, aState.mOwnRecord.mTicket));
    case record_step::FollowExisting:
      mMetrics.Count("lavender_shared_calls_total", {});
      return ApplyExistingOutcome(
        aState, mDispatch.Fetch(aCall, aState.mExistingRecord.mTicket));
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
    if (isStopped || !mDispatch.TryConsumeRetry(aState.mOutcome.mReason)) {
      return record_step::Finish;
    }
  }
  if (IsPlatformUnresponsive()) {
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
    return ApplyNoServer(aState);
  }
  // Issued before anyone else can learn of the attempt, so that any cancel is
  // later than the issue time, and its tombstone is kept until the order is too
  // old to be accepted.
  aState.mOwnRecord.mTicket = mDispatch.Issue(
    aCall.mRequestId + "." + std::to_string(attempts + 1), *server);
  aState.mOwnRecord.mFingerprint = aCall.mFingerprint;
  aState.mOwnRecord.mKeepUntil =
    system_clock::now() +
    std::max<milliseconds>(mOptions.mRetention,
                           TimeLeft(aCall) + kKeepAfterDeadline);
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
                                       ToValue(aState.mOwnRecord));
  RecordPlatformState(IsAnswered(written));
  const auto next = ApplyWrite(aState, written);
  if (next == record_step::RunOwn) {
    std::lock_guard lock(mMutex);
    if (mExpiringRecords.size() < kMaximumRecords) {
      mExpiringRecords.emplace(
        aState.mOwnRecord.mKeepUntil,
        expiring_record{ aName, aState.mExpectedRevision });
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
  RecordPlatformState(read.mState != read_state::Failed);
  return ApplyRead(aState, read);
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
idempotent_calls::IsPlatformUnresponsive()
{
  std::lock_guard lock(mMutex);
  const auto now = boot_clock::now();
  if (now < mPlatformPausedUntil) {
    return true;
  }
  if (mPlatformPausedUntil != time_point{}) {
    // This request calls the platform; others are refused until it has an
    // answer.
    mPlatformPausedUntil = now + kPlatformRetryDelay;
  }
  return false;
}

void
idempotent_calls::RecordPlatformState(bool aIsResponding)
{
  std::lock_guard lock(mMutex);
  mPlatformPausedUntil =
    aIsResponding ? time_point{} : boot_clock::now() + kPlatformRetryDelay;
}

void
idempotent_calls::RunRemovalLoop()
{
  auto adoptAt = boot_clock::now();
  std::unique_lock lock(mMutex);
  while (!mIsStopping) {
    lock.unlock();
    if (boot_clock::now() >= adoptAt) {
      AdoptOrphanedRecords();
      adoptAt = boot_clock::now() + mOptions.mRetention;
    }
    RemoveExpiredRecords();
    lock.lock();
    mStopped.wait_for(lock, 1000ms, [this] { return mIsStopping; });
  }
}

void
idempotent_calls::AdoptOrphanedRecords()
{
  const auto listed = platform::List(mOptions.mPlatform, kCallKind);
  if (!listed) {
    Log(log_level::Warning,
        "dispatch",
        "Could not list call records to remove expired ones: " +
          listed.mLastReason);
    return;
  }
  // A running entry removes its records soon after they expire, so a record
  // that expired long ago belongs to an entry that no longer runs.
  const auto orphanedBefore = system_clock::now() - mOptions.mRetention / 2;
  std::lock_guard lock(mMutex);
  for (const auto& object : listed->mObjects) {
    const auto record = ReadCallRecord(object.mValue);
    if (record && record->mKeepUntil < orphanedBefore) {
      mExpiringRecords.emplace(
        record->mKeepUntil, expiring_record{ object.mName, object.mRevision });
    }
  }
}

void
idempotent_calls::RemoveExpiredRecords()
{
  for (int i = 0; i < mOptions.mRemovalsPerSecond; ++i) {
    expiring_record oldest;
    {
      std::lock_guard lock(mMutex);
      const auto first = mExpiringRecords.begin();
      if (mIsStopping || first == mExpiringRecords.end() ||
          system_clock::now() < first->first) {
        return;
      }
      oldest = std::move(first->second);
      mExpiringRecords.erase(first);
    }
    // Conditional on the revision, so that a record that another request has
    // replaced isn't removed.
    const auto removed = platform::Delete(
      mOptions.mPlatform, kCallKind, oldest.mName, oldest.mRevision);
    mMetrics.Count(
      "lavender_call_records_removed_total",
      { { "result",
          removed.mState == write_state::Done ? "done" : "not_done" } });
  }
}

} // namespace lavender::dispatch
