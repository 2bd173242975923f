#include "Duties/Leases/GuardedConnection.h"

#include <arpa/inet.h>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <netinet/in.h>
#include <optional>
#include <poll.h>
#include <random>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

using namespace lavender;
using namespace lavender::leases;
using namespace std::chrono_literals;

namespace {

constexpr auto kLeaseDuration = 40ms;
constexpr int kPauses = 120;
/** A sender that starts only after its lease has expired can't be paused; on a
 * busy machine that happens now and then, so a pause may be tried again. */
constexpr int kMaximumTries = 20 * kPauses;

/** Listener whose small receive buffer fills up, so that a sender blocks. */
struct slow_listener
{
  int mSocket = -1;
  http::endpoint mEndpoint{ "127.0.0.1", 0 };

  slow_listener()
  {
    mSocket = socket(AF_INET, SOCK_STREAM, 0);
    const int size = 4096;
    setsockopt(mSocket, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    bind(mSocket, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    listen(mSocket, 8);
    socklen_t length = sizeof(address);
    getsockname(mSocket, reinterpret_cast<sockaddr*>(&address), &length);
    mEndpoint.mPort = ntohs(address.sin_port);
  }
  ~slow_listener() { close(mSocket); }
};

/** Reads until the connection ends or is silent for that long; returns the
 * number of bytes. */
std::size_t
ReadAll(int aSocket, std::chrono::milliseconds aSilence)
{
  std::size_t total = 0;
  char buffer[65536];
  pollfd waiting{ aSocket, POLLIN, 0 };
  while (poll(&waiting, 1, static_cast<int>(aSilence.count())) > 0) {
    const auto received = read(aSocket, buffer, sizeof(buffer));
    if (received <= 0) {
      break;
    }
    total += static_cast<std::size_t>(received);
  }
  return total;
}

/** Runs in the process that is paused: checks the lease and sends in a loop. */
[[noreturn]] void
SendUnderLease(const http::endpoint& aTo, time_point aEnd, std::size_t aBytes)
{
  const auto connection = guarded_connection::Open(aTo, aEnd, 5s);
  if (connection) {
    const std::string bytes(aBytes, 'x');
    while (boot_clock::now() < aEnd && (*connection)->Send(bytes)) {
    }
    // Keeps the connection open, so that only the signal handler can end it.
    std::this_thread::sleep_for(50ms);
  }
  _exit(0);
}

/** Waits until the sender has connected.
 * @return the connection's socket; none if the sender ended first */
std::optional<int>
AcceptFrom(const slow_listener& aListener, pid_t aSender)
{
  pollfd waiting{ aListener.mSocket, POLLIN, 0 };
  bool hasEnded = false;
  while (poll(&waiting, 1, hasEnded ? 0 : 5) == 0) {
    if (hasEnded) {
      return std::nullopt;
    }
    siginfo_t state{};
    waitid(
      P_PID, static_cast<id_t>(aSender), &state, WEXITED | WNOHANG | WNOWAIT);
    hasEnded = state.si_pid == aSender;
  }
  return accept(aListener.mSocket, nullptr, nullptr);
}

void
End(pid_t aSender)
{
  kill(aSender, SIGKILL);
  waitpid(aSender, nullptr, 0);
}

/** Pauses a sender from that moment until after the lease has expired.
 * @return the number of bytes that arrived after it was resumed; none if it had
 * ended before it could be paused */
std::optional<std::size_t>
BytesAfterResume(std::chrono::microseconds aPauseAt, std::size_t aBytes)
{
  slow_listener listener;
  const auto end = boot_clock::now() + kLeaseDuration;
  const pid_t sender = fork();
  if (sender == 0) {
    SendUnderLease(listener.mEndpoint, end, aBytes);
  }
  const auto accepted = AcceptFrom(listener, sender);
  if (!accepted) {
    End(sender);
    return std::nullopt;
  }
  std::this_thread::sleep_for(aPauseAt);
  kill(sender, SIGSTOP);
  int status = 0;
  waitpid(sender, &status, WUNTRACED);
  if (!WIFSTOPPED(status)) {
    close(*accepted);
    return std::nullopt;
  }
  std::this_thread::sleep_until(std::chrono::steady_clock::now() +
                                (end - boot_clock::now()) + 10ms);
  // Bytes that the kernel accepted before the pause don't count. On a loaded
  // machine they arrive with gaps of tens of milliseconds.
  ReadAll(*accepted, 100ms);
  kill(sender, SIGCONT);
  const auto after = ReadAll(*accepted, 30ms);
  End(sender);
  close(*accepted);
  return after;
}

int
CountLeaks(std::size_t aBytes)
{
  std::mt19937 random(20261203);
  std::uniform_int_distribution<int> moment(0, 30000);
  int leaks = 0;
  int pauses = 0;
  for (int tries = 0; pauses < kPauses && tries < kMaximumTries; ++tries) {
    const auto late =
      BytesAfterResume(std::chrono::microseconds(moment(random)), aBytes);
    pauses += late ? 1 : 0;
    leaks += late.value_or(0) > 0 ? 1 : 0;
  }
  BOOST_TEST(pauses == kPauses);
  return leaks;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestGuardedConnection)

// Guards against a request that is sent after another process took the lease
// over. The sender is paused between its check and its send, or while its send
// blocks on a full socket, and resumes after the lease has expired. 240 real
// pauses at seeded moments; bytes that arrive after the resume are counted.
BOOST_AUTO_TEST_CASE(PausedSenderLetsNoByteOut)
{
  BOOST_TEST(CountLeaks(1 << 20) == 0);
  BOOST_TEST(CountLeaks(200) == 0);
}

// The same failure without an interrupted call: the lease expires while this
// thread is idle with an open connection, and the thread sends afterwards.
BOOST_AUTO_TEST_CASE(SendAfterExpiryFails)
{
  slow_listener listener;
  const auto end = boot_clock::now() + 30ms;
  const auto connection = guarded_connection::Open(listener.mEndpoint, end, 1s);
  BOOST_REQUIRE(connection);
  BOOST_TEST((*connection)->Send("in time"));
  const int accepted = accept(listener.mSocket, nullptr, nullptr);
  BOOST_TEST(ReadAll(accepted, 5ms) == 7u);
  while (boot_clock::now() < end + 1ms) {
    std::this_thread::sleep_for(1ms);
  }
  BOOST_TEST(!(*connection)->Send("late"));
  BOOST_TEST(ReadAll(accepted, 20ms) == 0u);
  close(accepted);
}

BOOST_AUTO_TEST_CASE(ExpiredLeaseOpensNoConnection)
{
  slow_listener listener;
  BOOST_TEST(
    !guarded_connection::Open(listener.mEndpoint, boot_clock::now() - 1ms, 1s));
}

BOOST_AUTO_TEST_SUITE_END()
