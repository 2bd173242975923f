#pragma once

#include "Duties/Usage/UsageAccount.h"
#include "Duties/Usage/WindowReport.h"
#include "Libraries/Platform/PlatformClient.h"

#include <string>
#include <vector>

/** What entries that left still counted, kept in the Object API, kind
 * "UsageRemainder", until a window includes it. */
namespace lavender::reports {

/** Hands what an entry still counts over when it leaves. False when the
 * platform didn't take it until the deadline; then the agents are the only
 * witnesses. */
bool
WriteRemainder(const platform::client& aPlatform,
               const std::string& aEntryIncarnation,
               const usage::usage_account& aAccount,
               time_point aDeadline);

/** Buckets of all entries that left; none while the store doesn't answer, so
 * that they come later. */
std::vector<wire::usage_bucket>
ReadRemainders(const platform::client& aPlatform);

/** Deletes those whose buckets are all included. */
void
DropRemainders(const platform::client& aPlatform,
               const usage::usage_marks& aMarks);

} // namespace lavender::reports
