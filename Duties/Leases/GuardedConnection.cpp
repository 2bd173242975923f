#include "Duties/Leases/GuardedConnection.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

namespace lavender::leases {
namespace {

using namespace std::chrono_literals;

/** Real-time signal reserved for this module. */
int
GuardSignal()
{
  return SIGRTMIN + 3;
}

/** Signal handler that runs in the sending thread when the lease expires. Both
 * calls are async-signal-safe. The shutdown makes every later send fail;
 * connecting to AF_UNSPEC aborts the connection and drops unsent bytes. */
void
AbortConnection(int, siginfo_t* aInfo, void*)
{
  const int savedError = errno;
  const int socket = aInfo->si_value.sival_int;
  shutdown(socket, SHUT_RDWR);
  sockaddr unconnected{};
  unconnected.sa_family = AF_UNSPEC;
  connect(socket, &unconnected, sizeof(unconnected));
  errno = savedError;
}

void
InstallHandler()
{
  static std::once_flag installed;
  std::call_once(installed, [] {
    struct sigaction action
    {};
    action.sa_sigaction = AbortConnection;
    action.sa_flags = SA_SIGINFO | SA_RESTART;
    sigemptyset(&action.sa_mask);
    sigaction(GuardSignal(), &action, nullptr);
  });
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, GuardSignal());
  pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
}

timespec
ToTimespec(time_point aTime)
{
  const auto sinceBoot = aTime.time_since_epoch();
  const auto seconds =
    std::chrono::duration_cast<std::chrono::seconds>(sinceBoot);
  timespec value{};
  value.tv_sec = seconds.count();
  value.tv_nsec = std::chrono::nanoseconds(sinceBoot - seconds).count();
  return value;
}

void
SetTimeouts(int aSocket, milliseconds aTimeout, milliseconds aRemaining)
{
  timeval wait{};
  wait.tv_sec = aTimeout.count() / 1000;
  wait.tv_usec = (aTimeout.count() % 1000) * 1000;
  setsockopt(aSocket, SOL_SOCKET, SO_SNDTIMEO, &wait, sizeof(wait));
  setsockopt(aSocket, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
  const auto unacknowledged =
    static_cast<unsigned>(std::min(aTimeout, aRemaining).count());
  setsockopt(aSocket,
             IPPROTO_TCP,
             TCP_USER_TIMEOUT,
             &unacknowledged,
             sizeof(unacknowledged));
  const int yes = 1;
  setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
  // close() resets the connection and drops unsent bytes.
  const linger abortive{ 1, 0 };
  setsockopt(aSocket, SOL_SOCKET, SO_LINGER, &abortive, sizeof(abortive));
}

} // namespace

guarded_connection::guarded_connection(int aSocket, time_point aLeaseEnd)
  : mSocket(aSocket)
  , mLeaseEnd(aLeaseEnd)
{
}

guarded_connection::~guarded_connection()
{
  // The timer is deleted before the socket is closed: another thread may reuse
  // the descriptor, which the signal handler must not abort. A signal that is
  // already pending is delivered before timer_delete returns to this thread.
  if (mIsTimerArmed) {
    timer_delete(mTimer);
  }
  close(mSocket);
}

bool
guarded_connection::ArmTimer()
{
  InstallHandler();
  sigevent event{};
  event.sigev_notify = SIGEV_THREAD_ID;
  event.sigev_signo = GuardSignal();
  event.sigev_value.sival_int = mSocket;
  event._sigev_un._tid = gettid();
  if (timer_create(CLOCK_BOOTTIME, &event, &mTimer) != 0) {
    return false;
  }
  mIsTimerArmed = true;
  itimerspec when{};
  when.it_value = ToTimespec(mLeaseEnd);
  return timer_settime(mTimer, TIMER_ABSTIME, &when, nullptr) == 0;
}

bool
guarded_connection::Connect(const http::endpoint& aTo, milliseconds aTimeout)
{
  const auto remaining =
    std::chrono::duration_cast<milliseconds>(mLeaseEnd - boot_clock::now());
  if (remaining <= 1ms) {
    return false;
  }
  SetTimeouts(mSocket, aTimeout, remaining - 1ms);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aTo.mPort);
  if (inet_pton(AF_INET, aTo.mAddress.c_str(), &address.sin_addr) != 1) {
    return false;
  }
  // Linux applies SO_SNDTIMEO to connect() as well.
  return connect(mSocket,
                 reinterpret_cast<const sockaddr*>(&address),
                 sizeof(address)) == 0;
}

result<std::unique_ptr<guarded_connection>>
guarded_connection::Open(const http::endpoint& aTo,
                         time_point aLeaseEnd,
                         milliseconds aTimeout)
{
  using connection_pointer = std::unique_ptr<guarded_connection>;
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (socket < 0) {
    return Fail<connection_pointer>("cannot create a TCP socket");
  }
  connection_pointer connection(new guarded_connection(socket, aLeaseEnd));
  if (!connection->ArmTimer()) {
    return Fail<connection_pointer>(
      "cannot arm the timer for the lease's expiry");
  }
  if (!connection->Connect(aTo, aTimeout)) {
    return Fail<connection_pointer>("cannot connect, or the lease has expired");
  }
  return Succeed(std::move(connection));
}

bool
guarded_connection::Send(std::string_view aBytes)
{
  while (!aBytes.empty()) {
    // Fails once the signal handler has aborted the connection.
    const auto sent = send(mSocket, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
    if (sent < 0 && errno == EINTR) {
      continue;
    }
    if (sent <= 0) {
      return false;
    }
    aBytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

bool
guarded_connection::Receive(std::string& aBytes)
{
  char buffer[4096];
  const auto received = recv(mSocket, buffer, sizeof(buffer), 0);
  if (received <= 0) {
    return false;
  }
  aBytes.append(buffer, static_cast<std::size_t>(received));
  return true;
}

} // namespace lavender::leases
