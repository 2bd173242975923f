#pragma once

#include "Libraries/Http/Message.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace lavender::http {

/** IP address and port. */
struct endpoint
{
  std::string mAddress;
  std::uint16_t mPort = 0;
};

/** Parses "ADDRESS:PORT"; returns none when the text has another form. */
std::optional<endpoint>
ParseEndpoint(const std::string& aText);

std::string
FormatEndpoint(const endpoint& aEndpoint);

/** Outcome of a call; tells whether the server may have run the request. */
enum class call_state
{
  Answered,
  /** No byte of the request was sent, so the server can't have run it. */
  NotSent,
  /** The request may have been sent and no complete response arrived, so the
   * server may have run it. */
  Unknown
};

struct call_result
{
  call_state mState = call_state::NotSent;
  /** Filled only when mState is Answered. */
  response mResponse;
  std::string mLastReason;
};

/** Maximum size of a response's body, in bytes. A call ends with Unknown as
 * soon as it has a larger one. */
constexpr std::size_t kMaximumResponseBytes = 16u << 20;

/** Makes one HTTP call on a new connection.
 *
 * A client that resends a request, even a POST, when a kept-alive connection
 * closes before the reply would run it twice; a new connection per call can't.
 * A truncated body gives Unknown. */
call_result
Call(const endpoint& aEndpoint,
     const request& aRequest,
     std::chrono::milliseconds aTimeout);

} // namespace lavender::http
