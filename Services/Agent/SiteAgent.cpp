#include "Services/Agent/SiteAgent.h"

#include "Duties/Registration/Announcement.h"
#include "Duties/Site/EntryKind.h"
#include "Duties/Site/EntryOrder.h"
#include "Libraries/EventLog/EventLog.h"
#include "platform/Names.h"
#include "platform/Orders.h"

#include <csignal>

namespace lavender::agent {

namespace {

/** Polling a server on the same instance is free, and the next server's load
 * starts only after this server's load has ended. */
constexpr milliseconds kOwnServerCheckInterval{ 100 };
/** Entries of a new site are announced within 1.3 s of their start. */
constexpr milliseconds kNewSiteDelay{ 2000 };
/** Of all responses that are being read. An agent reads few at a time, and a
 * watch of the store is the largest. */
constexpr std::size_t kMaximumAnswerBytes = 16 << 20;

settings::setting
Text(std::string aFlag, std::string aDescription, bool aIsRequired)
{
  settings::setting declared;
  declared.mFlag = std::move(aFlag);
  declared.mDescription = std::move(aDescription);
  declared.mIsRequired = aIsRequired;
  return declared;
}

} // namespace

std::vector<settings::setting>
DeclareSiteSettings()
{
  return {
    Text("name", "Name of this instance.", true),
    Text("zone", "Availability zone of this instance.", true),
    Text("store", "Address of the object store.", true),
    Text("server",
         "Address of the model server on this instance; empty on an "
         "instance without one.",
         false),
  };
}

site_settings
ReadSiteSettings(const settings::values& aValues, findings& aFindings)
{
  site_settings read;
  read.mName = aValues.Text("name");
  read.mAvailabilityZone = aValues.Text("zone");
  if (const auto store = edge::ParseAddress(aValues.Text("store"))) {
    read.mStore = *store;
  } else if (!aValues.Text("store").empty()) {
    aFindings.Add("--store",
                  "must be an IPv4 address and port, such as 10.0.0.1:8080");
  }
  if (const auto& text = aValues.Text("server"); !text.empty()) {
    read.mServer = edge::ParseAddress(text);
    if (!read.mServer) {
      aFindings.Add("--server",
                    "must be an IPv4 address and port, such as 10.0.0.1:8080");
    }
  }
  return read;
}

std::vector<edge::endpoint>
AddressesInOrder(const objects::listing& aEntries)
{
  if (!aEntries.mIsComplete) {
    return {};
  }
  const auto announced = registration::CollectEntries(aEntries.mObjects);
  std::vector<site::listed_entry> entries;
  for (const auto& [name, entry] : announced) {
    entries.push_back({ name, entry.mProcessorShare });
  }
  std::vector<edge::endpoint> ordered;
  for (const auto& name : site::OrderEntries(std::move(entries))) {
    ordered.push_back(announced.at(name).mAddress);
  }
  return ordered;
}

site_agent::site_agent(site_settings aSettings)
  : mSettings(std::move(aSettings))
  , mClients(std::make_shared<edge::client_pool>(mLoop))
  , mStore(platform::MakeStore(
      platform::DirectTransport(mLoop, mClients, mSettings.mStore),
      mStoreCounts))
  , mSignals(mLoop, SIGTERM, SIGINT, SIGHUP)
{
  mClients->LimitAnswers(kMaximumAnswerBytes);
}

int
site_agent::Run()
{
  std::signal(SIGPIPE, SIG_IGN);
  events::line("started").With(
    "server", mSettings.mServer ? mSettings.mServer->Text() : std::string());
  WaitForSignals();
  if (mSettings.mServer) {
    StartOrders();
  } else {
    StartRetirement();
  }
  mLoop.run();
  events::line("stopped");
  return 0;
}

void
site_agent::StartOrders()
{
  versions::order_dependencies dependencies{
    mLoop,
    *mClients,
    *mSettings.mServer,
    mSettings.mName,
    [this](auto aDone) { ListEntries(std::move(aDone)); },
    [this](auto aDone) {
      versions::ClaimServer(mStore,
                            versions::ClaimName(*mSettings.mServer),
                            { mSettings.mName },
                            std::move(aDone));
    },
    nullptr,
    platform::EncodeReportRequest,
    platform::DecodeReport,
    platform::EncodeOrder,
    kNewSiteDelay,
    kOwnServerCheckInterval
  };
  mOrders.emplace(std::move(dependencies));
  mOrders->Start();
}

void
site_agent::StartRetirement()
{
  mRetirement.emplace(retirement::retirement_dependencies{
    mLoop, mStore, platform::kRetirementKind, mSettings.mName });
  mRetirement->Start();
}

void
site_agent::ListEntries(std::function<void(std::vector<edge::endpoint>)> aDone)
{
  objects::ListAll(mStore,
                   { site::kEntryKind, objects::freshness::MayBeStale },
                   [done = std::move(aDone)](const auto& aListing) {
                     done(AddressesInOrder(aListing));
                   });
}

void
site_agent::WaitForSignals()
{
  mSignals.async_wait([this](const auto& aError, int aSignal) {
    if (aError) {
      return;
    }
    if (aSignal == SIGHUP) {
      events::line("reloaded");
      WaitForSignals();
    } else {
      mLoop.stop();
    }
  });
}

} // namespace lavender::agent
