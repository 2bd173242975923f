#include "Duties/Samples/StepJob.h"

#include <algorithm>

namespace lavender::samples {
namespace {

using platform::read_state;
using platform::write_state;

bool
IsWhole(const std::vector<std::optional<sample>>& aGroup)
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

/** Writes the record on the revision that this job knows. */
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
  // After a conflict, too: an own write whose answer was lost may have come
  // in late, and then the conflict is with oneself.
  aJob.mMustReadBack = true;
  return written.mState == write_state::Conflict;
}

/** Takes the groups that the record names into an empty table. */
bool
LoadSaved(step_job& aJob, const batch_store& aStore)
{
  auto kept = MakeTable(aJob.mTable.size(), aJob.mSpec.mSamplesPerPrompt);
  if (!LoadParts(aStore, aJob.mRecord, kept)) {
    return false;
  }
  for (std::size_t group = 0; group < kept.size(); ++group) {
    if (IsWhole(kept[group])) {
      aJob.mTable[group] = std::move(kept[group]);
      aJob.mIsSaved[group] = true;
    }
  }
  aJob.mIsLoaded = true;
  return true;
}

/** Name of the part that a maker was writing when it stopped: the first that
 * the record doesn't name. */
std::string
UnnamedPart(const std::string& aBatch, const batch_record& aRecord)
{
  const auto isOwn = [&](const auto& aPart) {
    return aPart.find(aRecord.mNonce) != std::string::npos;
  };
  const auto count =
    std::count_if(aRecord.mParts.begin(), aRecord.mParts.end(), isOwn);
  return PartName(aBatch, aRecord.mNonce, static_cast<int>(count));
}

/** Claims the step in place of a maker that stopped, or whose batch became
 * too old. What it had saved is kept. */
bool
TakeOver(step_job& aJob, const batch_store& aStore, const batch_record& aFound)
{
  auto claim = MakeClaim(aJob);
  claim.mParts = aFound.mParts;
  claim.mFinishedSamples = aFound.mFinishedSamples;
  claim.mBeat = aFound.mBeat + 1;
  aJob.mRecord.mRevision = aFound.mRevision;
  if (!WriteRecord(aJob, aStore, claim)) {
    return false;
  }
  if (!aJob.mMustReadBack) {
    aStore.mDelete(kPartKind, UnnamedPart(NameOf(aJob.mSpec), aFound));
  }
  return true;
}

/** Finds out where the step stands, and claims it if it may. */
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
    if (found.mState != batch_state::Making) {
      aJob.mPhase = job_phase::Fixed;
    }
    return true;
  }
  const bool mayTakeOver =
    found.mRevision == aJob.mTakeOverRevision &&
    (found.mState == batch_state::Making || found.mState == batch_state::Fixed);
  if (mayTakeOver) {
    return TakeOver(aJob, aStore, found);
  }
  aJob.mPhase = job_phase::Lost;
  return true;
}

