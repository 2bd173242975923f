#pragma once

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

namespace lavender::entry {

/** One line of a process's structured log. */
struct trace_line
{
  std::int64_t mAtMilliseconds = 0;
  std::string mProcess;
  std::string mText;
};

/** The story of one request, item or batch from the logs of many processes, in
 * the order of their clocks: all lines that name it, and for an item also
 * those that tell of its batch's acceptance, owner and end.
 * @param aLogs whole log files; what stands before the first brace of a line,
 * such as the time and name that a collector adds, is passed over */
std::vector<trace_line>
TraceRequest(const std::vector<std::string>& aLogs, const std::string& aId);

/** "lavender-entry trace ID FILE...": prints the story.
 * @return exit status; 1 when no line names the id */
int
RunTrace(const std::vector<std::string>& aArguments, std::ostream& aOutput);

} // namespace lavender::entry
