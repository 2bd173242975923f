#include "Libraries/Edge/AnswerBudget.h"

#include <algorithm>

namespace lavender::edge {

void
RecordHeld(answer_budget& aBudget, answer_number aAnswer, std::size_t aBytes)
{
  const auto found = aBudget.mAnswers.find(aAnswer);
  const auto before = found == aBudget.mAnswers.end() ? 0 : found->second;
  aBudget.mHeldBytes += aBytes;
  aBudget.mHeldBytes -= before;
  if (aBytes > 0) {
    aBudget.mAnswers[aAnswer] = aBytes;
  } else if (found != aBudget.mAnswers.end()) {
    aBudget.mAnswers.erase(found);
  }
}

std::optional<held_answer>
TakeLargestBeyond(answer_budget& aBudget)
{
  if (aBudget.mHeldBytes <= aBudget.mMaximumBytes) {
    return std::nullopt;
  }
  const auto largest =
    std::max_element(aBudget.mAnswers.begin(),
                     aBudget.mAnswers.end(),
                     [](const auto& aLeft, const auto& aRight) {
                       return aLeft.second < aRight.second;
                     });
  const held_answer taken{ largest->first, largest->second };
  RecordHeld(aBudget, taken.mNumber, 0);
  return taken;
}

} // namespace lavender::edge
