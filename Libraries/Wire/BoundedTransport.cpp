#include "Libraries/Wire/BoundedTransport.h"

#include <algorithm>

namespace lavender::wire {

namespace transport = apache::thrift::transport;

namespace {

/** Bounds the next read of a socket.
 * @throws TTransportException if the time is over */
void
WaitUntil(transport::TSocket& aSocket, time_point aEnd, const char* aReason)
{
  const auto left = std::chrono::ceil<milliseconds>(aEnd - boot_clock::now());
  if (left <= milliseconds(0)) {
    throw transport::TTransportException(
      transport::TTransportException::TIMED_OUT, aReason);
  }
  aSocket.setRecvTimeout(static_cast<int>(left.count()));
}

} // namespace

deadline_transport::deadline_transport(
  std::shared_ptr<transport::TSocket> aSocket)
  : mSocket(std::move(aSocket))
{
}

std::uint32_t
deadline_transport::read(std::uint8_t* aBuffer, std::uint32_t aSize)
{
  if (mEnd != time_point::max()) {
    WaitUntil(*mSocket, mEnd, "no whole answer in time");
  }
  return mSocket->read(aBuffer, aSize);
}

serving_transport::serving_transport(
  std::shared_ptr<transport::TSocket> aSocket,
  milliseconds aTimeout)
  : mSocket(std::move(aSocket))
  , mTimeout(aTimeout)
{
  mSocket->setSendTimeout(static_cast<int>(aTimeout.count()));
}

std::uint32_t
serving_transport::read(std::uint8_t* aBuffer, std::uint32_t aSize)
{
  if (mEnd) {
    WaitUntil(*mSocket, *mEnd, "no whole request in time");
  }
  const auto size = mSocket->read(aBuffer, aSize);
  if (!mEnd) {
    mEnd = boot_clock::now() + mTimeout;
  }
  return size;
}

void
serving_transport::flush()
{
  mSocket->flush();
  mEnd.reset();
  mSocket->setRecvTimeout(0);
}

std::shared_ptr<transport::TTransport>
MakeBoundedFrames(std::shared_ptr<transport::TTransport> aTransport)
{
  // A copy: the library declares its constant without defining it, so a
  // reference to it doesn't link in every build.
  constexpr std::uint32_t kFirstBufferBytes =
    transport::TFramedTransport::DEFAULT_BUFFER_SIZE;
  auto frames = std::make_shared<transport::TFramedTransport>(
    std::move(aTransport), kFirstBufferBytes, kKeptBufferBytes);
  frames->setMaxFrameSize(kMaximumFrameBytes);
  return frames;
}

} // namespace lavender::wire
