#include "Bench/Results.h"

#include <algorithm>
#include <cstdio>
#include <iostream>

namespace lavender::bench {
namespace {

std::string
Join(const std::vector<std::string>& aFields)
{
  std::string line;
  for (const auto& field : aFields) {
    line += (line.empty() ? "" : ",") + field;
  }
  return line;
}

} // namespace

csv_file::csv_file(const std::string& aPath,
                   const std::vector<std::string>& aHeader)
  : mStream(aPath)
{
  WriteRow(aHeader);
}

void
csv_file::WriteRow(const std::vector<std::string>& aFields)
{
  const auto line = Join(aFields);
  mStream << line << std::endl;
  std::cout << line << std::endl;
}

std::string
Format(double aNumber)
{
  char buffer[32];
  std::snprintf(buffer, sizeof(buffer), "%.4g", aNumber);
  return buffer;
}

std::string
Format(std::chrono::nanoseconds aDuration)
{
  const std::chrono::duration<double, std::milli> milliseconds = aDuration;
  char buffer[32];
  std::snprintf(buffer, sizeof(buffer), "%.2f", milliseconds.count());
  return buffer;
}

std::chrono::nanoseconds
Percentile(std::vector<std::chrono::nanoseconds> aDurations, double aShare)
{
  if (aDurations.empty()) {
    return {};
  }
  const auto index = std::min(
    static_cast<std::size_t>(aShare * static_cast<double>(aDurations.size())),
    aDurations.size() - 1);
  std::nth_element(aDurations.begin(),
                   aDurations.begin() + static_cast<std::ptrdiff_t>(index),
                   aDurations.end());
  return aDurations[index];
}

} // namespace lavender::bench
