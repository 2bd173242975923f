#pragma once

#include "Duties/Routing/Breaker.h"
#include "Duties/Routing/OwnRequests.h"
#include "Duties/Routing/PrefixMemory.h"

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace lavender::routing {

enum class routing_policy
{
  /** The less loaded of the next server in turn and a random one, after prefix
   * affinity. */
  TwoChoices,
  /** Baselines of the experiments. */
  Random,
  RoundRobin
};

/** What a server's report says that matters here. */
struct server_report
{
  std::string mName;
  std::string mAvailabilityZone;
  int mSlots = 1;
  /** Requests queued and running when the report was made. */
  int mRequests = 0;
  /** Tokens a second that the server drains with all slots busy, as its agent
   * measured; 0 while unknown. */
  double mTokensPerSecond = 0;
  bool mAcceptsRequests = false;
  /** When the report was made, or earlier, by the own clock. */
  time_point mGeneratedAt;
  std::vector<std::int64_t> mCachedPrefixes;
};

struct server_row
{
  server_report mReport;
  own_requests mOwnRequests;
  breaker mBreaker;
  /** Expected work for the server's speed; kept by each change. */
  double mLoad = 0;
};

struct table_limits
{
  routing_policy mPolicy = routing_policy::TwoChoices;
  breaker_limits mBreaker;
  /** A server whose report is older gets no new requests. */
  milliseconds mHeartbeat{ 2500 };
  /** A server not heard of for this long is forgotten. */
  milliseconds mForgetAfter{ 600000 };
  /** Affinity holds up to this load, relative to the mean of all servers. */
  double mAffinityBound = 1.25;
  /** Affinity holds in any case while less of the slots is taken: the request
   * needn't wait there. */
  double mFreeShare = 0.5;
};

/** All servers of a pool, prepared for decisions: a report changes one row,
 * and a decision looks at two. Copyable plain state. */
struct pool_table
{
  table_limits mLimits;
  std::vector<server_row> mRows;
  std::unordered_map<std::string, std::size_t> mIndex;
  prefix_memory mPrefixes;
  double mLoadSum = 0;
  double mRatePerSlotSum = 0;
  std::size_t mMeasured = 0;
  std::size_t mOpenBreakers = 0;
  std::size_t mNextRow = 0;
};

struct route_request
{
  std::int64_t mPrefix = 0;
  std::string mLocalZone;
  /** Servers tried before. */
  std::vector<std::string> mExcluded;
};

/** Takes a server's report in; one that is older than the last is ignored
 * but for its cache events. */
void
ApplyReport(pool_table& aTable, const server_report& aReport, time_point aNow);

/** Takes the count of requests that came with an answer: fresher than the next
 * report, and free.
 * @param aMadeAt when the answer was made, or earlier */
void
TakeCount(pool_table& aTable,
          const std::string& aServer,
          int aRequests,
          time_point aMadeAt);

/** A server that left or fell silent gets no work until its next report. */
void
MarkUnavailable(pool_table& aTable, const std::string& aServer);

/** Chooses a server; none when no server can take the request.
 *
 * A server that holds the prompt's prefix is taken while its load is within a
 * bound of the mean; then the less loaded of the next one in turn and a random
 * one, the own availability zone on a tie. Both may be the same, so that one
 * shunned for a slow past is tried now and then. When more than half of the
 * breakers are open, the cause is hardly the servers, and breakers are
 * ignored. */
std::optional<std::string>
ChooseServer(pool_table& aTable,
             const route_request& aRequest,
             std::mt19937_64& aRandom,
             time_point aNow);

/** Counts a request that is sent to a server, and learns its prefix. */
void
RecordSent(pool_table& aTable,
           const std::string& aServer,
           std::int64_t aPrefix,
           time_point aNow);

/** @param aSentAt what RecordSent was told for this request */
void
RecordEnd(pool_table& aTable,
          const std::string& aServer,
          time_point aSentAt,
          evidence aEvidence,
          time_point aNow);

} // namespace lavender::routing
