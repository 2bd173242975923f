#include "Duties/Configuration/PeerExchange.h"

#include "Libraries/Core/Log.h"

#include <algorithm>

namespace lavender::configuration {
namespace {

using membership::poll_outcome;

/** A peer heard within this counts as audible. */
constexpr milliseconds kAudible{ 4000 };
constexpr std::size_t kThreads = 4;
/** Polled like a peer: keeps the set of peers up to date with the list. */
constexpr const char* kListTarget = "";

} // namespace

peer_exchange::peer_exchange(peer_options aOptions, configuration_store& aStore)
  : mOptions(std::move(aOptions))
  , mStore(aStore)
  , mPolls({ mOptions.mExchangeEvery,
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
  mPolls.SetTargets({ kListTarget });
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
  if (aName == kListTarget) {
    RefreshPeers();
    return poll_outcome::Answered;
  }
  return Exchange(aName);
}

void
peer_exchange::RefreshPeers()
{
  std::vector<std::string> targets = { kListTarget };
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
      return poll_outcome::Silent;
    }
    connections = found->second.mConnections;
  }
  const auto askedAt = boot_clock::now();
  const auto own = mStore.Digest();
  wire::peer_digest message;
  message.echo = aName;
  message.entry_incarnation = mOptions.mOwnIncarnation;
  message.name = mOptions.mOwnName;
  message.configuration_revision = own.mKnownRevision;
  message.changed_revision = own.mChangedRevision;
  message.fresh_age_ms = AgeOf(own.mVerifiedAt, askedAt).count();
  const auto outcome = connections->Run<wire::peer_digest>(
    mOptions.mTimeout, aName, [&](auto& aClient, auto& aReply) {
      aClient.Exchange(aReply, message);
    });
  const auto& reply = outcome.mReply;
  // The address may have been given to another instance since the list.
  const bool isPeer =
    outcome.mState == wire::wire_state::Answered && reply.name == aName;
  state_digest digest;
  if (isPeer) {
    // Counted from when the question left, the proof is never too young.
    digest = { reply.configuration_revision,
               reply.changed_revision,
               ProofAt(milliseconds(reply.fresh_age_ms), askedAt) };
  }
  {
    std::lock_guard lock(mMutex);
    if (const auto found = mPeers.find(aName);
        found != mPeers.end() && found->second.mConnections == connections) {
      found->second.mAskedAt = askedAt;
      if (isPeer) {
        found->second.mLastResponseAt = boot_clock::now();
        found->second.mDigest = digest;
      }
    }
  }
  if (!isPeer) {
    connections->DropIdle();
    Count("silent");
    return poll_outcome::Silent;
  }
  Count("answered");
  if (mStore.TakeDigest(digest) == apply_outcome::NeedsCopy) {
    FetchFrom(aName, connections);
  }
  return poll_outcome::Answered;
}

void
peer_exchange::FetchFrom(const std::string& aName,
                         const std::shared_ptr<peer_pool>& aConnections)
{
  const auto askedAt = boot_clock::now();
  const auto outcome = aConnections->Run<wire::configuration_copy>(
    mOptions.mTimeout, aName, [&](auto& aClient, auto& aReply) {
      aClient.FetchConfiguration(aReply, aName);
    });
  if (outcome.mState != wire::wire_state::Answered) {
    aConnections->DropIdle();
    Count("fetch_failed");
    return;
  }
  const auto taken = mStore.TakeCopy(FromMessage(outcome.mReply, askedAt));
  if (taken == apply_outcome::Advanced) {
    Log(log_level::Info,
        "configuration",
        "Caught up from " + aName +
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
  // Counted from the list itself: a peer that isn't polled yet is known too.
  bool isListed = false;
  for (const auto& instance : mOptions.mEntries()) {
    const bool isOwn = instance.mName == mOptions.mOwnName;
    isListed = isListed || isOwn;
    report.mKnown += isOwn ? 0 : 1;
  }
  auto lowest = mStore.Digest().mKnownRevision;
  for (const auto& [name, peer] : mPeers) {
    report.mPolled += peer.mAskedAt ? 1 : 0;
    if (!peer.mLastResponseAt) {
      continue;
    }
    if (now - *peer.mLastResponseAt <= kAudible) {
      ++report.mReachable;
      report.mNames.push_back(name);
      lowest = std::min(lowest, peer.mDigest.mKnownRevision);
    }
    report.mHighestChangedRevision =
      std::max(report.mHighestChangedRevision, peer.mDigest.mChangedRevision);
    if (const auto proof = peer.mDigest.mVerifiedAt) {
      report.mLatestVerifiedAt =
        std::max(report.mLatestVerifiedAt.value_or(*proof), *proof);
    }
  }
  // A list that doesn't name this entry yet may lack others too.
  const bool areAllHeard = isListed && report.mReachable == report.mKnown;
  report.mLowestKnownRevision = areAllHeard ? lowest : 0;
  return report;
}

} // namespace lavender::configuration
