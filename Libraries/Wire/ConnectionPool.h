#pragma once

#include "Libraries/Http/Client.h"
#include "Libraries/Wire/BoundedTransport.h"
#include "Libraries/Wire/Security.h"

#include <chrono>
#include <memory>
#include <mutex>
#include <poll.h>
#include <string>
#include <thrift/protocol/TBinaryProtocol.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TSocket.h>
#include <utility>
#include <vector>

/** Thrift calls between the system's own processes: calls with a timeout on
 * pooled connections, and the server. */
namespace lavender::wire {

/** Outcome of a call; tells whether the peer may have run it. */
enum class wire_state
{
  Answered,
  /** The connection couldn't be opened, so the call wasn't sent. */
  NotSent,
  /** As NotSent, and no process listens at the address, so the process that did
   * has ended. A process that is only paused isn't reported as Refused, since
   * its kernel still accepts connections. */
  Refused,
  /** The call may have been sent and no valid response arrived, so the peer may
   * have run it. */
  Unknown
};

template<typename Reply>
struct wire_result
{
  wire_state mState = wire_state::NotSent;
  /** Filled only when mState is Answered. */
  Reply mReply;
  std::string mLastReason;
};

/** Pool of connections to the Thrift service of one process.
 *
 * A connection is closed after any failed call: after a timeout, the late
 * response would be read as the response to the next call. For the same reason
 * the echo of each response is compared with the request's. */
template<typename Client>
class connection_pool
{
public:
  connection_pool(http::endpoint aEndpoint,
                  std::chrono::milliseconds aConnectTimeout)
    : mEndpoint(std::move(aEndpoint))
    , mConnectTimeout(aConnectTimeout)
  {
  }
  connection_pool(const connection_pool&) = delete;
  connection_pool& operator=(const connection_pool&) = delete;

  const http::endpoint& Endpoint() const { return mEndpoint; }

  /** Runs one call on an idle connection, or on a new one.
   * @param aTimeout timeout of each send on the socket, and of the whole
   * response
   * @param aEcho id that the response has to carry in its echo
   * @param aAction calls a method of the client that fills the response */
  template<typename Reply, typename Action>
  wire_result<Reply> Run(std::chrono::milliseconds aTimeout,
                         const std::string& aEcho,
                         const Action& aAction)
  {
    wire_result<Reply> outcome;
    auto connection = PopIdle();
    try {
      if (!connection) {
        connection = Open();
      }
      connection->mTransport->EndAt(boot_clock::now() + aTimeout);
      // The first write under TLS also reads, for the handshake.
      connection->mSocket->setRecvTimeout(static_cast<int>(aTimeout.count()));
      connection->mSocket->setSendTimeout(static_cast<int>(aTimeout.count()));
      outcome.mState = wire_state::Unknown;
      aAction(connection->mClient, outcome.mReply);
      if (outcome.mReply.echo != aEcho) {
        outcome.mLastReason = "answer to another request";
        return outcome;
      }
      outcome.mState = wire_state::Answered;
      ReturnIdle(std::move(connection));
    } catch (const std::exception& error) {
      outcome.mLastReason = error.what();
      if (outcome.mState == wire_state::NotSent && IsRefusal(error)) {
        outcome.mState = wire_state::Refused;
      }
    }
    return outcome;
  }

  /** Closes all idle connections, for a peer that doesn't respond or has left.
   * The next call opens a new connection, which may work where the old ones
   * don't. */
  void DropIdle()
  {
    std::lock_guard lock(mMutex);
    mIdle.clear();
  }

private:
  struct connection
  {
    std::shared_ptr<apache::thrift::transport::TSocket> mSocket;
    std::shared_ptr<deadline_transport> mTransport;
    Client mClient;

    explicit connection(
      std::shared_ptr<apache::thrift::transport::TSocket> aSocket)
      : mSocket(aSocket)
      , mTransport(std::make_shared<deadline_transport>(aSocket))
      , mClient(std::make_shared<apache::thrift::protocol::TBinaryProtocol>(
          MakeBoundedFrames(mTransport)))
    {
    }
    ~connection() { mSocket->close(); }
  };

  /** Thrift distinguishes a refused connection from one without a response only
   * by the system's error text. An unknown text counts as no response. */
  static bool IsRefusal(const std::exception& aError)
  {
    return std::string(aError.what()).find("Connection refused") !=
           std::string::npos;
  }

  /** Returns false when the peer has closed the connection or unexpected bytes
   * are waiting on it. A call on such a connection would end with an unknown
   * outcome although it would succeed on a new connection. */
  static bool IsUsable(const connection& aConnection)
  {
    pollfd waiting{ aConnection.mSocket->getSocketFD(), POLLIN, 0 };
    return poll(&waiting, 1, 0) == 0;
  }

  std::unique_ptr<connection> Open()
  {
    auto socket = MakeClientSocket(mEndpoint);
    socket->setConnTimeout(static_cast<int>(mConnectTimeout.count()));
    socket->setNoDelay(true);
    socket->open();
    return std::make_unique<connection>(std::move(socket));
  }

  std::unique_ptr<connection> PopIdle()
  {
    std::lock_guard lock(mMutex);
    while (!mIdle.empty()) {
      auto connection = std::move(mIdle.back());
      mIdle.pop_back();
      if (IsUsable(*connection)) {
        return connection;
      }
    }
    return nullptr;
  }

  void ReturnIdle(std::unique_ptr<connection> aConnection)
  {
    constexpr std::size_t kMaximumIdle = 32;
    std::lock_guard lock(mMutex);
    if (mIdle.size() < kMaximumIdle) {
      mIdle.push_back(std::move(aConnection));
    }
  }

  const http::endpoint mEndpoint;
  const std::chrono::milliseconds mConnectTimeout;
  std::mutex mMutex;
  std::vector<std::unique_ptr<connection>> mIdle;
};

} // namespace lavender::wire
