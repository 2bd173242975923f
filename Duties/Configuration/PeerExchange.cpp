#include "Duties/Configuration/PeerExchange.h"

#include "Duties/Membership/Reachability.h"
#include "Libraries/Core/Log.h"

#include <algorithm>

namespace lavender::configuration {
namespace {

using membership::poll_outcome;

constexpr std::size_t kThreads = 4;
/** Poll target that stands for no peer: polling it updates the set of peers
 * from the instance list. */
constexpr const char* kPeerListTarget = "";

} // namespace

peer_exchange::peer_exchange(peer_options aOptions, configuration_store& aStore)
  : mOptions(std::move(aOptions))
  , mStore(aStore)
  , mPolls({ mOptions.mExchangeInterval,
             kThreads,
             kThreads,
             [this](const std::string& aName) { return PollOnce(aName); } })
{
}

peer_exchange::~peer_exchange()
{
  Stop();
}

void
peer_exchange::Start()
{
  mPolls.SetTargets({ kPeerListTarget });
  mPolls.Start();
}

void
peer_exchange::Stop()
{
  mPolls.Stop();
}

poll_outcome
peer_exchange::PollOnce(const std::string& aName)
{
  if (aName == kPeerListTarget) {
    RefreshPeers();
    return poll_outcome::Answered;
  }
  return Exchange(aName);
}

void
peer_exchange::RefreshPeers()
{
  std::vector<std::string> targets = { kPeerListTarget };
  std::map<std::string, peer> peers;
  {
    std::lock_guard lock(mMutex);
    for (const auto& instance : mOptions.mEntries()) {
      if (instance.mName == mOptions.mOwnName) {
        continue;
      }
      const auto address = http::FormatEndpoint(instance.mEndpoint);
      auto& kept = peers[instance.mName];
      if (const auto old = mPeers.find(instance.mName);
          old != mPeers.end() && old->second.mAddress == address) {
        kept = old->second;
      } else {
        kept.mAddress = address;
        kept.mConnections =
          std::make_shared<peer_pool>(instance.mEndpoint, mOptions.mTimeout);
      }
      targets.push_back(instance.mName);
    }
    mPeers = std::move(peers);
  }
  mPolls.SetTargets(targets);
}

poll_outcome
peer_exchange::Exchange(const std::string& aName)
{
  std::shared_ptr<peer_pool> connections;
  {
    std::lock_guard lock(mMutex);
    const auto found = mPeers.find(aName);
    if (found == mPeers.end()) {
      return poll_outcome::Unresponsive;
    }
    connections = found->second.mConnections;
  }
  const auto requestedAt = boot_clock::now();
  const auto own = mStore.Digest();
  wire::peer_digest message;
  message.echo = aName;
  message.entry_incarnation = mOptions.mOwnIncarnation;
  message.name = mOptions.mOwnName;
  message.configuration_revision = own.mKnownRevision;
  message.changed_revision = own.mChangedRevision;
  message.fresh_age_ms = AgeOf(own.mVerifiedAt, requestedAt).count();
  const auto outcome = connections->Run<wire::peer_digest>(
    mOptions.mTimeout, aName, [&](auto& aClient, auto& aReply) {
      aClient.Exchange(aReply, message);
    });
  const auto& reply = outcome.mReply;
  // The address may have been reassigned since the list was fetched.
  const bool isPeer =
    outcome.mState == wire::wire_state::Answered && reply.name == aName;
  state_digest digest;
  if (isPeer) {
    // Computed from the time at which the request was sent, so the verification
    // is never dated too late.
    digest = { reply.configuration_revision,
               reply.changed_revision,
               VerificationTime(milliseconds(reply.fresh_age_ms),
                                requestedAt) };
  }
  {
    std::lock_guard lock(mMutex);
    if (const auto found = mPeers.find(aName);
        found != mPeers.end() && found->second.mConnections == connections) {
      found->second.mRequestedAt = requestedAt;
      if (isPeer) {
        const auto now = boot_clock::now();
        found->second.mReachableSince = membership::ReachableSince(
          found->second.mReachableSince, found->second.mLastResponseAt, now);
        found->second.mLastResponseAt = now;
        found->second.mDigest = digest;
      }
    }
  }
  if (!isPeer) {
    connections->DropIdle();
    Count("silent");
    return poll_outcome::Unresponsive;
  }
  Count("answered");
  if (mStore.ApplyDigest(digest) == apply_outcome::NeedsFullCopy) {
    FetchFrom(aName, connections);
  }
  return poll_outcome::Answered;
}

void
peer_exchange::FetchFrom(const std::string& aName,
                         const std::shared_ptr<peer_pool>& aConnections)
{
  const auto requestedAt = boot_clock::now();
  const auto outcome = aConnections->Run<wire::configuration_copy>(
    mOptions.mTimeout, aName, [&](auto& aClient, auto& aReply) {
      aClient.FetchConfiguration(aReply, aName);
    });
  if (outcome.mState != wire::wire_state::Answered) {
    aConnections->DropIdle();
    Count("fetch_failed");
    return;
  }
  const auto taken = mStore.ApplyCopy(FromMessage(outcome.mReply, requestedAt));
  if (taken == apply_outcome::Advanced) {
    Log(log_level::Info,
        "configuration",
        "Fetched a newer configuration from entry " + aName +
          " revision=" + std::to_string(outcome.mReply.revision));
    Count("caught_up");
  }
}

void
peer_exchange::Count(const char* aResult)
{
  if (mOptions.mMetrics) {
    mOptions.mMetrics->Count("lavender_peer_exchanges_total",
                             { { "result", aResult } });
  }
}

peer_report
peer_exchange::Report() const
{
  peer_report report;
  const auto now = boot_clock::now();
  std::lock_guard lock(mMutex);
  // Peers are counted on the list rather than in mPeers, which lacks peers that
  // aren't polled yet.
  bool isListed = false;
  for (const auto& instance : mOptions.mEntries()) {
    const bool isOwn = instance.mName == mOptions.mOwnName;
    isListed = isListed || isOwn;
    report.mKnown += isOwn ? 0 : 1;
  }
  auto lowest = mStore.Digest().mKnownRevision;
  for (const auto& [name, peer] : mPeers) {
    report.mPolled += peer.mRequestedAt ? 1 : 0;
    if (!peer.mLastResponseAt) {
      continue;
    }
    if (membership::IsReachable(peer.mLastResponseAt, now)) {
      ++report.mReachable;
      report.mReachableSince.push_back(*peer.mReachableSince);
      report.mNames.push_back(name);
      lowest = std::min(lowest, peer.mDigest.mKnownRevision);
    }
    report.mHighestChangedRevision =
      std::max(report.mHighestChangedRevision, peer.mDigest.mChangedRevision);
    if (const auto verifiedAt = peer.mDigest.mVerifiedAt) {
      report.mLatestVerifiedAt =
        std::max(report.mLatestVerifiedAt.value_or(*verifiedAt), *verifiedAt);
    }
  }
  // A list that lacks this entry may be outdated and lack other entries too.
  const bool areAllHeard = isListed && report.mReachable == report.mKnown;
  report.mLowestKnownRevision = areAllHeard ? lowest : 0;
  return report;
}

} // namespace lavender::configuration
