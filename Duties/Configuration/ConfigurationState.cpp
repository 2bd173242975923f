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
  if (aAt && (!aState.mProvenAt || *aState.mProvenAt < *aAt)) {
    aState.mProvenAt = aAt;
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
  aState.mKnownUpTo = aRevision;
  aState.mChanged = aChanged;
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
  kept_object kept{ object.mRevision, json::Write(object.mValue) };
  if (aEvent.mIsDeletion) {
    aState.mObjects.erase(identity);
  } else {
    change.mAfter = kept.mText;
    aState.mObjects[identity] = kept;
  }
  ApplyChange(aNext, change);
  aState.mChanged = std::max(aState.mChanged, object.mRevision);
  aState.mRecent.push_back(
    { aEvent.mIsDeletion, object.mKind, object.mName, std::move(kept) });
  if (aState.mRecent.size() > kMaximumRecent) {
    aState.mOldestRecent = aState.mRecent.front().mObject.mRevision;
    aState.mRecent.pop_front();
  }
}

} // namespace

take_outcome
TakeList(configuration_state& aState,
         const platform::object_list& aList,
         time_point aAskedAt)
{
  if (aList.mRevision < aState.mKnownUpTo) {
    // An old copy of the store answered. Taking it would bring withdrawn
    // keys back to life.
    return take_outcome::Older;
  }
  Prove(aState, aAskedAt);
  if (aList.mRevision == aState.mKnownUpTo) {
    return take_outcome::Confirmed;
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
  return take_outcome::Advanced;
}

take_outcome
TakeBatch(configuration_state& aState,
          const platform::watch_batch& aBatch,
          time_point aAskedAt)
{
  if (aBatch.mRevision < aState.mKnownUpTo) {
    return take_outcome::Older;
  }
  Prove(aState, aAskedAt);
  if (aBatch.mRevision == aState.mKnownUpTo) {
    return take_outcome::Confirmed;
  }
  std::shared_ptr<snapshot> next;
  bool hasNewVersions = false;
  for (const auto& event : aBatch.mEvents) {
    // A copy from a peer may have come in while the watch was waiting.
    const bool isKnown = event.mObject.mRevision <= aState.mKnownUpTo;
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
  aState.mKnownUpTo = aBatch.mRevision;
  if (next) {
    if (hasNewVersions) {
      RefreshAcceptedVersions(*next, aState.mObjects);
    }
    next->mRevision = aBatch.mRevision;
    aState.mSnapshot = std::move(next);
  }
  return take_outcome::Advanced;
}

take_outcome
TakeCopy(configuration_state& aState, whole_copy aCopy)
{
  if (aCopy.mRevision < aState.mKnownUpTo) {
    return take_outcome::Older;
  }
  Prove(aState, aCopy.mProvenAt);
  if (aCopy.mRevision == aState.mKnownUpTo) {
    return take_outcome::Confirmed;
  }
  Replace(aState,
          std::move(aCopy.mObjects),
          aCopy.mRevision,
          std::max(aCopy.mChanged, aState.mChanged));
  return take_outcome::Advanced;
}

take_outcome
TakeDigest(configuration_state& aState, const state_digest& aDigest)
{
  if (aDigest.mKnownUpTo < aState.mKnownUpTo) {
    return take_outcome::Older;
  }
  if (aState.mKnownUpTo == 0 || aDigest.mChanged > aState.mKnownUpTo) {
    return take_outcome::NeedsCopy;
  }
  // Nothing of the configuration changed between the two revisions.
  Prove(aState, aDigest.mProvenAt);
  aState.mKnownUpTo = aDigest.mKnownUpTo;
  return take_outcome::Confirmed;
}

state_digest
DigestOf(const configuration_state& aState)
{
  return { aState.mKnownUpTo, aState.mChanged, aState.mProvenAt };
}

whole_copy
CopyOf(const configuration_state& aState)
{
  return {
    aState.mKnownUpTo, aState.mChanged, aState.mProvenAt, aState.mObjects
  };
}

change_batch
ChangesAfter(const configuration_state& aState, std::int64_t aFrom)
{
  change_batch batch;
  batch.mRevision = std::max(aFrom, aState.mKnownUpTo);
  batch.mIsTooOld = aFrom < aState.mOldestRecent;
  for (const auto& event : aState.mRecent) {
    if (!batch.mIsTooOld && event.mObject.mRevision > aFrom) {
      batch.mEvents.push_back(event);
    }
  }
  return batch;
}

} // namespace lavender::configuration
