#include "Duties/Routing/PoolTable.h"

#include <algorithm>

namespace lavender::routing {
namespace {

/** Bounds of a server's measured speed relative to the mean: a wrong figure
 * must neither starve a server nor bury it. */
constexpr double kSlowest = 1.0 / 16;
constexpr double kFastest = 4;
/** A server slower than this share of the mean gets no affinity. */
constexpr double kAffinitySpeed = 0.5;
/** Random draws before the table is searched. */
constexpr int kDraws = 8;

double
RatePerSlot(const server_row& aRow)
{
  return aRow.mReport.mTokensPerSecond / std::max(aRow.mReport.mSlots, 1);
}

/** Speed relative to the mean of the measured servers. */
double
SpeedOf(const pool_table& aTable, const server_row& aRow)
{
  const double rate = RatePerSlot(aRow);
  if (rate <= 0 || aTable.mMeasured == 0 || aTable.mRatePerSlotSum <= 0) {
    return 1;
  }
  const double mean =
    aTable.mRatePerSlotSum / static_cast<double>(aTable.mMeasured);
  return std::clamp(rate / mean, kSlowest, kFastest);
}

int
RequestsOn(const server_row& aRow)
{
  return std::max(aRow.mReport.mRequests + aRow.mOwnRequests.mCorrection, 0);
}

/** Adds a row's part to the sums, or takes it off. */
void
Sum(pool_table& aTable, const server_row& aRow, double aSign)
{
  aTable.mLoadSum += aSign * aRow.mLoad;
  const double rate = RatePerSlot(aRow);
  if (rate > 0) {
    aTable.mRatePerSlotSum += aSign * rate;
    aTable.mMeasured += aSign > 0 ? 1 : std::size_t(-1);
  }
}

/** Counts the request to come too, so that an idle slow server doesn't look
 * like an idle fast one. */
void
UpdateLoad(pool_table& aTable, server_row& aRow)
{
  const double capacity = std::max(aRow.mReport.mSlots, 1) *
                          SpeedOf(aTable, aRow) *
                          std::max(1 - FailureShare(aRow.mBreaker), kSlowest);
  const double load = (RequestsOn(aRow) + 1) / capacity;
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
ChooseHome(pool_table& aTable, const route_request& aRequest, time_point aNow)
{
  const double mean =
    aTable.mLoadSum / static_cast<double>(aTable.mRows.size());
  const double bound =
    std::max(aTable.mLimits.mFreeShare, aTable.mLimits.mAffinityBound * mean);
  const server_row* best = nullptr;
  for (const auto& home : FindHomes(aTable.mPrefixes, aRequest.mPrefix, aNow)) {
    const auto* row = FindRow(aTable, home.mServer);
    if (row && IsUsable(aTable, *row, aRequest, aNow) && row->mLoad <= bound &&
        SpeedOf(aTable, *row) >= kAffinitySpeed &&
        (!best || row->mLoad < best->mLoad)) {
      best = row;
    }
  }
  return best;
}

/** A random usable row; when draws find none, the first one from a random
 * place on. */
const server_row*
DrawRow(const pool_table& aTable,
        const route_request& aRequest,
        std::mt19937_64& aRandom,
        time_point aNow)
{
  const auto size = aTable.mRows.size();
  std::uniform_int_distribution<std::size_t> pick(0, size - 1);
  for (int draw = 0; draw < kDraws; ++draw) {
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
NextRow(pool_table& aTable, const route_request& aRequest, time_point aNow)
{
  for (std::size_t i = 0; i < aTable.mRows.size(); ++i) {
    const auto& row = aTable.mRows[aTable.mNextRow++ % aTable.mRows.size()];
    if (IsUsable(aTable, row, aRequest, aNow)) {
      return &row;
    }
  }
  return nullptr;
}

const server_row*
ChooseOfTwo(pool_table& aTable,
            const route_request& aRequest,
            std::mt19937_64& aRandom,
            time_point aNow)
{
  const auto* first = NextRow(aTable, aRequest, aNow);
  if (!first) {
    return nullptr;
  }
  const auto* second = DrawRow(aTable, aRequest, aRandom, aNow);
  if (first->mLoad != second->mLoad) {
    return first->mLoad < second->mLoad ? first : second;
  }
  const auto isNear = [&](const server_row* aRow) {
    return aRow->mReport.mAvailabilityZone == aRequest.mLocalZone;
  };
  return isNear(second) && !isNear(first) ? second : first;
}

/** Drops servers that nobody has heard of for long, so that replaced ones
 * don't pile up. */
void
ForgetSilent(pool_table& aTable, time_point aNow)
{
  for (std::size_t i = 0; i < aTable.mRows.size();) {
    auto& row = aTable.mRows[i];
    const bool isGone =
      aNow - row.mReport.mGeneratedAt > aTable.mLimits.mForgetAfter &&
      row.mOwnRequests.mInFlight.empty();
    if (!isGone) {
      ++i;
      continue;
    }
    Sum(aTable, row, -1);
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
  ForgetSilent(aTable, aNow);
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
    Remember(aTable.mPrefixes, prefix, aReport.mName, aReport.mGeneratedAt);
  }
  if (known && aReport.mGeneratedAt < row.mReport.mGeneratedAt) {
    return;
  }
  Sum(aTable, row, -1);
  row.mReport = aReport;
  row.mReport.mCachedPrefixes.clear();
  Sum(aTable, row, 1);
  TakeReportTime(row.mOwnRequests, aReport.mGeneratedAt);
  UpdateLoad(aTable, row);
}

void
TakeCount(pool_table& aTable,
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
  TakeReportTime(row->mOwnRequests, aMadeAt);
  UpdateLoad(aTable, *row);
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
      chosen = DrawRow(aTable, aRequest, aRandom, aNow);
      break;
    case routing_policy::RoundRobin:
      chosen = NextRow(aTable, aRequest, aNow);
      break;
    case routing_policy::TwoChoices:
      chosen =
        aRequest.mPrefix == 0 ? nullptr : ChooseHome(aTable, aRequest, aNow);
      if (!chosen) {
        chosen = ChooseOfTwo(aTable, aRequest, aRandom, aNow);
      }
      break;
  }
  return chosen ? std::optional(chosen->mReport.mName) : std::nullopt;
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
    Remember(aTable.mPrefixes, aPrefix, aServer, aNow);
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
  const bool wasClosed = row->mBreaker.mState == breaker_state::Closed;
  RecordEnd(row->mOwnRequests, aSentAt, aNow);
  RecordEnd(row->mBreaker, aEvidence, aTable.mLimits.mBreaker, aNow);
  const bool isClosed = row->mBreaker.mState == breaker_state::Closed;
  aTable.mOpenBreakers += wasClosed && !isClosed ? 1 : 0;
  aTable.mOpenBreakers -= !wasClosed && isClosed ? 1 : 0;
  UpdateLoad(aTable, *row);
}

} // namespace lavender::routing
