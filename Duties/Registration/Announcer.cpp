#include "Duties/Registration/Announcer.h"

#include "Libraries/Core/Rendezvous.h"
#include "Libraries/EventLog/EventLog.h"

#include <algorithm>
#include <utility>

namespace lavender::registration {

using namespace std::chrono_literals;
using objects::freshness;
using objects::store_outcome;

namespace {

constexpr milliseconds kRetryDelay = 1000ms;
/** Entries that aren't announced yet take turns within this time, so that later
 * ones find some that can announce them. */
constexpr milliseconds kTurns = 700ms;
/** All entries of a new site start within 0.3 s. After this delay, with the
 * turns and a registrar's write, each finds the others. */
constexpr milliseconds kJoinDelay = 1300ms;
/** Registrars that are asked before the entry writes an object itself. */
constexpr std::size_t kMaximumAsked = 3;

} // namespace

announcer::announcer(announcer_dependencies aDependencies)
  : mDependencies(std::move(aDependencies))
{
}

void
announcer::Start()
{
  mJoin = mDependencies.mScheduler.mAfter(kJoinDelay, [this] { JoinOthers(); });
  List(freshness::MayBeStale, [this](bool aIsComplete, const auto& aListed) {
    if (!aIsComplete) {
      Announce();
      JoinOthers();
      return;
    }
    if (IsAnnouncedIn(aListed)) {
      Join(aListed);
      return;
    }
    const auto turn = RendezvousHash(mDependencies.mSelf.mName, {}) %
                      static_cast<std::uint64_t>(kTurns.count());
    mTurn = mDependencies.mScheduler.mAfter(
      milliseconds(turn), [this] { AnnounceThroughOthers(); });
  });
}

void
announcer::AnnounceThroughOthers()
{
  List(freshness::MayBeStale, [this](bool, const auto& aListed) {
    const auto& self = mDependencies.mSelf.mName;
    const auto listed = CollectEntries(aListed);
    if (listed.count(self) > 0 || aListed.count(self) > 0) {
      // Announced with other content, which only the own object overrides.
      Announce();
      return;
    }
    std::vector<announced_entry> registrars;
    for (const auto& [name, object] : aListed) {
      if (const auto writer = listed.find(name); writer != listed.end()) {
        registrars.push_back(writer->second);
      }
    }
    const auto place = [&](const announced_entry& aEntry) {
      return RendezvousHash(self, aEntry.mName);
    };
    std::sort(registrars.begin(),
              registrars.end(),
              [&](const auto& aLeft, const auto& aRight) {
                return place(aLeft) < place(aRight);
              });
    registrars.resize(std::min(registrars.size(), kMaximumAsked));
    AskNext(std::move(registrars));
  });
}

void
announcer::AskNext(std::vector<announced_entry> aRegistrars)
{
  if (aRegistrars.empty()) {
    Announce();
    return;
  }
  const auto asked = aRegistrars.back();
  aRegistrars.pop_back();
  mDependencies.mAsk(
    asked.mAddress,
    mDependencies.mSelf,
    [this, asked, left = std::move(aRegistrars)](bool aIsAnnounced) {
      if (aIsAnnounced) {
        events::line("announced").With("by", asked.mName);
      } else {
        AskNext(left);
      }
    });
}

void
announcer::JoinOthers()
{
  if (mHasJoined) {
    return;
  }
  List(freshness::MayBeStale, [this](bool aIsComplete, const auto& aListed) {
    if (!aIsComplete || IsAnnouncedIn(aListed)) {
      Join(aListed);
      return;
    }
    List(freshness::Linearizable,
         [this](bool, const auto& aNewest) { Join(aNewest); });
  });
}

void
announcer::Join(const announcements& aListed)
{
  if (!std::exchange(mHasJoined, true)) {
    mDependencies.mOnJoined(aListed);
  }
}

void
announcer::Announce()
{
  const auto& self = mDependencies.mSelf;
  const auto content = EncodeAnnouncement(self.mName, { self });
  mDependencies.mStore.mCreate(
    mDependencies.mKind,
    self.mName,
    json::Write(content),
    [this, content](const objects::object_reply& aReply) {
      if (aReply.mOutcome == store_outcome::Conflict) {
        CorrectOwnObject(aReply.mObject);
      } else {
        HandleAnnounced(aReply, content);
      }
    });
}

void
announcer::CorrectOwnObject(const objects::stored_object& aObject)
{
  const auto& self = mDependencies.mSelf;
  mDependencies.mOnOwnObject(aObject);
  if (IsAnnouncedIn({ { self.mName, aObject } })) {
    return;
  }
  // The object may announce others, who would be unknown without it.
  auto entries = DecodeAnnouncement(aObject);
  const auto isSelf = [&](const auto& aEntry) {
    return aEntry.mName == self.mName;
  };
  entries.erase(std::remove_if(entries.begin(), entries.end(), isSelf),
                entries.end());
  entries.push_back(self);
  const auto content = EncodeAnnouncement(self.mName, entries);
  mDependencies.mStore.mReplace(
    mDependencies.mKind,
    self.mName,
    aObject.mRevision,
    json::Write(content),
    [this, content](const auto& aReply) { HandleAnnounced(aReply, content); });
}

void
announcer::HandleAnnounced(const objects::object_reply& aReply,
                           const json::value& aContent)
{
  if (aReply.mOutcome != store_outcome::Done) {
    mRetry =
      mDependencies.mScheduler.mAfter(kRetryDelay, [this] { Announce(); });
    return;
  }
  auto own = aReply.mObject;
  own.mName = mDependencies.mSelf.mName;
  own.mSpec = aContent;
  mDependencies.mOnOwnObject(own);
}

void
announcer::List(freshness aFreshness, objects_done aDone)
{
  objects::ListAll(
    mDependencies.mStore,
    { mDependencies.mKind, aFreshness },
    [this, done = std::move(aDone)](const objects::listing& aListing) {
      const auto& listed = aListing.mObjects;
      const auto& self = mDependencies.mSelf.mName;
      if (const auto own = listed.find(self); own != listed.end()) {
        mDependencies.mOnOwnObject(own->second);
      }
      done(aListing.mIsComplete, listed);
    });
}

bool
announcer::IsAnnouncedIn(const announcements& aListed) const
{
  const auto entries = CollectEntries(aListed);
  const auto self = entries.find(mDependencies.mSelf.mName);
  return self != entries.end() && IsSame(self->second, mDependencies.mSelf);
}

} // namespace lavender::registration
