#pragma once

#include "Libraries/Core/Clock.h"

#include <cstdint>
#include <string>
#include <string_view>

/** Structured log: one JSON object a line on standard output, one line for
 * each decision about a request or change of belief.
 *
 * Writing never blocks the caller: lines go into a bounded buffer that a
 * thread empties. When it is full, or when a process writes more lines a
 * second than allowed, lines are dropped and counted, and the count is written
 * with the next batch. */
namespace lavender::events {

struct log_options
{
  /** Name of the process in each line. */
  std::string mProcess;
  /** Lines a second, on average, with bursts of as many: an overload of
   * thousands of requests a second must not spend the processor on logs. */
  std::size_t mLinesPerSecond = 400;
  std::size_t mBufferedBytes = 256 << 10;
};

/** Starts the writing thread. Called once, first in main. */
void
StartEventLog(log_options aOptions);

/** Writes what is buffered and ends the thread. */
void
StopEventLog();

std::uint64_t
DroppedLines();

/** One line, written when it goes out of scope. */
class line
{
public:
  /** @param aEvent what happened, as one word of the table in OPERATIONS */
  explicit line(std::string_view aEvent);
  ~line();
  line(const line&) = delete;
  line& operator=(const line&) = delete;

  line& With(std::string_view aName, std::string_view aValue);
  line& With(std::string_view aName, const char* aValue)
  {
    return With(aName, std::string_view(aValue));
  }
  line& With(std::string_view aName, std::int64_t aValue);
  line& With(std::string_view aName, milliseconds aValue)
  {
    return With(aName, static_cast<std::int64_t>(aValue.count()));
  }

private:
  void Name(std::string_view aName);

  bool mIsKept;
  std::string mText;
};

} // namespace lavender::events
