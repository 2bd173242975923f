#pragma once

#include <cstddef>
#include <optional>

/** Counts the runs of an item that servers answered with an error, across the
 * owners of its batch, and decides when the item is given up. No I/O.
 *
 * Once a run has failed, each further one is stored before it is sent, as one
 * that may have failed. So an owner that dies takes at most the item's first
 * error with it. An item without errors needs no write. */
namespace lavender::batches {

/** Number of errors after which an item is given up, for each attempt that its
 * route allows. Most errors come from a few bad servers, which get fewer runs
 * after each error. */
constexpr int kMaximumErrorsPerAttempt = 2;

struct error_count
{
  /** Runs that an owner has seen fail. */
  int mKnown = 0;
  /** Runs that may have failed: besides the known ones, those of owners that
   * died before they could store how they ended. */
  int mPossible = 0;
  /** Runs that may have failed according to the store, which counts the run in
   * progress or the next one among them; 0 if the store holds no record. */
  int mStored = 0;
};

/** What the store holds of an item's errors. */
struct error_record
{
  /** Index of the item in its submission. */
  std::size_t mItem = 0;
  int mKnown = 0;
  /** Runs that may have failed. */
  int mPossible = 0;
};

/** Records that a run of this owner failed. */
void
RecordError(error_count& aCount);

/** Records that so many earlier owners may each have sent a run without storing
 * how it ended. Changes nothing if the store holds a record, which counts those
 * runs already. */
void
RecordEarlierOwners(error_count& aCount, int aOwners);

/** Whether the item may be sent: the store holds that this run may fail, or the
 * item has no error yet. */
bool
MaySend(const error_count& aCount);

/** The record that the next run needs; none if the store holds it. */
std::optional<error_record>
RecordToStore(const error_count& aCount, std::size_t aItem);

/** Applies a record that the store holds.
 * @param aIsOwn whether this owner wrote it in its current term */
void
ApplyStored(error_count& aCount, const error_record& aRecord, bool aIsOwn);

/** Whether the item is given up. Its trainer expects that it failed at least as
 * often as its route allows attempts, so runs that only may have failed don't
 * suffice. */
bool
HasFailedTooOften(const error_count& aCount, int aMaximumAttempts);

} // namespace lavender::batches
