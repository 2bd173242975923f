#pragma once

#include <string>
#include <vector>

namespace lavender::site {

/** An entry as the others know it. */
struct listed_entry
{
  std::string mName;
  /** Processor cores that the entry may use. */
  double mProcessorShare = 1;
};

/** Returns the entries' names in the order in which they take on work for the
 * others: to watch the store, to forward its changes, to report usage and to
 * answer controllers. Those with the largest processor share come first, those
 * with the same share by name, so that instances with a small part of a
 * processor and a slow link serve callers only. All entries derive the same
 * order from the same list. */
std::vector<std::string>
OrderEntries(std::vector<listed_entry> aEntries);

} // namespace lavender::site
