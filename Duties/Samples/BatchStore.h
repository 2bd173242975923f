#pragma once

#include "Duties/Samples/Sample.h"
#include "Libraries/Platform/PlatformClient.h"

#include <functional>

namespace lavender::samples {

/** The calls on the Object API that batches need; tests put their own. */
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

/** The store that speaks to the platform; the client must outlive it. */
batch_store
MakeStore(const platform::client& aPlatform);

/** Where a step's batch stands. It only moves forward, but for a fixed batch
 * that became too old before its first delivery: that is made anew. */
enum class batch_state
{
  Making,
  Fixed,
  Delivered,
  Acknowledged
};

/** The one object that decides a step's batch. Every change is a conditional
 * write on its revision. */
struct batch_record
{
  batch_state mState = batch_state::Making;
  /** Differs with each maker's claim. */
  std::string mNonce;
  /** Digest of the request that the batch is for. */
  std::string mDigest;
  /** Names of the parts that hold finished groups; where a group stands in
   * several, the last one counts. */
  std::vector<std::string> mParts;
  std::int64_t mFinishedSamples = 0;
  std::int64_t mRequestedSamples = 0;
  /** Grows with each write of the maker, so that others see it alive. */
  std::int64_t mBeat = 0;
  /** The maker stopped as planned: another may go on at once. */
  bool mIsReleased = false;
  /** Revision that the object was read or written at; 0 for none. */
  std::int64_t mRevision = 0;
};

constexpr const char* kBatchKind = "Batch";
constexpr const char* kPartKind = "BatchPart";

json::value
ToJson(const batch_record& aRecord);
batch_record
ToRecord(const platform::stored_object& aObject);

/** Name of a maker's part. */
std::string
PartName(const std::string& aBatch, const std::string& aNonce, int aNumber);

/** Samples by group and index; none where one is missing. */
using sample_table = std::vector<std::vector<std::optional<sample>>>;

sample_table
MakeTable(std::size_t aGroups, int aSamplesPerGroup);

/** Reads the parts of a record into a table. False when one can't be read. */
bool
LoadParts(const batch_store& aStore,
          const batch_record& aRecord,
          sample_table& aTable);

/** The batch as the trainer gets it; the same each time for one record. */
json::value
Assemble(const batch_spec& aSpec,
         const batch_record& aRecord,
         const sample_table& aTable);

/** How an ask for a batch, or its acknowledgement, ends. */
enum class delivery_status
{
  /** The batch, fixed for good. */
  Ready,
  /** No entry has begun. */
  Absent,
  /** An entry makes it. */
  InProgress,
  /** Fixed, never delivered and too old by now: it has to be made anew. */
  TooOld,
  Acknowledged,
  /** The step's batch is for another request. */
  RequestMismatch,
  NotDelivered,
  Unavailable
};

struct ask_outcome
{
  delivery_status mState = delivery_status::Unavailable;
  json::value mBatch;
  batch_record mRecord;
};

/** Gives the step's batch if it is fixed. The first delivery is decided by a
 * conditional write, made only while no sample is older than aOldestVersion;
 * every later one gives the same batch again. */
ask_outcome
Deliver(const batch_store& aStore,
        const batch_spec& aSpec,
        std::int64_t aOldestVersion);

/** Marks a delivered batch as taken, then removes its parts. The record
 * stays, so that a late doubled ask is told so and never makes a new batch. */
ask_outcome
Acknowledge(const batch_store& aStore,
            const std::string& aRun,
            std::int64_t aStep);

} // namespace lavender::samples
