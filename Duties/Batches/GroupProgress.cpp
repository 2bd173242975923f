#include "Duties/Batches/GroupProgress.h"

namespace lavender::batches {

void
RecordOpenItem(group_progress& aProgress, const std::string& aGroup)
{
  ++aProgress.mOpenItems[aGroup];
}

bool
RecordResult(group_progress& aProgress, const std::string& aGroup)
{
  const auto group = aProgress.mOpenItems.find(aGroup);
  if (group == aProgress.mOpenItems.end() || group->second == 0) {
    return false;
  }
  if (--group->second > 0) {
    return false;
  }
  ++aProgress.mCompleteGroups;
  return true;
}

int
OpenItems(const group_progress& aProgress, const std::string& aGroup)
{
  const auto group = aProgress.mOpenItems.find(aGroup);
  return group == aProgress.mOpenItems.end() ? 0 : group->second;
}

} // namespace lavender::batches
