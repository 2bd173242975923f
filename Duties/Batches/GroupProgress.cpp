#include "Duties/Batches/GroupProgress.h"

namespace lavender::batches {

void
NoteOpenItem(group_progress& aProgress, const std::string& aGroup)
{
  ++aProgress.mOpen[aGroup];
}

bool
NoteResult(group_progress& aProgress, const std::string& aGroup)
{
  const auto group = aProgress.mOpen.find(aGroup);
  if (group == aProgress.mOpen.end() || group->second == 0) {
    return false;
  }
  if (--group->second > 0) {
    return false;
  }
  ++aProgress.mWholeGroups;
  return true;
}

int
OpenItems(const group_progress& aProgress, const std::string& aGroup)
{
  const auto group = aProgress.mOpen.find(aGroup);
  return group == aProgress.mOpen.end() ? 0 : group->second;
}

} // namespace lavender::batches
