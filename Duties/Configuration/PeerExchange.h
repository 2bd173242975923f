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
  /** Name of this instance, which the list names too. */
  std::string mOwnName;
  std::string mOwnIncarnation;
  /** The entries by the last instance list. */
  std::function<std::vector<platform::instance>()> mEntries;
  milliseconds mExchangeEvery{ 500 };
  milliseconds mTimeout{ 1000 };
  /** May be null. */
  metrics::registry* mMetrics = nullptr;
};

/** How many peers could be asked and heard, and what they know. */
struct peer_report
{
  std::size_t mKnown = 0;
  std::size_t mPolled = 0;
  std::size_t mReachable = 0;
  std::int64_t mHighestChangedRevision = 0;
  std::optional<time_point> mLatestVerifiedAt;
  /** Every peer knows all changes up to here; 0 while one can't be heard. */
  std::int64_t mLowestKnownRevision = 0;
  /** Names of the peers that can be heard. */
  std::vector<std::string> mNames;
};

/** Compares this entry's configuration with its peers' and fetches it from
 * one that knows later changes. An entry that is cut off from the platform
 * stays as fresh as the peers that it can reach. */
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
    std::optional<time_point> mAskedAt;
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
