#pragma once

#include "Libraries/ObjectStore/ObjectStore.h"

#include <deque>
#include <map>
#include <optional>

/** One entry watches the platform's store and passes on what it hears, so that
 * a change costs one priced call instead of one for each entry. */
namespace lavender::feed {

using feed_sequence = std::int64_t;
using object_map = std::map<std::string, objects::stored_object>;

/** A change as it is passed on: encoded once for all that ask. */
struct feed_change
{
  feed_sequence mNumber = 0;
  std::string mJson;
};

/** Up to which revision of the store each kind is known. */
using kind_revisions = std::map<std::string, objects::revision_number>;

/** What the watching entry has heard. Changes bear numbers of its own, since
 * kinds are watched apart and their revisions come out of order. */
struct feed_state
{
  std::map<std::string, object_map> mKinds;
  kind_revisions mRevisions;
  std::deque<feed_change> mChanges;
  feed_sequence mNewest = 0;
};

/** Changes kept for those that ask again; who is further behind gets all. */
constexpr std::size_t kKeptChanges = 512;

/** Takes a listing: what differs from before becomes a change. */
void
TakeListing(feed_state& aState,
            const std::string& aKind,
            const object_map& aListed);

void
TakeEvent(feed_state& aState,
          const std::string& aKind,
          const objects::object_event& aEvent);

/** The kind is known up to that revision at least. */
void
NoteRevision(feed_state& aState,
             const std::string& aKind,
             objects::revision_number aRevision);

/** What another entry tells of a kind, put together with what is known here:
 * nothing goes back when that entry knows less.
 * @param aToldUpTo revision up to which the other one knows the kind */
object_map
MergeListing(const object_map& aKnown,
             const object_map& aTold,
             objects::revision_number aToldUpTo);

/** Whether an event says more than what is known here. */
bool
IsNews(const feed_state& aState,
       const std::string& aKind,
       const objects::object_event& aEvent);

/** From whom knowledge comes and how old it is, wherever it is passed on. */
struct feed_provenance
{
  /** Name of the entry that watches the store. */
  std::string mOrigin;
  /** How long before the answer all that is told was the store's state. */
  milliseconds mAge{ 0 };
  /** How long the question waited for the answer. */
  milliseconds mHeld{ 0 };
};

/** Changes as they are written into a body: the same for all that have
 * everything up to one number. */
struct encoded_changes
{
  bool mIsWhole = false;
  /** Elements of a JSON array. */
  std::string mJson;
};

/** Changes after a number; everything when it is unknown or too old. */
encoded_changes
EncodeChanges(const feed_state& aState, std::optional<feed_sequence> aSince);

/** Body of an answer.
 * @param aLife tells this process's numbers from those of others */
std::string
EncodeFeed(const feed_state& aState,
           const std::string& aLife,
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
  bool mIsWhole = false;
  feed_provenance mProof;
  kind_revisions mRevisions;
  std::vector<decoded_change> mChanges;
};

std::optional<decoded_feed>
DecodeFeed(const std::string& aBody);

} // namespace lavender::feed
