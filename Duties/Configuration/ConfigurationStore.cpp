#include "Duties/Configuration/ConfigurationStore.h"

#include "Libraries/Core/CheckedFile.h"
#include "Libraries/Core/Log.h"
#include "Libraries/Wire/Document.h"

namespace lavender::configuration {
namespace {

using namespace std::chrono_literals;

/** A watch that waits longer would make the proof of freshness older. */
constexpr milliseconds kWatchWait = 1000ms;
constexpr milliseconds kRetryEvery = 300ms;
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
    case apply_outcome::NeedsCopy:
      break;
  }
  return "needs_copy";
}

} // namespace

milliseconds
AgeOf(const std::optional<time_point>& aProvenAt, time_point aNow)
{
  return aProvenAt ? std::chrono::duration_cast<milliseconds>(aNow - *aProvenAt)
                   : kNeverProven;
}

std::optional<time_point>
ProofAt(milliseconds aAge, time_point aAt)
{
  return aAge < kNeverProven ? std::optional(aAt - aAge) : std::nullopt;
}

wire::configuration_copy
ToMessage(const whole_copy& aCopy, time_point aNow)
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

whole_copy
FromMessage(const wire::configuration_copy& aMessage, time_point aAskedAt)
{
  whole_copy copy;
  copy.mRevision = aMessage.revision;
  copy.mChangedRevision = aMessage.changed_revision;
  copy.mVerifiedAt = ProofAt(milliseconds(aMessage.fresh_age_ms), aAskedAt);
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
  Load();
  mThread = std::thread([this] { WatchLoop(); });
}

void
configuration_store::Stop()
{
  {
    std::lock_guard lock(mMutex);
    mIsStopping = true;
  }
  mChanged.notify_all();
  if (mThread.joinable()) {
    mThread.join();
  }
}

void
configuration_store::Load()
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
        "No copy on the disk: " + bytes.mLastReason);
    return;
  }
  // What was proven before the restart says nothing of what happened since.
  auto copy = FromMessage(*message, boot_clock::now());
  copy.mVerifiedAt.reset();
  mSavedChanged = copy.mChangedRevision;
  Note("disk", TakeCopy(std::move(copy)));
}

void
configuration_store::SaveIfChanged()
{
  if (mOptions.mDataFolder.empty()) {
    return;
  }
  const auto copy = Copy();
  if (copy.mChangedRevision <= mSavedChanged) {
    return;
  }
  const auto bytes = wire::Encode(ToMessage(copy, boot_clock::now()));
  const auto failure = SaveChecked(mOptions.mDataFolder + kCopyFile, bytes);
  if (failure.empty()) {
    mSavedChanged = copy.mChangedRevision;
  } else {
    Log(log_level::Warning, "configuration", "Copy not kept: " + failure);
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
configuration_store::TakeDigest(const state_digest& aDigest)
{
  std::lock_guard lock(mMutex);
  return configuration::TakeDigest(mState, aDigest);
}

apply_outcome
configuration_store::TakeCopy(whole_copy aCopy)
{
  std::lock_guard lock(mMutex);
  const auto outcome = configuration::TakeCopy(mState, std::move(aCopy));
  mChanged.notify_all();
  return outcome;
}

whole_copy
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
  mChanged.wait_for(lock, aWait, [&] {
    return mIsStopping || mState.mChangedRevision > aFrom ||
           aFrom < mState.mOldestRecent;
  });
  return ChangesAfter(mState, aFrom);
}

bool
configuration_store::WaitOrStop(milliseconds aWait)
{
  std::unique_lock lock(mMutex);
  return mChanged.wait_for(lock, aWait, [this] { return mIsStopping; });
}

void
configuration_store::Note(const char* aSource, apply_outcome aOutcome)
{
  if (auto* metrics = mOptions.mPlatform.mMetrics) {
    metrics->Count("lavender_configuration_taken_total",
                   { { "from", aSource }, { "outcome", ToString(aOutcome) } });
  }
}

void
configuration_store::NoteFailure(const std::string& aSentence)
{
  // An outage may be long: one line for each cause, not for each try.
  if (aSentence != mLastFailure) {
    Log(log_level::Warning, "configuration", aSentence);
    mLastFailure = aSentence;
  }
}

void
configuration_store::CountBreak()
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
    isLoaded = isLoaded ? WatchOnce() : LoadAll();
    SaveIfChanged();
    if (!isLoaded && WaitOrStop(kRetryEvery)) {
      return;
    }
  }
}

bool
configuration_store::LoadAll()
{
  const auto askedAt = boot_clock::now();
  const auto list = platform::List(mOptions.mPlatform, "");
  if (!list) {
    NoteFailure("No configuration: " + list.mLastReason);
    return false;
  }
  std::lock_guard lock(mMutex);
  const auto outcome = ApplyList(mState, *list, askedAt);
  Note("list", outcome);
  mChanged.notify_all();
  return outcome != apply_outcome::Older;
}

bool
configuration_store::WatchOnce()
{
  const auto askedAt = boot_clock::now();
  const auto batch =
    platform::Watch(mOptions.mPlatform, Digest().mKnownRevision, kWatchWait);
  if (!batch) {
    // The state goes on serving; the watch resumes from its revision.
    NoteFailure("Watch broke: " + batch.mLastReason);
    CountBreak();
    WaitOrStop(kRetryEvery);
    return true;
  }
  mLastFailure.clear();
  if (batch->mIsTooOld) {
    return false;
  }
  apply_outcome outcome = apply_outcome::Older;
  {
    std::lock_guard lock(mMutex);
    outcome = ApplyWatchBatch(mState, *batch, askedAt);
  }
  Note("watch", outcome);
  mChanged.notify_all();
  if (outcome == apply_outcome::Older) {
    WaitOrStop(kRetryEvery);
  }
  return true;
}

} // namespace lavender::configuration
