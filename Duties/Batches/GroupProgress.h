#pragma once

#include <string>
#include <unordered_map>

/** Counts the complete groups of a batch. No I/O. */
namespace lavender::batches {

struct group_progress
{
  /** Number of items without a result, by group. */
  std::unordered_map<std::string, int> mOpenItems;
  int mCompleteGroups = 0;
};

/** Counts an item that has no result yet. */
void
RecordOpenItem(group_progress& aProgress, const std::string& aGroup);

/** Counts a result of an item of the group.
 * @return true if this result completed the group */
bool
RecordResult(group_progress& aProgress, const std::string& aGroup);

int
OpenItems(const group_progress& aProgress, const std::string& aGroup);

} // namespace lavender::batches
