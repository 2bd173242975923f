#include "Duties/Leases/GuardedPost.h"

#include <algorithm>
#include <cstdlib>

namespace lavender::leases {
namespace {

constexpr std::size_t kMaximumResponse = 64 * 1024;
constexpr std::string_view kHeadEnd = "\r\n\r\n";

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

/** Value of Content-Length; none when the header is missing. */
std::optional<std::size_t>
ContentLength(std::string aHead)
{
  std::transform(aHead.begin(), aHead.end(), aHead.begin(), [](char aLetter) {
    return static_cast<char>(std::tolower(aLetter));
  });
  constexpr std::string_view kName = "\r\ncontent-length:";
  const auto found = aHead.find(kName);
  if (found == std::string::npos) {
    return std::nullopt;
  }
  return std::strtoull(aHead.c_str() + found + kName.size(), nullptr, 10);
}

/** Reads the response; none when it is truncated, too large or malformed. */
std::optional<http::response>
ReadResponse(guarded_connection& aConnection)
{
  std::string bytes;
  std::size_t headEnd = std::string::npos;
  while (headEnd == std::string::npos) {
    if (bytes.size() > kMaximumResponse || !aConnection.Receive(bytes)) {
      return std::nullopt;
    }
    headEnd = bytes.find(kHeadEnd);
  }
  const auto head = bytes.substr(0, headEnd);
  const auto length = ContentLength(head);
  if (!length || *length > kMaximumResponse || head.rfind("HTTP/1.", 0) != 0) {
    return std::nullopt;
  }
  const auto bodyStart = headEnd + kHeadEnd.size();
  while (bytes.size() < bodyStart + *length) {
    if (!aConnection.Receive(bytes)) {
      return std::nullopt;
    }
  }
  http::response received;
  const auto space = head.find(' ');
  received.mStatus = std::atoi(head.c_str() + space + 1);
  received.mBody = bytes.substr(bodyStart, *length);
  return received;
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
    outcome.mLastReason =
      "no complete response with a Content-Length up to 64 KB";
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
