#pragma once

#include <string>
#include <unordered_map>

/** How many groups of a batch are whole. Pure. */
namespace lavender::batches {

struct group_progress
{
  /** Items without a result, by group. */
  std::unordered_map<std::string, int> mOpen;
  int mWholeGroups = 0;
};

/** Counts an item of the batch that has no result. */
void
NoteOpenItem(group_progress& aProgress, const std::string& aGroup);

/** An item has got its result.
 * @return true when its group is whole now */
bool
NoteResult(group_progress& aProgress, const std::string& aGroup);

int
OpenItems(const group_progress& aProgress, const std::string& aGroup);

} // namespace lavender::batches
