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

/** Whether no connection came about, so that no byte can have left.
 *
 * The library throws the same type for a refused connection and for one that
 * broke after the request was sent; only the text tells them apart. A text
 * that isn't known counts as sent, which never makes a false "not run". */
bool
IsConnectFailure(const std::exception& aError)
{
  const bool isUnusableAddress =
    dynamic_cast<const cxxtools::net::AddrInfoError*>(&aError) != nullptr;
  return isUnusableAddress ||
         std::string(aError.what()).rfind("while trying to connect", 0) == 0;
}

/** Longest answer that is taken. */
constexpr std::size_t kMaximumAnswerBytes = 64u << 20;

/** What has come of an answer. */
struct reception : cxxtools::Connectable
{
  std::string mBody;
  bool mHasFinished = false;
  bool mIsTooLarge = false;

  void Finish(cxxtools::http::Client&) { mHasFinished = true; }

  std::size_t TakeBody(cxxtools::http::Client& aClient)
  {
    auto* buffer = aClient.in().rdbuf();
    std::string part(static_cast<std::size_t>(buffer->in_avail()), '\0');
    const auto got =
      buffer->sgetn(part.data(), static_cast<std::streamsize>(part.size()));
    part.resize(static_cast<std::size_t>(got));
    mIsTooLarge =
      mIsTooLarge || mBody.size() + part.size() > kMaximumAnswerBytes;
    if (mIsTooLarge) {
      mBody.clear();
    } else {
      mBody += part;
    }
    return part.size();
  }
};

/** The event-driven form of the library's client is used, because the timeout
 * of its blocking form counts from byte to byte: a dripping server held the
 * calling thread for as long as it liked.
 *
 * The client must not be connected beforehand: it would send the request a
 * second time when the server closes before its reply. */
void
Prepare(cxxtools::http::Client& aClient,
        cxxtools::Selector& aSelector,
        const endpoint& aEndpoint,
        reception& aReception)
{
  aClient.prepareConnect(aEndpoint.mAddress, aEndpoint.mPort);
  aClient.setSelector(aSelector);
  cxxtools::connect(aClient.replyFinished, aReception, &reception::Finish);
  cxxtools::connect(aClient.bodyAvailable, aReception, &reception::TakeBody);
}

cxxtools::http::Request
ToLibraryRequest(const request& aRequest)
{
  // The library sends its own query member only with GET.
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
           reception& aReception,
           call_result& aOutcome)
{
  const auto& header = aClient.header();
  aOutcome.mResponse.mStatus = static_cast<int>(header.httpReturnCode());
  for (const auto& [name, content] : header) {
    aOutcome.mResponse.mHeaders.emplace_back(name, content);
  }
  aOutcome.mResponse.mContentType =
    HeaderOr(aOutcome.mResponse.mHeaders, "Content-Type", "");
  aOutcome.mResponse.mBody = std::move(aReception.mBody);
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
  // The library keeps a pointer to the request until the call has ended.
  const auto request = ToLibraryRequest(aRequest);
  cxxtools::Selector selector;
  cxxtools::http::Client client;
  reception reception;
  try {
    Prepare(client, selector, aEndpoint, reception);
    client.beginExecute(request);
    while (!reception.mHasFinished) {
      const auto left = end - std::chrono::steady_clock::now();
      if (left <= std::chrono::nanoseconds(0)) {
        // Bytes may have left, whatever the connection was doing.
        outcome.mState = call_state::Unknown;
        outcome.mLastReason = "no whole answer in time";
        return outcome;
      }
      client.wait(cxxtools::Milliseconds(
        std::chrono::duration<double, std::milli>(left).count()));
    }
    client.endExecute();
    if (reception.mIsTooLarge) {
      outcome.mState = call_state::Unknown;
      outcome.mLastReason = "answer too large";
      return outcome;
    }
    ApplyReply(client, reception, outcome);
  } catch (const std::exception& error) {
    outcome.mLastReason = error.what();
    if (!IsConnectFailure(error)) {
      outcome.mState = call_state::Unknown;
    }
  }
  return outcome;
}

} // namespace lavender::http
