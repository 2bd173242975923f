#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace lavender::soak {

/** A program started by the soak, with its output in a file. The destructor
 * ends it by its process id. */
class process
{
public:
  process() = default;
  ~process();
  process(const process&) = delete;
  process& operator=(const process&) = delete;

  bool Start(const std::vector<std::string>& aCommand,
             const std::string& aLogPath);
  void Signal(int aSignal) const;
  /** Whether the process has ended; if so, reaps it. */
  bool HasEnded();
  bool IsStarted() const { return mId > 0; }
  pid_t Id() const { return mId; }
  /** Exit status, or the negative signal number if a signal ended the process.
   */
  int ExitStatus() const { return mExitStatus; }
  void Reap();

private:
  pid_t mId = -1;
  int mExitStatus = 0;
};

} // namespace lavender::soak
