#include "Duties/Reports/WindowStore.h"

namespace lavender::reports {
namespace {

constexpr char kKind[] = "UsageWindow";
constexpr char kCursorKind[] = "UsageCursor";
constexpr char kCursorName[] = "usage";
constexpr std::size_t kNameDigits = 12;
/** Windows that stay readable for operators. */
constexpr std::int64_t kKeptObjects = 1440;

} // namespace

std::string
WindowName(std::int64_t aWindow)
{
  const auto digits = std::to_string(aWindow);
  return std::string(kNameDigits - std::min(kNameDigits, digits.size()), '0') +
         digits;
}

window_store::window_store(platform::client aPlatform)
  : mPlatform(std::move(aPlatform))
{
}

bool
window_store::Load(std::int64_t aFirst)
{
  const auto cursor = platform::Read(mPlatform, kCursorKind, kCursorName);
  if (cursor.mState == platform::read_state::Failed) {
    return false;
  }
  mNewest = {};
  mNewest.mWindow = aFirst;
  mNewest.mIsReported = true;
  if (cursor.mState == platform::read_state::Found) {
    // The window that the very first cursor names was never fixed.
    mNewest.mWindow = json::IntegerAt(cursor.mObject.mValue, "window", 0);
    if (!Take(mNewest.mWindow)) {
      return false;
    }
  } else {
    // A conditional create, so that reporters with other clocks agree on
    // where the windows begin.
    json::value start;
    start.Set("window", aFirst);
    const auto made =
      platform::Write(mPlatform, kCursorKind, kCursorName, 0, start);
    if (made.mState != platform::write_state::Done) {
      return false;
    }
  }
  // The cursor may lag behind the last create.
  for (;;) {
    const auto before = mNewest.mWindow;
    if (!Take(before + 1)) {
      return false;
    }
    if (mNewest.mWindow == before) {
      return true;
    }
  }
}

bool
window_store::Take(std::int64_t aWindow)
{
  const auto read = platform::Read(mPlatform, kKind, WindowName(aWindow));
  if (read.mState == platform::read_state::Failed) {
    return false;
  }
  if (read.mState == platform::read_state::Found) {
    mNewest = usage::ParseReport(read.mObject.mValue);
    mRevision = read.mObject.mRevision;
  }
  return true;
}

bool
window_store::Fix(const usage::window_report& aReport)
{
  const auto written = platform::Write(
    mPlatform, kKind, WindowName(aReport.mWindow), 0, usage::ToJson(aReport));
  if (written.mState == platform::write_state::Done) {
    mNewest = aReport;
    mRevision = written.mRevision;
  } else if (!Take(aReport.mWindow) || mNewest.mWindow != aReport.mWindow) {
    return false;
  }
  MoveCursor();
  return true;
}

void
window_store::MoveCursor()
{
  const auto cursor = platform::Read(mPlatform, kCursorKind, kCursorName);
  if (cursor.mState != platform::read_state::Found ||
      json::IntegerAt(cursor.mObject.mValue, "window", 0) >= mNewest.mWindow) {
    return;
  }
  json::value moved;
  moved.Set("window", mNewest.mWindow);
  platform::Write(
    mPlatform, kCursorKind, kCursorName, cursor.mObject.mRevision, moved);
  const auto old = platform::Read(
    mPlatform, kKind, WindowName(mNewest.mWindow - kKeptObjects));
  if (old.mState == platform::read_state::Found) {
    platform::Delete(
      mPlatform, kKind, old.mObject.mName, old.mObject.mRevision);
  }
}

bool
window_store::NoteReported()
{
  auto report = mNewest;
  report.mIsReported = true;
  const auto written = platform::Write(mPlatform,
                                       kKind,
                                       WindowName(report.mWindow),
                                       mRevision,
                                       usage::ToJson(report));
  if (written.mState == platform::write_state::Done) {
    mNewest = std::move(report);
    mRevision = written.mRevision;
    return true;
  }
  // Read back: a lost answer shows as reported now; otherwise it is reported
  // once more, with the same figures.
  return Take(report.mWindow) && mNewest.mIsReported;
}

} // namespace lavender::reports
