#pragma once

#include "Duties/Routing/Breaker.h"
#include "Duties/Routing/OwnRequests.h"
#include "Duties/Routing/PrefixMemory.h"
#include "Duties/Routing/RecentServers.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace lavender::routing {

enum class routing_policy
{
  /** Prefix affinity; otherwise the less loaded of two servers, the next one
   * in turn and a random one. */
  TwoChoices,
  /** Random and RoundRobin are baselines for experiments. */
  Random,
  RoundRobin
};

/** The part of a server's load report that routing uses. */
struct server_report
{
  std::string mName;
  std::string mAvailabilityZone;
  int mSlots = 1;
  /** Requests queued and running when the report was generated. */
  int mRequests = 0;
  /** Tokens per second with all slots busy, as measured by the server's agent;
   * 0 while unknown. */
  double mTokensPerSecond = 0;
  bool mAcceptsRequests = false;
  /** Start time of the server; distinguishes two starts under the same name. */
  std::int64_t mStartedAt = 0;
  /** When the report was generated, or an earlier time, by the clock of this
   * process. */
  time_point mGeneratedAt;
  std::vector<std::int64_t> mCachedPrefixes;
};

struct server_row
{
  server_report mReport;
  own_requests mOwnRequests;
  breaker mBreaker;
  /** Estimated requests per slot, divided by the server's relative speed and
   * success ratio; updated on each change. */
  double mLoad = 0;
  /** Factor by which work takes longer than usual on the server's machine, and
   * until when that counts. */
  double mSlowdown = 1;
  time_point mSlowUntil;
};

struct table_limits
{
  routing_policy mPolicy = routing_policy::TwoChoices;
  breaker_limits mBreaker;
  /** A server whose last report is older than this gets no new requests. */
  milliseconds mHeartbeat{ 2500 };
  /** A server without a report for this long is removed from the table. */
  milliseconds mExpireAfter{ 600000 };
  /** Prefix affinity applies up to this multiple of the mean load. */
  double mAffinityLoadFactor = 1.25;
  /** Up to this load, servers that cache the prefix or to which a connection is
   * open are always preferred, because the request finds a free slot there. */
  double mFreeLoad = 0.5;
};

/** Routing state of all servers of a pool. Sums are updated incrementally, so
 * that a report changes one row and a selection usually reads two. Copyable
 * plain data. */
struct pool_table
{
  table_limits mLimits;
  std::vector<server_row> mRows;
  std::unordered_map<std::string, std::size_t> mIndex;
  prefix_index mPrefixes;
  recent_servers mRecent;
  double mLoadSum = 0;
  double mRatePerSlotSum = 0;
  std::size_t mMeasuredServers = 0;
  std::size_t mOpenBreakers = 0;
  /** Row whose turn is next. The first one is drawn, or the first requests of
   * all entries would meet on the same server. */
  std::optional<std::size_t> mNextRow;
};

struct route_request
{
  std::int64_t mPrefix = 0;
  std::string mLocalZone;
  /** Servers that earlier attempts of this request were sent to. */
  std::vector<std::string> mExcluded;
  /** Whether the request can use an open connection to a server; null if it
   * needs one of its own. */
  std::function<bool(const std::string& aServer)> mIsConnected;
};

/** Applies a server's report. Of a report older than the last one, only the
 * cache events are used. */
void
ApplyReport(pool_table& aTable, const server_report& aReport, time_point aNow);

/** Applies the request count that a server sent with a response. It arrives
 * before the next report and needs no extra message.
 * @param aMadeAt when the response was generated, or an earlier time */
void
ApplyRequestCount(pool_table& aTable,
                  const std::string& aServer,
                  int aRequests,
                  time_point aMadeAt);

/** Applies a slowdown of the server's machine. It counts as lower speed until
 * the given time. */
void
ApplySlowdown(pool_table& aTable,
              const std::string& aServer,
              double aSlowdown,
              time_point aUntil);

/** Sends no requests to a server until its next report, because it has left
 * or has stopped responding. */
void
MarkUnavailable(pool_table& aTable, const std::string& aServer);

/** Selects a server; none when no server can take the request.
 *
 * With policy TwoChoices, a server that caches the prompt's prefix is selected
 * while its load is within a bound relative to the mean. Otherwise, the server
 * of the latest requests to which a connection is open is selected, unless it
 * is half full or its last response was slow. Otherwise the less loaded of two
 * servers is selected, the next one in turn and a random one; on
 * a tie, one in the local availability zone is preferred. Both may be the same
 * server, so that a server measured as slow still gets a request occasionally
 * and is measured again. When more than half of all breakers are open, the
 * servers are unlikely to be the cause, and breakers are ignored. */
std::optional<std::string>
ChooseServer(pool_table& aTable,
             const route_request& aRequest,
             std::mt19937_64& aRandom,
             time_point aNow);

/** Whether ChooseServer may select the server. */
bool
MaySelect(const pool_table& aTable,
          const std::string& aServer,
          const route_request& aRequest,
          time_point aNow);

/** Records a request sent to a server, and the server as a holder of the
 * prompt's prefix. */
void
RecordSent(pool_table& aTable,
           const std::string& aServer,
           std::int64_t aPrefix,
           time_point aNow);

/** @param aSentAt time passed to RecordSent for this request */
void
RecordEnd(pool_table& aTable,
          const std::string& aServer,
          time_point aSentAt,
          evidence aEvidence,
          time_point aNow);

} // namespace lavender::routing
