#include "Duties/Leases/GuardedConnection.h"

#include <arpa/inet.h>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <netinet/in.h>
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

constexpr auto kLease = 40ms;
constexpr int kPauses = 120;

/** A listener that reads only when asked, so that a sender's socket fills. */
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

/** Reads until nothing comes for a while or the connection ends. */
std::size_t
ReadAll(int aSocket, std::chrono::milliseconds aSilence)
{
  std::size_t total = 0;
  char buffer[65536];
  pollfd waiting{ aSocket, POLLIN, 0 };
  while (poll(&waiting, 1, static_cast<int>(aSilence.count())) > 0) {
    const auto got = read(aSocket, buffer, sizeof(buffer));
    if (got <= 0) {
      break;
    }
    total += static_cast<std::size_t>(got);
  }
  return total;
}

/** The process that is paused: checks its lease and sends, on and on. */
[[noreturn]] void
SendUnderLease(const http::endpoint& aTo, time_point aEnd, std::size_t aBytes)
{
  const auto connection = guarded_connection::Open(aTo, aEnd, 5s);
  if (connection) {
    const std::string bytes(aBytes, 'x');
    while (boot_clock::now() < aEnd && (*connection)->Send(bytes)) {
    }
    // Stays open, so that only the guard can have ended it.
    std::this_thread::sleep_for(50ms);
  }
  _exit(0);
}

/** Pauses a sender at that moment past the lease's end; the bytes that came
 * after the resume, which a successor could see. */
std::size_t
BytesAfterResume(std::chrono::microseconds aPauseAt, std::size_t aBytes)
{
  slow_listener listener;
  const auto end = boot_clock::now() + kLease;
  const pid_t sender = fork();
  if (sender == 0) {
    SendUnderLease(listener.mEndpoint, end, aBytes);
  }
  const int accepted = accept(listener.mSocket, nullptr, nullptr);
  std::this_thread::sleep_for(aPauseAt);
  kill(sender, SIGSTOP);
  waitpid(sender, nullptr, WUNTRACED);
  std::this_thread::sleep_until(std::chrono::steady_clock::now() +
                                (end - boot_clock::now()) + 10ms);
  // Bytes that the kernel took before the pause aren't what this test counts;
  // on a loaded machine they come with gaps of tens of milliseconds.
  ReadAll(accepted, 100ms);
  kill(sender, SIGCONT);
  const auto after = ReadAll(accepted, 30ms);
  kill(sender, SIGKILL);
  waitpid(sender, nullptr, 0);
  close(accepted);
  return after;
}

int
CountLeaks(std::size_t aBytes)
{
  std::mt19937 random(20261203);
  std::uniform_int_distribution<int> moment(0, 30000);
  int leaks = 0;
  for (int i = 0; i < kPauses; ++i) {
    leaks +=
      BytesAfterResume(std::chrono::microseconds(moment(random)), aBytes) > 0;
  }
  return leaks;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestGuardedConnection)

// A platform would see an order of a process whose lease a successor has. The
// process is paused between its check and its send, or while its send is
// blocked in a full socket, past the lease's end, and goes on. 240 real
// pauses at seeded moments; the bytes are counted after the resume.
BOOST_AUTO_TEST_CASE(PausedSenderLetsNoByteOut)
{
  BOOST_TEST(CountLeaks(1 << 20) == 0);
  BOOST_TEST(CountLeaks(200) == 0);
}

// The same without a signal that interrupts anything: the lease ends while
// this thread holds an open connection and only then sends.
BOOST_AUTO_TEST_CASE(SendAfterTheEndFails)
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

BOOST_AUTO_TEST_CASE(LeaseThatIsOverOpensNothing)
{
  slow_listener listener;
  BOOST_TEST(
    !guarded_connection::Open(listener.mEndpoint, boot_clock::now() - 1ms, 1s));
}

BOOST_AUTO_TEST_SUITE_END()
