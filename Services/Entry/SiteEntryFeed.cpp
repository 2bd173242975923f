#include "Services/Entry/SiteEntry.h"

#include "Duties/Site/EntryKind.h"
#include "Libraries/EventLog/EventLog.h"
#include "platform/Decode.h"
#include "platform/Names.h"

namespace lavender::entry {

using namespace std::chrono_literals;

namespace {

/** Events that come together are taken as one call, within this. */
constexpr milliseconds kGatherServers = 600ms;
constexpr milliseconds kGatherVersions = 30ms;
/** Short against the seconds within which a leaving server must be left. */
constexpr milliseconds kGatherServerLook = 20ms;
/** An owner that has lost a batch learns of it within this, and goes on in
 * vain meanwhile; an end must be known within seconds. */
constexpr milliseconds kGatherHeads = 300ms;
/** Claims are made together when agents start. */
constexpr milliseconds kGatherClaims = 600ms;
/** A watch that died without a sign may delay these changes by as much. */
constexpr milliseconds kWatchLong = 2000ms;

feed::watched_kind
KindWatchedLong(const char* aKind, milliseconds aGatherFor)
{
  feed::watched_kind kind;
  kind.mKind = aKind;
  kind.mProof = feed::freshness_rule::WatchConnected;
  kind.mOptions.mWatchWait = kWatchLong;
  kind.mOptions.mGatherFor = aGatherFor;
  return kind;
}

} // namespace

void
site_entry::TakeVersion(const objects::stored_object& aObject)
{
  if (const auto named = platform::DecodeVersion(aObject)) {
    mAssignments.HandleVersionAnnounced(named->mModel, named->mVersion);
  }
}

void
site_entry::TakePeer(const objects::stored_object& aObject)
{
  if (const auto address =
        edge::ParseAddress(json::StringAt(aObject.mSpec, "address", ""))) {
    mPeers[aObject.mName] = { *address,
                              json::NumberAt(aObject.mSpec, "cores", 1) };
  }
}

void
site_entry::JoinPeers()
{
  if (mHasJoined) {
    return;
  }
  mHasJoined = true;
  // Which entry watches the store follows from the list of entries, so that is
  // read first; without it this entry watches for itself.
  mStore.mList(site::kEntryKind,
               "",
               objects::freshness::Linearizable,
               [this](const objects::list_reply& aReply) {
                 for (const auto& object : aReply.mObjects) {
                   TakePeer(object);
                 }
                 mFeed.Start();
               });
}

void
site_entry::DropPeer(const std::string& aName)
{
  if (aName == mSettings.mName) {
    // Taken for gone after a long silence, or not announced yet.
    Announce();
  } else {
    mPeers.erase(aName);
  }
}

std::vector<feed::watched_kind>
site_entry::FollowedKinds()
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

  auto servers = KindWatchedLong(platform::kServerKind, kGatherServers);
  servers.mOnListed = [this](const feed::object_map& aObjects) {
    std::map<std::string, site::backend_server> listed;
    for (const auto& [name, object] : aObjects) {
      if (auto server = platform::DecodeServer(object)) {
        listed[name] = std::move(*server);
      }
    }
    site::TakeListing(mDirectory, listed, boot_clock::now());
    PlanServersChanged();
  };
  servers.mOnEvent = [this](const objects::object_event& aEvent) {
    if (aEvent.mIsDeleted) {
      TakeServerRemoval(aEvent.mObject.mName);
    } else {
      TakeServerObject(aEvent.mObject);
    }
    PlanServersChanged();
  };

  auto peers = KindWatchedLong(site::kEntryKind, kGatherServers);
  peers.mOnListed = [this](const feed::object_map& aObjects) {
    std::vector<std::string> gone;
    for (const auto& [name, known] : mPeers) {
      if (aObjects.count(name) == 0) {
        gone.push_back(name);
      }
    }
    for (const auto& name : gone) {
      DropPeer(name);
    }
    for (const auto& [name, object] : aObjects) {
      TakePeer(object);
    }
  };
  peers.mOnEvent = [this](const objects::object_event& aEvent) {
    if (aEvent.mIsDeleted) {
      DropPeer(aEvent.mObject.mName);
    } else {
      TakePeer(aEvent.mObject);
    }
  };

