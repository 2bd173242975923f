#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace lavender::soak {

/** A program that the soak started; its output goes to a file. Ended by its id
 * when this goes out of scope. */
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
  /** Whether it has ended since; then it is reaped. */
  bool HasEnded();
  bool IsStarted() const { return mId > 0; }
  /** How it ended: the exit status, or minus the signal. */
  int Ending() const { return mEnding; }
  void Reap();

private:
  pid_t mId = -1;
  int mEnding = 0;
};

} // namespace lavender::soak
