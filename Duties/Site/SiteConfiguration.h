#pragma once

#include "Libraries/Core/Clock.h"
#include "Libraries/Edge/Listener.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

/** The operator's configuration of a site and the site's backend servers, as
 * plain types that the platform's adapter fills in. */
namespace lavender::site {

/** Whether a request whose outcome is unknown may be repeated. */
enum class retry_policy
{
  /** It may be repeated. */
  Idempotent,
  /** It must not be repeated. */
  AtMostOnce
};

/** A pool and its relative share of a route's requests. */
struct weighted_pool
{
  std::string mPool;
  int mWeight = 1;
};

struct route
{
  std::string mName;
  std::string mHost;
  /** Begins and ends with a slash. */
  std::string mPathPrefix;
  retry_policy mRetryPolicy = retry_policy::AtMostOnce;
  /** Whether requests are submitted in batches that are run later. */
  bool mAcceptsBatches = false;
  /** Whether responses are streams of events. */
  bool mIsStream = false;
  /** Whether another server may resume a stream after its last event. */
  bool mIsResumable = false;
  bool mNeedsKey = true;
  /** Whether one version of the weights must generate all tokens of a result.
   */
  bool mIsSingleVersion = false;
  /** Longest time that a caller is kept waiting; none if unlimited. */
  std::optional<milliseconds> mTimeout;
  /** Time within which a response is worth most. */
  milliseconds mTargetLatency{ 1000 };
  /** 0 is the most urgent. */
  int mPriority = 5;
  int mMaximumAttempts = 1;
  /** Pools that share the route's requests. */
  std::vector<weighted_pool> mPools;
  /** Time from a batch's submission after which its items may be abandoned. */
  milliseconds mMaximumQueueTime{ 60000 };
  /** Time from a batch's submission within which all results are due. */
  milliseconds mResultsDueAfter{ 60000 };
  /** Regions in which requests may be processed; empty if in all. */
  std::vector<std::string> mAllowedRegions;
};

/** Properties of a pool of model engines. */
struct engine_pool
{
  int mSlots = 1;
  std::vector<std::string> mModels;
  /** Memory of a server, in tokens of its runs; 0 if unknown. */
  std::int64_t mMemoryTokens = 0;
  /** Tokens that one event of a run holds; 0 if unknown. */
  std::int64_t mTokensPerEvent = 0;
};

struct server_pool
{
  std::string mName;
  int mMaximumConnections = 100;
  /** How long a server is slow after its start. */
  milliseconds mWarmUpTime{ 0 };
  /** Requests per second that a server bears while it warms up, over all
   * entries; 0 if unlimited. */
  double mWarmUpRequestsPerSecond = 0;
  /** None if the pool's servers are no model engines. */
  std::optional<engine_pool> mEngine;
};

struct customer
{
  std::string mName;
  /** Overrides the route's priority if set. */
  std::optional<int> mPriority;
  /** Regions in which requests may be processed; empty if in all. */
  std::vector<std::string> mAllowedRegions;
};

/** One version of the operator's configuration, indexed for look-ups. */
struct site_configuration
{
  std::int64_t mVersion = 0;
  /** Routes by host, then by path prefix. */
  std::unordered_map<
    std::string,
    std::unordered_map<std::string, std::shared_ptr<const route>>>
    mRoutes;
  std::map<std::string, server_pool> mPools;
  bool mHasCustomers = false;
  /** By hash of the customer's key; the keys themselves are not kept. */
  std::unordered_map<std::string, std::shared_ptr<const customer>> mKeys;
  /** By name. */
  std::unordered_map<std::string, std::shared_ptr<const customer>> mCustomers;
  edge::listener_limits mLimits;
};

using configuration_ptr = std::shared_ptr<const site_configuration>;

/** Returns the host of a Host header field, without its port. */
std::string
HostName(std::string_view aHost);

/** Whether batches may be submitted to the host. */
bool
AcceptsBatches(const site_configuration& aConfiguration,
               std::string_view aHost);

/** Returns the host's route with the longest matching path prefix; null if
 * there is none. A port in the host is ignored. */
std::shared_ptr<const route>
FindRoute(const site_configuration& aConfiguration,
          std::string_view aHost,
          std::string_view aTarget);

enum class key_verdict
{
  Allowed,
  NotNeeded,
  Unknown
};

struct key_check
{
  key_verdict mVerdict = key_verdict::Unknown;
  std::shared_ptr<const customer> mCustomer;
};

/** Looks up the key in the Authorization header field.
 * @param aAuthorization null if the request has no such field */
key_check
CheckKey(const site_configuration& aConfiguration,
         const route& aRoute,
         const std::string* aAuthorization);

/** Returns the customer with that name; null if there is none. */
const customer*
FindCustomer(const site_configuration& aConfiguration,
             const std::string& aName);

/** Puts a configuration into force unless it is null or no newer than the one
 * in force. Versions only grow, so a delayed response can't restore an old
 * configuration.
 * @return whether it is in force now */
bool
ApplyConfiguration(configuration_ptr& aInForce, configuration_ptr aArrived);

} // namespace lavender::site
