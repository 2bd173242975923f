#pragma once

#include "Libraries/Core/Clock.h"

#include <cstdint>
#include <string>
#include <string_view>

/** Structured log: one JSON object per line on standard output, one line for
 * each decision about a request and each change of what is known of the system.
 *
 * Writing never blocks the caller: lines go into a bounded buffer that a
 * thread writes out. When the buffer is full, or when the process logs more
 * lines per second than allowed, lines are dropped and counted, and the count
 * is written with the next batch. */
namespace lavender::events {

struct log_options
{
  /** Name of the process in each line. */
  std::string mProcess;
  /** Average of lines per second, and the maximum size of a burst. It keeps an
   * overload of thousands of requests per second from using the processor for
   * logging. */
  std::size_t mLinesPerSecond = 400;
  std::size_t mBufferedBytes = 256 << 10;
};

/** Starts the writing thread. Called once, before anything else in main. */
void
StartEventLog(log_options aOptions);

/** Writes the buffered lines and ends the thread. */
void
StopEventLog();

/** Lines dropped since the start of the process. */
std::uint64_t
DroppedLines();

/** One line of the log, buffered for writing by its destructor. */
class line
{
public:
  /** @param aEvent name of the event, from the table in OPERATIONS */
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

  bool mIsAccepted;
  std::string mText;
};

} // namespace lavender::events
