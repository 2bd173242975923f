#include "Duties/Batches/CarriedRuns.h"

#include <unordered_map>

namespace lavender::batches {

std::vector<run_record>
CarriedRuns(const submission& aSubmission, const std::vector<item_run>& aRuns)
{
  std::vector<run_record> records;
  if (aRuns.empty()) {
    return records;
  }
  std::unordered_map<std::string, std::size_t> indexes;
  for (std::size_t i = 0; i < aSubmission.mItems.size(); ++i) {
    indexes.emplace(aSubmission.mItems[i].mId, i);
  }
  for (const auto& run : aRuns) {
    if (const auto item = indexes.find(run.mItemId); item != indexes.end()) {
      records.push_back({ item->second, run.mServer, run.mFate });
    }
  }
  return records;
}

} // namespace lavender::batches
