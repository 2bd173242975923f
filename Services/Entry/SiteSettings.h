#pragma once

#include "Libraries/Core/Clock.h"
#include "Libraries/Core/Mechanisms.h"
#include "Libraries/Edge/Message.h"
#include "Libraries/Settings/Settings.h"

namespace lavender::entry {

/** Settings of an entry on the users' platform. */
struct site_settings
{
  std::string mName;
  std::string mAvailabilityZone;
  edge::endpoint mCallers;
  edge::endpoint mReadiness;
  /** Where other entries and agents call this one. */
  edge::endpoint mPeers;
  std::optional<edge::endpoint> mMetrics;
  edge::endpoint mStore;
  /** Where usage reports go. */
  edge::endpoint mReports;
  milliseconds mUsageWindow{ 5000 };
  /** Two entries in charge of the reports don't take turns within it. */
  milliseconds mLeaseDuration{ 3000 };
  /** How long a batch's results can be read after it was submitted. */
  milliseconds mKeepResults{ 120000 };
  /** From the signal to end until the platform kills the process. */
  milliseconds mGrace{ 8000 };
  /** Part of a processor core that this process may use. */
  double mProcessorShare = 1;
  /** By an experiment. */
  std::set<mechanism> mSwitchedOff;
  std::size_t mMaximumConnections = 1000;
  /** Of request bodies held at once. */
  std::size_t mMaximumBufferedBytes = 64 << 20;
};

std::vector<settings::setting>
DeclareSiteSettings();

/** The settings as types; adds what doesn't fit together to the findings. */
site_settings
ReadSiteSettings(const settings::values& aValues, findings& aFindings);

} // namespace lavender::entry
