#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

/** One limit for the memory of all responses that a process is reading. The
 * bound of a single response doesn't protect a small machine from many that
 * grow at once. No I/O. */
namespace lavender::edge {

using answer_number = std::uint64_t;

struct answer_budget
{
  std::size_t mMaximumBytes = 64 << 20;
  /** Sum of mAnswers. */
  std::size_t mHeldBytes = 0;
  /** Bytes held of each response; none of a response that holds none. */
  std::unordered_map<answer_number, std::size_t> mAnswers;
};

struct held_answer
{
  answer_number mNumber = 0;
  std::size_t mBytes = 0;
};

/** Replaces what one response holds.
 * @param aBytes 0 after the end of the response */
void
RecordHeld(answer_budget& aBudget, answer_number aAnswer, std::size_t aBytes);

/** Removes and returns the response that holds most, if all together hold more
 * than allowed: one without an end grows beyond the others. None if they hold
 * no more than that. */
std::optional<held_answer>
TakeLargestBeyond(answer_budget& aBudget);

} // namespace lavender::edge
