#pragma once

#include "Duties/Usage/UsageAccount.h"
#include "Duties/Usage/WindowReport.h"
#include "Libraries/Platform/PlatformClient.h"

#include <string>
#include <vector>

/** Unreported counts of entries that have stopped. They are stored in the
 * Object API as objects of kind "UsageRemainder" until a window report includes
 * them. */
namespace lavender::reports {

/** Unreported buckets, and the superseded runs that must not be billed. */
struct remainder
{
  std::vector<wire::usage_bucket> mBuckets;
  std::vector<wire::superseded_run> mSuperseded;
};

/** Stores the unreported counts of an entry that stops. Retries until the
 * deadline and returns false when the platform hasn't accepted them by then; in
 * that case only the agents have the counts. */
bool
WriteRemainder(const platform::client& aPlatform,
               const std::string& aEntryIncarnation,
               const usage::usage_account& aAccount,
               time_point aDeadline);

/** Reads the remainders of all stopped entries. Returns an empty result while
 * the store doesn't answer; later windows then include the counts. */
remainder
ReadRemainders(const platform::client& aPlatform);

/** Deletes the remainders whose buckets are all included in reports. */
void
DropRemainders(const platform::client& aPlatform,
               const usage::usage_marks& aMarks);

} // namespace lavender::reports
