#pragma once

#include <chrono>
#include <fstream>
#include <string>
#include <vector>

/** Load and experiments on the real programs before stand-ins. */
namespace lavender::bench {

/** A CSV file with a header line. */
class csv_file
{
public:
  csv_file(const std::string& aPath, const std::vector<std::string>& aHeader);
  void Row(const std::vector<std::string>& aFields);

private:
  std::ofstream mStream;
};

std::string
Text(double aNumber);

/** In milliseconds with two decimals. */
std::string
Text(std::chrono::nanoseconds aDuration);

/** The value below which that share of the durations lies; zero for none. */
std::chrono::nanoseconds
Percentile(std::vector<std::chrono::nanoseconds> aDurations, double aShare);

} // namespace lavender::bench
