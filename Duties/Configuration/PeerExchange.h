#pragma once

#include "Duties/Configuration/ConfigurationStore.h"
#include "Duties/Membership/PollPool.h"
#include "Libraries/Metrics/Metrics.h"
#include "Libraries/Wire/ConnectionPool.h"
#include "Libraries/Wire/Generated/entry_service.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace lavender::configuration {

using peer_pool = wire::connection_pool<wire::entry_serviceClient>;

struct peer_options
{
  /** Name of this instance on the instance list. */
  std::string mOwnName;
  std::string mOwnIncarnation;
  /** Returns the entries on the last instance list. */
  std::function<std::vector<platform::instance>()> mEntries;
  milliseconds mExchangeInterval{ 500 };
  milliseconds mTimeout{ 1000 };
  /** Optional; null disables the metrics. */
  metrics::registry* mMetrics = nullptr;
};

/** How many peers were polled and answered, and which revisions they know. */
struct peer_report
{
  std::size_t mKnown = 0;
  std::size_t mPolled = 0;
  std::size_t mReachable = 0;
  /** For each reachable peer, since when it has been so without a gap. */
  std::vector<time_point> mReachableSince;
  std::int64_t mHighestChangedRevision = 0;
  std::optional<time_point> mLatestVerifiedAt;
  /** Every peer knows all changes up to this revision; 0 while any peer is
   * unreachable. */
  std::int64_t mLowestKnownRevision = 0;
  /** Names of the reachable peers. */
  std::vector<std::string> mNames;
};

/** Exchanges configuration digests with the other entries and fetches the
 * configuration from a peer that knows later changes. An entry that is cut off
 * from the platform thereby stays as recent as the peers that it can reach. */
class peer_exchange
{
public:
  peer_exchange(peer_options aOptions, configuration_store& aStore);
  ~peer_exchange();
  peer_exchange(const peer_exchange&) = delete;
  peer_exchange& operator=(const peer_exchange&) = delete;

  void Start();
  void Stop();
  peer_report Report() const;

private:
  struct peer
  {
    std::string mAddress;
    std::shared_ptr<peer_pool> mConnections;
    std::optional<time_point> mLastResponseAt;
    std::optional<time_point> mReachableSince;
    std::optional<time_point> mRequestedAt;
    state_digest mDigest;
  };

  void RefreshPeers();
  membership::poll_outcome PollOnce(const std::string& aName);
  membership::poll_outcome Exchange(const std::string& aName);
  void FetchFrom(const std::string& aName,
                 const std::shared_ptr<peer_pool>& aConnections);
  void Count(const char* aResult);

  const peer_options mOptions;
  configuration_store& mStore;
  mutable std::mutex mMutex;
  std::map<std::string, peer> mPeers;
  membership::poll_pool mPolls;
};

} // namespace lavender::configuration
