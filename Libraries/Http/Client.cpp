#include "Libraries/Http/Client.h"

#include <algorithm>
#include <cxxtools/http/client.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/net/addrinfo.h>

namespace lavender::http {
namespace {

/** The library's level that refuses a server without a good certificate. */
constexpr int kVerifyPeer = 2;

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
  const cxxtools::Milliseconds timeout(
    static_cast<double>(std::max<std::int64_t>(aTimeout.count(), 1)));
  cxxtools::http::Client client;
  try {
    const bool isSecured = !aEndpoint.mAuthority.empty();
    client.prepareConnect(aEndpoint.mAddress, aEndpoint.mPort, isSecured);
    if (isSecured) {
      client.setSslVerify(kVerifyPeer, aEndpoint.mAuthority);
    }
    // The library sends its own query member only with GET.
    cxxtools::http::Request request(aRequest.mQuery.empty()
                                      ? aRequest.mPath
                                      : aRequest.mPath + "?" + aRequest.mQuery);
    request.method(aRequest.mMethod);
    for (const auto& [name, content] : aRequest.mHeaders) {
      request.setHeader(name.c_str(), content.c_str());
    }
    request.setHeader("Connection", "close");
    request.body() << aRequest.mBody;
    // The client must not be connected beforehand: execute would send the
    // request a second time when the server closes before its reply.
    const auto& header = client.execute(request, timeout, timeout);
    outcome.mState = call_state::Unknown;
    const auto& reply = client.readBody();
    outcome.mResponse.mStatus = static_cast<int>(header.httpReturnCode());
    for (const auto& [name, content] : header) {
      outcome.mResponse.mHeaders.emplace_back(name, content);
    }
    outcome.mResponse.mContentType =
      HeaderOr(outcome.mResponse.mHeaders, "Content-Type", "");
    outcome.mResponse.mBody = reply.body();
    outcome.mState = call_state::Answered;
  } catch (const std::exception& error) {
    outcome.mLastReason = error.what();
    if (!IsConnectFailure(error)) {
      outcome.mState = call_state::Unknown;
    }
  }
  return outcome;
}

} // namespace lavender::http
