#include "Duties/Leases/GuardedPost.h"

#include "Libraries/Core/Result.h"
#include "Libraries/Edge/ResponseReader.h"

#include <utility>

namespace lavender::leases {
namespace {

/** In bytes. */
constexpr std::size_t kMaximumResponse = 64 * 1024;

std::string
WriteRequest(const platform::client& aClient,
             const std::string& aPath,
             const std::string& aBody)
{
  return "POST " + aPath + " HTTP/1.1\r\n" +
         "Host: " + http::FormatEndpoint(aClient.mEndpoint) + "\r\n" +
         "X-Caller: " + aClient.mCaller + "\r\n" +
         "Content-Type: application/json\r\n" +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n" +
         "Connection: close\r\n\r\n" + aBody;
}

/** Reads the response. The end of the connection doesn't complete one: the
 * connection may have broken. */
result<http::response>
ReadResponse(guarded_connection& aConnection)
{
  edge::response_reader reader;
  http::response received;
  std::string bytes;
  while (!reader.IsWhole()) {
    if (!aConnection.Receive(bytes)) {
      return Fail<http::response>("no complete response");
    }
    bytes.erase(0, reader.Read(boost::asio::buffer(bytes)));
    received.mBody += reader.TakeBody();
    if (!reader.Fault().empty()) {
      return Fail<http::response>("no response: " + reader.Fault());
    }
    if (bytes.size() + received.mBody.size() > kMaximumResponse) {
      return Fail<http::response>("a response of more than 64 KB");
    }
  }
  if (!bytes.empty()) {
    return Fail<http::response>("bytes after the response");
  }
  received.mStatus = static_cast<int>(reader.Head().mStatus);
  return Succeed(std::move(received));
}

} // namespace

http::call_result
PostUnderLease(const platform::client& aClient,
               const std::string& aPath,
               const json::value& aBody,
               const held_lease& aLease)
{
  http::call_result outcome;
  auto connection = guarded_connection::Open(
    aClient.mEndpoint, aLease.mExpiresAt, aClient.mTimeout);
  if (!connection) {
    outcome.mLastReason = connection.mLastReason;
    return outcome;
  }
  outcome.mState = http::call_state::Unknown;
  if (!(*connection)->Send(WriteRequest(aClient, aPath, json::Write(aBody)))) {
    outcome.mLastReason = "the connection failed while the request was sent";
    return outcome;
  }
  auto received = ReadResponse(**connection);
  if (!received) {
    outcome.mLastReason = received.mLastReason;
    return outcome;
  }
  outcome.mState = http::call_state::Answered;
  outcome.mResponse = std::move(*received);
  if (aClient.mMetrics) {
    aClient.mMetrics->Count(
      "lavender_platform_calls_total",
      { { "call", "guarded_post" },
        { "result", std::to_string(outcome.mResponse.mStatus) } });
  }
  return outcome;
}

} // namespace lavender::leases
