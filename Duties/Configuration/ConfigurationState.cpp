#include "Duties/Configuration/ConfigurationState.h"

#include <algorithm>

namespace lavender::configuration {
namespace {

constexpr std::size_t kMaximumRecent = 2000;
constexpr const char* kModelVersion = "ModelVersion";
constexpr const char* kTrainingRun = "TrainingRun";

void
Prove(configuration_state& aState, std::optional<time_point> aAt)
{
  if (aAt && (!aState.mVerifiedAt || *aState.mVerifiedAt < *aAt)) {
    aState.mVerifiedAt = aAt;
  }
}

/** Puts a whole new state in place. Nothing tells which changes led to it, so
 * operators' watches have to begin anew. */
void
Replace(configuration_state& aState,
        object_map aObjects,
        std::int64_t aRevision,
        std::int64_t aChanged)
{
  aState.mObjects = std::move(aObjects);
  aState.mKnownRevision = aRevision;
  aState.mChangedRevision = aChanged;
  aState.mRecent.clear();
  aState.mOldestRecent = aRevision;
  aState.mSnapshot =
    std::make_shared<const snapshot>(BuildSnapshot(aState.mObjects, aRevision));
}

void
TakeEvent(configuration_state& aState,
          snapshot& aNext,
          const platform::object_event& aEvent)
{
  const auto& object = aEvent.mObject;
  const std::pair identity{ object.mKind, object.mName };
  object_change change{ object.mKind, object.mName, "", "" };
  if (const auto old = aState.mObjects.find(identity);
      old != aState.mObjects.end()) {
    change.mBefore = old->second.mText;
  }
  stored_json kept{ object.mRevision, json::Write(object.mValue) };
  if (aEvent.mIsDeletion) {
    aState.mObjects.erase(identity);
  } else {
    change.mAfter = kept.mText;
    aState.mObjects[identity] = kept;
  }
  ApplyChange(aNext, change);
  aState.mChangedRevision = std::max(aState.mChangedRevision, object.mRevision);
  aState.mRecent.push_back(
    { aEvent.mIsDeletion, object.mKind, object.mName, std::move(kept) });
  if (aState.mRecent.size() > kMaximumRecent) {
    aState.mOldestRecent = aState.mRecent.front().mObject.mRevision;
    aState.mRecent.pop_front();
  }
}

} // namespace

apply_outcome
ApplyList(configuration_state& aState,
          const platform::object_list& aList,
          time_point aAskedAt)
{
  if (aList.mRevision < aState.mKnownRevision) {
    // An old copy of the store answered. Taking it would bring withdrawn
    // keys back to life.
    return apply_outcome::Older;
  }
  Prove(aState, aAskedAt);
  if (aList.mRevision == aState.mKnownRevision) {
    return apply_outcome::Confirmed;
  }
  object_map objects;
  for (const auto& object : aList.mObjects) {
    if (IsConfigurationKind(object.mKind)) {
      objects[{ object.mKind, object.mName }] = { object.mRevision,
                                                  json::Write(object.mValue) };
    }
  }
  // A list doesn't say what was deleted, or written and deleted again, since
  // the state held. Its own revision is the only safe bound for the last
  // change: with a lower one, a peer that still holds a deleted key would take
  // this state's digest as the word that nothing changed.
  Replace(aState, std::move(objects), aList.mRevision, aList.mRevision);
  return apply_outcome::Advanced;
}

apply_outcome
ApplyWatchBatch(configuration_state& aState,
                const platform::watch_batch& aBatch,
                time_point aAskedAt)
{
  if (aBatch.mRevision < aState.mKnownRevision) {
    return apply_outcome::Older;
  }
  Prove(aState, aAskedAt);
  if (aBatch.mRevision == aState.mKnownRevision) {
    return apply_outcome::Confirmed;
  }
  std::shared_ptr<snapshot> next;
  bool hasNewVersions = false;
  for (const auto& event : aBatch.mEvents) {
    // A copy from a peer may have come in while the watch was waiting.
    const bool isKnown = event.mObject.mRevision <= aState.mKnownRevision;
    if (isKnown || !IsConfigurationKind(event.mObject.mKind)) {
      continue;
    }
    if (!next) {
      next = std::make_shared<snapshot>(*aState.mSnapshot);
    }
    TakeEvent(aState, *next, event);
    hasNewVersions = hasNewVersions || event.mObject.mKind == kModelVersion ||
                     event.mObject.mKind == kTrainingRun;
  }
  aState.mKnownRevision = aBatch.mRevision;
  if (next) {
    if (hasNewVersions) {
      RefreshAcceptedVersions(*next, aState.mObjects);
    }
    next->mRevision = aBatch.mRevision;
    aState.mSnapshot = std::move(next);
  }
  return apply_outcome::Advanced;
}

apply_outcome
TakeCopy(configuration_state& aState, whole_copy aCopy)
{
  if (aCopy.mRevision < aState.mKnownRevision) {
    return apply_outcome::Older;
  }
  Prove(aState, aCopy.mVerifiedAt);
  if (aCopy.mRevision == aState.mKnownRevision) {
    return apply_outcome::Confirmed;
  }
  Replace(aState,
          std::move(aCopy.mObjects),
          aCopy.mRevision,
          std::max(aCopy.mChangedRevision, aState.mChangedRevision));
  return apply_outcome::Advanced;
}

apply_outcome
TakeDigest(configuration_state& aState, const state_digest& aDigest)
{
  if (aDigest.mKnownRevision < aState.mKnownRevision) {
    return apply_outcome::Older;
  }
  if (aState.mKnownRevision == 0 ||
      aDigest.mChangedRevision > aState.mKnownRevision) {
    return apply_outcome::NeedsCopy;
  }
  // Nothing of the configuration changed between the two revisions.
  Prove(aState, aDigest.mVerifiedAt);
  aState.mKnownRevision = aDigest.mKnownRevision;
  return apply_outcome::Confirmed;
}

state_digest
DigestOf(const configuration_state& aState)
{
  return { aState.mKnownRevision, aState.mChangedRevision, aState.mVerifiedAt };
}

whole_copy
CopyOf(const configuration_state& aState)
{
  return { aState.mKnownRevision,
           aState.mChangedRevision,
           aState.mVerifiedAt,
           aState.mObjects };
}

change_batch
ChangesAfter(const configuration_state& aState, std::int64_t aFrom)
{
  change_batch batch;
  batch.mRevision = std::max(aFrom, aState.mKnownRevision);
  batch.mIsTooOld = aFrom < aState.mOldestRecent;
  for (const auto& event : aState.mRecent) {
    if (!batch.mIsTooOld && event.mObject.mRevision > aFrom) {
      batch.mEvents.push_back(event);
    }
  }
  return batch;
}

} // namespace lavender::configuration
