#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <sys/types.h>
#include <vector>

namespace lavender::test {

/** Which of the program's outputs the test reads. */
enum class output
{
  Standard,
  Errors
};

/** A program of ours started by a test, and ended with it by its id. */
class child_process
{
public:
  child_process(const std::string& aProgram,
                const std::vector<std::string>& aArguments,
                const std::vector<std::string>& aEnvironment = {},
                output aOutput = output::Standard);
  /** Kills the process when it still runs. */
  ~child_process();
  child_process(child_process&& aOther) noexcept;
  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;

  /** Waits for the line "ready NAME=PORT ..." and remembers the ports.
   * False when the process ended or stayed silent for 20 s. */
  bool WaitUntilReady();
  /** Everything that it writes until it closes its output or the wait is
   * over. */
  std::string ReadToEnd(std::chrono::milliseconds aWait);
  /** Port of that name from the ready line; 0 when there is none. */
  std::uint16_t Port(const std::string& aName) const;
  void Signal(int aSignal) const;
  /** Waits for the end; the exit status, or -1 for a signal or no end. */
  int WaitForExit(std::chrono::milliseconds aWait);
  bool IsRunning();
  pid_t Id() const { return mId; }

private:
  pid_t mId = -1;
  int mOutput = -1;
  std::map<std::string, std::uint16_t> mPorts;
};

} // namespace lavender::test
