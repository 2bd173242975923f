#pragma once

#include "Duties/Usage/WindowReport.h"
#include "Libraries/Platform/PlatformClient.h"

#include <optional>

namespace lavender::reports {

/** The fixed windows in the Object API, kind "UsageWindow". */
class window_store
{
public:
  explicit window_store(platform::client aPlatform);

  /** Finds the newest fixed window. False while the store doesn't answer.
   * @param aFirst window before the first one, when none was ever fixed */
  bool Load(std::int64_t aFirst);
  /** Newest fixed window; its figures never change. */
  const usage::window_report& Newest() const { return mNewest; }
  /** Fixes the next window by a conditional create. When another reporter was
   * first, what it wrote is the newest. False when that isn't known. */
  bool Fix(const usage::window_report& aReport);
  /** Notes that the intake has the newest window. */
  bool NoteReported();

private:
  bool Take(std::int64_t aWindow);
  void MoveCursor();

  const platform::client mPlatform;
  usage::window_report mNewest;
  std::int64_t mRevision = 0;
};

/** Object name of a window: sorts as the windows do. */
std::string
WindowName(std::int64_t aWindow);

} // namespace lavender::reports
