#pragma once

#include "Duties/Usage/WindowReport.h"
#include "Libraries/Platform/PlatformClient.h"

#include <optional>

namespace lavender::reports {

/** Access to the stored window reports in the Object API, objects of kind
 * "UsageWindow". */
class window_store
{
public:
  explicit window_store(platform::client aPlatform);

  /** Loads the newest stored window. Returns false while the store doesn't
   * answer.
   * @param aFirst window before the first one to report, when none is stored */
  bool Load(std::int64_t aFirst);
  /** Newest stored window. Its counts never change. */
  const usage::window_report& Newest() const { return mNewest; }
  /** Stores the next window by a conditional create. When another reporter has
   * already created it, that report becomes the newest. Returns false when the
   * outcome is unknown. */
  bool Store(const usage::window_report& aReport);
  /** Records that the platform's usage intake has accepted the newest window.
   * Returns false when this isn't known to be stored. */
  bool MarkReported();

private:
  bool LoadWindow(std::int64_t aWindow);
  void AdvanceCursor();

  const platform::client mPlatform;
  usage::window_report mNewest;
  std::int64_t mRevision = 0;
};

/** Returns the object name of a window, padded so that names sort like window
 * numbers. */
std::string
WindowName(std::int64_t aWindow);

} // namespace lavender::reports
