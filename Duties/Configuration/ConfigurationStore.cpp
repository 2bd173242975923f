#include "Duties/Configuration/ConfigurationStore.h"

#include "Libraries/Core/CheckedFile.h"
#include "Libraries/Core/Log.h"
#include "Libraries/Wire/Document.h"

namespace lavender::configuration {
namespace {

using namespace std::chrono_literals;

/** Maximum wait of one watch request. Each response verifies the state, so a
 * longer wait would make the last verification older. */
constexpr milliseconds kWatchWait = 1000ms;
constexpr milliseconds kRetryInterval = 300ms;
constexpr const char* kCopyFile = "/configuration";

const char*
ToString(apply_outcome aOutcome)
{
  switch (aOutcome) {
    case apply_outcome::Advanced:
      return "advanced";
    case apply_outcome::Confirmed:
      return "confirmed";
    case apply_outcome::Older:
      return "older";
    case apply_outcome::NeedsFullCopy:
      break;
  }
  return "needs_copy";
}

} // namespace

milliseconds
AgeOf(const std::optional<time_point>& aVerifiedAt, time_point aNow)
{
  return aVerifiedAt
           ? std::chrono::duration_cast<milliseconds>(aNow - *aVerifiedAt)
           : kNeverVerified;
}

std::optional<time_point>
VerificationTime(milliseconds aAge, time_point aAt)
{
  return aAge < kNeverVerified ? std::optional(aAt - aAge) : std::nullopt;
}

wire::configuration_copy
ToMessage(const full_copy& aCopy, time_point aNow)
{
  wire::configuration_copy message;
  message.revision = aCopy.mRevision;
  message.changed_revision = aCopy.mChangedRevision;
  message.fresh_age_ms = AgeOf(aCopy.mVerifiedAt, aNow).count();
  message.objects.reserve(aCopy.mObjects.size());
  for (const auto& [identity, object] : aCopy.mObjects) {
    wire::object_record record;
    record.kind = identity.first;
    record.name = identity.second;
    record.revision = object.mRevision;
    record.value = object.mText;
    message.objects.push_back(std::move(record));
  }
  return message;
}

full_copy
FromMessage(const wire::configuration_copy& aMessage, time_point aRequestedAt)
{
  full_copy copy;
  copy.mRevision = aMessage.revision;
  copy.mChangedRevision = aMessage.changed_revision;
  copy.mVerifiedAt =
    VerificationTime(milliseconds(aMessage.fresh_age_ms), aRequestedAt);
  for (const auto& record : aMessage.objects) {
    copy.mObjects[{ record.kind, record.name }] = { record.revision,
                                                    record.value };
  }
  return copy;
}

configuration_store::configuration_store(store_options aOptions)
  : mOptions(std::move(aOptions))
{
}

configuration_store::~configuration_store()
{
  Stop();
}

void
configuration_store::Start()
{
  LoadSavedCopy();
  mThread = std::thread([this] { WatchLoop(); });
}

void
configuration_store::Stop()
{
  {
    std::lock_guard lock(mMutex);
    mIsStopping = true;
  }
  mStateChanged.notify_all();
  if (mThread.joinable()) {
    mThread.join();
  }
}

void
configuration_store::LoadSavedCopy()
{
  if (mOptions.mDataFolder.empty()) {
    return;
  }
  const auto bytes = LoadChecked(mOptions.mDataFolder + kCopyFile);
  const auto message =
    bytes ? wire::Decode<wire::configuration_copy>(*bytes) : std::nullopt;
  if (!message) {
    Log(log_level::Info,
        "configuration",
        "No saved configuration loaded from the data folder: " +
          bytes.mLastReason);
    return;
  }
  // A verification from before the restart doesn't cover changes since then.
  auto copy = FromMessage(*message, boot_clock::now());
  copy.mVerifiedAt.reset();
  mSavedChangedRevision = copy.mChangedRevision;
  CountOutcome("disk", ApplyCopy(std::move(copy)));
}

void
configuration_store::SaveCopyIfChanged()
{
  if (mOptions.mDataFolder.empty()) {
    return;
  }
  const auto copy = Copy();
  if (copy.mChangedRevision <= mSavedChangedRevision) {
    return;
  }
  const auto bytes = wire::Encode(ToMessage(copy, boot_clock::now()));
  const auto failure = SaveChecked(mOptions.mDataFolder + kCopyFile, bytes);
  if (failure.empty()) {
    mSavedChangedRevision = copy.mChangedRevision;
  } else {
    Log(log_level::Warning,
        "configuration",
        "Configuration not saved to the data folder: " + failure);
  }
}

std::shared_ptr<const snapshot>
configuration_store::Current() const
{
  std::lock_guard lock(mMutex);
  return mState.mSnapshot;
}

state_digest
configuration_store::Digest() const
{
  std::lock_guard lock(mMutex);
  return DigestOf(mState);
}

milliseconds
configuration_store::VerificationAge() const
{
  return AgeOf(Digest().mVerifiedAt, boot_clock::now());
}

bool
configuration_store::IsReady() const
{
  return Digest().mKnownRevision > 0;
}

apply_outcome
configuration_store::ApplyDigest(const state_digest& aDigest)
{
  std::lock_guard lock(mMutex);
  return configuration::ApplyDigest(mState, aDigest);
}

apply_outcome
configuration_store::ApplyCopy(full_copy aCopy)
{
  std::lock_guard lock(mMutex);
  const auto outcome = configuration::ApplyCopy(mState, std::move(aCopy));
  mStateChanged.notify_all();
  return outcome;
}

full_copy
configuration_store::Copy() const
{
  std::lock_guard lock(mMutex);
  return CopyOf(mState);
}

std::vector<platform::stored_object>
configuration_store::Objects(const std::string& aKind) const
{
  object_map kept;
  {
    std::lock_guard lock(mMutex);
    for (auto item = mState.mObjects.lower_bound({ aKind, "" });
         item != mState.mObjects.end() && item->first.first == aKind;
         ++item) {
      kept.insert(*item);
    }
  }
  std::vector<platform::stored_object> objects;
  for (const auto& [identity, object] : kept) {
    if (auto value = json::Parse(object.mText)) {
      objects.push_back({ identity.first,
                          identity.second,
                          object.mRevision,
                          std::move(*value) });
    }
  }
  return objects;
}

change_batch
configuration_store::WaitForChanges(std::int64_t aFrom,
                                    milliseconds aWait) const
{
  std::unique_lock lock(mMutex);
  mStateChanged.wait_for(lock, aWait, [&] {
    return mIsStopping || mState.mChangedRevision > aFrom ||
           aFrom < mState.mOldestResumableRevision;
  });
  return ChangesAfter(mState, aFrom);
}

bool
configuration_store::WaitOrStop(milliseconds aWait)
{
  std::unique_lock lock(mMutex);
  return mStateChanged.wait_for(lock, aWait, [this] { return mIsStopping; });
}

void
configuration_store::CountOutcome(const char* aSource, apply_outcome aOutcome)
{
  if (auto* metrics = mOptions.mPlatform.mMetrics) {
    metrics->Count("lavender_configuration_taken_total",
                   { { "from", aSource }, { "outcome", ToString(aOutcome) } });
  }
}

void
configuration_store::LogNewFailure(const std::string& aText)
{
  // During a long outage, each cause is logged once rather than at each
  // attempt.
  if (aText != mLastFailure) {
    Log(log_level::Warning, "configuration", aText);
    mLastFailure = aText;
  }
}

void
configuration_store::CountWatchFailure()
{
  if (auto* metrics = mOptions.mPlatform.mMetrics) {
    metrics->Count("lavender_configuration_watch_breaks_total", {});
  }
}

void
configuration_store::WatchLoop()
{
  bool isLoaded = IsReady();
  while (!WaitOrStop(0ms)) {
    isLoaded = isLoaded ? PollWatch() : LoadFromPlatform();
    SaveCopyIfChanged();
    if (!isLoaded && WaitOrStop(kRetryInterval)) {
      return;
    }
  }
}

bool
configuration_store::LoadFromPlatform()
{
  const auto requestedAt = boot_clock::now();
  const auto list = platform::List(mOptions.mPlatform, "");
  if (!list) {
    LogNewFailure("Configuration not listed from the platform, retrying: " +
                  list.mLastReason);
    return false;
  }
  std::lock_guard lock(mMutex);
  const auto outcome = ApplyList(mState, *list, requestedAt);
  CountOutcome("list", outcome);
  mStateChanged.notify_all();
  return outcome != apply_outcome::Older;
}

bool
configuration_store::PollWatch()
{
  const auto requestedAt = boot_clock::now();
  const auto batch =
    platform::Watch(mOptions.mPlatform, Digest().mKnownRevision, kWatchWait);
  if (!batch) {
    // The current state stays in use, and the watch resumes from its revision.
    LogNewFailure("Watch on the platform's objects failed, retrying: " +
                  batch.mLastReason);
    CountWatchFailure();
    WaitOrStop(kRetryInterval);
    return true;
  }
  mLastFailure.clear();
  if (batch->mIsTooOld) {
    return false;
  }
  apply_outcome outcome = apply_outcome::Older;
  {
    std::lock_guard lock(mMutex);
    outcome = ApplyWatchBatch(mState, *batch, requestedAt);
  }
  CountOutcome("watch", outcome);
  mStateChanged.notify_all();
  if (outcome == apply_outcome::Older) {
    WaitOrStop(kRetryInterval);
  }
  return true;
}

} // namespace lavender::configuration
