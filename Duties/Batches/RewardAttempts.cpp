#include "Duties/Batches/RewardAttempts.h"

namespace lavender::batches {

namespace {

bool
IsCounted(const run_ledger& aLedger, const site::server_start& aServer)
{
  const auto run = aLedger.find(aServer);
  return run != aLedger.end() && (run->second.mFate == run_fate::Open ||
                                  run->second.mFate == run_fate::Ended);
}

} // namespace

bool
HasAttemptAt(const reward_attempts& aAttempts,
             const site::server_start& aServer)
{
  return aAttempts.mReserved == aServer || aAttempts.mOpen.count(aServer) > 0;
}

rewards::server_use
UseOf(const reward_attempts& aAttempts,
      const run_ledger& aLedger,
      const owner_term& aTerm,
      const site::server_start& aServer,
      bool aMayHaveEnded)
{
  // An answer to a further attempt would take the end back.
  if (!(aAttempts.mReserved == aServer) && IsCounted(aLedger, aServer)) {
    return rewards::server_use::Counted;
  }
  if (aMayHaveEnded) {
    return rewards::server_use::Silent;
  }
  return MayUse(aTerm, aServer) ? rewards::server_use::Allowed
                                : rewards::server_use::NotListed;
}

bool
BeginAttempt(reward_attempts& aAttempts,
             run_ledger& aLedger,
             const site::server_start& aServer)
{
  if (!(aAttempts.mReserved == aServer)) {
    ReleaseServer(aAttempts, aLedger);
  }
  if (!MayRunUnstored(aLedger)) {
    RecordFate(aLedger, aServer, run_fate::Open);
    if (!IsCountStored(aLedger)) {
      aAttempts.mReserved = aServer;
      return false;
    }
  }
  aAttempts.mReserved.reset();
  aAttempts.mOpen.insert(aServer);
  return true;
}

void
RecordAnswer(reward_attempts& aAttempts,
             run_ledger& aLedger,
             const site::server_start& aServer)
{
  if (aAttempts.mOpen.erase(aServer) > 0 && aLedger.count(aServer) > 0) {
    RecordFate(aLedger, aServer, run_fate::Survived);
  }
}

void
RecordCutOff(reward_attempts& aAttempts, const site::server_start& aServer)
{
  aAttempts.mOpen.erase(aServer);
}

void
ReleaseServer(reward_attempts& aAttempts, run_ledger& aLedger)
{
  if (const auto server = std::exchange(aAttempts.mReserved, std::nullopt)) {
    RecordFate(aLedger, *server, run_fate::Survived);
  }
}

void
CancelAttempts(reward_attempts& aAttempts, run_ledger& aLedger)
{
  ReleaseServer(aAttempts, aLedger);
  aAttempts.mOpen.clear();
}

void
RecordUnstoredAttempts(const reward_attempts& aAttempts, run_ledger& aLedger)
{
  for (const auto& server : aAttempts.mOpen) {
    if (MustStoreSentRun(aLedger, server)) {
      RecordFate(aLedger, server, run_fate::Open);
    }
  }
}

} // namespace lavender::batches
