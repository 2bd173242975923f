#include "Libraries/Core/TerminationSignal.h"

#include <csignal>

namespace lavender {
namespace {

sigset_t
TerminationSet()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

} // namespace

termination_signal::termination_signal()
{
  // Without this, a write to a connection that the peer has closed would
  // terminate the process.
  std::signal(SIGPIPE, SIG_IGN);
  const sigset_t signals = TerminationSet();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

bool
termination_signal::WaitFor(std::chrono::milliseconds aWait)
{
  const sigset_t signals = TerminationSet();
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(aWait);
  timespec wait{};
  wait.tv_sec = seconds.count();
  wait.tv_nsec = std::chrono::nanoseconds(aWait - seconds).count();
  return sigtimedwait(&signals, nullptr, &wait) > 0;
}

} // namespace lavender
