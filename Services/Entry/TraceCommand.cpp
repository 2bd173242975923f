#include "Services/Entry/TraceCommand.h"

#include "Libraries/Json/Value.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <optional>
#include <set>
#include <sstream>

namespace lavender::entry {

namespace {

/** True for events about a batch as a whole, which the trace of each of its
 * items includes. */
bool
IsBatchEvent(const std::string& aEvent)
{
  static const std::set<std::string> kEvents = {
    "batch_accepted", "batch_refused",  "batch_repeated",
    "batch_claimed",  "batch_loaded",   "batch_owner_changed",
    "batch_ended",    "results_listed", "owner_silent",
  };
  return kEvents.count(aEvent) > 0;
}

std::optional<json::value>
ParseLogLine(const std::string& aLine)
{
  const auto start = aLine.find('{');
  if (start == std::string::npos) {
    return std::nullopt;
  }
  auto parsed = json::Parse(std::string_view(aLine).substr(start));
  return parsed && parsed->Find("event") ? parsed.mValue : std::nullopt;
}

std::string
ToText(const json::value& aLine)
{
  std::string text = json::StringAt(aLine, "event", "");
  for (const auto& [name, value] : aLine.Members()) {
    if (name != "at_ms" && name != "process" && name != "event") {
      text += " " + name + "=" +
              (value.IsString() ? value.StringOr("") : json::Write(value));
    }
  }
  return text;
}

} // namespace

std::vector<trace_line>
TraceRequest(const std::vector<std::string>& aLogs, const std::string& aId)
{
  std::vector<json::value> lines;
  std::set<std::string> batches;
  for (const auto& log : aLogs) {
    std::istringstream input(log);
    for (std::string line; std::getline(input, line);) {
      auto parsed = ParseLogLine(line);
      if (!parsed) {
        continue;
      }
      if (json::StringAt(*parsed, "request", "") == aId) {
        batches.insert(json::StringAt(*parsed, "batch", ""));
      }
      lines.push_back(std::move(*parsed));
    }
  }
  batches.erase("");
  std::vector<trace_line> trace;
  for (const auto& line : lines) {
    const auto batch = json::StringAt(line, "batch", "");
    const bool mentions = json::StringAt(line, "request", "") == aId ||
                          batch == aId ||
                          json::StringAt(line, "reward", "") == aId;
    const bool describesBatch = batches.count(batch) > 0 &&
                                IsBatchEvent(json::StringAt(line, "event", ""));
    if (mentions || describesBatch) {
      trace.push_back({ json::IntegerAt(line, "at_ms", 0),
                        json::StringAt(line, "process", ""),
                        ToText(line) });
    }
  }
  std::stable_sort(
    trace.begin(), trace.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.mAtMilliseconds < aRight.mAtMilliseconds;
    });
  return trace;
}

int
RunTrace(const std::vector<std::string>& aArguments, std::ostream& aOutput)
{
  if (aArguments.size() < 2) {
    aOutput << "usage: lavender-entry trace ID FILE...\n";
    return 2;
  }
  std::vector<std::string> logs;
  for (std::size_t i = 1; i < aArguments.size(); ++i) {
    std::ifstream file(aArguments[i]);
    if (!file) {
      aOutput << aArguments[i] << ": can't be read\n";
      return 2;
    }
    std::ostringstream text;
    text << file.rdbuf();
    logs.push_back(text.str());
  }
  const auto trace = TraceRequest(logs, aArguments[0]);
  if (trace.empty()) {
    aOutput << "no log line mentions " << aArguments[0] << "\n";
    return 1;
  }
  const auto first = trace.front().mAtMilliseconds;
  for (const auto& line : trace) {
    aOutput << "+" << line.mAtMilliseconds - first << " ms  " << line.mProcess
            << "  " << line.mText << "\n";
  }
  return 0;
}

} // namespace lavender::entry
