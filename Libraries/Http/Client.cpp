#include "Libraries/Http/Client.h"

#include <chrono>
#include <cxxtools/connectable.h>
#include <cxxtools/http/client.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/net/addrinfo.h>
#include <cxxtools/selector.h>
#include <cxxtools/slot.h>

namespace lavender::http {
namespace {

/** Whether the error means that no connection was established, so that no byte
 * of the request was sent.
 *
 * cxxtools throws the same type for a refused connection and for one that broke
 * after the request was sent; only the message differs. An unknown message
 * counts as sent, so that a request is never falsely reported as not run. */
bool
IsConnectFailure(const std::exception& aError)
{
  const bool isUnusableAddress =
    dynamic_cast<const cxxtools::net::AddrInfoError*>(&aError) != nullptr;
  return isUnusableAddress ||
         std::string(aError.what()).rfind("while trying to connect", 0) == 0;
}

/** Larger response bodies are discarded and the call fails. */
constexpr std::size_t kMaximumResponseBytes = 64u << 20;

/** Collects the response from the client's events. */
struct response_collector : cxxtools::Connectable
{
  std::string mBody;
  bool mHasFinished = false;
  bool mIsTooLarge = false;

  void HandleFinished(cxxtools::http::Client&) { mHasFinished = true; }

  std::size_t HandleBody(cxxtools::http::Client& aClient)
  {
    auto* buffer = aClient.in().rdbuf();
    std::string part(static_cast<std::size_t>(buffer->in_avail()), '\0');
    const auto got =
      buffer->sgetn(part.data(), static_cast<std::streamsize>(part.size()));
    part.resize(static_cast<std::size_t>(got));
    mIsTooLarge =
      mIsTooLarge || mBody.size() + part.size() > kMaximumResponseBytes;
    if (mIsTooLarge) {
      mBody.clear();
    } else {
      mBody += part;
    }
    return part.size();
  }
};

/** Prepares an asynchronous call. The blocking client isn't used because its
 * timeout restarts with each byte, so that a server that sends slowly could
 * hold the calling thread indefinitely.
 *
 * The client must not be connected beforehand: it would resend the request when
 * the server closes the connection before replying. */
void
Prepare(cxxtools::http::Client& aClient,
        cxxtools::Selector& aSelector,
        const endpoint& aEndpoint,
        response_collector& aCollector)
{
  aClient.prepareConnect(aEndpoint.mAddress, aEndpoint.mPort);
  aClient.setSelector(aSelector);
  cxxtools::connect(
    aClient.replyFinished, aCollector, &response_collector::HandleFinished);
  cxxtools::connect(
    aClient.bodyAvailable, aCollector, &response_collector::HandleBody);
}

cxxtools::http::Request
ToLibraryRequest(const request& aRequest)
{
  // cxxtools sends its query member only with GET, so the query is part of the
  // URL here.
  cxxtools::http::Request made(aRequest.mQuery.empty()
                                 ? aRequest.mPath
                                 : aRequest.mPath + "?" + aRequest.mQuery);
  made.method(aRequest.mMethod);
  for (const auto& [name, content] : aRequest.mHeaders) {
    made.setHeader(name.c_str(), content.c_str());
  }
  made.setHeader("Connection", "close");
  made.body() << aRequest.mBody;
  return made;
}

void
ApplyReply(cxxtools::http::Client& aClient,
           response_collector& aCollector,
           call_result& aOutcome)
{
  const auto& header = aClient.header();
  aOutcome.mResponse.mStatus = static_cast<int>(header.httpReturnCode());
  for (const auto& [name, content] : header) {
    aOutcome.mResponse.mHeaders.emplace_back(name, content);
  }
  aOutcome.mResponse.mContentType =
    HeaderOr(aOutcome.mResponse.mHeaders, "Content-Type", "");
  aOutcome.mResponse.mBody = std::move(aCollector.mBody);
  aOutcome.mState = call_state::Answered;
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
  call_result outcome;
  const auto end = std::chrono::steady_clock::now() + aTimeout;
  // cxxtools keeps a pointer to the request until the call has ended.
  const auto request = ToLibraryRequest(aRequest);
  cxxtools::Selector selector;
  cxxtools::http::Client client;
  response_collector collector;
  try {
    Prepare(client, selector, aEndpoint, collector);
    client.beginExecute(request);
    while (!collector.mHasFinished) {
      const auto left = end - std::chrono::steady_clock::now();
      if (left <= std::chrono::nanoseconds(0)) {
        // Part of the request may have been sent, in any connection state.
        outcome.mState = call_state::Unknown;
        outcome.mLastReason = "no whole answer in time";
        return outcome;
      }
      client.wait(cxxtools::Milliseconds(
        std::chrono::duration<double, std::milli>(left).count()));
    }
    client.endExecute();
    if (collector.mIsTooLarge) {
      outcome.mState = call_state::Unknown;
      outcome.mLastReason = "answer too large";
      return outcome;
    }
    ApplyReply(client, collector, outcome);
  } catch (const std::exception& error) {
    outcome.mLastReason = error.what();
    if (!IsConnectFailure(error)) {
      outcome.mState = call_state::Unknown;
    }
  }
  return outcome;
}

} // namespace lavender::http
