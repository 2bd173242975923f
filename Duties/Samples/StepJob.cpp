#include "Duties/Samples/StepJob.h"

#include <algorithm>

namespace lavender::samples {
namespace {

using platform::read_state;
using platform::write_state;

bool
IsComplete(const std::vector<std::optional<sample>>& aGroup)
{
  return std::all_of(aGroup.begin(), aGroup.end(), [](const auto& aSample) {
    return aSample.has_value();
  });
}

bool
IsAllSaved(const step_job& aJob)
{
  return std::all_of(aJob.mIsSaved.begin(),
                     aJob.mIsSaved.end(),
                     [](bool aIsSaved) { return aIsSaved; });
}

batch_record
MakeClaim(const step_job& aJob)
{
  batch_record claim;
  claim.mNonce = aJob.mNonce;
  claim.mDigest = DigestOf(aJob.mSpec);
  claim.mRequestedSamples = static_cast<std::int64_t>(aJob.mSpec.SampleCount());
  return claim;
}

/** Writes the record, conditional on the revision that this job knows. */
bool
WriteRecord(step_job& aJob, const batch_store& aStore, batch_record aRecord)
{
  const auto written = aStore.mWrite(
    kBatchKind, NameOf(aJob.mSpec), aJob.mRecord.mRevision, ToJson(aRecord));
  if (written.mState == write_state::Done) {
    aRecord.mRevision = written.mRevision;
    aJob.mRecord = std::move(aRecord);
    return true;
  }
  // This applies after a conflict as well, because the conflicting write may be
  // an earlier one of this job whose response was lost.
  aJob.mMustReadBack = true;
  return written.mState == write_state::Conflict;
}

/** Loads the complete groups in the record's parts into the job's table. */
bool
LoadSavedGroups(step_job& aJob, const batch_store& aStore)
{
  auto loaded = MakeTable(aJob.mTable.size(), aJob.mSpec.mSamplesPerPrompt);
  if (!LoadParts(aStore, aJob.mRecord, loaded)) {
    return false;
  }
  for (std::size_t group = 0; group < loaded.size(); ++group) {
    if (IsComplete(loaded[group])) {
      aJob.mTable[group] = std::move(loaded[group]);
      aJob.mIsSaved[group] = true;
    }
  }
  aJob.mIsLoaded = true;
  return true;
}

/** Name of the part that an entry may have been writing when it stopped: the
 * first part of its claim that the record doesn't list. */
std::string
UnlistedPartName(const std::string& aBatch, const batch_record& aRecord)
{
  const auto isOwn = [&](const auto& aPart) {
    return aPart.find(aRecord.mNonce) != std::string::npos;
  };
  const auto count =
    std::count_if(aRecord.mParts.begin(), aRecord.mParts.end(), isOwn);
  return PartName(aBatch, aRecord.mNonce, static_cast<int>(count));
}

/** Takes the claim over from an entry that has stopped or whose batch became
 * too old. The saved parts are kept. */
bool
TakeOver(step_job& aJob, const batch_store& aStore, const batch_record& aFound)
{
  auto claim = MakeClaim(aJob);
  claim.mParts = aFound.mParts;
  claim.mFinishedSamples = aFound.mFinishedSamples;
  claim.mHeartbeat = aFound.mHeartbeat + 1;
  aJob.mRecord.mRevision = aFound.mRevision;
  if (!WriteRecord(aJob, aStore, claim)) {
    return false;
  }
  if (!aJob.mMustReadBack) {
    aStore.mDelete(kPartKind, UnlistedPartName(NameOf(aJob.mSpec), aFound));
  }
  return true;
}

/** Reads the step's record and claims the step when possible. */
bool
Claim(step_job& aJob, const batch_store& aStore)
{
  const auto read = aStore.mRead(kBatchKind, NameOf(aJob.mSpec));
  if (read.mState == read_state::Failed) {
    return false;
  }
  aJob.mMustReadBack = false;
  if (read.mState == read_state::Absent) {
    aJob.mRecord.mRevision = 0;
    return WriteRecord(aJob, aStore, MakeClaim(aJob));
  }
  const auto found = ToRecord(read.mObject);
  if (found.mNonce == aJob.mNonce) {
    aJob.mRecord = found;
    if (found.mState != batch_state::Generating) {
      aJob.mPhase = job_phase::Fixed;
    }
    return true;
  }
  const bool mayTakeOver = found.mRevision == aJob.mTakeOverRevision &&
                           (found.mState == batch_state::Generating ||
                            found.mState == batch_state::Fixed);
  if (mayTakeOver) {
    return TakeOver(aJob, aStore, found);
  }
  aJob.mPhase = job_phase::Dropped;
  return true;
}

/** Collects complete unsaved groups into a pending part, up to the size limit.
 */
void
PreparePart(step_job& aJob)
{
  pending_part part;
  json::array samples;
  std::size_t bytes = 0;
  for (std::size_t group = 0; group < aJob.mTable.size(); ++group) {
    if (aJob.mIsSaved[group] || !IsComplete(aJob.mTable[group])) {
      continue;
    }
    json::array members;
    std::size_t size = 0;
    for (const auto& one : aJob.mTable[group]) {
      members.push_back(ToJson(*one));
      size += json::Write(members.back()).size() + 1;
    }
    if (!part.mGroups.empty() && bytes + size > kMaximumPartBytes) {
      break;
    }
    bytes += size;
    part.mGroups.push_back(group);
    std::move(members.begin(), members.end(), std::back_inserter(samples));
  }
  if (!part.mGroups.empty()) {
    part.mName = PartName(NameOf(aJob.mSpec), aJob.mNonce, aJob.mNextPart++);
    part.mValue.Set("samples", std::move(samples));
    aJob.mPending = std::move(part);
  }
}

/** Stores the pending part, then adds its name to the record. */
bool
StorePendingPart(step_job& aJob, const batch_store& aStore)
{
  const auto& part = *aJob.mPending;
  const auto written = aStore.mWrite(kPartKind, part.mName, 0, part.mValue);
  // Only this job uses the part's name, and the content never changes. A
  // conflict is therefore an earlier write whose response was lost.
  if (written.mState != write_state::Done &&
      written.mState != write_state::Conflict) {
    return false;
  }
  auto record = aJob.mRecord;
  record.mParts.push_back(part.mName);
  record.mFinishedSamples = static_cast<std::int64_t>(CountDone(aJob));
  ++record.mHeartbeat;
  return WriteRecord(aJob, aStore, std::move(record));
}

/** Removes a group from the pending part, because one of its samples was
 * dropped. A later part will replace the group. */
void
RemoveFromPendingPart(step_job& aJob, std::size_t aGroup)
{
  if (aJob.mPending) {
    auto& groups = aJob.mPending->mGroups;
    groups.erase(std::remove(groups.begin(), groups.end(), aGroup),
                 groups.end());
  }
}

/** Marks the pending part's groups as saved once the record lists the part. */
void
MarkPartSaved(step_job& aJob)
{
  if (!aJob.mPending ||
      std::find(aJob.mRecord.mParts.begin(),
                aJob.mRecord.mParts.end(),
                aJob.mPending->mName) == aJob.mRecord.mParts.end()) {
    return;
  }
  for (const auto group : aJob.mPending->mGroups) {
    aJob.mIsSaved[group] = true;
  }
  aJob.mPending.reset();
}

} // namespace

step_job
StartJob(batch_spec aSpec, std::string aNonce, std::int64_t aTakeOverRevision)
{
  step_job job;
  const auto groups = aSpec.mPrompts.size();
  job.mTable = MakeTable(groups, aSpec.mSamplesPerPrompt);
  job.mInProgress.assign(
    groups,
    std::vector<int>(static_cast<std::size_t>(aSpec.mSamplesPerPrompt), 0));
  job.mIsSaved.assign(groups, false);
  job.mSpec = std::move(aSpec);
  job.mNonce = std::move(aNonce);
  job.mTakeOverRevision = aTakeOverRevision;
  return job;
}

namespace {

std::optional<sample_position>
FindNext(const step_job& aJob)
{
  if (aJob.mPhase != job_phase::Working) {
    return std::nullopt;
  }
  for (std::size_t group = 0; group < aJob.mTable.size(); ++group) {
    for (std::size_t index = 0; index < aJob.mTable[group].size(); ++index) {
      if (!aJob.mTable[group][index] && aJob.mInProgress[group][index] == 0) {
        return sample_position{ group, index };
      }
    }
  }
  return std::nullopt;
}

} // namespace

bool
HasNext(const step_job& aJob)
{
  return FindNext(aJob).has_value();
}

std::optional<sample_position>
ReserveNext(step_job& aJob)
{
  const auto next = FindNext(aJob);
  if (next) {
    ++aJob.mInProgress[next->mGroup][next->mIndex];
  }
  return next;
}

bool
HasUnsaved(const step_job& aJob)
{
  for (std::size_t group = 0; group < aJob.mTable.size(); ++group) {
    if (!aJob.mIsSaved[group] && IsComplete(aJob.mTable[group])) {
      return true;
    }
  }
  return aJob.mPhase == job_phase::Working &&
         (aJob.mPending || IsAllSaved(aJob));
}

std::size_t
MergeSaved(step_job& aJob, step_job aSaved)
{
  std::size_t dropped = 0;
  for (std::size_t group = 0; group < aJob.mTable.size(); ++group) {
    for (std::size_t index = 0; index < aJob.mTable[group].size(); ++index) {
      auto& own = aJob.mTable[group][index];
      auto& saved = aSaved.mTable[group][index];
      // A sample that exists only in the job either arrived while Save ran or
      // was dropped by it. Only in the latter case did it exist before.
      const bool existed = aSaved.mExistedBeforeSave[group][index];
      if (own && !saved && existed) {
        own.reset();
        ++dropped;
      } else if (saved) {
        own = std::move(saved);
      }
    }
  }
  aSaved.mTable = std::move(aJob.mTable);
  aSaved.mInProgress = std::move(aJob.mInProgress);
  aJob = std::move(aSaved);
  return dropped;
}

bool
RecordResult(step_job& aJob,
             const sample_position& aPosition,
             std::optional<sample> aGenerated)
{
  --aJob.mInProgress[aPosition.mGroup][aPosition.mIndex];
  auto& position = aJob.mTable[aPosition.mGroup][aPosition.mIndex];
  if (!aGenerated || position) {
    return false;
  }
  position = std::move(aGenerated);
  return true;
}

std::size_t
DropOutdated(step_job& aJob, std::int64_t aOldestVersion)
{
  std::size_t dropped = 0;
  for (std::size_t group = 0; group < aJob.mTable.size(); ++group) {
    for (auto& position : aJob.mTable[group]) {
      if (position && OldestVersion(*position) < aOldestVersion) {
        position.reset();
        aJob.mIsSaved[group] = false;
        RemoveFromPendingPart(aJob, group);
        ++dropped;
      }
    }
  }
  return dropped;
}

std::size_t
CountDone(const step_job& aJob)
{
  std::size_t done = 0;
  for (const auto& group : aJob.mTable) {
    done += static_cast<std::size_t>(
      std::count_if(group.begin(), group.end(), [](const auto& aSample) {
        return aSample.has_value();
      }));
  }
  return done;
}

namespace {

void
RecordExistingSamples(step_job& aJob)
{
  aJob.mExistedBeforeSave.clear();
  for (const auto& group : aJob.mTable) {
    auto& row = aJob.mExistedBeforeSave.emplace_back();
    for (const auto& one : group) {
      row.push_back(one.has_value());
    }
  }
}

} // namespace

bool
Save(step_job& aJob, const batch_store& aStore, std::int64_t aOldestVersion)
{
  if (aJob.mPhase != job_phase::Working) {
    return true;
  }
  RecordExistingSamples(aJob);
  if (aJob.mRecord.mRevision == 0 || aJob.mMustReadBack) {
    if (!Claim(aJob, aStore) || aJob.mPhase != job_phase::Working ||
        aJob.mMustReadBack) {
      return !aJob.mMustReadBack;
    }
  }
  if (!aJob.mIsLoaded && !LoadSavedGroups(aJob, aStore)) {
    return false;
  }
  MarkPartSaved(aJob);
  DropOutdated(aJob, aOldestVersion);
  if (!aJob.mPending) {
    PreparePart(aJob);
  }
  if (aJob.mPending) {
    if (!StorePendingPart(aJob, aStore) || aJob.mMustReadBack) {
      return false;
    }
    MarkPartSaved(aJob);
    return true;
  }
  auto record = aJob.mRecord;
  ++record.mHeartbeat;
  record.mIsReleased = aJob.mReleasesClaim;
  if (IsAllSaved(aJob)) {
    record.mState = batch_state::Fixed;
  }
  const bool isReleased = record.mIsReleased;
  const bool isFixed = record.mState == batch_state::Fixed;
  if (!WriteRecord(aJob, aStore, std::move(record)) || aJob.mMustReadBack) {
    return false;
  }
  if (isFixed) {
    aJob.mPhase = job_phase::Fixed;
  } else if (isReleased) {
    aJob.mPhase = job_phase::Dropped;
  }
  return true;
}

} // namespace lavender::samples
