#pragma once

#include "Duties/Site/ServerFate.h"
#include "Libraries/Core/Clock.h"

#include <cstddef>
#include <map>
#include <vector>

/** Counts the servers that ended while they ran an item, and decides whether
 * the item may be sent again (query of death). No I/O.
 *
 * Whoever ends without a report evades a count of reports. A run counts
 * therefore from when its connection breaks until its server is known to live,
 * and once a server has ended under an item, each further run is stored before
 * it is sent. The stored records make the count outlive the process. */
namespace lavender::batches {

/** An item isn't sent again after so many servers have ended under it. */
constexpr int kMaximumServersLost = 3;

enum class run_fate
{
  /** The run is planned at the server, or is under way there as far as its
   * owner knows. Doesn't count; it tells the next owner at which server the run
   * may have been. */
  Placed,
  /** The server may have ended under the run; counts as if it had. */
  Open,
  /** The server lived when the run was over. */
  Survived,
  Ended
};

/** As stored and logged. */
const char*
ToString(run_fate aFate);

/** What became of the server of one run, as stored with the batch's results. */
struct run_record
{
  /** Index of the item in its submission. */
  std::size_t mItem = 0;
  site::server_start mServer;
  run_fate mFate = run_fate::Open;
};

/** The same, by the id of the item. */
struct item_run
{
  std::string mItemId;
  site::server_start mServer;
  run_fate mFate = run_fate::Open;
};

struct counted_run
{
  run_fate mFate = run_fate::Open;
  /** Whether the store holds this fate. */
  bool mIsStored = false;
  /** Whether the store holds any record of the run, or may hold one since a
   * write has no answer. */
  bool mWasStored = false;
};

/** Runs of one item whose server ended or may have ended. */
using run_ledger = std::map<site::server_start, counted_run>;

/** How likely it is that the item ends its servers. */
enum class suspicion
{
  None,
  Suspect,
  /** One more ended server makes the limit full. */
  LastRun,
  /** The limit is full; the item isn't sent. */
  Barred
};

/** Records what became of a run's server; Ended is final. A run that the store
 * doesn't know and whose server lives is forgotten, so that nothing needs to be
 * written for it. */
void
RecordFate(run_ledger& aLedger,
           const site::server_start& aServer,
           run_fate aFate);

/** Records where an unstored run is, unless the ledger says more of that
 * server.
 */
void
RecordPlacement(run_ledger& aLedger, const site::server_start& aServer);

/** Runs that are only placed, as an earlier owner left them, may have ended. */
void
OpenPlacedRuns(run_ledger& aLedger);

/** Records that a write of the run has begun; the store may hold it whatever
 * the answer. */
void
MarkWritten(run_ledger& aLedger, const site::server_start& aServer);

/** Applies a record that the store holds, written by this entry or by another
 * one that believes to own the batch. */
void
ApplyStored(run_ledger& aLedger, const run_record& aRecord);

/** Applies a record of an earlier batch with the same item. It is to be stored
 * with this batch too, so that a later owner knows that the item's runs are
 * stored before they are sent. */
void
ApplyCarried(run_ledger& aLedger, const run_record& aRecord);

/** Number of servers that ended or may have ended under the item. */
int
ServersLost(const run_ledger& aLedger);

/** Whether a run that was sent unstored may move to the server. One that it was
 * moved away from may have ended silently, so that counts as well. */
bool
MayMove(const run_ledger& aLedger,
        const site::server_start& aFrom,
        const site::server_start& aTo);

suspicion
SuspicionOf(const run_ledger& aLedger);

/** Whether the run at the server is only placed. */
bool
IsPlaced(const run_ledger& aLedger, const site::server_start& aServer);

/** Whether the store holds that a run is or may be at the server, so that one
 * may be sent there without being stored. */
bool
IsStoredPlace(const run_ledger& aLedger, const site::server_start& aServer);

/** Whether the store holds what the ledger says of the server. */
bool
IsStored(const run_ledger& aLedger, const site::server_start& aServer);

/** Whether the store holds all that counts. */
bool
IsCountStored(const run_ledger& aLedger);

/** Adds the records that the store doesn't hold yet. */
void
AddUnstored(const run_ledger& aLedger,
            std::size_t aItem,
            std::vector<run_record>& aRecords);

/** Whether the store lacks a record that counts. */
bool
HasUnstoredCount(const std::vector<run_record>& aRecords);

/** Adds the runs that count, for later batches with the same item. */
void
AddCounted(const run_ledger& aLedger,
           const std::string& aItemId,
           std::vector<item_run>& aRuns);

/** Servers whose fate isn't known. */
std::vector<site::server_start>
OpenRuns(const run_ledger& aLedger);

/** Servers that ended or may have ended under the item. */
std::vector<site::server_start>
ServersCounted(const run_ledger& aLedger);

/** Items that wait or run under suspicion. */
struct suspect_counts
{
  int mSuspects = 0;
  /** Items that wait for their last run or are on it; not among mSuspects. */
  int mLastRuns = 0;
};

/** Most runs of suspects that one server gets at a time. */
struct suspect_limits
{
  int mSuspects = 0;
  int mLastRuns = 0;
};

/** Other suspects keep an item from servers with room for at most this time:
 * their runs may take minutes. */
constexpr milliseconds kApartTime{ 1000 };

/** Spreads the suspects evenly, so that a server that ends takes few of them
 * with it and no place stays empty. Items on their last run are kept from each
 * other while their number allows it: where most items are suspects, they are
 * not the cause.
 * @param aServers number of servers that may run the suspects
 * @param aKeptApartFor for how long the limits have kept the item waiting */
suspect_limits
LimitsOf(const suspect_counts& aCounts,
         std::size_t aServers,
         milliseconds aKeptApartFor = milliseconds(0));

} // namespace lavender::batches
