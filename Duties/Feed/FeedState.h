#pragma once

#include "Libraries/ObjectStore/ObjectStore.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>

/** One entry watches the platform's store and forwards the changes to the other
 * entries, so that a change costs one billed call instead of one per entry. */
namespace lavender::feed {

using feed_sequence = std::int64_t;
using objects::object_map;

/** A change, encoded once for all requesters. */
struct feed_change
{
  feed_sequence mNumber = 0;
  std::string mKind;
  std::string mJson;
};

/** Revision of the store up to which all changes of a kind are known, by
 * kind. */
using kind_revisions = std::map<std::string, objects::revision_number>;

/** All changes of a kind up to a revision have sequence numbers up to mNumber.
 */
struct revision_mark
{
  feed_sequence mNumber = 0;
  objects::revision_number mRevision = 0;
};

/** Revisions of a kind between two listings, exclusive. Of objects that were
 * created and deleted within them, no change is known, so a requester whose
 * state is of such a revision may have objects that it is never told to delete.
 */
struct revision_gap
{
  objects::revision_number mBefore = 0;
  objects::revision_number mUntil = 0;
};

/** In the order in which they became known. */
using revision_gaps = std::vector<revision_gap>;

/** All objects of the followed kinds and the latest changes. Changes have
 * sequence numbers of this process, because the kinds are watched separately
 * and so their revisions arrive out of order. */
struct feed_state
{
  std::map<std::string, object_map> mKinds;
  kind_revisions mRevisions;
  /** Oldest first, by kind; as far back as the kind's changes are kept. */
  std::map<std::string, std::deque<revision_mark>> mMarks;
  /** Newest change of each kind. */
  std::map<std::string, feed_sequence> mNewestByKind;
  std::map<std::string, revision_gaps> mGaps;
  /** Kinds that were listed since their revision was last recorded. */
  std::set<std::string> mListedKinds;
  std::deque<feed_change> mChanges;
  feed_sequence mNewest = 0;
};

/** Number of changes kept. A requester that is further behind gets the full
 * state. Half as many as there are objects, since more objects change more
 * often, and the full state then is larger than the changes. */
std::size_t
KeptChanges(const feed_state& aState);

/** Replaces the objects of a kind, and appends a change for each difference. */
void
ApplyListing(feed_state& aState,
             const std::string& aKind,
             const object_map& aListed);

void
ApplyEvent(feed_state& aState,
           const std::string& aKind,
           const objects::object_event& aEvent);

/** Raises the revision up to which the kind is known; never lowers it. */
void
RecordRevision(feed_state& aState,
               const std::string& aKind,
               objects::revision_number aRevision);

/** Takes over a gap of the source that provides this state. */
void
AddGap(feed_state& aState, const std::string& aKind, const revision_gap& aGap);

/** Returns the sequence number after which a requester that knows the kinds up
 * to these revisions lacks changes, however it learned of the ones before; none
 * if it may lack changes that aren't kept any more. */
std::optional<feed_sequence>
FindSequence(const feed_state& aState, const kind_revisions& aKnown);

/** Merges a kind's objects received from another entry with those known here.
 * Objects that are newer here are kept, so that a source that lags behind
 * undoes no change.
 * @param aReceivedRevision revision up to which the other entry knows the
 * kind */
object_map
MergeListing(const object_map& aKnown,
             const object_map& aReceived,
             objects::revision_number aReceivedRevision);

/** Whether an event is at least as recent as what is known here of its object.
 */
bool
IsNewer(const feed_state& aState,
        const std::string& aKind,
        const objects::object_event& aEvent);

/** Origin and age of a feed's state, kept up as the state is forwarded. */
struct feed_provenance
{
  /** Name of the entry that watches the store. */
  std::string mOrigin;
  /** Time from when the state was last verified to match the store until the
   * response. */
  milliseconds mAge{ 0 };
  /** How long the request was held before the response. */
  milliseconds mHeld{ 0 };
};

/** Encoded changes; the same for all requesters that have the same sequence
 * number. */
struct encoded_changes
{
  /** Whether these are all objects instead of changes. */
  bool mIsComplete = false;
  /** Elements of a JSON array and the end of the body. */
  std::shared_ptr<const std::string> mJson;
};

/** Body of a response, in two parts. */
struct encoded_feed
{
  std::string mHead;
  /** The same for all requesters that get the same changes. */
  std::shared_ptr<const std::string> mSharedTail;
};

/** Encodes the changes after a sequence number, or the full state if the number
 * is missing, unknown or older than the changes kept. */
encoded_changes
EncodeChanges(const feed_state& aState, std::optional<feed_sequence> aSince);

/** Encodes the body of a response.
 * @param aIncarnation identifies the process whose sequence numbers these are
 */
encoded_feed
EncodeFeed(const feed_state& aState,
           const std::string& aIncarnation,
           const encoded_changes& aChanges,
           const feed_provenance& aProof);

struct decoded_change
{
  std::string mKind;
  objects::object_event mEvent;
};

struct decoded_feed
{
  std::string mIncarnation;
  feed_sequence mNewest = 0;
  bool mIsComplete = false;
  feed_provenance mProof;
  kind_revisions mRevisions;
  std::map<std::string, revision_gaps> mGaps;
  std::vector<decoded_change> mChanges;
};

/** Returns none if the body isn't a feed. */
std::optional<decoded_feed>
DecodeFeed(const std::string& aBody);

} // namespace lavender::feed
