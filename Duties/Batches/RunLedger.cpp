#include "Duties/Batches/RunLedger.h"

#include <algorithm>
#include <limits>

namespace lavender::batches {

namespace {

/** Items on their last run wait at most for so many others before them. */
constexpr int kLastRunRounds = 3;

bool
Counts(run_fate aFate)
{
  return aFate == run_fate::Open || aFate == run_fate::Ended;
}

bool
Counts(const counted_run& aRun)
{
  return Counts(aRun.mFate);
}

int
ShareOf(int aItems, std::size_t aServers)
{
  const auto servers = std::max<std::size_t>(aServers, 1);
  return static_cast<int>(
    (static_cast<std::size_t>(std::max(aItems, 1)) + servers - 1) / servers);
}

} // namespace

const char*
ToString(run_fate aFate)
{
  switch (aFate) {
    case run_fate::Placed:
      return "placed";
    case run_fate::Open:
      return "open";
    case run_fate::Survived:
      return "survived";
    case run_fate::Ended:
      return "ended";
  }
  return "";
}

void
RecordFate(run_ledger& aLedger,
           const site::server_start& aServer,
           run_fate aFate)
{
  auto& run = aLedger[aServer];
  if (run.mFate == run_fate::Ended) {
    return;
  }
  if (aFate == run_fate::Survived && !run.mWasStored) {
    aLedger.erase(aServer);
    return;
  }
  run.mIsStored = run.mIsStored && run.mFate == aFate;
  run.mFate = aFate;
}

void
RecordPlacement(run_ledger& aLedger, const site::server_start& aServer)
{
  auto& run =
    aLedger.try_emplace(aServer, counted_run{ run_fate::Placed, false, false })
      .first->second;
  if (run.mFate == run_fate::Survived) {
    run.mFate = run_fate::Placed;
    run.mIsStored = false;
  }
}

void
OpenPlacedRuns(run_ledger& aLedger)
{
  for (auto& [server, run] : aLedger) {
    if (run.mFate == run_fate::Placed) {
      run.mFate = run_fate::Open;
      run.mIsStored = false;
    }
  }
}

void
MarkWritten(run_ledger& aLedger, const site::server_start& aServer)
{
  if (const auto run = aLedger.find(aServer); run != aLedger.end()) {
    run->second.mWasStored = true;
  }
}

void
ApplyStored(run_ledger& aLedger, const run_record& aRecord)
{
  const auto [run, isNew] = aLedger.try_emplace(
    aRecord.mServer, counted_run{ aRecord.mFate, true, true });
  if (isNew) {
    return;
  }
  run->second.mWasStored = true;
  const bool isFinal =
    run->second.mFate == run_fate::Ended || aRecord.mFate == run_fate::Ended;
  if (isFinal) {
    run->second.mFate = run_fate::Ended;
    run->second.mIsStored =
      run->second.mIsStored || aRecord.mFate == run_fate::Ended;
    return;
  }
  // An own fate that isn't stored yet is newer than the record.
  if (run->second.mIsStored) {
    run->second.mFate = aRecord.mFate;
  }
  run->second.mIsStored = run->second.mFate == aRecord.mFate;
}

void
ApplyCarried(run_ledger& aLedger, const run_record& aRecord)
{
  const bool isNew =
    aLedger
      .try_emplace(aRecord.mServer, counted_run{ aRecord.mFate, false, true })
      .second;
  if (!isNew && aRecord.mFate == run_fate::Ended) {
    RecordFate(aLedger, aRecord.mServer, run_fate::Ended);
  }
}

int
ServersLost(const run_ledger& aLedger)
{
  return static_cast<int>(
    std::count_if(aLedger.begin(), aLedger.end(), [](const auto& aRun) {
      return Counts(aRun.second);
    }));
}

bool
MayMove(const run_ledger& aLedger,
        const site::server_start& aFrom,
        const site::server_start& aTo)
{
  const auto atRisk =
    std::count_if(aLedger.begin(), aLedger.end(), [&](const auto& aRun) {
      return !(aRun.first == aFrom) && aRun.second.mFate != run_fate::Survived;
    });
  const auto there = aLedger.find(aTo);
  const bool isNew =
    there == aLedger.end() || there->second.mFate == run_fate::Survived;
  // The server of the run and the one that it moves to are at risk too.
  return isNew && ServersLost(aLedger) == 0 &&
         atRisk + 2 <= kMaximumServersLost;
}

suspicion
SuspicionOf(const run_ledger& aLedger)
{
  const int lost = ServersLost(aLedger);
  if (lost >= kMaximumServersLost) {
    return suspicion::Barred;
  }
  if (lost == kMaximumServersLost - 1) {
    return suspicion::LastRun;
  }
  return lost > 0 ? suspicion::Suspect : suspicion::None;
}

bool
IsPlaced(const run_ledger& aLedger, const site::server_start& aServer)
{
  const auto run = aLedger.find(aServer);
  return run != aLedger.end() && run->second.mFate == run_fate::Placed;
}

bool
IsStoredPlace(const run_ledger& aLedger, const site::server_start& aServer)
{
  return IsPlaced(aLedger, aServer) && IsStored(aLedger, aServer);
}

bool
IsStored(const run_ledger& aLedger, const site::server_start& aServer)
{
  const auto run = aLedger.find(aServer);
  return run != aLedger.end() && run->second.mIsStored;
}

bool
IsCountStored(const run_ledger& aLedger)
{
  return std::all_of(aLedger.begin(), aLedger.end(), [](const auto& aRun) {
    return aRun.second.mIsStored || !Counts(aRun.second);
  });
}

void
AddUnstored(const run_ledger& aLedger,
            std::size_t aItem,
            std::vector<run_record>& aRecords)
{
  for (const auto& [server, run] : aLedger) {
    if (!run.mIsStored) {
      aRecords.push_back({ aItem, server, run.mFate });
    }
  }
}

bool
HasUnstoredCount(const std::vector<run_record>& aRecords)
{
  return std::any_of(aRecords.begin(), aRecords.end(), [](const auto& aRecord) {
    return Counts(aRecord.mFate);
  });
}

void
AddCounted(const run_ledger& aLedger,
           const std::string& aItemId,
           std::vector<item_run>& aRuns)
{
  for (const auto& [server, run] : aLedger) {
    if (Counts(run)) {
      aRuns.push_back({ aItemId, server, run.mFate });
    }
  }
}

std::vector<site::server_start>
OpenRuns(const run_ledger& aLedger)
{
  std::vector<site::server_start> open;
  for (const auto& [server, run] : aLedger) {
    if (run.mFate == run_fate::Open) {
      open.push_back(server);
    }
  }
  return open;
}

std::vector<site::server_start>
ServersCounted(const run_ledger& aLedger)
{
  std::vector<site::server_start> servers;
  for (const auto& [server, run] : aLedger) {
    if (Counts(run)) {
      servers.push_back(server);
    }
  }
  return servers;
}

suspect_limits
LimitsOf(const suspect_counts& aCounts,
         std::size_t aServers,
         milliseconds aKeptApartFor)
{
  if (aKeptApartFor >= kApartTime) {
    constexpr int kAny = std::numeric_limits<int>::max();
    return { kAny, kAny };
  }
  return { ShareOf(aCounts.mSuspects, aServers),
           ShareOf(aCounts.mLastRuns, aServers * kLastRunRounds) };
}

} // namespace lavender::batches
