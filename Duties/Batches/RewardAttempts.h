#pragma once

#include "Duties/Batches/OwnerTerm.h"
#include "Duties/Rewards/ServerUse.h"

#include <optional>
#include <set>

/** Decides at which servers the attempts of an item's reward call count. No
 * I/O.
 *
 * The first attempt is sent unstored, as the first run is. Once a server has
 * ended under the item, each attempt is stored before it is sent: its server is
 * reserved. A reserved server that doesn't get the call is released, and
 * doesn't count. */
namespace lavender::batches {

/** Servers of the attempts of one item's reward call. */
struct reward_attempts
{
  /** Server for which the next attempt is stored, or is being stored. */
  std::optional<site::server_start> mReserved;
  /** Servers that process an attempt. */
  std::set<site::server_start> mOpen;
};

/** Whether an attempt is at the server or is reserved there. */
bool
HasAttemptAt(const reward_attempts& aAttempts,
             const site::server_start& aServer);

/** Whether an attempt may go to the server.
 * @param aMayHaveEnded whether the server is silent or ended a moment ago */
rewards::server_use
UseOf(const reward_attempts& aAttempts,
      const run_ledger& aLedger,
      const owner_term& aTerm,
      const site::server_start& aServer,
      bool aMayHaveEnded);

/** Begins an attempt at the server, or reserves the server if the attempt has
 * to be stored first. Another reserved server is released.
 * @return whether the attempt may be sent now */
bool
BeginAttempt(reward_attempts& aAttempts,
             run_ledger& aLedger,
             const site::server_start& aServer);

/** The server responded to an attempt or never got it. */
void
RecordAnswer(reward_attempts& aAttempts,
             run_ledger& aLedger,
             const site::server_start& aServer);

/** The attempt broke off. */
void
RecordCutOff(reward_attempts& aAttempts, const site::server_start& aServer);

/** Releases the reserved server, which hasn't got the call. */
void
ReleaseServer(reward_attempts& aAttempts, run_ledger& aLedger);

/** The call is over: attempts that are under way are of no use. */
void
CancelAttempts(reward_attempts& aAttempts, run_ledger& aLedger);

/** Counts the attempts that were sent unstored and must be stored now, since
 * the ledger says more of the item. */
void
RecordUnstoredAttempts(const reward_attempts& aAttempts, run_ledger& aLedger);

} // namespace lavender::batches
