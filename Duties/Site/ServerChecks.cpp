#include "Duties/Site/ServerChecks.h"

#include "Libraries/Edge/RunAfter.h"
#include "Libraries/EventLog/EventLog.h"

namespace lavender::site {

namespace {

/** A server on the same network answers within some ms. */
constexpr milliseconds kConnectTimeout{ 150 };
constexpr milliseconds kAnswerTimeout{ 300 };
constexpr std::size_t kMaximumAnswerBytes = 64 << 10;

/** Where the directory holds the server, or held it last. If it is another
 * start, another server may be there by now. */
struct listed_address
{
  edge::endpoint mAddress;
  bool mIsOfStart = false;
};

std::optional<listed_address>
AddressOf(const server_start& aStart, const server_directory& aDirectory)
{
  if (const auto row = aDirectory.mRows.find(aStart.mId);
      row != aDirectory.mRows.end()) {
    const auto& server = row->second.mServer;
    return listed_address{ server.mAddress, StartOf(server) == aStart };
  }
  if (const auto dropped = aDirectory.mDropped.find(aStart.mId);
      dropped != aDirectory.mDropped.end()) {
    const auto& server = dropped->second;
    return listed_address{ server.mAddress,
                           server.mStartedAt == aStart.mStartedAt };
  }
  return std::nullopt;
}

} // namespace

/** The question whether one start of a server still runs. */
struct server_checks::check
{
  server_start mStart;
  std::optional<edge::endpoint> mAddress;
  /** Those who asked since the last request was sent. An answer to an earlier
   * request says nothing of a connection that broke after it. */
  std::vector<fate_handler> mWaiting;
  /** Those who know that the first answer was missing. */
  std::vector<fate_handler> mTold;
  int mRequests = 0;
  bool mIsSilent = false;
  bool mIsAsking = false;
};

server_checks::server_checks(boost::asio::io_context& aLoop,
                             edge::client_pool& aClients,
                             const exchange_protocol& aProtocol,
                             const server_directory& aDirectory,
                             metrics::registry& aMetrics)
  : mLoop(aLoop)
  , mClients(aClients)
  , mProtocol(aProtocol)
  , mDirectory(aDirectory)
  , mMetrics(aMetrics)
{
}

void
server_checks::Check(const server_start& aStart,
                     const std::optional<edge::endpoint>& aAddress,
                     fate_handler aDone)
{
  auto& slot = mChecks[aStart];
  if (!slot) {
    slot = std::make_shared<check>();
    slot->mStart = aStart;
  }
  slot->mAddress = aAddress ? aAddress : slot->mAddress;
  slot->mWaiting.push_back(std::move(aDone));
  if (!slot->mIsAsking) {
    slot->mIsAsking = true;
    // Runs of one server break in the same moment; one request serves them all.
    edge::RunAfter(
      mLoop, milliseconds(0), [this, asked = slot] { Ask(asked); });
  }
}

bool
server_checks::IsSilent(const server_start& aStart) const
{
  const auto found = mChecks.find(aStart);
  return found != mChecks.end() && found->second->mIsSilent;
}

void
server_checks::Ask(const std::shared_ptr<check>& aCheck)
{
  ++aCheck->mRequests;
  auto asked = std::exchange(aCheck->mWaiting, {});
  auto address = aCheck->mAddress;
  if (!address) {
    // It may have been asked for before the directory was filled.
    if (const auto listed = AddressOf(aCheck->mStart, mDirectory)) {
      address = listed->mAddress;
      if (listed->mIsOfStart) {
        aCheck->mAddress = address;
      }
    }
  }
  if (!address) {
    HandleReply(aCheck, std::move(asked), std::nullopt);
    return;
  }
  edge::call_options options;
  options.mConnectTimeout = kConnectTimeout;
  options.mSilenceTimeout = kAnswerTimeout;
  // An open connection to a server that has ended would only break again.
  options.mMayReuse = false;
  edge::FetchWhole(mClients,
                   mLoop,
                   *address,
                   mProtocol.mIdentityRequest(aCheck->mStart),
                   options,
                   kAnswerTimeout,
                   kMaximumAnswerBytes,
                   [this, aCheck, asked = std::move(asked)](
                     edge::call_end aEnd, const edge::response& aAnswer) {
                     auto identity = aEnd == edge::call_end::Complete
                                       ? mProtocol.mReadIdentity(aAnswer)
                                       : std::nullopt;
                     if (identity && !aCheck->mAddress &&
                         IsOtherServer(aCheck->mStart, *identity)) {
                       identity.reset();
                     }
                     HandleReply(aCheck, asked, identity);
                   });
}

void
server_checks::HandleReply(const std::shared_ptr<check>& aCheck,
                           std::vector<fate_handler> aAsked,
                           const std::optional<server_identity>& aReply)
{
  auto fate = FateByReply(aCheck->mStart, aReply);
  if (fate == server_fate::Unknown) {
    fate = FateByDirectory(aCheck->mStart, mDirectory);
  } else if (aReply->mStartedAt == 0 &&
             HasStartedAgain(aCheck->mStart, mDirectory)) {
    // Plain servers don't say which start they are.
    fate = server_fate::Ended;
  }
  events::line("server_checked")
    .With("server", aCheck->mStart.mId)
    .With("started_at", aCheck->mStart.mStartedAt)
    .With("fate", ToString(fate))
    .With("answered_start", aReply ? aReply->mStartedAt : 0)
    .With("requests", static_cast<std::int64_t>(aCheck->mRequests))
    .With("runs",
          static_cast<std::int64_t>(aAsked.size() + aCheck->mTold.size()));
  mMetrics.Count("lavender_server_checks_total",
                 { { "fate", ToString(fate) } });
  aCheck->mIsSilent = fate == server_fate::Unknown;
  auto told = std::move(aCheck->mTold);
  aCheck->mTold.clear();
  if (fate == server_fate::Unknown) {
    aCheck->mTold = std::move(told);
    aCheck->mTold.insert(aCheck->mTold.end(), aAsked.begin(), aAsked.end());
    told.clear();
    AskLater(aCheck);
  } else if (aCheck->mWaiting.empty()) {
    mChecks.erase(aCheck->mStart);
  } else {
    AskLater(aCheck);
  }
  for (const auto& handler : aAsked) {
    handler(fate);
  }
  for (const auto& handler : told) {
    handler(fate);
  }
}

void
server_checks::AskLater(const std::shared_ptr<check>& aCheck)
{
  const auto delay =
    aCheck->mWaiting.empty() ? CheckDelay(aCheck->mRequests) : milliseconds(0);
  edge::RunAfter(mLoop, delay, [this, aCheck] { Ask(aCheck); });
}

} // namespace lavender::site
