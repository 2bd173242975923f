#pragma once

#include "Duties/Usage/UsageAccount.h"
#include "Duties/Usage/WindowReport.h"
#include "Libraries/Platform/PlatformClient.h"

#include <string>
#include <vector>

/** What entries that left still counted, kept in the Object API, kind
 * "UsageRemainder", until a window includes it. */
namespace lavender::reports {

/** The counts, and the runs that other entries' reports must not bill. */
struct remainder
{
  std::vector<wire::usage_bucket> mBuckets;
  std::vector<wire::superseded_run> mSuperseded;
};

/** Hands what an entry still counts over when it leaves. False when the
 * platform didn't take it until the deadline; then the agents are the only
 * witnesses. */
bool
WriteRemainder(const platform::client& aPlatform,
               const std::string& aEntryIncarnation,
               const usage::usage_account& aAccount,
               time_point aDeadline);

/** Of all entries that left; nothing while the store doesn't answer, so that it
 * comes later. */
remainder
ReadRemainders(const platform::client& aPlatform);

/** Deletes those whose buckets are all included. */
void
DropRemainders(const platform::client& aPlatform,
               const usage::usage_marks& aMarks);

} // namespace lavender::reports
