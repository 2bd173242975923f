#pragma once

#include "Duties/Configuration/Snapshot.h"
#include "Libraries/Core/Clock.h"

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/** What an entry holds of the configuration, and the only ways in which it
 * changes. The revision never goes back on any of them. */
namespace lavender::configuration {

/** One change, kept for operators' watches. */
struct recent_change
{
  bool mIsDeletion = false;
  std::string mKind;
  std::string mName;
  stored_json mObject;
};

struct configuration_state
{
  object_map mObjects;
  /** Every change of the store up to this revision is known; 0 before the
   * first state came. */
  std::int64_t mKnownRevision = 0;
  /** Last revision that touched the configuration. Other kinds of objects,
   * such as leases, move the store's revision without moving this one. */
  std::int64_t mChangedRevision = 0;
  /** A time at which mKnownRevision was certainly the store's newest; none for
   * a state that was read from the disk. */
  std::optional<time_point> mVerifiedAt;
  std::deque<recent_change> mRecent;
  /** Watches from before this revision are too old. */
  std::int64_t mOldestRecent = 0;
  std::shared_ptr<const snapshot> mSnapshot = std::make_shared<snapshot>();
};

/** The whole configuration as one process gives it to another, or to its
 * disk. */
struct whole_copy
{
  std::int64_t mRevision = 0;
  std::int64_t mChangedRevision = 0;
  std::optional<time_point> mVerifiedAt;
  object_map mObjects;
};

/** What a peer says of its state without sending it. */
struct state_digest
{
  std::int64_t mKnownRevision = 0;
  std::int64_t mChangedRevision = 0;
  std::optional<time_point> mVerifiedAt;
};

enum class apply_outcome
{
  /** The state is newer than before. */
  Advanced,
  /** Only the proof of freshness may be newer. */
  Confirmed,
  /** Older than the state held, so nothing of it was taken. */
  Older,
  /** The digest shows a change that only a copy can bring. */
  NeedsCopy
};

/** Takes a list of the whole store.
 * @param aAskedAt when the request left: the list is no older than that */
apply_outcome
ApplyList(configuration_state& aState,
          const platform::object_list& aList,
          time_point aAskedAt);

/** Takes the answer to a watch. */
apply_outcome
ApplyWatchBatch(configuration_state& aState,
                const platform::watch_batch& aBatch,
                time_point aAskedAt);

/** Takes a copy from a peer or from the disk. */
apply_outcome
TakeCopy(configuration_state& aState, whole_copy aCopy);

/** Takes over a peer's proof when it holds for this state too: both know the
 * same changes of the configuration. */
apply_outcome
TakeDigest(configuration_state& aState, const state_digest& aDigest);

state_digest
DigestOf(const configuration_state& aState);
whole_copy
CopyOf(const configuration_state& aState);

/** Changes after a revision, for a resumed watch. */
struct change_batch
{
  std::int64_t mRevision = 0;
  std::vector<recent_change> mEvents;
  bool mIsTooOld = false;
};

change_batch
ChangesAfter(const configuration_state& aState, std::int64_t aFrom);

} // namespace lavender::configuration
