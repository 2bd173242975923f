#include "Duties/Reports/WindowStore.h"

namespace lavender::reports {
namespace {

constexpr char kKind[] = "UsageWindow";
constexpr char kCursorKind[] = "UsageCursor";
constexpr char kCursorName[] = "usage";
constexpr std::size_t kNameDigits = 12;
/** Number of windows that are kept for operators to read. */
constexpr std::int64_t kRetainedWindows = 1440;

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
    // No report exists for the window in the initial cursor.
    mNewest.mWindow = json::IntegerAt(cursor.mObject.mValue, "window", 0);
    if (!LoadWindow(mNewest.mWindow)) {
      return false;
    }
  } else {
    // A conditional create, so that reporters with different clocks agree on
    // the first window.
    json::value start;
    start.Set("window", aFirst);
    const auto made =
      platform::Write(mPlatform, kCursorKind, kCursorName, 0, start);
    if (made.mState != platform::write_state::Done) {
      return false;
    }
  }
  // The cursor may lag behind the newest stored window.
  for (;;) {
    const auto before = mNewest.mWindow;
    if (!LoadWindow(before + 1)) {
      return false;
    }
    if (mNewest.mWindow == before) {
      return true;
    }
  }
}

bool
window_store::LoadWindow(std::int64_t aWindow)
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
window_store::Store(const usage::window_report& aReport)
{
  const auto written = platform::Write(
    mPlatform, kKind, WindowName(aReport.mWindow), 0, usage::ToJson(aReport));
  if (written.mState == platform::write_state::Done) {
    mNewest = aReport;
    mRevision = written.mRevision;
  } else if (!LoadWindow(aReport.mWindow) ||
             mNewest.mWindow != aReport.mWindow) {
    return false;
  }
  AdvanceCursor();
  return true;
}

void
window_store::AdvanceCursor()
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
    mPlatform, kKind, WindowName(mNewest.mWindow - kRetainedWindows));
  if (old.mState == platform::read_state::Found) {
    platform::Delete(
      mPlatform, kKind, old.mObject.mName, old.mObject.mRevision);
  }
}

bool
window_store::MarkReported()
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
  // Reads the window again: if only the response was lost, it is marked as
  // reported. Otherwise the same report is sent once more.
  return LoadWindow(report.mWindow) && mNewest.mIsReported;
}

} // namespace lavender::reports
