#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <sys/types.h>
#include <vector>

namespace lavender::test {

/** The output of the program that the test reads. */
enum class output
{
  Standard,
  Errors
};

/** A program started by a test. The destructor ends it by its process id. */
class child_process
{
public:
  child_process(const std::string& aProgram,
                const std::vector<std::string>& aArguments,
                const std::vector<std::string>& aEnvironment = {},
                output aOutput = output::Standard);
  /** Kills the process if it is still running. */
  ~child_process();
  child_process(child_process&& aOther) noexcept;
  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;

  /** Waits for the line "ready NAME=PORT ..." and stores the ports. Returns
   * false when the process ended or didn't become ready within 20 s. */
  bool WaitUntilReady();
  /** Returns what the process writes until it closes its output or the time is
   * over. */
  std::string ReadToEnd(std::chrono::milliseconds aWait);
  /** Port of that name in the ready line; 0 when there is none. */
  std::uint16_t Port(const std::string& aName) const;
  void Signal(int aSignal) const;
  /** Waits for the process to end. Returns its exit status, or -1 if a signal
   * ended it or it still runs after the time. */
  int WaitForExit(std::chrono::milliseconds aWait);
  bool IsRunning();
  pid_t Id() const { return mId; }

private:
  pid_t mId = -1;
  int mOutput = -1;
  std::map<std::string, std::uint16_t> mPorts;
};

} // namespace lavender::test
