#include "Libraries/Http/Server.h"

#include <atomic>
#include <cstring>
#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/regex.h>
#include <mutex>
#include <netinet/in.h>
#include <set>
#include <stdexcept>
#include <strings.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <thread>

namespace lavender::http {
namespace {

/** A request that is refused before its body is read. */
struct refused_request : std::runtime_error
{
  refused_request(int aStatus, const std::string& aReason)
    : std::runtime_error(aReason)
    , mStatus(aStatus)
  {
  }
  int mStatus;
};

const char*
ReasonPhrase(int aStatus)
{
  switch (aStatus) {
    case 200:
      return "OK";
    case 201:
      return "Created";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 404:
      return "Not Found";
    case 409:
      return "Conflict";
    case 410:
      return "Gone";
    case 411:
      return "Length Required";
    case 413:
      return "Content Too Large";
    case 429:
      return "Too Many Requests";
    case 500:
      return "Internal Server Error";
    case 501:
      return "Not Implemented";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Status";
  }
}

/** Parses a Content-Length header; throws refused_request when it is malformed
 * or over the limit. */
std::size_t
ParseLength(const char* aText, std::size_t aLimit)
{
  std::size_t length = 0;
  if (*aText == '\0') {
    throw refused_request(400, "bad_content_length");
  }
  for (const char* c = aText; *c; ++c) {
    if (*c < '0' || *c > '9') {
      throw refused_request(400, "bad_content_length");
    }
    length = length * 10 + static_cast<std::size_t>(*c - '0');
    if (length > aLimit) {
      throw refused_request(413, "body_too_large");
    }
  }
  return length;
}

void
CheckBodyHeaders(const cxxtools::http::Request& aRequest, std::size_t aLimit)
{
  int lengths = 0;
  for (const auto& [name, content] : aRequest.header()) {
    if (strcasecmp(name, "Transfer-Encoding") == 0) {
      throw refused_request(501, "transfer_encoding_not_taken");
    }
    if (strcasecmp(name, "Content-Length") == 0) {
      ++lengths;
      ParseLength(content, aLimit);
    }
  }
  if (lengths > 1) {
    throw refused_request(400, "two_content_lengths");
  }
}

std::set<int>
ListeningSockets()
{
  std::set<int> sockets;
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  const int highest = static_cast<int>(std::min<rlim_t>(limit.rlim_cur, 4096));
  for (int fd = 0; fd < highest; ++fd) {
    int accepts = 0;
    socklen_t size = sizeof accepts;
    if (getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &accepts, &size) == 0 &&
        accepts) {
      sockets.insert(fd);
    }
  }
  return sockets;
}

std::uint16_t
PortOf(int aSocket)
{
  sockaddr_storage address{};
  socklen_t size = sizeof address;
  getsockname(aSocket, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(reinterpret_cast<sockaddr_in*>(&address)->sin_port);
}

struct shared_state
{
  server_options mOptions;
  handler mHandler;
  std::atomic<bool> mMustCloseConnections{ false };
};

class bounded_responder : public cxxtools::http::Responder
{
public:
  bounded_responder(cxxtools::http::Service& aService, shared_state& aState)
    : cxxtools::http::Responder(aService)
    , mState(aState)
  {
  }

  void beginRequest(cxxtools::net::TcpSocket& aSocket,
                    std::istream& aInput,
                    cxxtools::http::Request& aRequest) override
  {
    // The base class keeps the request to read its body later.
    cxxtools::http::Responder::beginRequest(aSocket, aInput, aRequest);
    CheckBodyHeaders(aRequest, mState.mOptions.mMaximumBodyBytes);
  }

  void reply(std::ostream&,
             cxxtools::http::Request& aRequest,
             cxxtools::http::Reply& aReply) override
  {
    request converted;
    converted.mMethod = aRequest.method();
    converted.mPath = aRequest.url();
    converted.mQuery = aRequest.qparams();
    for (const auto& [name, content] : aRequest.header()) {
      converted.mHeaders.emplace_back(name, content);
    }
    converted.mBody = aRequest.bodyStr();
    response outgoing;
    try {
      outgoing = mState.mHandler(converted);
    } catch (const std::exception&) {
      outgoing.mStatus = 500;
      outgoing.mBody = "{\"error\":{\"reason\":\"internal_error\"}}";
    }
    Send(outgoing, aReply);
  }

  void replyError(std::ostream&,
                  cxxtools::http::Request&,
                  cxxtools::http::Reply& aReply,
                  const std::exception& aError) override
  {
    response outgoing;
    const auto* refusal = dynamic_cast<const refused_request*>(&aError);
    outgoing.mStatus = refusal ? refusal->mStatus : 400;
    outgoing.mBody = std::string("{\"error\":{\"reason\":\"") +
                     (refusal ? refusal->what() : "bad_request") +
                     "\",\"ran\":\"not_run\"}}";
    Send(outgoing, aReply);
    aReply.header().setHeader("Connection", "close");
  }

private:
  void Send(const response& aResponse, cxxtools::http::Reply& aReply)
  {
    aReply.httpReturn(static_cast<unsigned>(aResponse.mStatus),
                      ReasonPhrase(aResponse.mStatus));
    aReply.header().setHeader("Content-Type", aResponse.mContentType.c_str());
    for (const auto& [name, content] : aResponse.mHeaders) {
      aReply.header().setHeader(name.c_str(), content.c_str());
    }
    if (mState.mMustCloseConnections) {
      aReply.header().setHeader("Connection", "close");
    }
    aReply.bodyStream() << aResponse.mBody;
  }

  shared_state& mState;
};

class bounded_service : public cxxtools::http::Service
{
public:
  explicit bounded_service(shared_state& aState)
    : mState(aState)
  {
  }

protected:
  cxxtools::http::Responder* createResponder(
    const cxxtools::http::Request&) override
  {
    return new bounded_responder(*this, mState);
  }
  void releaseResponder(cxxtools::http::Responder* aResponder) override
  {
    delete aResponder;
  }

private:
  shared_state& mState;
};

/** Serialises the creation of listeners, so that the socket of a new listener
 * can be identified. */
std::mutex gListenMutex; // NOLINT

} // namespace

struct server::implementation
{
  shared_state mState;
  cxxtools::EventLoop mLoop;
  bounded_service mService{ mState };
  std::unique_ptr<cxxtools::http::Server> mServer;
  std::uint16_t mPort = 0;
  std::thread mThread;
};

server::server(server_options aOptions, handler aHandler)
  : mImplementation(std::make_unique<implementation>())
{
  auto& self = *mImplementation;
  self.mState.mOptions = std::move(aOptions);
  self.mState.mHandler = std::move(aHandler);
  const auto& options = self.mState.mOptions;
  {
    // cxxtools doesn't report which port the system chose for port 0, so the
    // listening sockets before and after are compared.
    std::lock_guard lock(gListenMutex);
    const auto before = ListeningSockets();
    self.mServer = std::make_unique<cxxtools::http::Server>(
      self.mLoop, options.mAddress, options.mPort);
    for (const int socket : ListeningSockets()) {
      if (before.count(socket) == 0) {
        self.mPort = PortOf(socket);
      }
    }
  }
  self.mServer->minThreads(4);
  self.mServer->maxThreads(options.mMaximumThreads);
  self.mServer->readTimeout(
    cxxtools::Milliseconds(static_cast<double>(options.mReadTimeout.count())));
  self.mServer->keepAliveTimeout(
    cxxtools::Milliseconds(static_cast<double>(options.mKeepAlive.count())));
  self.mServer->addService(cxxtools::Regex(".*"), self.mService);
  self.mThread = std::thread([&self] { self.mLoop.run(); });
}

server::~server()
{
  Stop();
}

std::uint16_t
server::Port() const
{
  return mImplementation->mPort;
}

void
server::AskClientsToClose()
{
  mImplementation->mState.mMustCloseConnections = true;
}

void
server::Stop()
{
  if (mImplementation->mThread.joinable()) {
    mImplementation->mLoop.exit();
    mImplementation->mThread.join();
  }
}

} // namespace lavender::http
