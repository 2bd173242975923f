#pragma once

#include "Libraries/Http/Client.h"
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

/** Thrift between the system's own processes: bounded calls on pooled
 * connections, and the server side. */
namespace lavender::wire {

/** How one call on the wire ended. */
enum class wire_state
{
  Answered,
  /** The connection couldn't be opened: the call can't have arrived. */
  NotSent,
  /** As NotSent, and nobody listens at the address: the process that did is
   * gone. A paused one would still be connected to by its kernel. */
  Refused,
  /** The call left and no answer came: it may have been carried out. */
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

/** Pool of connections to one process's Thrift service.
 *
 * A connection on which a call failed in any way is closed and never used
 * again: after a timeout its late answer would be taken for the next call's.
 * For the same reason every reply's echo is compared with the request's. */
template<typename Client>
class connection_pool
{
public:
  connection_pool(http::endpoint aEndpoint, std::chrono::milliseconds aConnect)
    : mEndpoint(std::move(aEndpoint))
    , mConnectTimeout(aConnect)
  {
  }
  connection_pool(const connection_pool&) = delete;
  connection_pool& operator=(const connection_pool&) = delete;

  const http::endpoint& Endpoint() const { return mEndpoint; }

  /** Runs one call on an idle connection, or on a new one.
   * @param aTimeout longest silence before the connection counts as dead
   * @param aEcho id that the reply has to carry in its echo
   * @param aAction calls a method of the client that fills the reply */
  template<typename Reply, typename Action>
  wire_result<Reply> Run(std::chrono::milliseconds aTimeout,
                         const std::string& aEcho,
                         const Action& aAction)
  {
    wire_result<Reply> outcome;
    auto connection = TakeIdle();
    try {
      if (!connection) {
        connection = Open();
      }
      connection->mSocket->setRecvTimeout(static_cast<int>(aTimeout.count()));
      connection->mSocket->setSendTimeout(static_cast<int>(aTimeout.count()));
      outcome.mState = wire_state::Unknown;
      aAction(connection->mClient, outcome.mReply);
      if (outcome.mReply.echo != aEcho) {
        outcome.mLastReason = "answer to another request";
        return outcome;
      }
      outcome.mState = wire_state::Answered;
      GiveBack(std::move(connection));
    } catch (const std::exception& error) {
      outcome.mLastReason = error.what();
      if (outcome.mState == wire_state::NotSent && IsRefusal(error)) {
        outcome.mState = wire_state::Refused;
      }
    }
    return outcome;
  }

  /** Closes all idle connections, for a peer that went silent or left: the
   * next call opens a new one, which works when only old ones are dead. */
  void DropIdle()
  {
    std::lock_guard lock(mMutex);
    mIdle.clear();
  }

private:
  struct connection
  {
    std::shared_ptr<apache::thrift::transport::TSocket> mSocket;
    Client mClient;

    explicit connection(
      std::shared_ptr<apache::thrift::transport::TSocket> aSocket)
      : mSocket(aSocket)
      , mClient(std::make_shared<apache::thrift::protocol::TBinaryProtocol>(
          std::make_shared<apache::thrift::transport::TFramedTransport>(
            aSocket)))
    {
    }
    ~connection() { mSocket->close(); }
  };

  /** The library tells a refused connection from a silent one only by the
   * system's text. An unknown text counts as silence. */
  static bool IsRefusal(const std::exception& aError)
  {
    return std::string(aError.what()).find("Connection refused") !=
           std::string::npos;
  }

  /** False when the peer has closed the connection, or when bytes lie there
   * that nobody asked for. A call on such a connection would end with an
   * unknown outcome although a new connection works. */
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

  std::unique_ptr<connection> TakeIdle()
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

  void GiveBack(std::unique_ptr<connection> aConnection)
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
