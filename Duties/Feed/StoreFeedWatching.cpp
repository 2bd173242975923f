#include "Duties/Feed/StoreFeed.h"

#include "Libraries/EventLog/EventLog.h"

#include <cmath>

/** How an entry watches the store itself. */
namespace lavender::feed {

using namespace std::chrono_literals;
using objects::store_outcome;

namespace {

/** Interval and timeout of the reads by which the watching entry checks that
 * the store answers. */
constexpr milliseconds kProbeInterval = 500ms;
constexpr milliseconds kProbeTimeout = 600ms;
/** Entries past the standbys look for a source before they watch. The first
 * probe is early, because the store may serve only them. */
constexpr milliseconds kFirstProbe = 100ms;
constexpr milliseconds kSeekingProbeInterval = 1000ms;
/** Entries for which the store answers, and that find no source, begin to watch
 * it in their order within this time, so that most find one of the first ones.
 * With the age at which they begin to seek, a change is in force within 2.2 s.
 */
constexpr milliseconds kLongestSeekingTime = 500ms;
/** Time that the first entries need after an outage to have the state:
 * a probe's interval and a listing. */
constexpr milliseconds kOthersListingTime = 700ms;

/** Whether the store answered a read, whatever it found. */
bool
IsAnswer(const objects::object_reply& aReply)
{
  return aReply.mOutcome == store_outcome::Done ||
         aReply.mOutcome == store_outcome::NotFound || aReply.mIsUnreadable;
}

} // namespace

void
store_feed::WatchStore()
{
  if (mIsWatching) {
    return;
  }
  mIsWatching = true;
  mDoesStoreAnswer = true;
  StartMirrors();
  ScheduleProbe(kProbeInterval);
  ScheduleSourceSearch();
}

void
store_feed::SeekSource()
{
  mIsWatching = true;
  mIsSeeking = true;
  mDoesStoreAnswer = false;
  mTriedSinceProbe = 0;
  ++mRequestNumber;
  mIsRequestOutstanding = false;
  ScheduleProbe(kFirstProbe);
  TryAnySource();
}

void
store_feed::StartMirrors()
{
  mIsSeeking = false;
  events::line("feed_watches_store").With("known_ms_ago", Age());
  for (const auto& kind : mKinds) {
    StartMirror(kind);
  }
}

void
store_feed::StartMirror(const watched_kind& aKind)
{
  objects::mirror_options options = aKind.mOptions;
  options.mKind = aKind.mKind;
  options.mMayCall = [this] { return mDoesStoreAnswer; };
  objects::mirror_events callbacks;
  callbacks.mOnListed = [this, &aKind](const object_map& aObjects) {
    HandleListing(aKind, aObjects);
  };
  callbacks.mOnEvent = [this, &aKind](const objects::object_event& aEvent) {
    ApplyEvent(mState, aKind.mKind, aEvent);
    aKind.mOnEvent(aEvent);
  };
  callbacks.mOnProven = [this] { AnswerHeldRequests(); };
  mMirrors.push_back(std::make_shared<objects::mirror>(
    mDependencies.mScheduler, mDependencies.mStore, options, callbacks));
  mMirrors.back()->Start();
}

void
store_feed::HandleListing(const watched_kind& aKind, const object_map& aObjects)
{
  ApplyListing(mState, aKind.mKind, aObjects);
  mIsListed[aKind.mKind] = true;
  if (HaveMirrorsListed()) {
    mOrigin = mDependencies.mName;
  }
  aKind.mOnListed(aObjects);
  AnswerHeldRequests();
}

void
store_feed::StopWatching()
{
  mIsWatching = false;
  mIsSeeking = false;
  mDelayedMirrorStart.reset();
  for (const auto& mirror : mMirrors) {
    mirror->Stop();
  }
  mMirrors.clear();
  mNextProbe.reset();
}

void
store_feed::ScheduleProbe(milliseconds aDelay)
{
  mNextProbe = mDependencies.mScheduler.mAfter(aDelay, [this] {
    if (!mIsWatching) {
      return;
    }
    const auto answered = std::make_shared<bool>(false);
    const auto take = [this, answered](const objects::object_reply& aReply) {
      if (!std::exchange(*answered, true) && mIsWatching) {
        HandleProbeResult(aReply);
      }
    };
    mDependencies.mStore.mGet(mDependencies.mProbeKind,
                              mDependencies.mName,
                              objects::freshness::MayBeStale,
                              take);
    mNextProbe = mDependencies.mScheduler.mAfter(kProbeTimeout, [take] {
      take({ store_outcome::Unknown, {} });
    });
  });
}

void
store_feed::HandleProbeResult(const objects::object_reply& aReply)
{
  mTriedSinceProbe = 0;
  const bool answers = IsAnswer(aReply);
  const bool isRegained = answers && !mDoesStoreAnswer;
  mDoesStoreAnswer = answers;
  if (isRegained && mIsSeeking) {
    HandleFirstAnswer();
  } else if (isRegained) {
    // Watches that were started before the outage may never be answered.
    for (const auto& mirror : mMirrors) {
      mirror->ListAgain();
    }
    ScheduleSourceSearch();
  }
  if (!answers || !mIsSeeking) {
    SetReachable(answers);
  }
  AnswerHeldRequests();
  // A new request now would replace the outstanding one, whose timeout then
  // would never show that its entry is unresponsive.
  if (!answers && !mIsRequestOutstanding) {
    TryAnySource();
  }
  ScheduleProbe(mIsSeeking ? kSeekingProbeInterval : kProbeInterval);
}

void
store_feed::HandleFirstAnswer()
{
  // The store answers this entry, but the first entries are listing it now, or
  // others that seek a source. Wait for them instead of listing as well.
  auto delay = SeekingTime();
  if (!mIsReachable) {
    delay = kOthersListingTime;
    mAvoidedUntil.clear();
  }
  mDoesStoreAnswer = false;
  mDelayedMirrorStart = mDependencies.mScheduler.mAfter(delay, [this] {
    // Destroying the handle would destroy this action while it runs.
    const auto ended = std::exchange(mDelayedMirrorStart, nullptr);
    if (mIsSeeking) {
      mDoesStoreAnswer = true;
      StartMirrors();
      ScheduleSourceSearch();
    }
  });
  if (!mIsRequestOutstanding) {
    TryAnySource();
  }
}

milliseconds
store_feed::SeekingTime() const
{
  // Logarithmic: the first entries begin far apart and have time to answer the
  // many after them.
  const auto first = static_cast<double>(kStandbys);
  const auto last = static_cast<double>(mDependencies.mCandidates().size());
  const auto rank = static_cast<double>(Rank());
  if (rank <= first || last <= first) {
    return milliseconds(0);
  }
  const auto part = std::log(rank / first) / std::log(last / first);
  return std::chrono::duration_cast<milliseconds>(kLongestSeekingTime * part);
}

void
store_feed::CheckDirectAccess()
{
  // The store may serve this entry again, which then should watch rather than
  // follow an entry that comes after it. It keeps following during
  // the check: otherwise an entry that the store still refuses would get no
  // changes for half a second out of every three.
  mDependencies.mDirectStore.mGet(mDependencies.mProbeKind,
                                  mDependencies.mName,
                                  objects::freshness::MayBeStale,
                                  [this](const objects::object_reply& aReply) {
                                    if (IsAnswer(aReply) && !mIsWatching) {
                                      ++mRequestNumber;
                                      mIsRequestOutstanding = false;
                                      WatchStore();
                                    }
                                  });
}

} // namespace lavender::feed
