#include "Libraries/Http/Server.h"

#include "Libraries/Core/Log.h"
#include "Libraries/Edge/Listener.h"
#include "Libraries/Http/WorkerPool.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <ctime>
#include <future>
#include <stdexcept>
#include <thread>

namespace lavender::http {
namespace {

using boost::asio::ip::tcp;

/** Maximum time for which a server that stops waits until its callers have
 * taken the last responses. */
constexpr std::chrono::milliseconds kLastResponsesTime{ 2000 };

/** Of the memory for requests, what is left to small ones. */
constexpr std::size_t kReservedShare = 16;

/** Reason of a refusal by the listener, as its body says it. */
const char*
ReasonOf(unsigned aStatus)
{
  switch (aStatus) {
    case 408:
      return "request_too_slow";
    case 413:
      return "body_too_large";
    case 431:
      return "head_too_large";
    case 501:
      return "transfer_encoding_not_taken";
    case 503:
      return "too_many_bytes_in_flight";
    default:
      return "bad_request";
  }
}

edge::response
DescribeRefusal(unsigned aStatus)
{
  edge::response refusal;
  refusal.mHeaders.Add("Content-Type", "application/json");
  refusal.mBody = std::string("{\"error\":{\"reason\":\"") + ReasonOf(aStatus) +
                  "\",\"ran\":\"not_run\"}}";
  return refusal;
}

std::shared_ptr<const edge::listener_limits>
LimitsOf(const server_options& aOptions)
{
  edge::listener_limits limits;
  limits.mMaximumHeaderBytes = aOptions.mMaximumHeadBytes;
  limits.mMaximumBodyBytes = aOptions.mMaximumBodyBytes;
  limits.mHeaderTimeout = aOptions.mReadTimeout;
  limits.mIdleTimeout = aOptions.mKeepAlive;
  limits.mBodyTimeout = aOptions.mBodyTimeout;
  limits.mMaximumHeldBytes = aOptions.mMaximumHeldBytes;
  limits.mReservedBytes = aOptions.mMaximumHeldBytes / kReservedShare;
  limits.mMaximumConnections = aOptions.mMaximumConnections;
  limits.mBodySilenceTimeout = aOptions.mReadTimeout;
  limits.mUnreadTimeout = aOptions.mWriteTimeout;
  return std::make_shared<const edge::listener_limits>(limits);
}

void
LogEnded(const std::string& aName,
         const char* aReason,
         const edge::listener_counts& aCounts)
{
  Log(log_level::Warning,
      "http",
      "Connections ended for others listener=" + aName + " reason=" + aReason +
        " refused=" + std::to_string(aCounts.mRefused) +
        " reset=" + std::to_string(aCounts.mReset) +
        " closed=" + std::to_string(aCounts.mClosed) +
        " not_accepted=" + std::to_string(aCounts.mNotAccepted));
}

edge::listener_options
OptionsOfListener(const server_options& aOptions)
{
  edge::listener_options options;
  options.mName = aOptions.mName;
  options.mOnConnectionsEnded =
    [name = aOptions.mName, tell = aOptions.mOnConnectionsEnded](
      const char* aReason, const edge::listener_counts& aCounts) {
      LogEnded(name, aReason, aCounts);
      if (tell) {
        tell(aCounts);
      }
    };
  options.mAnswersAfterEnd = true;
  options.mNeedsOneLength = true;
  options.mDescribeRefusal = DescribeRefusal;
  return options;
}

/** The path with query of a target, which may be a whole URL (RFC 9112, section
 * 3.2.2). */
std::string
PathOf(std::string aTarget)
{
  constexpr std::string_view kSchemeEnd = "://";
  const auto scheme = aTarget.find(kSchemeEnd);
  if (scheme == std::string::npos || scheme > aTarget.find_first_of("/?")) {
    return aTarget;
  }
  const auto host = scheme + kSchemeEnd.size();
  const auto path = aTarget.find_first_of("/?", host);
  if (path == std::string::npos) {
    return "/";
  }
  return (aTarget[path] == '?' ? "/" : "") + aTarget.substr(path);
}

request
ToRequest(edge::request&& aReceived)
{
  request made;
  made.mMethod = std::move(aReceived.mMethod);
  const auto target = PathOf(std::move(aReceived.mTarget));
  const auto query = target.find('?');
  made.mPath = target.substr(0, query);
  if (query != std::string::npos) {
    made.mQuery = target.substr(query + 1);
  }
  made.mHeaders = std::move(aReceived.mHeaders.mFields);
  made.mBody = std::move(aReceived.mBody);
  return made;
}

/** The time as the Date field has it (RFC 9110, section 5.6.7). */
std::string
FormatDate(std::chrono::system_clock::time_point aTime)
{
  const auto seconds = std::chrono::system_clock::to_time_t(aTime);
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char text[64];
  const auto size =
    std::strftime(text, sizeof text, "%a, %d %b %Y %H:%M:%S GMT", &parts);
  return { text, size };
}

edge::response
ToEdgeResponse(response&& aResponse)
{
  edge::response made;
  made.mStatus = static_cast<unsigned>(aResponse.mStatus);
  made.mHeaders.Add("Date", FormatDate(std::chrono::system_clock::now()));
  if (!aResponse.mContentType.empty()) {
    made.mHeaders.Add("Content-Type", std::move(aResponse.mContentType));
  }
  for (auto& [name, content] : aResponse.mHeaders) {
    if (!edge::IsConnectionField(name)) {
      made.mHeaders.Set(std::move(name), std::move(content));
    }
  }
  made.mSharedBody =
    std::make_shared<const std::string>(std::move(aResponse.mBody));
  return made;
}

/** The IP address of a host name, or the address itself; throws
 * std::runtime_error if there is none. */
std::string
ResolveAddress(boost::asio::io_context& aLoop, const server_options& aOptions)
{
  boost::system::error_code error;
  tcp::resolver resolver(aLoop);
  const auto found = resolver.resolve(aOptions.mAddress,
                                      std::to_string(aOptions.mPort),
                                      tcp::resolver::passive,
                                      error);
  if (error || found.empty()) {
    throw std::runtime_error("can't listen on " + aOptions.mAddress + ": " +
                             error.message());
  }
  return found.begin()->endpoint().address().to_string();
}

} // namespace

struct server::implementation
{
  implementation(server_options aOptions, handler aHandler)
    : mHandler(std::move(aHandler))
    , mWorkers(aOptions.mMaximumThreads)
    , mListener(
        mLoop,
        LimitsOf(aOptions),
        [this](const auto& aExchange) { Take(aExchange); },
        OptionsOfListener(aOptions))
  {
    const auto error =
      mListener.Open({ ResolveAddress(mLoop, aOptions), aOptions.mPort });
    if (!error.empty()) {
      throw std::runtime_error("can't listen on " + error);
    }
    mPort = mListener.Port();
    mThread = std::thread([this] { Serve(); });
  }

