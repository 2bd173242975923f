#include "Duties/Batches/RunningBatch.h"

#include <unordered_map>

namespace lavender::batches {

running_batch
MakeRunningBatch(const batch_metadata& aMetadata,
                 std::shared_ptr<const submission> aSubmission,
                 const std::function<bool(const std::string&)>& aHasResult)
{
  running_batch batch;
  batch.mMetadata = aMetadata;
  batch.mSubmission = std::move(aSubmission);
  std::unordered_map<std::string, std::size_t> groups;
  for (const auto& item : batch.mSubmission->mItems) {
    batch.mGroupOf.push_back(
      groups.emplace(item.mGroup, groups.size()).first->second);
    item_progress progress;
    progress.mItem = &item;
    if (aHasResult(item.mId)) {
      progress.mPhase = item_phase::Ended;
    } else {
      RecordOpenItem(batch.mGroups, item.mGroup);
    }
    batch.mItems.push_back(std::move(progress));
  }
  batch.mGroupCount = groups.size();
  batch.mStandings.resize(groups.size(), scheduling::group_standing::Complete);
  batch.mWasDeferred.resize(groups.size());
  return batch;
}

} // namespace lavender::batches
