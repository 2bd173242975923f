#include "Duties/Batches/GroupOrder.h"

#include <algorithm>
#include <numeric>

namespace lavender::batches {

std::vector<std::size_t>
RankGroups(const std::vector<open_group>& aGroups,
           std::size_t aTargetGroups,
           double aFeasibleItems)
{
  std::vector<std::size_t> order(aGroups.size());
  std::iota(order.begin(), order.end(), std::size_t(0));
  std::stable_sort(order.begin(), order.end(), [&](auto aLeft, auto aRight) {
    return aGroups[aLeft].mStartedItems > aGroups[aRight].mStartedItems;
  });
  std::vector<std::size_t> ranks(aGroups.size());
  std::size_t taken = 0;
  double items = 0;
  std::size_t next = 0;
  for (const auto group : order) {
    if (aGroups[group].mOpenItems == 0) {
      continue;
    }
    items += aGroups[group].mOpenItems;
    // The first group is taken even if it is late: some group must be first.
    const bool isFeasible = next == 0 && taken < aTargetGroups &&
                            (taken == 0 || items <= aFeasibleItems);
    taken += isFeasible ? 1 : 0;
    ranks[group] = isFeasible ? 0 : ++next;
  }
  return ranks;
}

} // namespace lavender::batches
