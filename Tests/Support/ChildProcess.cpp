#include "Tests/Support/ChildProcess.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <poll.h>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

extern char** environ;

namespace lavender::test {
namespace {

/** Whether every thread of the process is stopped. */
bool
IsStopped(pid_t aId)
{
  const auto tasks =
    std::filesystem::path("/proc") / std::to_string(aId) / "task";
  std::error_code error;
  for (const auto& task : std::filesystem::directory_iterator(tasks, error)) {
    std::ifstream file(task.path() / "stat");
    std::string line;
    std::getline(file, line);
    // The state follows the name, which ends with the last bracket.
    const auto name = line.rfind(')');
    const bool isGone = name == std::string::npos;
    if (!isGone && line.size() > name + 2 && line[name + 2] != 'T' &&
        line[name + 2] != 'Z') {
      return false;
    }
  }
  return true;
}

/** Waits until SIGSTOP has taken effect: it does so only once a thread of the
 * process is scheduled, and on a busy machine other threads go on meanwhile.
 * Beside 24 busy processes, 54 of 150 requests that were sent right after the
 * signal were still answered. */
void
WaitUntilStopped(pid_t aId)
{
  constexpr auto kLimit = std::chrono::seconds(10);
  const auto limit = std::chrono::steady_clock::now() + kLimit;
  while (!IsStopped(aId) && std::chrono::steady_clock::now() < limit) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
}

using namespace std::chrono_literals;

constexpr auto kReadyLimit = 20s;

} // namespace

child_process::child_process(const std::string& aProgram,
                             const std::vector<std::string>& aArguments,
                             const std::vector<std::string>& aEnvironment,
                             output aOutput)
{
  int ends[2];
  if (pipe(ends) != 0) {
    throw std::runtime_error("can't create a pipe for a program's output");
  }
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions,
                                   ends[1],
                                   aOutput == output::Standard ? STDOUT_FILENO
                                                               : STDERR_FILENO);
  posix_spawn_file_actions_addclose(&actions, ends[0]);
  posix_spawn_file_actions_addclose(&actions, ends[1]);
  std::vector<char*> arguments;
  arguments.push_back(const_cast<char*>(aProgram.c_str()));
  for (const auto& argument : aArguments) {
    arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  arguments.push_back(nullptr);
  std::vector<char*> environment;
  for (const auto& variable : aEnvironment) {
    environment.push_back(const_cast<char*>(variable.c_str()));
  }
  for (char** variable = environ; *variable; ++variable) {
    environment.push_back(*variable);
  }
  environment.push_back(nullptr);
  const int failure = posix_spawn(&mId,
                                  aProgram.c_str(),
                                  &actions,
                                  nullptr,
                                  arguments.data(),
                                  environment.data());
  posix_spawn_file_actions_destroy(&actions);
  close(ends[1]);
  mOutput = ends[0];
  if (failure != 0) {
    close(mOutput);
    throw std::runtime_error("can't start program " + aProgram);
  }
}

child_process::child_process(child_process&& aOther) noexcept
  : mId(aOther.mId)
  , mOutput(aOther.mOutput)
  , mPorts(std::move(aOther.mPorts))
{
  aOther.mId = -1;
  aOther.mOutput = -1;
}

child_process::~child_process()
{
  if (mId > 0) {
    kill(mId, SIGCONT);
    kill(mId, SIGKILL);
    waitpid(mId, nullptr, 0);
  }
  if (mOutput >= 0) {
    close(mOutput);
  }
}

bool
child_process::WaitUntilReady()
{
  std::string line;
  const auto end = std::chrono::steady_clock::now() + kReadyLimit;
  while (line.find('\n') == std::string::npos) {
    pollfd waiting{ mOutput, POLLIN, 0 };
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    if (poll(&waiting, 1, 100) <= 0) {
      continue;
    }
    char byte = 0;
    if (read(mOutput, &byte, 1) != 1) {
      return false;
    }
    line.push_back(byte);
  }
  std::istringstream words(line);
  std::string word;
  words >> word;
  const bool isReady = word == "ready";
  while (words >> word) {
    if (const auto equals = word.find('='); equals != std::string::npos) {
      mPorts[word.substr(0, equals)] =
        static_cast<std::uint16_t>(std::stoi(word.substr(equals + 1)));
    }
  }
  return isReady;
}

std::string
child_process::ReadToEnd(std::chrono::milliseconds aWait)
{
  std::string text;
  const auto end = std::chrono::steady_clock::now() + aWait;
  while (std::chrono::steady_clock::now() < end) {
    pollfd waiting{ mOutput, POLLIN, 0 };
    if (poll(&waiting, 1, 100) <= 0) {
      continue;
    }
    char buffer[4096];
    const auto size = read(mOutput, buffer, sizeof buffer);
    if (size <= 0) {
      break;
    }
    text.append(buffer, static_cast<std::size_t>(size));
  }
  return text;
}

std::uint16_t
child_process::Port(const std::string& aName) const
{
  const auto found = mPorts.find(aName);
  return found == mPorts.end() ? 0 : found->second;
}

void
child_process::Signal(int aSignal) const
{
  if (mId <= 0) {
    return;
  }
  kill(mId, aSignal);
  if (aSignal == SIGSTOP) {
    WaitUntilStopped(mId);
  }
}

int
child_process::WaitForExit(std::chrono::milliseconds aWait)
{
  const auto end = std::chrono::steady_clock::now() + aWait;
  while (mId > 0) {
    int status = 0;
    if (waitpid(mId, &status, WNOHANG) == mId) {
      mId = -1;
      return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }
    if (std::chrono::steady_clock::now() > end) {
      return -1;
    }
    std::this_thread::sleep_for(10ms);
  }
  return -1;
}

bool
child_process::IsRunning()
{
  return mId > 0 && kill(mId, 0) == 0;
}

} // namespace lavender::test