  auto heads = KindWatchedLong(batches::kBatchMetadataKind, kGatherHeads);
  heads.mOnListed = [this](const feed::object_map& aObjects) {
    mBatches.TakeListing(aObjects);
  };
  heads.mOnEvent = [this](const objects::object_event& aEvent) {
    mBatches.TakeEvent(aEvent);
  };

  auto named = KindWatchedLong(platform::kVersionKind, kGatherVersions);
  named.mOnListed = [this](const feed::object_map& aObjects) {
    for (const auto& [name, object] : aObjects) {
      TakeVersion(object);
    }
  };
  named.mOnEvent = [this](const objects::object_event& aEvent) {
    if (!aEvent.mIsDeleted) {
      TakeVersion(aEvent.mObject);
    }
  };

  auto claims = KindWatchedLong(versions::kControllerKind, kGatherClaims);
  claims.mOnListed = [this](const feed::object_map& aObjects) {
    versions::ApplyClaimListing(mClaims, aObjects);
    mAssignments.RejectSuperseded();
  };
  claims.mOnEvent = [this](const objects::object_event& aEvent) {
    versions::ApplyClaimEvent(mClaims, aEvent);
    mAssignments.RejectSuperseded();
  };
  return { configuration, servers, peers, heads, named, claims };
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
  const auto connections = mLimits->mMaximumConnections;
  *mLimits = mConfiguration->mLimits;
  mLimits->mMaximumConnections = connections;
  mLimits->mMaximumBufferedBytes = mSettings.mMaximumBufferedBytes;
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
site_entry::TakeServerObject(const objects::stored_object& aObject)
{
  auto server = platform::DecodeServer(aObject);
  if (!server) {
    TakeServerRemoval(aObject.mName);
    return;
  }
  NoteServerChange(server->mId,
                   server->mIsLeaving ? site::server_change::Leaving
                                      : site::server_change::Ready);
  site::ApplyServer(mDirectory, std::move(*server));
}

void
site_entry::TakeServerRemoval(const std::string& aId)
{
  NoteServerChange(aId, site::server_change::Removed);
  site::ApplyRemoval(mDirectory, aId, boot_clock::now());
}

void
site_entry::NoteServerChange(const std::string& aId,
                             site::server_change aChange)
{
  // Who comes and goes is told once, by the entry that tells the others.
  const bool isNews =
    aChange != site::server_change::Ready || mDirectory.mRows.count(aId) == 0;
  if (mFeed.IsWatching() && isNews) {
    events::line("server_entry")
      .With("server", aId)
      .With("state", site::ToString(aChange));
  }
  if (!site::RecordChange(mServerChanges, aChange)) {
    return;
  }
  mServerLogTimer.expires_after(site::kChangeSummaryDelay);
  mServerLogTimer.async_wait([this](const auto& aError) {
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
site_entry::PlanServersChanged()
{
  // Entries of servers change together, and each look goes over all of them.
  if (mIsServerLookPlanned) {
    return;
  }
  mIsServerLookPlanned = true;
  mServerLookTimer.expires_after(kGatherServerLook);
  mServerLookTimer.async_wait([this](const auto& aError) {
    mIsServerLookPlanned = false;
    if (!aError) {
      AfterServersChanged();
    }
  });
}

void
site_entry::AfterServersChanged()
{
  const auto now = boot_clock::now();
  if (const auto next = site::RemoveExpired(mDirectory, now)) {
    mDirectoryTimer.expires_after(*next - now + 1ms);
    mDirectoryTimer.async_wait([this](const auto& aError) {
      if (!aError) {
        AfterServersChanged();
      }
    });
  }
  mRouter.SyncServers(now);
  mAssignments.Refresh();
  mRunner.Dispatch();
}

} // namespace lavender::entry
