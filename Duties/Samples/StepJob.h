#pragma once

#include "Duties/Samples/BatchStore.h"
#include "Libraries/Core/Clock.h"

#include <optional>

namespace lavender::samples {

/** How a step's work at one entry stands. */
enum class job_phase
{
  Working,
  /** The batch is fixed in the store. */
  Fixed,
  /** Another entry makes it, or it is past that: this work is dropped. */
  Lost
};

/** A sample to be made, or under way. */
struct sample_place
{
  std::size_t mGroup = 0;
  std::size_t mIndex = 0;
};

/** One part that is being written; kept until the store has it. */
struct pending_part
{
  std::string mName;
  json::value mValue;
  std::vector<std::size_t> mGroups;
};

/** One step's work at one entry, in memory. Finished groups go to the store
 * as parts while the rest is made, so that an entry's death costs only what
 * it hadn't saved. */
struct step_job
{
  batch_spec mSpec;
  std::string mNonce;
  job_phase mPhase = job_phase::Working;
  /** Record as this job last wrote or read it; revision 0: no claim yet. */
  batch_record mRecord;
  /** A write's answer was lost: read before the next. */
  bool mMustReadBack = false;
  /** The groups that the record names are in the table. */
  bool mIsLoaded = false;
  /** A claim by another maker at this revision may be taken over: it has
   * stopped, or its batch became too old. */
  std::int64_t mTakeOverRevision = 0;
  sample_table mTable;
  std::vector<std::vector<int>> mUnderWay;
  std::vector<bool> mIsSaved;
  /** Samples that were there when the last Save began. */
  std::vector<std::vector<bool>> mWasThere;
  std::optional<pending_part> mPending;
  /** Set when this entry stops: the last write lets others go on at once. */
  bool mIsReleasing = false;
  int mNextPart = 0;
};

/** Largest value written; the store takes a megabyte. */
constexpr std::size_t kMaximumPartBytes = 700000;

step_job
StartJob(batch_spec aSpec, std::string aNonce, std::int64_t aTakeOverRevision);

/** Next sample that nobody makes; marks it as under way. */
std::optional<sample_place>
TakeNext(step_job& aJob);

/** True when TakeNext would give a sample. */
bool
HasNext(const step_job& aJob);

/** True when a whole group, or the end of the work, isn't in the store. */
bool
HasUnsaved(const step_job& aJob);

/** Takes over what Save made of a copy of the job, while results went on
 * coming into the job itself.
 * @return samples that Save threw away as too old */
std::size_t
TakeSaved(step_job& aJob, step_job aSaved);

/** Takes what became of a sample under way; none when it has to be made
 * again. The first result of a place counts.
 * @return false when the result wasn't needed any more */
bool
PutResult(step_job& aJob,
          const sample_place& aPlace,
          std::optional<sample> aMade);

/** Throws away samples with a part older than that.
 * @return how many */
std::size_t
DropTooOld(step_job& aJob, std::int64_t aOldestVersion);

/** Finished samples. */
std::size_t
CountDone(const step_job& aJob);

/** Brings the job's work to the store: claim, finished groups, end. Makes at
 * most a few calls and is repeated until the phase changes.
 * @return false when the store gave no answer */
bool
Save(step_job& aJob, const batch_store& aStore, std::int64_t aOldestVersion);

} // namespace lavender::samples
