#include "Duties/Reports/Remainder.h"

#include "Libraries/Core/Log.h"

#include <limits>
#include <thread>

namespace lavender::reports {
namespace {

using namespace std::chrono_literals;

constexpr char kKind[] = "UsageRemainder";
constexpr milliseconds kRetryEvery = 200ms;

} // namespace

bool
WriteRemainder(const platform::client& aPlatform,
               const std::string& aEntryIncarnation,
               const usage::usage_account& aAccount,
               time_point aDeadline)
{
  const auto buckets =
    aAccount.Buckets(std::numeric_limits<std::int64_t>::max());
  if (buckets.empty()) {
    return true;
  }
  const auto described = usage::Describe(buckets);
  do {
    const auto written =
      platform::Write(aPlatform, kKind, aEntryIncarnation, 0, described);
    // A conflict can only be with an own write whose answer was lost.
    if (written.mState == platform::write_state::Done ||
        written.mState == platform::write_state::Conflict) {
      return true;
    }
    std::this_thread::sleep_for(kRetryEvery);
  } while (boot_clock::now() < aDeadline);
  Log(log_level::Error,
      "usage",
      "Counts not handed over buckets=" + std::to_string(buckets.size()));
  return false;
}

std::vector<wire::usage_bucket>
ReadRemainders(const platform::client& aPlatform)
{
  std::vector<wire::usage_bucket> all;
  if (const auto list = platform::List(aPlatform, kKind)) {
    for (const auto& object : list->mObjects) {
      const auto buckets = usage::ParseBuckets(object.mValue);
      all.insert(all.end(), buckets.begin(), buckets.end());
    }
  }
  return all;
}

void
DropRemainders(const platform::client& aPlatform,
               const usage::usage_marks& aMarks)
{
  const auto list = platform::List(aPlatform, kKind);
  if (!list) {
    return;
  }
  for (const auto& object : list->mObjects) {
    const auto buckets = usage::ParseBuckets(object.mValue);
    if (usage::IncludedOf(aMarks, buckets).size() == buckets.size()) {
      platform::Delete(aPlatform, kKind, object.mName, object.mRevision);
    }
  }
}

} // namespace lavender::reports
