#include "Duties/Routing/PoolTable.h"

#include <algorithm>

namespace lavender::routing {
namespace {

/** Bounds of a server's measured speed relative to the mean, so that a wrong
 * measurement neither starves nor overloads the server. */
constexpr double kMinimumRelativeSpeed = 1.0 / 16;
constexpr double kMaximumRelativeSpeed = 4;
/** Prefix affinity doesn't apply to a server below this relative speed. */
constexpr double kMinimumAffinitySpeed = 0.5;
/** Random draws before the table is searched linearly. */
constexpr int kMaximumDraws = 8;

double
RatePerSlot(const server_row& aRow)
{
  return aRow.mReport.mTokensPerSecond / std::max(aRow.mReport.mSlots, 1);
}

/** Speed relative to the mean of the measured servers. */
double
RelativeSpeed(const pool_table& aTable, const server_row& aRow)
{
  const double rate = RatePerSlot(aRow);
  if (rate <= 0 || aTable.mMeasuredServers == 0 ||
      aTable.mRatePerSlotSum <= 0) {
    return 1;
  }
  const double mean =
    aTable.mRatePerSlotSum / static_cast<double>(aTable.mMeasuredServers);
  return std::clamp(rate / mean, kMinimumRelativeSpeed, kMaximumRelativeSpeed);
}

/** Factor by which the server is slower than usual at the moment, bounded like
 * its speed. */
double
SlowdownAt(const server_row& aRow, time_point aNow)
{
  return aNow <= aRow.mSlowUntil ? std::clamp(aRow.mSlowdown,
                                              1 / kMaximumRelativeSpeed,
                                              1 / kMinimumRelativeSpeed)
                                 : 1;
}

/** The row's load at the speed that its machine has at the moment. */
double
LoadAt(const server_row& aRow, time_point aNow)
{
  return aRow.mLoad * SlowdownAt(aRow, aNow);
}

int
EstimateRequests(const server_row& aRow)
{
  return std::max(aRow.mReport.mRequests + aRow.mOwnRequests.mCorrection, 0);
}

/** Adds a row's contribution to the table's sums (aSign 1) or subtracts it
 * (aSign -1). */
void
AddToSums(pool_table& aTable, const server_row& aRow, double aSign)
{
  aTable.mLoadSum += aSign * aRow.mLoad;
  const double rate = RatePerSlot(aRow);
  if (rate > 0) {
    aTable.mRatePerSlotSum += aSign * rate;
    aTable.mMeasuredServers += aSign > 0 ? 1 : std::size_t(-1);
  }
}

/** Includes the next request in the load; otherwise an idle slow server would
 * have the same load as an idle fast one. */
void
UpdateLoad(pool_table& aTable, server_row& aRow)
{
  const double capacity =
    std::max(aRow.mReport.mSlots, 1) * RelativeSpeed(aTable, aRow) *
    std::max(1 - FailureRatio(aRow.mBreaker), kMinimumRelativeSpeed);
  const double load = (EstimateRequests(aRow) + 1) / capacity;
  aTable.mLoadSum += load - aRow.mLoad;
  aRow.mLoad = load;
}

server_row*
FindRow(pool_table& aTable, const std::string& aServer)
{
  const auto found = aTable.mIndex.find(aServer);
  return found == aTable.mIndex.end() ? nullptr : &aTable.mRows[found->second];
}

bool
IsUsable(const pool_table& aTable,
         const server_row& aRow,
         const route_request& aRequest,
         time_point aNow)
{
  const auto& excluded = aRequest.mExcluded;
  const bool ignoresBreakers = aTable.mOpenBreakers * 2 > aTable.mRows.size();
  return aRow.mReport.mAcceptsRequests &&
         aNow - aRow.mReport.mGeneratedAt < aTable.mLimits.mHeartbeat &&
         (ignoresBreakers || AllowsRequest(aRow.mBreaker, aNow)) &&
         std::find(excluded.begin(), excluded.end(), aRow.mReport.mName) ==
           excluded.end();
}

const server_row*
SelectByPrefix(pool_table& aTable,
               const route_request& aRequest,
               time_point aNow)
{
  const double mean =
    aTable.mLoadSum / static_cast<double>(aTable.mRows.size());
  const double bound = std::max(aTable.mLimits.mFreeLoad,
                                aTable.mLimits.mAffinityLoadFactor * mean);
  const server_row* best = nullptr;
  for (const auto& holder :
       FindHolders(aTable.mPrefixes, aRequest.mPrefix, aNow)) {
    const auto* row = FindRow(aTable, holder.mServer);
    if (row && IsUsable(aTable, *row, aRequest, aNow) &&
        LoadAt(*row, aNow) <= bound &&
        RelativeSpeed(aTable, *row) >=
          kMinimumAffinitySpeed * SlowdownAt(*row, aNow) &&
        (!best || LoadAt(*row, aNow) < LoadAt(*best, aNow))) {
      best = row;
    }
  }
  return best;
}

const server_row*
SelectConnected(pool_table& aTable,
                const route_request& aRequest,
                time_point aNow)
{
  if (!aRequest.mIsConnected) {
    return nullptr;
  }
  for (const auto& recent : aTable.mRecent.mNewestFirst) {
    const auto* row = FindRow(aTable, recent.mName);
    if (row && IsUsable(aTable, *row, aRequest, aNow) &&
        LoadAt(*row, aNow) <= aTable.mLimits.mFreeLoad &&
        WasAsFastAsUsual(aTable.mRecent, recent) &&
        aRequest.mIsConnected(recent.mName)) {
      return row;
    }
  }
  return nullptr;
}

/** Random usable row; when the draws find none, the first usable one at or
 * after a random position. */
const server_row*
SelectRandom(const pool_table& aTable,
             const route_request& aRequest,
             std::mt19937_64& aRandom,
             time_point aNow)
{
  const auto size = aTable.mRows.size();
  std::uniform_int_distribution<std::size_t> pick(0, size - 1);
  for (int draw = 0; draw < kMaximumDraws; ++draw) {
    const auto& row = aTable.mRows[pick(aRandom)];
    if (IsUsable(aTable, row, aRequest, aNow)) {
      return &row;
    }
  }
  const auto start = pick(aRandom);
  for (std::size_t i = 0; i < size; ++i) {
    const auto& row = aTable.mRows[(start + i) % size];
    if (IsUsable(aTable, row, aRequest, aNow)) {
      return &row;
    }
  }
  return nullptr;
}

const server_row*
SelectNextInTurn(pool_table& aTable,
                 const route_request& aRequest,
                 std::mt19937_64& aRandom,
                 time_point aNow)
{
  if (!aTable.mNextRow) {
    aTable.mNextRow = std::uniform_int_distribution<std::size_t>(
      0, aTable.mRows.size() - 1)(aRandom);
  }
  for (std::size_t i = 0; i < aTable.mRows.size(); ++i) {
    const auto& row = aTable.mRows[(*aTable.mNextRow)++ % aTable.mRows.size()];
    if (IsUsable(aTable, row, aRequest, aNow)) {
      return &row;
    }
  }
  return nullptr;
}

const server_row*
SelectOfTwo(pool_table& aTable,
            const route_request& aRequest,
            std::mt19937_64& aRandom,
            time_point aNow)
{
  const auto* first = SelectNextInTurn(aTable, aRequest, aRandom, aNow);
  if (!first) {
    return nullptr;
  }
  const auto* second = SelectRandom(aTable, aRequest, aRandom, aNow);
  const double firstLoad = LoadAt(*first, aNow);
  const double secondLoad = LoadAt(*second, aNow);
  if (firstLoad != secondLoad) {
    return firstLoad < secondLoad ? first : second;
  }
  const auto isNear = [&](const server_row* aRow) {
    return aRow->mReport.mAvailabilityZone == aRequest.mLocalZone;
  };
  return isNear(second) && !isNear(first) ? second : first;
}

/** Removes servers without a recent report, so that replaced servers don't
 * accumulate. */
void
RemoveUnreported(pool_table& aTable, time_point aNow)
{
  for (std::size_t i = 0; i < aTable.mRows.size();) {
    auto& row = aTable.mRows[i];
    const bool isGone =
      aNow - row.mReport.mGeneratedAt > aTable.mLimits.mExpireAfter &&
      row.mOwnRequests.mInFlight.empty();
    if (!isGone) {
      ++i;
      continue;
    }
    AddToSums(aTable, row, -1);
    aTable.mOpenBreakers -= row.mBreaker.mState != breaker_state::Closed;
    aTable.mIndex.erase(row.mReport.mName);
    if (i + 1 != aTable.mRows.size()) {
      row = std::move(aTable.mRows.back());
      aTable.mIndex[row.mReport.mName] = i;
    }
    aTable.mRows.pop_back();
  }
}

server_row&
AddRow(pool_table& aTable, const server_report& aReport, time_point aNow)
{
  RemoveUnreported(aTable, aNow);
  aTable.mIndex[aReport.mName] = aTable.mRows.size();
  auto& row = aTable.mRows.emplace_back();
  row.mReport.mName = aReport.mName;
  return row;
}

} // namespace

void
ApplyReport(pool_table& aTable, const server_report& aReport, time_point aNow)
{
  auto* known = FindRow(aTable, aReport.mName);
  auto& row = known ? *known : AddRow(aTable, aReport, aNow);
  for (const auto prefix : aReport.mCachedPrefixes) {
    RecordHolder(aTable.mPrefixes, prefix, aReport.mName, aReport.mGeneratedAt);
  }
  if (known && aReport.mGeneratedAt < row.mReport.mGeneratedAt) {
    return;
  }
  AddToSums(aTable, row, -1);
  if (row.mReport.mStartedAt != aReport.mStartedAt) {
    row.mSlowUntil = {};
  }
  row.mReport = aReport;
  row.mReport.mCachedPrefixes.clear();
  AddToSums(aTable, row, 1);
  ApplyReportTime(row.mOwnRequests, aReport.mGeneratedAt);
  UpdateLoad(aTable, row);
}

void
ApplyRequestCount(pool_table& aTable,
                  const std::string& aServer,
                  int aRequests,
                  time_point aMadeAt)
{
  auto* row = FindRow(aTable, aServer);
  if (!row || aMadeAt <= row->mReport.mGeneratedAt) {
    return;
  }
  row->mReport.mRequests = aRequests;
  row->mReport.mGeneratedAt = aMadeAt;
  ApplyReportTime(row->mOwnRequests, aMadeAt);
  UpdateLoad(aTable, *row);
}

void
ApplySlowdown(pool_table& aTable,
              const std::string& aServer,
              double aSlowdown,
              time_point aUntil)
{
  if (auto* row = FindRow(aTable, aServer)) {
    row->mSlowdown = aSlowdown;
    row->mSlowUntil = aUntil;
  }
}

void
MarkUnavailable(pool_table& aTable, const std::string& aServer)
{
  if (auto* row = FindRow(aTable, aServer)) {
    row->mReport.mAcceptsRequests = false;
  }
}

std::optional<std::string>
ChooseServer(pool_table& aTable,
             const route_request& aRequest,
             std::mt19937_64& aRandom,
             time_point aNow)
{
  if (aTable.mRows.empty()) {
    return std::nullopt;
  }
  const server_row* chosen = nullptr;
  switch (aTable.mLimits.mPolicy) {
    case routing_policy::Random:
      chosen = SelectRandom(aTable, aRequest, aRandom, aNow);
      break;
    case routing_policy::RoundRobin:
      chosen = SelectNextInTurn(aTable, aRequest, aRandom, aNow);
      break;
    case routing_policy::TwoChoices:
      chosen = aRequest.mPrefix == 0 ? nullptr
                                     : SelectByPrefix(aTable, aRequest, aNow);
      if (!chosen) {
        chosen = SelectConnected(aTable, aRequest, aNow);
      }
      if (!chosen) {
        chosen = SelectOfTwo(aTable, aRequest, aRandom, aNow);
      }
      break;
  }
  return chosen ? std::optional(chosen->mReport.mName) : std::nullopt;
}

bool
MaySelect(const pool_table& aTable,
          const std::string& aServer,
          const route_request& aRequest,
          time_point aNow)
{
  const auto found = aTable.mIndex.find(aServer);
  return found != aTable.mIndex.end() &&
         IsUsable(aTable, aTable.mRows[found->second], aRequest, aNow);
}

void
RecordSent(pool_table& aTable,
           const std::string& aServer,
           std::int64_t aPrefix,
           time_point aNow)
{
  if (auto* row = FindRow(aTable, aServer)) {
    RecordSent(row->mOwnRequests, aNow);
    RecordSent(row->mBreaker, aNow);
    UpdateLoad(aTable, *row);
    RecordHolder(aTable.mPrefixes, aPrefix, aServer, aNow);
  }
}

void
RecordEnd(pool_table& aTable,
          const std::string& aServer,
          time_point aSentAt,
          evidence aEvidence,
          time_point aNow)
{
  auto* row = FindRow(aTable, aServer);
  if (!row) {
    return;
  }
  if (aEvidence == evidence::Success) {
    RecordAnswered(aTable.mRecent,
                   aServer,
                   std::chrono::duration_cast<milliseconds>(aNow - aSentAt));
  } else {
    Forget(aTable.mRecent, aServer);
  }
  const bool wasClosed = row->mBreaker.mState == breaker_state::Closed;
  RecordEnd(row->mOwnRequests, aSentAt, aNow);
  RecordEnd(row->mBreaker, aSentAt, aEvidence, aTable.mLimits.mBreaker, aNow);
  const bool isClosed = row->mBreaker.mState == breaker_state::Closed;
  aTable.mOpenBreakers += wasClosed && !isClosed ? 1 : 0;
  aTable.mOpenBreakers -= !wasClosed && isClosed ? 1 : 0;
  UpdateLoad(aTable, *row);
}

} // namespace lavender::routing
