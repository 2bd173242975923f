#pragma once

#include "Duties/Rewards/RewardCall.h"
#include "Libraries/Core/Clock.h"
#include "Libraries/Edge/Message.h"
#include "Libraries/ObjectStore/ObjectStore.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

/** Batches of requests that a trainer submits at once and reads the results
 * of. What was accepted and what was listed rests on objects in the platform's
 * store alone; an entry's memory only saves reads. */
namespace lavender::batches {

struct batch_item
{
  std::string mId;
  std::string mPath;
  edge::header_list mHeaders;
  /** As submitted: decoded only when it is sent. */
  std::string mBodyBase64;
  /** Items of a group share their prompt, and are of use together. */
  std::string mGroup;
  /** Guess of the output tokens. */
  std::int64_t mExpectedTokens = 0;
  /** Scores the item's text once it is whole. */
  std::optional<rewards::reward_call> mReward;
};

/** What a trainer submits for one step. */
struct submission
{
  std::string mId;
  std::string mModel;
  /** Oldest version of the weights that may make its tokens. */
  std::int64_t mMinimumVersion = 0;
  /** Groups that the trainer waits for. */
  int mTargetGroups = 0;
  std::vector<batch_item> mItems;
};

/** Group of the item with that id; null when there is no such item. */
const std::string*
GroupOf(const submission& aSubmission, const std::string& aItemId);

/** Whose submission it is, and the host that it was sent to. */
struct submission_origin
{
  std::string mCustomer;
  std::string mHost;
};

/** The small object that says that a batch was accepted and who runs it. */
struct batch_metadata
{
  std::string mId;
  std::string mCustomer;
  std::string mHost;
  std::string mModel;
  std::int64_t mMinimumVersion = 0;
  int mTargetGroups = 0;
  int mTotal = 0;
  /** Guess of the output tokens of all items: how much work the batch is. */
  std::int64_t mExpectedTokens = 0;
  /** Objects that hold the items. */
  int mParts = 0;
  /** By the wall clock of the entry that accepted it. */
  std::chrono::system_clock::time_point mSubmittedAt;
  /** Entry that runs it. */
  std::string mOwner;
  bool mIsEnded = false;
  objects::revision_number mRevision = 0;
};

/** Time since the submission, as far as the instances' wall clocks agree. */
milliseconds
AgeOf(const batch_metadata& aHead);

/** The end of one item. */
struct item_result
{
  std::string mItemId;
  /** False when the item was given up. */
  bool mIsCompleted = false;
  std::string mText;
  /** Versions that made an event of the text, oldest first. */
  std::vector<std::int64_t> mVersions;
  /** What the reward call brought; none for an item without such a call. */
  std::optional<std::string> mScore;
};

/** Kinds of the product's own objects. */
constexpr char kBatchMetadataKind[] = "batches";
constexpr char kBatchItemsKind[] = "batchitems";
constexpr char kBatchResultsKind[] = "batchresults";

/** Identifiers become names of objects and parts of paths. */
bool
IsValidId(const std::string& aId);

} // namespace lavender::batches
