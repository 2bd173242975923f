#include "Bench/ProcessCost.h"

#include <fstream>
#include <sstream>
#include <string>
#include <unistd.h>

namespace lavender::bench {

process_cost
ReadCost(pid_t aProcess)
{
  const std::string folder = "/proc/" + std::to_string(aProcess);
  process_cost cost;
  std::ifstream stat(folder + "/stat");
  std::string line;
  std::getline(stat, line);
  // The process name in parentheses may contain spaces. After it, utime and
  // stime are the 12th and 13th fields, and the thread count is the 18th.
  std::istringstream fields(line.substr(line.rfind(')') + 1));
  std::string field;
  std::int64_t ticks = 0;
  for (int i = 1; i <= 18 && fields >> field; ++i) {
    if (i == 12 || i == 13) {
      ticks += std::stoll(field);
    } else if (i == 18) {
      cost.mThreads = std::stoi(field);
    }
  }
  cost.mCpuTime =
    std::chrono::nanoseconds(ticks * (1000000000 / sysconf(_SC_CLK_TCK)));
  std::ifstream status(folder + "/status");
  while (std::getline(status, line)) {
    if (line.rfind("VmRSS:", 0) == 0) {
      cost.mResidentKilobytes = std::stoll(line.substr(6));
    }
  }
  return cost;
}

} // namespace lavender::bench
