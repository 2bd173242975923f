#include "Libraries/Http/Client.h"

#include "Libraries/Edge/Caller.h"

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <memory>

namespace lavender::http {
namespace {

using boost::asio::ip::tcp;

/** Maximum size of all responses that are being read by this process, in bytes.
 */
constexpr std::size_t kMaximumHeldBytes = 64u << 20;

/** Bytes of all responses that are being read. Each call has a thread of its
 * own. */
std::atomic<std::size_t> gHeldBytes{ 0 }; // NOLINT

/** Bytes of one response, counted as long as the call lasts. */
class held_bytes
{
public:
  held_bytes() = default;
  ~held_bytes() { gHeldBytes -= mBytes; }
  held_bytes(const held_bytes&) = delete;
  held_bytes& operator=(const held_bytes&) = delete;

  void Add(std::size_t aBytes)
  {
    mBytes += aBytes;
    gHeldBytes += aBytes;
  }
  std::size_t Bytes() const { return mBytes; }

private:
  std::size_t mBytes = 0;
};

/** A call, which runs on a loop of its own. */
struct pending_call
{
  boost::asio::io_context mLoop{ 1 };
  std::shared_ptr<edge::client_pool> mPool =
    std::make_shared<edge::client_pool>(mLoop);
  edge::call_handle mHandle;
  held_bytes mHeld;
  edge::response mResponse;
  call_result mResult;
};

/** The address of a host name, or the address itself. */
std::optional<edge::endpoint>
Resolve(boost::asio::io_context& aLoop, const endpoint& aEndpoint)
{
  boost::system::error_code error;
  tcp::resolver resolver(aLoop);
  const auto found = resolver.resolve(
    tcp::v4(), aEndpoint.mAddress, std::to_string(aEndpoint.mPort), error);
  if (error || found.empty()) {
    return std::nullopt;
  }
  return edge::endpoint{ found.begin()->endpoint().address().to_string(),
                         aEndpoint.mPort };
}

edge::request
ToEdgeRequest(const request& aRequest)
{
  edge::request made;
  made.mMethod = aRequest.mMethod;
  made.mTarget = aRequest.mQuery.empty()
                   ? aRequest.mPath
                   : aRequest.mPath + "?" + aRequest.mQuery;
  for (const auto& [name, content] : aRequest.mHeaders) {
    if (!edge::IsConnectionField(name)) {
      made.mHeaders.Add(name, content);
    }
  }
  made.mHeaders.Add("Connection", "close");
  made.mBody = aRequest.mBody;
  return made;
}

void
GiveUp(pending_call& aCall, const char* aReason)
{
  aCall.mHandle.Cancel();
  aCall.mResponse.mBody = {};
  aCall.mResult.mState = call_state::Unknown;
  aCall.mResult.mLastReason = aReason;
  aCall.mLoop.stop();
}

void
HandleBody(pending_call& aCall, std::string_view aPiece)
{
  aCall.mHeld.Add(aPiece.size());
  if (aCall.mHeld.Bytes() > kMaximumResponseBytes) {
    GiveUp(aCall, "answer too large");
  } else if (gHeldBytes > kMaximumHeldBytes) {
    GiveUp(aCall, "all answers hold too much memory");
  } else {
    aCall.mResponse.mBody.append(aPiece);
  }
}

void
HandleEnd(pending_call& aCall, edge::call_end aEnd)
{
  // The server may leave the connection open.
  aCall.mLoop.stop();
  auto& result = aCall.mResult;
  if (aEnd != edge::call_end::Complete) {
    result.mState =
      edge::MayHaveBeenSent(aEnd) ? call_state::Unknown : call_state::NotSent;
    result.mLastReason = edge::ToString(aEnd);
    return;
  }
  result.mState = call_state::Answered;
  auto& response = result.mResponse;
  response.mStatus = static_cast<int>(aCall.mResponse.mStatus);
  response.mHeaders = std::move(aCall.mResponse.mHeaders.mFields);
  response.mContentType = HeaderOr(response.mHeaders, "Content-Type", "");
  response.mBody = std::move(aCall.mResponse.mBody);
}

} // namespace

std::optional<endpoint>
ParseEndpoint(const std::string& aText)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string::npos || colon == 0) {
    return std::nullopt;
  }
  const std::string port = aText.substr(colon + 1);
  if (port.empty() || port.size() > 5 ||
      port.find_first_not_of("0123456789") != std::string::npos) {
    return std::nullopt;
  }
  const int number = std::stoi(port);
  if (number > 65535) {
    return std::nullopt;
  }
  return endpoint{ aText.substr(0, colon), static_cast<std::uint16_t>(number) };
}

std::string
FormatEndpoint(const endpoint& aEndpoint)
{
  return aEndpoint.mAddress + ":" + std::to_string(aEndpoint.mPort);
}

call_result
Call(const endpoint& aEndpoint,
     const request& aRequest,
     std::chrono::milliseconds aTimeout)
{
  pending_call call;
  const auto address = Resolve(call.mLoop, aEndpoint);
  if (!address) {
    call.mResult.mLastReason = "unknown address";
    return call.mResult;
  }
  edge::call_options options;
  options.mConnectTimeout = aTimeout;
  options.mSilenceTimeout = aTimeout;
  options.mTotalTimeout = aTimeout;
  options.mMayReuse = false;
  edge::call_events events;
  events.mOnHead = [&](const auto& aHead) { call.mResponse = aHead; };
  events.mOnBody = [&](auto aPiece) { HandleBody(call, aPiece); };
  events.mOnEnd = [&](auto aEnd) { HandleEnd(call, aEnd); };
  call.mHandle = call.mPool->Start(
    *address, ToEdgeRequest(aRequest), options, std::move(events));
  call.mLoop.run();
  return call.mResult;
}

} // namespace lavender::http
