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

/** Returns the number of entries whose names sort before that one.
 * @param aAll all entries, sorted by name */
std::size_t
RankOf(const std::vector<feed_candidate>& aAll, const std::string& aName);

/** Returns the entries that an entry tries to follow, in this order, before it
 * watches the store itself: its ancestors in a tree of the entries sorted by
 * name, parent first, then the other entries whose names sort before its own.
 * @param aAll all entries, sorted by name */
std::vector<feed_candidate>
SourcePreference(const std::vector<feed_candidate>& aAll,
                 const std::string& aName);

} // namespace lavender::feed
