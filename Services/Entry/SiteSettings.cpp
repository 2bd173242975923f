#include "Services/Entry/SiteSettings.h"

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
       std::int64_t aLowest,
       std::int64_t aHighest)
{
  setting declared;
  declared.mFlag = std::move(aFlag);
  declared.mDescription = std::move(aDescription);
  declared.mUnit = std::move(aUnit);
  declared.mDefault = std::to_string(aDefault);
  declared.mKind = setting_kind::Integer;
  declared.mLowest = aLowest;
  declared.mHighest = aHighest;
  return declared;
}

edge::endpoint
EndpointOf(const settings::values& aValues,
           const char* aFlag,
           findings& aFindings)
{
  const auto& text = aValues.Text(aFlag);
  const auto address = edge::ParseAddress(text);
  // One that is missing is a finding already.
  if (!address && !text.empty()) {
    aFindings.Add(std::string("--") + aFlag, "not an IPv4 address and port");
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
    "For experiments, never in production: names of mechanisms that are "
    "switched off, with commas between.";
  setting share;
  share.mFlag = "processor-share";
  share.mDescription = "Part of a processor core that this process may use; "
                       "entries with more of it run more of the batches.";
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
             "Address at which the balancer asks whether this entry takes "
             "callers.",
             setting_kind::Endpoint),
    Required("peer-listen",
             "Address at which other entries and agents call this one.",
             setting_kind::Endpoint),
    Required("store", "Address of the object store.", setting_kind::Endpoint),
    Required("reports",
             "Address of the interface that takes usage reports.",
             setting_kind::Endpoint),
    metrics,
    Number("usage-window", "Length of a usage window.", "s", 5, 1, 3600),
    Number("lease-duration",
           "Time within which two entries may not take turns in reporting "
           "usage.",
           "ms",
           3000,
           100,
           3600000),
    Number("keep-results",
           "How long a batch's results can be read after its submission.",
           "s",
           120,
           1,
           86400),
    Number("grace",
           "Time from the signal to end until the process is killed.",
           "s",
           8,
           1,
           600),
    share,
    without,
    Number("memory", "Memory of the process.", "MB", 256, 16, 1 << 20),
    Number("descriptors",
           "File descriptors that may be open.",
           "",
           4096,
           64,
           1000000),
  };
}

site_settings
ReadSiteSettings(const settings::values& aValues, findings& aFindings)
{
  // Connections to servers, peers and the store, files and logs share the
  // descriptors with callers.
  constexpr std::size_t kReservedDescriptors = 600;
  site_settings read;
  read.mName = aValues.Text("name");
  read.mAvailabilityZone = aValues.Text("zone");
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
  read.mKeepResults = std::chrono::seconds(aValues.Integer("keep-results"));
  read.mGrace = std::chrono::seconds(aValues.Integer("grace"));
  read.mSwitchedOff =
    ReadMechanisms(aValues.Text("without"), "--without", aFindings);
  read.mProcessorShare = aValues.Decimal("processor-share");
  // Bodies are held until their answer, beside the batches' results and the
  // tables; a quarter leaves room for both.
  constexpr std::size_t kBodyShare = 4;
  read.mMaximumBufferedBytes =
    (static_cast<std::size_t>(aValues.Integer("memory")) << 20) / kBodyShare;
  const auto descriptors =
    static_cast<std::size_t>(aValues.Integer("descriptors"));
  if (descriptors <= kReservedDescriptors) {
    aFindings.Add("--descriptors", "too few: 600 are kept for other uses");
  } else {
    read.mMaximumConnections = descriptors - kReservedDescriptors;
  }
  return read;
}

} // namespace lavender::entry
