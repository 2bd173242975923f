#pragma once

#include "Duties/Samples/Sample.h"
#include "Libraries/Platform/PlatformClient.h"

#include <functional>

namespace lavender::samples {

/** Object API calls that batches need. Tests replace them. */
struct batch_store
{
  std::function<platform::read_result(const std::string& aKind,
                                      const std::string& aName)>
    mRead;
  std::function<platform::write_result(const std::string& aKind,
                                       const std::string& aName,
                                       std::int64_t aExpected,
                                       const json::value& aValue)>
    mWrite;
  std::function<platform::write_result(const std::string& aKind,
                                       const std::string& aName)>
    mDelete;
};

/** Returns a batch_store that calls the platform; the client must outlive it.
 */
batch_store
MakePlatformStore(const platform::client& aPlatform);

/** State of a step's batch. States only advance, except that a fixed batch
 * which becomes too old before its first delivery is generated again. */
enum class batch_state
{
  Generating,
  Fixed,
  Delivered,
  Acknowledged
};

/** The stored object that determines a step's batch. Every change is a write
 * conditional on its revision. */
struct batch_record
{
  batch_state mState = batch_state::Generating;
  /** Unique for each claim, that is, for each entry that starts to generate the
   * batch. */
  std::string mNonce;
  /** Digest of the request that the batch answers. */
  std::string mDigest;
  /** Names of the part objects that hold finished groups. When several parts
   * contain a group, the last one counts. */
  std::vector<std::string> mParts;
  std::int64_t mFinishedSamples = 0;
  std::int64_t mRequestedSamples = 0;
  /** Heartbeat: grows with each write of the entry that holds the claim, so
   * that other entries can tell that it is alive. */
  std::int64_t mHeartbeat = 0;
  /** The entry that held the claim has shut down; another one may take over at
   * once. */
  bool mIsReleased = false;
  /** Revision of the object when it was last read or written; 0 when there is
   * no object. */
  std::int64_t mRevision = 0;
};

constexpr const char* kBatchKind = "Batch";
constexpr const char* kPartKind = "BatchPart";

json::value
ToJson(const batch_record& aRecord);
batch_record
ToRecord(const platform::stored_object& aObject);

/** Name of the part object with that number under a claim. */
std::string
PartName(const std::string& aBatch, const std::string& aNonce, int aNumber);

/** Samples by group and index; missing samples are empty. */
using sample_table = std::vector<std::vector<std::optional<sample>>>;

sample_table
MakeTable(std::size_t aGroups, int aSamplesPerGroup);

/** Reads the parts of a record into a table. Returns false when a part can't be
 * read. */
bool
LoadParts(const batch_store& aStore,
          const batch_record& aRecord,
          sample_table& aTable);

/** Returns the batch in the format for the trainer, always the same for the
 * same record. */
json::value
Assemble(const batch_spec& aSpec,
         const batch_record& aRecord,
         const sample_table& aTable);

/** Outcome of a request for a batch or of its acknowledgement. */
enum class delivery_status
{
  /** The batch is complete and no longer changes. */
  Ready,
  /** No entry has started to generate the batch. */
  Absent,
  /** An entry is generating the batch. */
  InProgress,
  /** The batch was fixed, never delivered, and is too old now. It has to be
   * generated again. */
  TooOld,
  Acknowledged,
  /** The step already has a batch for a different request. */
  RequestMismatch,
  NotDelivered,
  Unavailable
};

struct delivery_result
{
  delivery_status mState = delivery_status::Unavailable;
  json::value mBatch;
  batch_record mRecord;
};

/** Returns the step's batch if it is fixed. The first delivery is recorded by a
 * conditional write, and only if no sample is older than aOldestVersion. Every
 * later delivery returns the same batch. */
delivery_result
Deliver(const batch_store& aStore,
        const batch_spec& aSpec,
        std::int64_t aOldestVersion);

/** Marks a delivered batch as acknowledged, then deletes its parts. The record
 * stays, so that a late duplicate request for the batch is refused instead of
 * starting a new batch. */
delivery_result
Acknowledge(const batch_store& aStore,
            const std::string& aRun,
            std::int64_t aStep);

} // namespace lavender::samples
