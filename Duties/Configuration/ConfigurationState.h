#pragma once

#include "Duties/Configuration/Snapshot.h"
#include "Libraries/Core/Clock.h"

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/** An entry's copy of the configuration and all functions that modify it. None
 * of them ever decreases its revision. */
namespace lavender::configuration {

/** One recent change, kept so that operators' watches can resume. */
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
   * first state arrived. */
  std::int64_t mKnownRevision = 0;
  /** Last revision that changed the configuration. Changes to other kinds of
   * objects, such as leases, increase the store's revision but not this one. */
  std::int64_t mChangedRevision = 0;
  /** Last time at which mKnownRevision was verified as the store's newest
   * revision; none for a state that was read from the disk. */
  std::optional<time_point> mVerifiedAt;
  std::deque<recent_change> mRecentChanges;
  /** Watches can't resume from a revision below this one. */
  std::int64_t mOldestResumableRevision = 0;
  std::shared_ptr<const snapshot> mSnapshot = std::make_shared<snapshot>();
};

/** A full copy of the configuration, as sent to another process or saved to
 * disk. */
struct full_copy
{
  std::int64_t mRevision = 0;
  std::int64_t mChangedRevision = 0;
  std::optional<time_point> mVerifiedAt;
  object_map mObjects;
};

/** Summary of a peer's state, exchanged instead of a full copy. */
struct state_digest
{
  std::int64_t mKnownRevision = 0;
  std::int64_t mChangedRevision = 0;
  std::optional<time_point> mVerifiedAt;
};

enum class apply_outcome
{
  /** The known revision has increased. */
  Advanced,
  /** The content is unchanged; only the revision or the verification time may
   * be newer. */
  Confirmed,
  /** The input was older than the state and was ignored. */
  Older,
  /** The digest shows a change that must be fetched with a full copy. */
  NeedsFullCopy
};

/** Applies a list of all objects in the store.
 * @param aRequestedAt when the request was sent: the list is at least as recent
 */
apply_outcome
ApplyList(configuration_state& aState,
          const platform::object_list& aList,
          time_point aRequestedAt);

/** Applies the response to a watch.
 * @param aRequestedAt when the request was sent */
apply_outcome
ApplyWatchBatch(configuration_state& aState,
                const platform::watch_batch& aBatch,
                time_point aRequestedAt);

/** Applies a full copy from a peer or from the disk. */
apply_outcome
ApplyCopy(configuration_state& aState, full_copy aCopy);

/** Applies a peer's verification time and revision when both sides know the
 * same configuration changes, so that the verification is valid for this state
 * too. */
apply_outcome
ApplyDigest(configuration_state& aState, const state_digest& aDigest);

state_digest
DigestOf(const configuration_state& aState);
full_copy
CopyOf(const configuration_state& aState);

/** Changes after a given revision, for a watch that resumes. */
struct change_batch
{
  std::int64_t mRevision = 0;
  std::vector<recent_change> mEvents;
  bool mIsTooOld = false;
};

change_batch
ChangesAfter(const configuration_state& aState, std::int64_t aFrom);

} // namespace lavender::configuration
