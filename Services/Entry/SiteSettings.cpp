#include "Services/Entry/SiteSettings.h"

#include "Duties/Site/DescriptorBudget.h"

#include <sstream>

namespace lavender::entry {

namespace {

using settings::setting;
using settings::setting_kind;

setting
Required(std::string aFlag, std::string aDescription, setting_kind aKind)
{
  setting declared;
  declared.mFlag = std::move(aFlag);
  declared.mDescription = std::move(aDescription);
  declared.mKind = aKind;
  declared.mIsRequired = true;
  return declared;
}

setting
Number(std::string aFlag,
       std::string aDescription,
       std::string aUnit,
       std::int64_t aDefault,
       std::int64_t aMinimum,
       std::int64_t aMaximum)
{
  setting declared;
  declared.mFlag = std::move(aFlag);
  declared.mDescription = std::move(aDescription);
  declared.mUnit = std::move(aUnit);
  declared.mDefault = std::to_string(aDefault);
  declared.mKind = setting_kind::Integer;
  declared.mLowest = aMinimum;
  declared.mHighest = aMaximum;
  return declared;
}

std::map<std::string, std::string>
RegionsOf(const settings::values& aValues, findings& aFindings)
{
  std::map<std::string, std::string> regions;
  std::istringstream input(aValues.Text("regions"));
  for (std::string part; std::getline(input, part, ',');) {
    const auto equals = part.find('=');
    if (equals == 0 || equals == std::string::npos ||
        equals + 1 == part.size()) {
      aFindings.Add("--regions", "must be ZONE=REGION, not \"" + part + "\"");
    } else {
      regions[part.substr(0, equals)] = part.substr(equals + 1);
    }
  }
  return regions;
}

edge::endpoint
EndpointOf(const settings::values& aValues,
           const char* aFlag,
           findings& aFindings)
{
  const auto& text = aValues.Text(aFlag);
  const auto address = edge::ParseAddress(text);
  // An empty required setting has been reported by settings::Read already.
  if (!address && !text.empty()) {
    aFindings.Add(std::string("--") + aFlag,
                  "must be an IPv4 address and port, such as 10.0.0.1:8080");
  }
  return address.value_or(edge::endpoint{});
}

} // namespace

std::vector<setting>
DeclareSiteSettings()
{
  setting metrics;
  metrics.mFlag = "metrics-listen";
  metrics.mDescription = "Address of the metrics page; empty for none.";
  setting without;
  without.mFlag = "without";
  without.mDescription =
    "Comma-separated names of mechanisms to disable; for experiments only, "
    "never in production.";
  setting regions;
  regions.mFlag = "regions";
  regions.mDescription = "Region of each availability zone, as comma-separated "
                         "ZONE=REGION; a route or a customer may allow some "
                         "regions only.";
  setting share;
  share.mFlag = "processor-share";
  share.mDescription = "Processor cores that this process may use; entries "
                       "with a larger share run more of the batches.";
  share.mUnit = "cores";
  share.mDefault = "1";
  share.mKind = setting_kind::Decimal;
  share.mLowest = 0;
  share.mHighest = 1024;
  return {
    Required("name", "Name of this instance.", setting_kind::Text),
    Required("zone", "Availability zone of this instance.", setting_kind::Text),
    Required("caller-listen", "Address for callers.", setting_kind::Endpoint),
    Required("ready-listen",
             "Address at which the balancer checks whether this entry accepts "
             "callers.",
             setting_kind::Endpoint),
    Required("peer-listen",
             "Address at which other entries and agents call this one.",
             setting_kind::Endpoint),
    Required("store", "Address of the object store.", setting_kind::Endpoint),
    Required("reports",
             "Address of the interface that accepts usage reports.",
             setting_kind::Endpoint),
    regions,
    metrics,
    Number("usage-window", "Length of a usage window.", "s", 5, 1, 3600),
    Number("lease-duration",
           "Minimum time for which one entry reports usage before another "
           "entry may take over.",
           "ms",
           3000,
           100,
           3600000),
    Number("keep-results",
           "How long a batch's results stay readable after its submission.",
           "s",
           120,
           1,
           86400),
    Number("grace",
           "Time from the termination signal until the process is killed.",
           "s",
           8,
           1,
           600),
    share,
    without,
    Number("store-object-bytes",
           "Largest object that the store takes.",
           "bytes",
           1 << 20,
           64 << 10,
           1 << 30),
    Number("memory", "Memory limit of the process.", "MB", 256, 16, 1 << 20),
    Number("descriptors",
           "Maximum number of open file descriptors.",
           "",
           4096,
           64,
           1000000),
  };
}

site_settings
ReadSiteSettings(const settings::values& aValues, findings& aFindings)
{
  site_settings read;
  read.mName = aValues.Text("name");
  read.mAvailabilityZone = aValues.Text("zone");
  read.mRegions = RegionsOf(aValues, aFindings);
  read.mCallers = EndpointOf(aValues, "caller-listen", aFindings);
  read.mReadiness = EndpointOf(aValues, "ready-listen", aFindings);
  read.mPeers = EndpointOf(aValues, "peer-listen", aFindings);
  read.mStore = EndpointOf(aValues, "store", aFindings);
  read.mReports = EndpointOf(aValues, "reports", aFindings);
  if (!aValues.Text("metrics-listen").empty()) {
    read.mMetrics = EndpointOf(aValues, "metrics-listen", aFindings);
  }
  read.mUsageWindow = std::chrono::seconds(aValues.Integer("usage-window"));
  read.mLeaseDuration = aValues.Milliseconds("lease-duration");
  read.mResultRetention = std::chrono::seconds(aValues.Integer("keep-results"));
  read.mGracePeriod = std::chrono::seconds(aValues.Integer("grace"));
  read.mDisabledMechanisms =
    ReadMechanisms(aValues.Text("without"), "--without", aFindings);
  read.mProcessorShare = aValues.Decimal("processor-share");
  read.mStoreObjectBytes =
    static_cast<std::size_t>(aValues.Integer("store-object-bytes"));
  read.mMemory =
    ShareMemory(static_cast<std::size_t>(aValues.Integer("memory")) << 20);
  read.mDescriptors = static_cast<std::size_t>(aValues.Integer("descriptors"));
  if (read.mDescriptors <= site::kMinimumReserved) {
    aFindings.Add("--descriptors",
                  "must be more than 600: 600 are reserved for connections to "
                  "servers, peers and the store, for files and for logs");
  }
  return read;
}

} // namespace lavender::entry
