#pragma once

#include "Duties/Batches/Batch.h"
#include "Duties/Batches/ErrorCount.h"
#include "Duties/Batches/GeneratedText.h"
#include "Duties/Batches/RunLedger.h"

#include <optional>

/** Conversion of the stored objects of a batch to and from JSON. */
namespace lavender::batches {

std::string
EncodeMetadata(const batch_metadata& aMetadata);

/** Encodes the part of the metadata that changes after the batch was accepted.
 */
std::string
EncodeMetadataStatus(const batch_metadata& aMetadata);

std::optional<batch_metadata>
DecodeMetadata(const objects::stored_object& aObject);

/** Encodes the items as the content of one or more objects, each of the given
 * size at most unless an item alone is larger. The first ones list the
 * submission's servers. */
std::vector<std::string>
EncodeItems(const submission& aSubmission, std::size_t aMaximumBytes);

/** Adds the items of one object to the submission.
 * @return false if the object doesn't hold items */
bool
DecodeItems(const objects::stored_object& aObject, submission& aSubmission);

std::string
ItemsObjectName(const std::string& aBatchId, int aPart);

/** Name of a results object. Names sort in the order in which the objects were
 * written. */
std::string
ResultsObjectName(const std::string& aBatchId, int aNumber);

/** Results that are written to the store together. */
struct result_block
{
  std::vector<std::string> mItemIds;
  /** JSON text of each result, as trainers read it. */
  std::vector<std::string> mEntries;
  /** Parts of texts of items without a result. */
  std::vector<text_part> mParts;
  /** Id of the owner's term in which the block was written; empty if nothing
   * in the block depends on the term. */
  std::string mWriter;
  /** Runs of items without a result whose servers ended or may have ended. */
  std::vector<run_record> mRuns;
  /** Runs of items without a result that failed or may fail. */
  std::vector<error_record> mErrors{};
  /** Servers that may get unstored runs from now on. */
  server_list_change mServers{};
};

bool
IsEmpty(const result_block& aBlock);

std::string
EncodeBlock(const result_block& aBlock);

/** Size of a record as it is written, with the comma behind it, in bytes; that
 * of a part of a text is an upper bound. */
std::size_t
EncodedBytes(const std::string& aText);

std::size_t
EncodedBytes(const run_record& aRun);

std::size_t
EncodedBytes(const item_run& aRun);

std::size_t
EncodedBytes(const error_record& aRecord);

std::size_t
EncodedBytes(const site::server_start& aServer);

std::size_t
EncodedBytes(const text_part& aPart);

std::optional<result_block>
DecodeBlock(const objects::stored_object& aObject);

} // namespace lavender::batches