  /** Passes a request to a worker. The exchange is used on the loop's thread
   * alone. */
  void Take(const edge::exchange_ptr& aExchange)
  {
    const auto asked = std::make_shared<const request>(
      ToRequest(std::move(aExchange->mRequest)));
    mWorkers.Run([this, asked, exchange = aExchange]() mutable {
      auto answer = ToEdgeResponse(Handle(*asked));
      boost::asio::post(
        mLoop,
        [exchange = std::move(exchange), answer = std::move(answer)]() mutable {
          exchange->Answer(std::move(answer));
        });
    });
  }

  response Handle(const request& aRequest) const
  {
    try {
      return mHandler(aRequest);
    } catch (const std::exception& error) {
      Log(log_level::Error,
          "http",
          aRequest.mMethod + " " + aRequest.mPath + " failed: " + error.what());
      response failed;
      failed.mStatus = 500;
      failed.mBody = "{\"error\":{\"reason\":\"internal_error\"}}";
      return failed;
    }
  }

  void Serve()
  {
    mLoop.run();
    // Stopped. What remains is responses that callers haven't taken yet.
    mLoop.restart();
    mWork.reset();
    mLoop.run_for(kLastResponsesTime);
    mListener.CloseAll();
    mLoop.restart();
    mLoop.poll();
  }

  void Stop()
  {
    if (!mThread.joinable()) {
      return;
    }
    std::promise<void> closed;
    boost::asio::post(mLoop, [&] {
      mListener.StopAccepting();
      mListener.AskCallersToClose();
      mListener.CloseIdle();
      closed.set_value();
    });
    closed.get_future().wait();
    mWorkers.Stop();
    // Runs after the workers' responses are passed to the connections.
    boost::asio::post(mLoop, [this] { mLoop.stop(); });
    mThread.join();
  }

  const handler mHandler;
  boost::asio::io_context mLoop{ 1 };
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    mWork = boost::asio::make_work_guard(mLoop);
  worker_pool mWorkers;
  edge::listener mListener;
  std::uint16_t mPort = 0;
  std::thread mThread;
};

server::server(server_options aOptions, handler aHandler)
  : mImplementation(std::make_unique<implementation>(std::move(aOptions),
                                                     std::move(aHandler)))
{
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
  auto& self = *mImplementation;
  boost::asio::post(self.mLoop,
                    [&self] { self.mListener.AskCallersToClose(); });
}

void
server::Stop()
{
  mImplementation->Stop();
}

} // namespace lavender::http
