#pragma once

#include "Duties/Batches/Batch.h"
#include "Duties/Batches/MadeText.h"

#include <optional>

/** The product's own objects in the store, to and from JSON. */
namespace lavender::batches {

std::string
EncodeHead(const batch_metadata& aHead);

/** The part of a head that changes. */
std::string
EncodeHeadStatus(const std::string& aOwner, bool aIsEnded);

std::optional<batch_metadata>
DecodeHead(const objects::stored_object& aObject);

/** Content of the items' objects, each below the store's limit of 1 MB. */
std::vector<std::string>
EncodeItems(const submission& aSubmission);

/** Adds a part's items.
 * @return false when the object doesn't hold items */
bool
DecodeItems(const objects::stored_object& aObject, submission& aSubmission);

std::string
ItemsObjectName(const std::string& aBatchId, int aPart);

/** Names sort in the order in which the objects were written. */
std::string
ResultsObjectName(const std::string& aBatchId, int aNumber);

/** Results written together. */
struct result_block
{
  std::vector<std::string> mItemIds;
  /** Each result as the JSON text that readers get. */
  std::vector<std::string> mEntries;
  /** Parts of texts that have no result yet, and who made them. */
  std::vector<text_part> mParts;
  std::string mWriter;
};

std::string
EncodeBlock(const result_block& aBlock);

std::optional<result_block>
DecodeBlock(const objects::stored_object& aObject);

} // namespace lavender::batches
