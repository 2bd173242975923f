#pragma once

#include "Libraries/Core/Clock.h"
#include "Libraries/Core/Mechanisms.h"
#include "Libraries/Edge/Message.h"
#include "Libraries/Settings/Settings.h"
#include "Services/Entry/MemoryShares.h"

#include <map>

namespace lavender::entry {

/** Settings of an entry on the users' platform. */
struct site_settings
{
  std::string mName;
  std::string mAvailabilityZone;
  /** Region of each availability zone. */
  std::map<std::string, std::string> mRegions;
  edge::endpoint mCallers;
  edge::endpoint mReadiness;
  /** Listening address for other entries and agents. */
  edge::endpoint mPeers;
  std::optional<edge::endpoint> mMetrics;
  edge::endpoint mStore;
  /** Address of the interface that accepts usage reports. */
  edge::endpoint mReports;
  milliseconds mUsageWindow{ 5000 };
  /** Minimum time for which one entry reports usage before another entry may
   * take over. */
  milliseconds mLeaseDuration{ 3000 };
  /** How long a batch's results stay readable after its submission. */
  milliseconds mResultRetention{ 120000 };
  /** Time from the termination signal until the platform kills the process. */
  milliseconds mGracePeriod{ 8000 };
  /** Processor cores that this process may use. */
  double mProcessorShare = 1;
  /** Mechanisms disabled for an experiment. */
  std::set<mechanism> mDisabledMechanisms;
  /** Maximum number of open file descriptors. */
  std::size_t mDescriptors = 4096;
  /** Largest object that the store takes, in bytes. */
  std::size_t mStoreObjectBytes = 1 << 20;
  /** What bytes of other processes may take of the memory. */
  memory_shares mMemory = ShareMemory(256 << 20);
};

std::vector<settings::setting>
DeclareSiteSettings();

/** Converts the settings to their types and adds a finding for each invalid
 * value. */
site_settings
ReadSiteSettings(const settings::values& aValues, findings& aFindings);

} // namespace lavender::entry
