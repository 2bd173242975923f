#pragma once

#include "Libraries/ObjectStore/ObjectStore.h"

#include <deque>
#include <map>
#include <optional>

/** One entry watches the platform's store and passes on what it hears, so that
 * a change costs one priced call instead of one for each entry. */
namespace lavender::feed {

using feed_number = std::int64_t;
using object_map = std::map<std::string, objects::stored_object>;

/** A change as it is passed on: encoded once for all that ask. */
struct feed_change
{
  feed_number mNumber = 0;
  std::string mJson;
};

/** What the watching entry has heard. Changes bear numbers of its own, since
 * kinds are watched apart and their revisions come out of order. */
struct feed_state
{
  std::map<std::string, object_map> mKinds;
  std::deque<feed_change> mChanges;
  feed_number mNewest = 0;
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

/** Body for one that has everything up to a number; with everything when that
 * is unknown or too old.
 * @param aLife tells this process's numbers from those of others */
std::string
EncodeFeed(const feed_state& aState,
           const std::string& aLife,
           std::optional<feed_number> aSince);

struct decoded_change
{
  std::string mKind;
  objects::object_event mEvent;
};

struct decoded_feed
{
  std::string mLife;
  feed_number mNewest = 0;
  bool mIsWhole = false;
  std::vector<decoded_change> mChanges;
};

std::optional<decoded_feed>
DecodeFeed(const std::string& aBody);

} // namespace lavender::feed
