#pragma once

#include "Duties/Batches/OwnerTerm.h"
#include "Duties/Rewards/RewardCall.h"
#include "Duties/Scheduling/ServerSpeed.h"
#include "Libraries/Core/Clock.h"
#include "Libraries/Edge/HeldBytes.h"
#include "Libraries/Edge/Message.h"
#include "Libraries/ObjectStore/ObjectStore.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

/** Batches of inference requests. A trainer submits a batch in one call and
 * reads its results as they are listed. The objects in the platform's store
 * are the only record of accepted batches and listed results; an entry's
 * memory is a cache of them. */
namespace lavender::batches {

struct batch_item
{
  std::string mId;
  std::string mPath;
  edge::header_list mHeaders;
  /** Base64 as submitted; decoded only when the item is sent. */
  std::string mBodyBase64;
  /** Items of a group share a prompt; the trainer needs the results of complete
   * groups. */
  std::string mGroup;
  /** Estimated number of output tokens. */
  std::int64_t mExpectedTokens = 0;
  /** Number of tokens of the prompt; 0 if unknown. */
  std::int64_t mPromptTokens = 0;
  /** Scores the item's text once the text is complete. */
  std::optional<rewards::reward_call> mReward;
  /** Server at which the entry that accepted the batch planned the item's first
   * run; none if it planned none. */
  std::optional<site::server_start> mPlannedServer{};
};

/** Whether the store holds the server of each of the item's runs before the run
 * is sent. A reward call that follows such a run would have to be stored too,
 * so runs of items with one may be at any server that the store lists. */
bool
AreRunsPlaced(const batch_item& aItem);

/** A batch as a trainer submits it: the items of one training step. */
struct submission
{
  std::string mId;
  std::string mModel;
  /** Oldest weights version that may generate the items' tokens. */
  std::int64_t mMinimumVersion = 0;
  /** Number of complete groups that the trainer waits for. */
  int mTargetGroups = 0;
  std::vector<batch_item> mItems;
  /** Servers that the entry that accepts the batch may use, stored with the
   * items. */
  server_list mServers;
  /** The memory of the items, which counts until no copy is left; may be null.
   */
  std::shared_ptr<edge::held_bytes> mHeld = nullptr;
};

/** Memory of the items, and of the items as they are written to the store, in
 * bytes. */
std::size_t
MemoryOf(const submission& aSubmission);

/** Returns the group of the item with the given id, or null if there is no such
 * item. */
const std::string*
GroupOf(const submission& aSubmission, const std::string& aItemId);

/** Forgets which servers the owner may use: the stored items may name others.
 */
void
ForgetServers(submission& aSubmission);

/** Returns the path of the first item; empty if there is none. */
std::string
FirstPath(const submission& aSubmission);

/** The customer that sent a submission, and the host that it was sent to. */
struct submission_origin
{
  std::string mCustomer;
  std::string mHost;
};

/** What decides which entry runs a batch. */
struct batch_affiliation
{
  std::string mCustomer;
  std::string mModel;
  std::string mHost;
  /** Path of the first item, which with the host decides the route. */
  std::string mPath;
};

/** Metadata of an accepted batch, including its owner. Stored as an object of
 * its own, separate from the items and the results. */
struct batch_metadata
{
  std::string mId;
  std::string mCustomer;
  std::string mHost;
  /** Path of the first item. */
  std::string mPath;
  std::string mModel;
  std::int64_t mMinimumVersion = 0;
  int mTargetGroups = 0;
  int mTotal = 0;
  /** Estimated output tokens of all items: a measure of the batch's work. */
  std::int64_t mExpectedTokens = 0;
  /** Expected tokens of the items that a usual server finishes after they are
   * due with a probability above a tenth. */
  std::int64_t mLongItemTokens = 0;
  /** Speeds of servers as the entry that accepted the batch knew them. */
  std::vector<scheduling::told_speed> mServerSpeeds;
  /** Median of the event times that this entry knew, with which those speeds
   * are compared; zero if unknown. */
  scheduling::event_time mMedianEventTime{ 0 };
  /** Number of stored objects that hold the items. */
  int mParts = 0;
  /** Wall-clock time of the entry that accepted the batch. */
  std::chrono::system_clock::time_point mSubmittedAt;
  /** Name of the entry that runs the batch. */
  std::string mOwner;
  /** Random name of the process that accepted the batch; empty once the owner
   * has changed. */
  std::string mAcceptedBy;
  bool mIsEnded = false;
  /** Set at the end of the batch, for later batches with the same items. */
  std::vector<item_run> mCountedRuns;
  objects::revision_number mRevision = 0;
};

/** Time since the batch was submitted. Inexact by the clock difference between
 * this instance and the one that accepted the batch. */
milliseconds
AgeOf(const batch_metadata& aMetadata);

batch_affiliation
AffiliationOf(const batch_metadata& aMetadata);

/** Result of one item. */
struct item_result
{
  std::string mItemId;
  /** False if the item was given up. */
  bool mIsCompleted = false;
  std::string mText;
  /** Weights versions that generated the text, in order of use. */
  std::vector<std::int64_t> mVersions;
  /** Score from the reward call; none for an item without a reward call. */
  std::optional<std::string> mScore;
};

/** Kinds of the stored objects. */
constexpr char kBatchMetadataKind[] = "batches";
constexpr char kBatchItemsKind[] = "batchitems";
constexpr char kBatchResultsKind[] = "batchresults";

/** Whether an id may be used as part of an object name and of a URL path. */
bool
IsValidId(const std::string& aId);

} // namespace lavender::batches
