#pragma once

#include "Libraries/Edge/Message.h"

#include <string>
#include <vector>

namespace lavender::feed {

/** An entry that may watch for others. */
struct feed_candidate
{
  std::string mName;
  edge::endpoint mAddress;
};

/** Entries whose names come before that one.
 * @param aAll all entries in the order of their names */
std::size_t
PlaceOf(const std::vector<feed_candidate>& aAll, const std::string& aName);

/** Whom an entry asks, in this order, before it watches the store itself: the
 * one above it in a tree of entries by name, those above that one up to the
 * first, then the others whose names come before its own.
 * @param aAll all entries in the order of their names */
std::vector<feed_candidate>
SourcePreference(const std::vector<feed_candidate>& aAll,
                 const std::string& aName);

} // namespace lavender::feed
