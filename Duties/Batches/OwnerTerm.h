#pragma once

#include "Duties/Batches/RunLedger.h"

#include <functional>
#include <set>
#include <vector>

/** Decides what a new owner of a batch assumes of runs that the owner before it
 * sent and didn't store. No I/O.
 *
 * A write for each run would be dear. The first run of an item is therefore
 * planned: the store holds its server, with the items or in a block that is
 * written anyway, and the run may be sent there without a write of its own. A
 * run at another server is sent once the store holds that one. So a new owner
 * knows which servers an item may have been at, and checks whether these still
 * run.
 *
 * Runs of items with a reward call aren't planned. The first one is sent
 * unstored to any server that the store lists, and the end of its server is
 * stored before the item is sent again. So at most one end of each such item
 * can be lost with its owner, and only if a listed server has ended. A new
 * owner checks these servers too, and if one has ended, a server counts for
 * each such item. */
namespace lavender::batches {

/** Servers that the owners of a batch may send unstored runs to. */
using server_list = std::set<site::server_start>;

/** A change of the list, as stored in a block of results. */
struct server_list_change
{
  /** The block begins the term of a new owner and holds what this owner assumes
   * of earlier terms. */
  bool mBeginsTerm = false;
  std::vector<site::server_start> mAdded;
  std::vector<site::server_start> mRemoved;

  bool IsEmpty() const
  {
    return !mBeginsTerm && mAdded.empty() && mRemoved.empty();
  }
};

enum class term_phase
{
  /** It isn't known yet which listed servers still run. */
  Checking,
  /** The begin of the term isn't stored yet. */
  Beginning,
  /** Items may be sent. */
  Begun
};

/** The time during which an entry owns a batch. */
struct owner_term
{
  term_phase mPhase = term_phase::Checking;
  /** The list as stored. */
  server_list mListed;
  /** Listed servers that a block in flight takes off the list. They get no
   * unstored run before the list is known, also if they answer meanwhile. */
  server_list mRemoving;
  /** Listed servers that haven't been asked yet, or whose first answer is
   * awaited. */
  server_list mUnchecked;
  /** Listed servers whose first answer was missing. They may have ended until
   * they answer. */
  server_list mSilent;
  /** Listed servers that ended. */
  server_list mLost;
};

/** The term of the entry that accepted the batch. */
owner_term
FirstTerm(server_list aListed);

/** The term of a later owner. */
owner_term
LaterTerm(server_list aListed);

/** Records whether a listed server still runs. The check is complete when each
 * one has answered, was silent or has ended. A silent server's fate is recorded
 * when it is known, also after the check. */
void
RecordCheck(owner_term& aTerm,
            const site::server_start& aServer,
            site::server_fate aFate);

/** What the owner assumes of an unstored run of the time before its term: Open
 * while a listed server may have ended, Ended if one has, and Survived if all
 * live. */
run_fate
AssumedFate(const owner_term& aTerm);

/** Whether an unstored run may be sent to the server. */
bool
MayUse(const owner_term& aTerm, const site::server_start& aServer);

/** Returns the change that makes the stored list equal to the servers that the
 * batch may use now.
 * @param aMayRemove whether all ends of runs at a server are stored */
server_list_change
ChangeOf(const owner_term& aTerm,
         const server_list& aUsable,
         const std::function<bool(const site::server_start&)>& aMayRemove);

/** Records that a write of the change has begun. */
void
MarkWritten(owner_term& aTerm, const server_list_change& aChange);

/** Applies a change that the store holds. */
void
ApplyChange(server_list& aListed, const server_list_change& aChange);

/** The same for an owner's term.
 * @param aIsOwn whether this entry wrote it in its current term
 * @return false if another owner's term has begun, so that this one has to
 * begin again */
bool
ApplyChange(owner_term& aTerm, const server_list_change& aChange, bool aIsOwn);

/** Whether the next run of the item may be sent before it is stored: the store
 * holds no run of it that counts or is placed. */
bool
MayRunUnstored(const run_ledger& aLedger);

/** Whether an owner that knows no more of the item than the store holds may
 * have sent a run of it unstored. What this process hasn't stored doesn't
 * count. */
bool
MayOthersRunUnstored(const run_ledger& aLedger);

/** Whether a run that was sent unstored must be stored now: the store holds
 * another run of the item that counts or is placed, so that the next owner
 * wouldn't look for this one. */
bool
MustStoreSentRun(const run_ledger& aLedger, const site::server_start& aServer);

/** Whether records of the item may be stored. A record tells the next owner
 * that nothing is to be assumed of the item, so what this one assumes comes
 * first.
 * @param aMayHaveRunUnstored whether an earlier owner may have sent a run that
 * it didn't store */
bool
MayStoreRuns(const owner_term& aTerm, bool aMayHaveRunUnstored);

/** Counts the server that an earlier owner may have lost under the item without
 * storing it. If just one comes into question, the ledger names it, so that any
 * later owner can tell what became of it. */
void
AssumeUnstoredEnd(run_ledger& aLedger, const owner_term& aTerm);

/** Counts an end at a server that isn't known. */
void
AssumeUnknownEnd(run_ledger& aLedger);

/** Whether an end at a server that isn't known may still turn out not to be
 * one: the servers that came into question were silent, and stay listed until
 * they answer or have ended. */
bool
HasOpenAssumption(const run_ledger& aLedger);

/** Revises such an end once more is known of the servers. Not for one of an
 * earlier batch, whose servers aren't listed in this one.
 * @return whether the ledger changed */
bool
ReviseAssumedEnd(run_ledger& aLedger, const owner_term& aTerm);

/** Whether the server stands for one that an earlier owner may have lost. */
bool
IsAssumed(const site::server_start& aServer);

} // namespace lavender::batches
