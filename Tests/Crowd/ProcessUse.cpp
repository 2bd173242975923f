#include "Tests/Crowd/ProcessUse.h"

#include <filesystem>
#include <fstream>
#include <string>

namespace lavender::tests {

namespace {

constexpr std::size_t kKilobyte = 1024;

} // namespace

process_use
UseOf(pid_t aProcess)
{
  const auto folder = std::filesystem::path("/proc") / std::to_string(aProcess);
  process_use use;
  std::ifstream status(folder / "status");
  std::string name;
  while (status >> name) {
    if (name == "VmRSS:") {
      status >> use.mMemoryBytes;
      use.mMemoryBytes *= kKilobyte;
    } else if (name == "VmHWM:") {
      status >> use.mPeakBytes;
      use.mPeakBytes *= kKilobyte;
    } else {
      std::getline(status, name);
    }
  }
  std::error_code error;
  for (std::filesystem::directory_iterator entry(folder / "fd", error), end;
       !error && entry != end;
       entry.increment(error)) {
    ++use.mDescriptors;
  }
  return use;
}

} // namespace lavender::tests
