#include "Duties/Leases/GuardedPost.h"

#include <algorithm>
#include <cstdlib>

namespace lavender::leases {
namespace {

constexpr std::size_t kMaximumAnswer = 64 * 1024;
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

/** Length that the head announces; none when it doesn't. */
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

/** The whole answer; none when it was cut short. */
std::optional<http::response>
ReadAnswer(guarded_connection& aConnection)
{
  std::string bytes;
  std::size_t headEnd = std::string::npos;
  while (headEnd == std::string::npos) {
    if (bytes.size() > kMaximumAnswer || !aConnection.Receive(bytes)) {
      return std::nullopt;
    }
    headEnd = bytes.find(kHeadEnd);
  }
  const auto head = bytes.substr(0, headEnd);
  const auto length = ContentLength(head);
  if (!length || *length > kMaximumAnswer || head.rfind("HTTP/1.", 0) != 0) {
    return std::nullopt;
  }
  const auto bodyStart = headEnd + kHeadEnd.size();
  while (bytes.size() < bodyStart + *length) {
    if (!aConnection.Receive(bytes)) {
      return std::nullopt;
    }
  }
  http::response answer;
  const auto space = head.find(' ');
  answer.mStatus = std::atoi(head.c_str() + space + 1);
  answer.mBody = bytes.substr(bodyStart, *length);
  return answer;
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
    outcome.mLastReason = "sending was cut off";
    return outcome;
  }
  auto answer = ReadAnswer(**connection);
  if (!answer) {
    outcome.mLastReason = "no whole answer";
    return outcome;
  }
  outcome.mState = http::call_state::Answered;
  outcome.mResponse = std::move(*answer);
  if (aClient.mMetrics) {
    aClient.mMetrics->Count(
      "lavender_platform_calls_total",
      { { "call", "guarded_post" },
        { "result", std::to_string(outcome.mResponse.mStatus) } });
  }
  return outcome;
}

} // namespace lavender::leases
