#include "Duties/Batches/OwnerTerm.h"

#include <algorithm>

namespace lavender::batches {

namespace {

/** Stands in the ledger for the server that an earlier owner may have lost. No
 * server has this id. */
const site::server_start kUnstoredServer{ "(unstored)", 0 };

/** Whether the store holds that the run is over and its server lived. */
bool
IsSettled(const counted_run& aRun)
{
  return aRun.mFate == run_fate::Survived && aRun.mIsStored;
}

} // namespace

owner_term
FirstTerm(server_list aListed)
{
  owner_term term;
  term.mPhase = term_phase::Begun;
  term.mListed = std::move(aListed);
  return term;
}

owner_term
LaterTerm(server_list aListed)
{
  owner_term term;
  term.mUnchecked = aListed;
  term.mListed = std::move(aListed);
  term.mPhase =
    term.mListed.empty() ? term_phase::Beginning : term_phase::Checking;
  return term;
}

void
RecordCheck(owner_term& aTerm,
            const site::server_start& aServer,
            site::server_fate aFate)
{
  const bool isFirst = aTerm.mUnchecked.erase(aServer) > 0;
  if (!isFirst && aTerm.mSilent.count(aServer) == 0) {
    return;
  }
  switch (aFate) {
    case site::server_fate::Unknown:
      aTerm.mSilent.insert(aServer);
      break;
    case site::server_fate::Running:
      aTerm.mSilent.erase(aServer);
      break;
    case site::server_fate::Ended:
      aTerm.mSilent.erase(aServer);
      aTerm.mLost.insert(aServer);
      break;
  }
  if (aTerm.mPhase == term_phase::Checking && aTerm.mUnchecked.empty()) {
    aTerm.mPhase = term_phase::Beginning;
  }
}

run_fate
AssumedFate(const owner_term& aTerm)
{
  if (!aTerm.mLost.empty()) {
    return run_fate::Ended;
  }
  return aTerm.mUnchecked.empty() && aTerm.mSilent.empty() ? run_fate::Survived
                                                           : run_fate::Open;
}

bool
MayUse(const owner_term& aTerm, const site::server_start& aServer)
{
  return aTerm.mPhase == term_phase::Begun &&
         aTerm.mListed.count(aServer) > 0 &&
         aTerm.mRemoving.count(aServer) == 0;
}

server_list_change
ChangeOf(const owner_term& aTerm,
         const server_list& aUsable,
         const std::function<bool(const site::server_start&)>& aMayRemove)
{
  server_list_change change;
  if (aTerm.mPhase == term_phase::Checking) {
    return change;
  }
  change.mBeginsTerm = aTerm.mPhase == term_phase::Beginning;
  for (const auto& server : aUsable) {
    if (aTerm.mListed.count(server) == 0 || aTerm.mRemoving.count(server) > 0) {
      change.mAdded.push_back(server);
    }
  }
  for (const auto& server : aTerm.mListed) {
    if (aUsable.count(server) == 0 && aTerm.mSilent.count(server) == 0 &&
        aMayRemove(server)) {
      change.mRemoved.push_back(server);
    }
  }
  return change;
}

void
MarkWritten(owner_term& aTerm, const server_list_change& aChange)
{
  aTerm.mRemoving.insert(aChange.mRemoved.begin(), aChange.mRemoved.end());
}

void
ApplyChange(server_list& aListed, const server_list_change& aChange)
{
  aListed.insert(aChange.mAdded.begin(), aChange.mAdded.end());
  for (const auto& server : aChange.mRemoved) {
    aListed.erase(server);
  }
}

bool
ApplyChange(owner_term& aTerm, const server_list_change& aChange, bool aIsOwn)
{
  ApplyChange(aTerm.mListed, aChange);
  aTerm.mRemoving.clear();
  if (!aChange.mBeginsTerm) {
    return true;
  }
  if (aIsOwn && aTerm.mPhase == term_phase::Beginning) {
    aTerm.mPhase = term_phase::Begun;
  }
  return aIsOwn;
}

bool
MayRunUnstored(const run_ledger& aLedger)
{
  return std::all_of(aLedger.begin(), aLedger.end(), [](const auto& aRun) {
    return IsSettled(aRun.second);
  });
}

bool
MayOthersRunUnstored(const run_ledger& aLedger)
{
  return std::none_of(aLedger.begin(), aLedger.end(), [](const auto& aRun) {
    return aRun.second.mIsStored && !IsSettled(aRun.second);
  });
}

bool
MustStoreSentRun(const run_ledger& aLedger, const site::server_start& aServer)
{
  const auto own = aLedger.find(aServer);
  const bool isPlaced = own != aLedger.end() && own->second.mIsStored &&
                        own->second.mFate == run_fate::Placed;
  return !isPlaced &&
         std::any_of(aLedger.begin(), aLedger.end(), [&](const auto& aRun) {
           return !(aRun.first == aServer) && !IsSettled(aRun.second);
         });
}

bool
MayStoreRuns(const owner_term& aTerm, bool aMayHaveRunUnstored)
{
  return aTerm.mPhase != term_phase::Checking || !aMayHaveRunUnstored;
}

void
AssumeUnstoredEnd(run_ledger& aLedger, const owner_term& aTerm)
{
  const auto fate = AssumedFate(aTerm);
  if (fate == run_fate::Survived) {
    return;
  }
  const bool isOne = aTerm.mLost.size() + aTerm.mSilent.size() == 1;
  const auto& servers = aTerm.mLost.empty() ? aTerm.mSilent : aTerm.mLost;
  RecordFate(aLedger, isOne ? *servers.begin() : kUnstoredServer, fate);
}

void
AssumeUnknownEnd(run_ledger& aLedger)
{
  RecordFate(aLedger, kUnstoredServer, run_fate::Ended);
}

bool
HasOpenAssumption(const run_ledger& aLedger)
{
  const auto assumed = aLedger.find(kUnstoredServer);
  return assumed != aLedger.end() && assumed->second.mFate == run_fate::Open;
}

bool
ReviseAssumedEnd(run_ledger& aLedger, const owner_term& aTerm)
{
  const auto fate = AssumedFate(aTerm);
  if (!HasOpenAssumption(aLedger) || fate == run_fate::Open) {
    return false;
  }
  RecordFate(aLedger, kUnstoredServer, fate);
  return true;
}

bool
IsAssumed(const site::server_start& aServer)
{
  return aServer == kUnstoredServer;
}

} // namespace lavender::batches
