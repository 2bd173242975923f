#include "Duties/Reports/Remainder.h"

#include "Libraries/Core/Log.h"

#include <limits>
#include <thread>

namespace lavender::reports {
namespace {

using namespace std::chrono_literals;

constexpr char kKind[] = "UsageRemainder";
constexpr milliseconds kRetryEvery = 200ms;

json::value
ToJson(const remainder& aRemainder)
{
  json::value described;
  described.Set("buckets", usage::ToJson(aRemainder.mBuckets));
  described.Set("superseded", usage::ToJson(aRemainder.mSuperseded));
  return described;
}

remainder
Parse(const json::value& aValue)
{
  remainder parsed;
  if (const auto* buckets = aValue.Find("buckets")) {
    parsed.mBuckets = usage::ParseBuckets(*buckets);
  }
  if (const auto* superseded = aValue.Find("superseded")) {
    parsed.mSuperseded = usage::ParseSuperseded(*superseded);
  }
  return parsed;
}

} // namespace

bool
WriteRemainder(const platform::client& aPlatform,
               const std::string& aEntryIncarnation,
               const usage::usage_account& aAccount,
               time_point aDeadline)
{
  const remainder left{ aAccount.Buckets(
                          std::numeric_limits<std::int64_t>::max()),
                        aAccount.Superseded() };
  if (left.mBuckets.empty() && left.mSuperseded.empty()) {
    return true;
  }
  const auto described = ToJson(left);
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
      "Counts not handed over buckets=" + std::to_string(left.mBuckets.size()));
  return false;
}

remainder
ReadRemainders(const platform::client& aPlatform)
{
  remainder all;
  if (const auto list = platform::List(aPlatform, kKind)) {
    for (const auto& object : list->mObjects) {
      const auto each = Parse(object.mValue);
      all.mBuckets.insert(
        all.mBuckets.end(), each.mBuckets.begin(), each.mBuckets.end());
      all.mSuperseded.insert(all.mSuperseded.end(),
                             each.mSuperseded.begin(),
                             each.mSuperseded.end());
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
    const auto buckets = Parse(object.mValue).mBuckets;
    if (usage::IncludedOf(aMarks, buckets).size() == buckets.size()) {
      platform::Delete(aPlatform, kKind, object.mName, object.mRevision);
    }
  }
}

} // namespace lavender::reports
