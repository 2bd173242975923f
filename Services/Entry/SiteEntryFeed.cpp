#include "Services/Entry/SiteEntry.h"

#include "Duties/Site/EntryKind.h"
#include "Libraries/EventLog/EventLog.h"
#include "platform/Decode.h"
#include "platform/Names.h"

namespace lavender::entry {

using namespace std::chrono_literals;

namespace {

/** Events that arrive within these times are delivered in one call. */
constexpr milliseconds kServerCoalesceDelay = 600ms;
constexpr milliseconds kEvacuationCoalesceDelay = 30ms;
constexpr milliseconds kVersionCoalesceDelay = 30ms;
/** Short compared with the seconds within which requests must stop going to a
 * leaving server. */
constexpr milliseconds kServerUpdateDelay = 20ms;
/** Delay after which an owner learns that it has lost a batch; until then it
 * continues work that is discarded. The end of a batch must be known within
 * seconds. */
constexpr milliseconds kMetadataCoalesceDelay = 300ms;
/** Agents that start together also create their claims together. */
constexpr milliseconds kClaimCoalesceDelay = 600ms;
/** Wait of one watch call. A connection that is lost without an error delays
 * changes by up to this time. */
constexpr milliseconds kWatchWait = 2000ms;

feed::watched_kind
MakeWatchedKind(const char* aKind, milliseconds aCoalesceDelay)
{
  feed::watched_kind kind;
  kind.mKind = aKind;
  kind.mProof = feed::freshness_rule::WatchConnected;
  kind.mOptions.mWatchWait = kWatchWait;
  kind.mOptions.mGatherFor = aCoalesceDelay;
  return kind;
}

} // namespace

void
site_entry::ApplyVersion(const objects::stored_object& aObject)
{
  if (const auto announced = platform::DecodeVersion(aObject)) {
    mAssignments.HandleVersionAnnounced(announced->mModel, announced->mVersion);
  }
}

void
site_entry::JoinPeers(const registration::announcements& aListed)
{
  // The list of entries determines which entry watches the store, so it is read
  // first. Without the list this entry watches the store itself.
  mAnnouncements = aListed;
  UpdatePeers();
  mFeed.Start();
}

void
site_entry::UpdatePeers()
{
  mPeers = registration::CollectEntries(mAnnouncements);
  mEntryOrder.clear();
  const bool wasAnnounced = mIsAnnounced;
  mIsAnnounced = mPeers.count(mSettings.mName) > 0;
  mPeers[mSettings.mName] = Self();
  if (const auto own = mAnnouncements.find(mSettings.mName);
      own != mAnnouncements.end()) {
    mRegistrar.SetOwnObject(own->second);
  }
  if (wasAnnounced && !mIsAnnounced) {
    // The other entries removed this one because it did not respond for long,
    // or the entry that announced it is gone.
    mAnnouncer.Announce();
  }
}

void
site_entry::RemovePeer(const std::string& aName)
{
  events::line("entry_removed").With("entry", aName);
  // A removal that fails is repeated when the entry has been silent for as long
  // again.
  const auto ignored = [](const objects::object_reply&) {};
  for (const auto& write : registration::RemovalsOf(mAnnouncements, aName)) {
    if (write.mSpec) {
      mStore.mReplace(site::kEntryKind,
                      write.mObject,
                      write.mRevision,
                      *write.mSpec,
                      ignored);
    } else {
      mStore.mDelete(site::kEntryKind, write.mObject, ignored);
    }
  }
}

std::vector<feed::watched_kind>
site_entry::WatchedKinds()
{
  feed::watched_kind configuration;
  configuration.mKind = platform::kConfigurationKind;
  configuration.mOnListed = [this](const feed::object_map& aObjects) {
    if (const auto found = aObjects.find(platform::kConfigurationName);
        found != aObjects.end()) {
      ApplyConfiguration(found->second);
    }
  };
  configuration.mOnEvent = [this](const objects::object_event& aEvent) {
    if (!aEvent.mIsDeleted &&
        aEvent.mObject.mName == platform::kConfigurationName) {
      ApplyConfiguration(aEvent.mObject);
    }
  };

  auto servers = MakeWatchedKind(platform::kServerKind, kServerCoalesceDelay);
  servers.mOnListed = [this](const feed::object_map& aObjects) {
    std::map<std::string, site::backend_server> listed;
    for (const auto& [name, object] : aObjects) {
      if (auto server = platform::DecodeServer(object)) {
        listed[name] = std::move(*server);
      }
    }
    site::TakeListing(mDirectory, listed, boot_clock::now());
    ScheduleServerUpdate();
  };
  servers.mOnEvent = [this](const objects::object_event& aEvent) {
    if (aEvent.mIsDeleted) {
      ApplyServerRemoval(aEvent.mObject.mName);
    } else {
      ApplyServerObject(aEvent.mObject);
    }
    ScheduleServerUpdate();
  };

  auto evacuations =
    MakeWatchedKind(platform::kEvacuationKind, kEvacuationCoalesceDelay);
  evacuations.mOnListed = [this](const feed::object_map& aObjects) {
    site::evacuated_zones zones;
    for (const auto& [zone, object] : aObjects) {
      zones.insert(zone);
    }
    ApplyEvacuations(zones);
  };
  evacuations.mOnEvent = [this](const objects::object_event& aEvent) {
    site::evacuated_zones zones;
    for (const auto& [zone, since] : mDirectory.mEvacuatedZones) {
      zones.insert(zone);
    }
    if (aEvent.mIsDeleted) {
      zones.erase(aEvent.mObject.mName);
    } else {
      zones.insert(aEvent.mObject.mName);
    }
    ApplyEvacuations(zones);
  };

  auto peers = MakeWatchedKind(site::kEntryKind, kServerCoalesceDelay);
  peers.mOnListed = [this](const feed::object_map& aObjects) {
    mAnnouncements = aObjects;
    UpdatePeers();
  };
  peers.mOnEvent = [this](const objects::object_event& aEvent) {
    if (aEvent.mIsDeleted) {
      mAnnouncements.erase(aEvent.mObject.mName);
    } else {
      mAnnouncements[aEvent.mObject.mName] = aEvent.mObject;
    }
    UpdatePeers();
  };

  auto metadata =
    MakeWatchedKind(batches::kBatchMetadataKind, kMetadataCoalesceDelay);
  metadata.mOnListed = [this](const feed::object_map& aObjects) {
    mBatches.TakeListing(aObjects);
  };
  metadata.mOnEvent = [this](const objects::object_event& aEvent) {
    mBatches.TakeEvent(aEvent);
  };

  auto announced =
    MakeWatchedKind(platform::kVersionKind, kVersionCoalesceDelay);
  announced.mOnListed = [this](const feed::object_map& aObjects) {
    for (const auto& [name, object] : aObjects) {
      ApplyVersion(object);
    }
  };
  announced.mOnEvent = [this](const objects::object_event& aEvent) {
    if (!aEvent.mIsDeleted) {
      ApplyVersion(aEvent.mObject);
    }
  };

  auto claims = MakeWatchedKind(versions::kControllerKind, kClaimCoalesceDelay);
  claims.mOnListed = [this](const feed::object_map& aObjects) {
    versions::ApplyClaimListing(mClaims, aObjects);
    mAssignments.RejectSuperseded();
  };
  claims.mOnEvent = [this](const objects::object_event& aEvent) {
    versions::ApplyClaimEvent(mClaims, aEvent);
    mAssignments.RejectSuperseded();
  };
  return { configuration, servers,   evacuations, peers,
           metadata,      announced, claims };
}

void
site_entry::ApplyConfiguration(const objects::stored_object& aObject)
{
  auto decoded = platform::DecodeConfiguration(aObject.mSpec);
  if (!decoded) {
    events::line("configuration_unreadable")
      .With("reason", decoded.mLastReason);
    return;
  }
  if (!site::ApplyConfiguration(mConfiguration, *decoded)) {
    return;
  }
  *mLimits = mConfiguration->mLimits;
  UpdateConnectionLimit();
  LimitCallers(*mLimits, mSettings.mMemory);
  events::line("configuration_in_force")
    .With("version", mConfiguration->mVersion)
    .With("revision", aObject.mRevision)
    .With("source", mFeed.SourceName())
    .With("origin", mFeed.Origin())
    .With("known_ms_ago", mFeed.Age());
  mAssignments.Refresh();
  mRunner.Dispatch();
}

void
site_entry::ApplyServerObject(const objects::stored_object& aObject)
{
  auto server = platform::DecodeServer(aObject);
  if (!server) {
    ApplyServerRemoval(aObject.mName);
    return;
  }
  RecordServerChange(server->mId,
                     server->mIsLeaving ? site::server_change::Leaving
                                        : site::server_change::Ready);
  site::ApplyServer(mDirectory, std::move(*server), boot_clock::now());
}

void
site_entry::ApplyServerRemoval(const std::string& aId)
{
  RecordServerChange(aId, site::server_change::Removed);
  site::ApplyRemoval(mDirectory, aId, boot_clock::now());
}

void
site_entry::RecordServerChange(const std::string& aId,
                               site::server_change aChange)
{
  // Only the entry that watches the store logs a server's changes, so that each
  // is logged once per site.
  const bool isNewState =
    aChange != site::server_change::Ready || mDirectory.mRows.count(aId) == 0;
  if (mFeed.IsWatching() && isNewState) {
    events::line("server_entry")
      .With("server", aId)
      .With("state", site::ToString(aChange));
  }
  if (!site::RecordChange(mServerChanges, aChange)) {
    return;
  }
  mServerSummaryTimer.expires_after(site::kChangeSummaryDelay);
  mServerSummaryTimer.async_wait([this](const auto& aError) {
    if (aError) {
      return;
    }
    const auto changes = site::TakeChanges(mServerChanges);
    events::line("servers_changed")
      .With("ready", changes.mReady)
      .With("leaving", changes.mLeaving)
      .With("removed", changes.mRemoved)
      .With("known", static_cast<std::int64_t>(mDirectory.mRows.size()))
      .With("known_ms_ago", mFeed.Age());
  });
}

void
site_entry::ApplyEvacuations(const site::evacuated_zones& aZones)
{
  const auto change = site::ApplyEvacuations(
    mDirectory, mConfiguration.get(), aZones, boot_clock::now());
  const auto log = [this](const char* aEvent, const std::string& aZone) {
    events::line(aEvent).With("zone", aZone).With("known_ms_ago", mFeed.Age());
  };
  for (const auto& zone : change.mBegun) {
    log("zone_evacuated", zone);
  }
  for (const auto& zone : change.mEnded) {
    log("zone_returned", zone);
    mMetrics.SetGauge(
      "lavender_zone_evacuated_seconds", { { "zone", zone } }, 0);
  }
  if (!change.mBegun.empty() || !change.mEnded.empty()) {
    HandleServersChanged();
  }
}

void
site_entry::ScheduleServerUpdate()
{
  // Several servers often change at once, and each update iterates over all
  // servers.
  if (mIsServerUpdateScheduled) {
    return;
  }
  mIsServerUpdateScheduled = true;
  mServerUpdateTimer.expires_after(kServerUpdateDelay);
  mServerUpdateTimer.async_wait([this](const auto& aError) {
    mIsServerUpdateScheduled = false;
    if (!aError) {
      HandleServersChanged();
    }
  });
}

void
site_entry::HandleServersChanged()
{
  const auto now = boot_clock::now();
  if (const auto next = site::RemoveExpired(mDirectory, now)) {
    mDirectoryTimer.expires_after(*next - now + 1ms);
    mDirectoryTimer.async_wait([this](const auto& aError) {
      if (!aError) {
        HandleServersChanged();
      }
    });
  }
  UpdateConnectionLimit();
  mRouter.SyncServers(now);
  mAssignments.Refresh();
  mRunner.Dispatch();
}

} // namespace lavender::entry
