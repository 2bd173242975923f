#pragma once

#include "Libraries/Edge/Message.h"

#include <string>
#include <vector>

namespace lavender::feed {

/** An entry that another entry may follow. */
struct feed_candidate
{
  std::string mName;
  edge::endpoint mAddress;
};

/** Returns an entry's place in the order; the number of entries if it isn't
 * listed.
 * @param aAll all entries, those first that work for the others */
std::size_t
RankOf(const std::vector<feed_candidate>& aAll, const std::string& aName);

/** Returns the entries that an entry tries to follow, in this order, before it
 * watches the store itself: its ancestors in a tree of the entries in their
 * order, parent first, then the other entries before it.
 * @param aAll all entries, those first that work for the others */
std::vector<feed_candidate>
SourcePreference(const std::vector<feed_candidate>& aAll,
                 const std::string& aName);

} // namespace lavender::feed
