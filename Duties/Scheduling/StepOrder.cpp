#include "Duties/Scheduling/StepOrder.h"

namespace lavender::scheduling {

step_ranks
RankSteps(const std::vector<open_step>& aSteps, int /*aPlaces*/)
{
  step_ranks ranks;
  std::size_t rank = 0;
  for (const auto& step : aSteps) {
    ranks.emplace_back(step.mGroups.size(), rank++);
  }
  return ranks;
}

} // namespace lavender::scheduling
