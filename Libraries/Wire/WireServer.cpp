#include "Libraries/Wire/WireServer.h"

#include "Libraries/Core/Log.h"
#include "Libraries/Wire/BoundedTransport.h"
#include "Libraries/Wire/Security.h"

#include <future>
#include <mutex>
#include <thread>
#include <thrift/TOutput.h>
#include <thrift/protocol/TBinaryProtocol.h>
#include <thrift/server/TThreadedServer.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TServerSocket.h>

namespace lavender::wire {
namespace {

using apache::thrift::server::TServerEventHandler;
using apache::thrift::server::TThreadedServer;

/** Signals the constructing thread when the server listens. */
class listening_signal : public TServerEventHandler
{
public:
  void preServe() override { mOpened.set_value(); }
  std::promise<void> mOpened;
};

/** Frames each connection and bounds the time of each request. */
class bounded_frames : public apache::thrift::transport::TTransportFactory
{
public:
  explicit bounded_frames(milliseconds aRequestTimeout)
    : mRequestTimeout(aRequestTimeout)
  {
  }

  // Thrift prescribes the name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  std::shared_ptr<apache::thrift::transport::TTransport> getTransport(
    std::shared_ptr<apache::thrift::transport::TTransport> aTransport) override
  {
    auto socket =
      std::dynamic_pointer_cast<apache::thrift::transport::TSocket>(aTransport);
    return MakeBoundedFrames(
      std::make_shared<serving_transport>(std::move(socket), mRequestTimeout));
  }

private:
  const milliseconds mRequestTimeout;
};

/** Redirects Thrift's messages from standard error to the log at debug level.
 * Most of them are about connections that the peer closed. */
void
LogLibraryMessages()
{
  static std::once_flag once;
  std::call_once(once, [] {
    apache::thrift::GlobalOutput.setOutputFunction(
      [](const char* aMessage) { Log(log_level::Debug, "wire", aMessage); });
  });
}

} // namespace

struct wire_server::implementation
{
  std::shared_ptr<apache::thrift::transport::TServerSocket> mSocket;
  std::unique_ptr<TThreadedServer> mServer;
  std::thread mThread;
};

wire_server::wire_server(const std::string& aAddress,
                         std::uint16_t aPort,
                         std::shared_ptr<apache::thrift::TProcessor> aProcessor,
                         milliseconds aRequestTimeout)
  : mImplementation(std::make_unique<implementation>())
{
  using namespace apache::thrift;
  LogLibraryMessages();
  auto& self = *mImplementation;
  self.mSocket = MakeServerSocket(aAddress, aPort);
  self.mServer = std::make_unique<TThreadedServer>(
    std::move(aProcessor),
    self.mSocket,
    std::make_shared<bounded_frames>(aRequestTimeout),
    std::make_shared<protocol::TBinaryProtocolFactory>());
  auto signal = std::make_shared<listening_signal>();
  auto opened = signal->mOpened.get_future();
  self.mServer->setServerEventHandler(signal);
  self.mThread = std::thread([&self, signal] {
    try {
      self.mServer->serve();
    } catch (...) {
      // An exception before the signal is a failure to listen; one after it
      // finds the promise fulfilled and is ignored.
      try {
        signal->mOpened.set_exception(std::current_exception());
      } catch (const std::future_error&) {
      }
    }
  });
  try {
    opened.get();
  } catch (...) {
    self.mThread.join();
    throw;
  }
}

wire_server::~wire_server()
{
  Stop();
}

std::uint16_t
wire_server::Port() const
{
  return static_cast<std::uint16_t>(mImplementation->mSocket->getPort());
}

void
wire_server::Stop()
{
  if (mImplementation->mThread.joinable()) {
    mImplementation->mServer->stop();
    mImplementation->mThread.join();
  }
}

} // namespace lavender::wire
