#pragma once

#include "Libraries/Http/Message.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace lavender::http {

/** An IP number and a port. */
struct endpoint
{
  std::string mAddress;
  std::uint16_t mPort = 0;
};

/** Reads "ADDRESS:PORT"; none when it isn't one. */
std::optional<endpoint>
ParseEndpoint(const std::string& aText);

std::string
FormatEndpoint(const endpoint& aEndpoint);

/** How far a call got when there is no whole answer. */
enum class call_state
{
  Answered,
  /** No byte of the request left: it can't have been carried out. */
  NotSent,
  /** Sent, and no whole answer came: it may have been carried out. */
  Unknown
};

struct call_result
{
  call_state mState = call_state::NotSent;
  /** Filled only when mState is Answered. */
  response mResponse;
  std::string mLastReason;
};

/** One HTTP call on a connection of its own.
 *
 * The library's client repeats a request on its own when a kept-alive
 * connection closes before the reply, a POST too; a new client per call never
 * does. A body cut short counts as Unknown. */
call_result
Call(const endpoint& aEndpoint,
     const request& aRequest,
     std::chrono::milliseconds aTimeout);

} // namespace lavender::http