/** Chooses whole groups that the store doesn't hold yet, up to the bound. */
void
ChoosePart(step_job& aJob)
{
  pending_part part;
  json::array samples;
  std::size_t bytes = 0;
  for (std::size_t group = 0; group < aJob.mTable.size(); ++group) {
    if (aJob.mIsSaved[group] || !IsWhole(aJob.mTable[group])) {
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

/** Writes the pending part and its name into the record. */
bool
SavePart(step_job& aJob, const batch_store& aStore)
{
  const auto& part = *aJob.mPending;
  const auto written = aStore.mWrite(kPartKind, part.mName, 0, part.mValue);
  // The name is this job's own and its content never changes, so a conflict
  // is an earlier write of it whose answer was lost.
  if (written.mState != write_state::Done &&
      written.mState != write_state::Conflict) {
    return false;
  }
  auto record = aJob.mRecord;
  record.mParts.push_back(part.mName);
  record.mFinishedSamples = static_cast<std::int64_t>(CountDone(aJob));
  ++record.mBeat;
  return WriteRecord(aJob, aStore, std::move(record));
}

/** The pending part no longer stands for this group: a sample of it was
 * thrown away, and a later part will override it. */
void
ForgetPending(step_job& aJob, std::size_t aGroup)
{
  if (aJob.mPending) {
    auto& groups = aJob.mPending->mGroups;
    groups.erase(std::remove(groups.begin(), groups.end(), aGroup),
                 groups.end());
  }
}

/** Notes the pending part as saved once the record names it. */
void
SettlePart(step_job& aJob)
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
  job.mUnderWay.assign(
    groups,
    std::vector<int>(static_cast<std::size_t>(aSpec.mSamplesPerPrompt), 0));
  job.mIsSaved.assign(groups, false);
  job.mSpec = std::move(aSpec);
  job.mNonce = std::move(aNonce);
  job.mTakeOverRevision = aTakeOverRevision;
  return job;
}

namespace {

std::optional<sample_place>
FindNext(const step_job& aJob)
{
  if (aJob.mPhase != job_phase::Working) {
    return std::nullopt;
  }
  for (std::size_t group = 0; group < aJob.mTable.size(); ++group) {
    for (std::size_t index = 0; index < aJob.mTable[group].size(); ++index) {
      if (!aJob.mTable[group][index] && aJob.mUnderWay[group][index] == 0) {
        return sample_place{ group, index };
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

std::optional<sample_place>
TakeNext(step_job& aJob)
{
  const auto next = FindNext(aJob);
  if (next) {
    ++aJob.mUnderWay[next->mGroup][next->mIndex];
  }
  return next;
}

bool
HasUnsaved(const step_job& aJob)
{
  for (std::size_t group = 0; group < aJob.mTable.size(); ++group) {
    if (!aJob.mIsSaved[group] && IsWhole(aJob.mTable[group])) {
      return true;
    }
  }
  return aJob.mPhase == job_phase::Working &&
         (aJob.mPending || IsAllSaved(aJob));
}

std::size_t
TakeSaved(step_job& aJob, step_job aSaved)
{
  std::size_t dropped = 0;
  for (std::size_t group = 0; group < aJob.mTable.size(); ++group) {
    for (std::size_t index = 0; index < aJob.mTable[group].size(); ++index) {
      auto& own = aJob.mTable[group][index];
      auto& saved = aSaved.mTable[group][index];
      // A sample in the job and not in the copy either came while Save ran,
      // or was thrown away by it. Only the latter was there before.
      const bool wasThere = aSaved.mWasThere[group][index];
      if (own && !saved && wasThere) {
        own.reset();
        ++dropped;
      } else if (saved) {
        own = std::move(saved);
      }
    }
  }
  aSaved.mTable = std::move(aJob.mTable);
  aSaved.mUnderWay = std::move(aJob.mUnderWay);
  aJob = std::move(aSaved);
  return dropped;
}

bool
PutResult(step_job& aJob,
          const sample_place& aPlace,
          std::optional<sample> aMade)
{
  --aJob.mUnderWay[aPlace.mGroup][aPlace.mIndex];
  auto& place = aJob.mTable[aPlace.mGroup][aPlace.mIndex];
  if (!aMade || place) {
    return false;
  }
  place = std::move(aMade);
  return true;
}

std::size_t
DropTooOld(step_job& aJob, std::int64_t aOldestVersion)
{
  std::size_t dropped = 0;
  for (std::size_t group = 0; group < aJob.mTable.size(); ++group) {
    for (auto& place : aJob.mTable[group]) {
      if (place && OldestVersion(*place) < aOldestVersion) {
        place.reset();
        aJob.mIsSaved[group] = false;
        ForgetPending(aJob, group);
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
NoteWhatIsThere(step_job& aJob)
{
  aJob.mWasThere.clear();
  for (const auto& group : aJob.mTable) {
    auto& row = aJob.mWasThere.emplace_back();
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
  NoteWhatIsThere(aJob);
  if (aJob.mRecord.mRevision == 0 || aJob.mMustReadBack) {
    if (!Claim(aJob, aStore) || aJob.mPhase != job_phase::Working ||
        aJob.mMustReadBack) {
      return !aJob.mMustReadBack;
    }
  }
  if (!aJob.mIsLoaded && !LoadSaved(aJob, aStore)) {
    return false;
  }
  SettlePart(aJob);
  DropTooOld(aJob, aOldestVersion);
  if (!aJob.mPending) {
    ChoosePart(aJob);
  }
  if (aJob.mPending) {
    if (!SavePart(aJob, aStore) || aJob.mMustReadBack) {
      return false;
    }
    SettlePart(aJob);
    return true;
  }
  auto record = aJob.mRecord;
  ++record.mBeat;
  record.mIsReleased = aJob.mIsReleasing;
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
    aJob.mPhase = job_phase::Lost;
  }
  return true;
}

} // namespace lavender::samples
