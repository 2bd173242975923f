#pragma once

#include "Duties/Samples/BatchStore.h"
#include "Libraries/Core/Clock.h"

#include <optional>

namespace lavender::samples {

/** Phase of a step's work at one entry. */
enum class job_phase
{
  Working,
  /** The batch is fixed in the object store. */
  Fixed,
  /** Another entry generates the batch or has finished it; this work is
   * dropped. */
  Dropped
};

/** Position of a sample in the batch. */
struct sample_position
{
  std::size_t mGroup = 0;
  std::size_t mIndex = 0;
};

/** A part that is being written; kept until the object store has it. */
struct pending_part
{
  std::string mName;
  json::value mValue;
  std::vector<std::size_t> mGroups;
};

/** In-memory state of one step's work at one entry. Finished groups are stored
 * as parts while the others are generated, so that a crash of the entry loses
 * only unsaved groups. */
struct step_job
{
  batch_spec mSpec;
  std::string mNonce;
  job_phase mPhase = job_phase::Working;
  /** Record as last written or read by this job; revision 0 before the claim.
   */
  batch_record mRecord;
  /** The response to a write was lost or was a conflict; the record must be
   * read before the next write. */
  bool mMustReadBack = false;
  /** The groups in the record's parts have been loaded into the table. */
  bool mIsLoaded = false;
  /** Another entry's record at this revision may be taken over, because that
   * entry has stopped or the batch became too old. */
  std::int64_t mTakeOverRevision = 0;
  sample_table mTable;
  std::vector<std::vector<int>> mInProgress;
  std::vector<bool> mIsSaved;
  /** Which samples existed when the last Save began. */
  std::vector<std::vector<bool>> mExistedBeforeSave;
  std::optional<pending_part> mPending;
  /** Set when this entry stops. The last write then releases the claim, so that
   * another entry can take over at once. */
  bool mReleasesClaim = false;
  int mNextPart = 0;
};

/** Size limit of a part. The object store accepts values up to 1 MB. */
constexpr std::size_t kMaximumPartBytes = 700000;

step_job
StartJob(batch_spec aSpec, std::string aNonce, std::int64_t aTakeOverRevision);

/** Returns the next sample that is neither finished nor in progress, and marks
 * it as in progress. */
std::optional<sample_position>
ReserveNext(step_job& aJob);

/** Whether ReserveNext would return a sample. */
bool
HasNext(const step_job& aJob);

/** Whether a complete group, or the completion of the batch, isn't stored yet.
 */
bool
HasUnsaved(const step_job& aJob);

/** Merges the result of Save on a copy of the job into the job, which may have
 * received results in the meantime.
 * @return number of samples that Save dropped as too old */
std::size_t
MergeSaved(step_job& aJob, step_job aSaved);

/** Records the result of a sample in progress; none when the sample has to be
 * generated again. Only the first result for a position is kept.
 * @return false when no result was recorded */
bool
RecordResult(step_job& aJob,
             const sample_position& aPosition,
             std::optional<sample> aGenerated);

/** Drops samples with a part older than that version.
 * @return number of dropped samples */
std::size_t
DropOutdated(step_job& aJob, std::int64_t aOldestVersion);

/** Returns the number of finished samples. */
std::size_t
CountDone(const step_job& aJob);

/** Writes the job's next state to the object store: the claim, a part with
 * finished groups, or the completion. Makes a few calls at most; it must be
 * called again until the phase changes.
 * @return false when the object store didn't respond */
bool
Save(step_job& aJob, const batch_store& aStore, std::int64_t aOldestVersion);

} // namespace lavender::samples
