#include "Duties/Registration/Announcer.h"

#include "Libraries/Json/Value.h"

#include <algorithm>
#include <utility>

namespace lavender::registration {

using namespace std::chrono_literals;
using objects::freshness;
using objects::store_outcome;

namespace {

constexpr milliseconds kRetryDelay = 1000ms;
/** All processes of a new site start within 0.3 s. After this delay each finds
 * the others in the listing. */
constexpr milliseconds kJoinDelay = 350ms;

} // namespace

announcer::announcer(announcer_dependencies aDependencies)
  : mDependencies(std::move(aDependencies))
{
}

void
announcer::Start()
{
  mJoin = mDependencies.mScheduler.mAfter(kJoinDelay, [this] { JoinOthers(); });
  List(freshness::MayBeStale, [this](bool aIsComplete, auto aListed) {
    if (aIsComplete && IsAnnouncedIn(aListed)) {
      Join(std::move(aListed));
    } else {
      Announce();
    }
  });
}

void
announcer::JoinOthers()
{
  if (mHasJoined) {
    return;
  }
  List(freshness::MayBeStale, [this](bool aIsComplete, auto aListed) {
    if (!aIsComplete || IsAnnouncedIn(aListed)) {
      Join(std::move(aListed));
      return;
    }
    List(freshness::Linearizable,
         [this](bool, auto aNewest) { Join(std::move(aNewest)); });
  });
}

void
announcer::Join(std::vector<objects::stored_object> aListed)
{
  if (!std::exchange(mHasJoined, true)) {
    mDependencies.mOnJoined(std::move(aListed));
  }
}

void
announcer::Announce()
{
  mDependencies.mStore.mCreate(
    mDependencies.mKind,
    mDependencies.mName,
    mDependencies.mSpec,
    [this](const objects::object_reply& aReply) {
      if (aReply.mOutcome != store_outcome::Conflict) {
        HandleAnnounced(aReply);
      } else if (!IsAnnouncedIn({ aReply.mObject })) {
        mDependencies.mStore.mReplace(
          mDependencies.mKind,
          mDependencies.mName,
          0,
          mDependencies.mSpec,
          [this](const auto& aReplaced) { HandleAnnounced(aReplaced); });
      }
    });
}

void
announcer::HandleAnnounced(const objects::object_reply& aReply)
{
  if (aReply.mOutcome != store_outcome::Done) {
    mRetry =
      mDependencies.mScheduler.mAfter(kRetryDelay, [this] { Announce(); });
  }
}

void
announcer::List(freshness aFreshness, objects::listing_done aDone)
{
  objects::ListAll(
    mDependencies.mStore, mDependencies.mKind, aFreshness, std::move(aDone));
}

bool
announcer::IsAnnouncedIn(
  const std::vector<objects::stored_object>& aListed) const
{
  return std::any_of(aListed.begin(), aListed.end(), [&](const auto& aObject) {
    return aObject.mName == mDependencies.mName &&
           json::Write(aObject.mSpec) == mDependencies.mSpec;
  });
}

} // namespace lavender::registration
