#pragma once

#include <chrono>
#include <fstream>
#include <string>
#include <vector>

/** Load generators and experiments, which run the real programs against
 * stand-ins of the platform and the engines. */
namespace lavender::bench {

/** Writes rows to a CSV file with a header line and to standard output. */
class csv_file
{
public:
  csv_file(const std::string& aPath, const std::vector<std::string>& aHeader);
  void WriteRow(const std::vector<std::string>& aFields);

private:
  std::ofstream mStream;
};

std::string
Format(double aNumber);

/** Formats a duration in milliseconds with two decimals. */
std::string
Format(std::chrono::nanoseconds aDuration);

/** Returns the duration below which the share aShare (0 to 1) of the durations
 * lies; zero if there are no durations. */
std::chrono::nanoseconds
Percentile(std::vector<std::chrono::nanoseconds> aDurations, double aShare);

} // namespace lavender::bench
