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

/** What an entry knows of its site: the operator's configuration and the
 * backend servers. Plain types, filled in by the adapter of the platform. */
namespace lavender::site {

/** What may be done with a request whose outcome is unknown. */
enum class retry_policy
{
  Idempotent,
  AtMostOnce
};

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
  /** Requests come in batches that are run later. */
  bool mAcceptsBatches = false;
  /** Answers are series of events. */
  bool mIsStream = false;
  /** A stream may go on at another server after its last event. */
  bool mIsResumable = false;
  bool mNeedsKey = true;
  /** All tokens of a result must come from one version of the weights. */
  bool mIsSingleVersion = false;
  /** Longest time that a caller is kept waiting; none when not set. */
  std::optional<milliseconds> mTimeout;
  /** Time within which an answer is worth most. */
  milliseconds mTargetLatency{ 1000 };
  /** 0 is the most urgent. */
  int mPriority = 5;
  int mMaximumAttempts = 1;
  /** Pools that share the route's requests. */
  std::vector<weighted_pool> mPools;
  /** An item of a batch may be given up this long after the submission. */
  milliseconds mMaximumQueueTime{ 60000 };
  /** All results of a batch are due this long after the submission. */
  milliseconds mResultsDueAfter{ 60000 };
};

struct engine_pool
{
  int mSlots = 1;
  std::vector<std::string> mModels;
};

struct server_pool
{
  std::string mName;
  int mMaximumConnections = 100;
  /** Present for pools of model engines. */
  std::optional<engine_pool> mEngine;
};

struct customer
{
  std::string mName;
  /** Goes before the route's priority when set. */
  std::optional<int> mPriority;
};

/** One version of the operator's configuration, prepared for look-ups. */
struct site_configuration
{
  std::int64_t mVersion = 0;
  /** Routes by host, then by prefix. */
  std::unordered_map<
    std::string,
    std::unordered_map<std::string, std::shared_ptr<const route>>>
    mRoutes;
  std::map<std::string, server_pool> mPools;
  bool mHasCustomers = false;
  /** By the hash of the key: keys themselves are not kept. */
  std::unordered_map<std::string, std::shared_ptr<const customer>> mKeys;
  edge::listener_limits mLimits;
};

using configuration_ptr = std::shared_ptr<const site_configuration>;

/** The route of that host with the longest prefix that begins the path; null
 * when there is none. A port in the host is ignored. */
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

/** Looks the key up that the header field bears. */
key_check
CheckKey(const site_configuration& aConfiguration,
         const route& aRoute,
         const std::string* aAuthorization);

/** Takes a configuration in unless it is older than the one in force: versions
 * only grow, and a late answer must not bring an old one back.
 * @return true when it is in force now */
bool
ApplyConfiguration(configuration_ptr& aInForce, configuration_ptr aArrived);

} // namespace lavender::site
