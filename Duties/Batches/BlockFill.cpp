#include "Duties/Batches/BlockFill.h"

#include <algorithm>
#include <map>

namespace lavender::batches {

namespace {

/** Room for an object's name, revisions and the names of its members. */
constexpr std::size_t kObjectFrameBytes = 2048;
/** Room for the names of a block's members. */
constexpr std::size_t kBlockFrameBytes = 256;

/** Room for what a result holds beside its text: ids, versions and a score. */
constexpr std::size_t kResultFrameBytes = 4 << 10;

/** What is left of a block. */
struct room
{
  std::size_t mLeft = 0;
  bool mIsEmpty = true;

  bool Take(std::size_t aBytes)
  {
    if (aBytes > mLeft) {
      return false;
    }
    mLeft -= aBytes;
    mIsEmpty = false;
    return true;
  }
};

/** Keeps the first records that fit.
 * @return whether all do */
template<typename Record>
bool
Cut(std::vector<Record>& aRecords, room& aRoom)
{
  std::size_t kept = 0;
  while (kept < aRecords.size() && aRoom.Take(EncodedBytes(aRecords[kept]))) {
    ++kept;
  }
  const bool isWhole = kept == aRecords.size();
  aRecords.resize(kept);
  return isWhole;
}

/** The same for the runs of each item. */
bool
CutRuns(std::vector<run_record>& aRuns, room& aRoom)
{
  auto next = aRuns.begin();
  while (next != aRuns.end()) {
    const auto first = next;
    std::size_t bytes = 0;
    for (; next != aRuns.end() && next->mItem == first->mItem; ++next) {
      bytes += EncodedBytes(*next);
    }
    if (!aRoom.Take(bytes)) {
      aRuns.erase(first, aRuns.end());
      return false;
    }
  }
  return true;
}

bool
CutChange(server_list_change& aChange, room& aRoom)
{
  const bool isWhole = Cut(aChange.mAdded, aRoom);
  return Cut(aChange.mRemoved, aRoom) && isWhole;
}

void
AddPendingResults(result_block& aBlock, const result_log& aLog, room& aRoom)
{
  const auto& pending = aLog.mPending;
  for (std::size_t i = 0; i < pending.mItemIds.size(); ++i) {
    const auto& id = pending.mItemIds[i];
    const auto& entry = pending.mEntries[i];
    if (!aRoom.Take(EncodedBytes(id) + entry.size() + 1) && !aRoom.mIsEmpty) {
      return;
    }
    aRoom.mIsEmpty = false;
    aBlock.mItemIds.push_back(id);
    aBlock.mEntries.push_back(entry);
  }
}

} // namespace

std::size_t
LargestContent(std::size_t aMaximumObjectBytes)
{
  return aMaximumObjectBytes - std::min(aMaximumObjectBytes, kObjectFrameBytes);
}

std::size_t
LargestText(std::size_t aMaximumObjectBytes)
{
  const auto largest = LargestContent(aMaximumObjectBytes);
  return std::min(kMaximumTextBytes,
                  largest - std::min(largest, kResultFrameBytes));
}

result_block
FillBlock(result_block aAll, const result_log& aLog, std::size_t aMaximumBytes)
{
  const auto frame = kBlockFrameBytes + EncodedBytes(aAll.mWriter);
  room left{ aMaximumBytes - std::min(aMaximumBytes, frame) };
  bool isWhole = CutRuns(aAll.mRuns, left);
  isWhole = Cut(aAll.mErrors, left) && isWhole;
  isWhole = CutChange(aAll.mServers, left) && isWhole;
  if (aAll.mServers.mBeginsTerm) {
    aAll.mServers.mBeginsTerm = isWhole;
    left.mIsEmpty = left.mIsEmpty && !isWhole;
  }
  AddPendingResults(aAll, aLog, left);
  if (left.mIsEmpty && !aAll.mParts.empty() &&
      EncodedBytes(aAll.mParts.front()) > left.mLeft) {
    aAll.mParts.resize(1);
    return aAll;
  }
  Cut(aAll.mParts, left);
  return aAll;
}

std::size_t
CutCountedRuns(std::vector<item_run>& aRuns, std::size_t aMaximumBytes)
{
  std::map<std::string, int> ends;
  for (const auto& run : aRuns) {
    ++ends[run.mItemId];
  }
  const auto before = aRuns.size();
  std::stable_sort(
    aRuns.begin(), aRuns.end(), [&](const auto& aLeft, const auto& aRight) {
      return ends.at(aLeft.mItemId) > ends.at(aRight.mItemId);
    });
  room left{ aMaximumBytes };
  Cut(aRuns, left);
  return before - aRuns.size();
}

} // namespace lavender::batches
