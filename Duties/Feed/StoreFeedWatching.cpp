#include "Duties/Feed/StoreFeed.h"

#include "Libraries/EventLog/EventLog.h"

/** How an entry watches the store itself. */
namespace lavender::feed {

using namespace std::chrono_literals;
using objects::store_outcome;

namespace {

/** How often the watching entry makes sure that the store answers, and how
 * long it waits for that. */
constexpr milliseconds kProbeEach = 500ms;
constexpr milliseconds kProbeTimeout = 600ms;
/** Other entries look for somebody who knows before they watch. The first
 * probe is early, since the store may serve them and none of the others. */
constexpr milliseconds kFirstProbe = 100ms;
constexpr milliseconds kSeekingProbeEach = 1000ms;
/** After an outage the first entries know the state within a probe's pause and
 * a listing. */
constexpr milliseconds kOthersList = 700ms;

/** Whether the store answered a read, whatever it found. */
bool
IsAnswer(const objects::object_reply& aReply)
{
  return aReply.mOutcome == store_outcome::Done ||
         aReply.mOutcome == store_outcome::NotFound;
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
  AddMirrors();
  Probe(kProbeEach);
  LookForBetter();
}

void
store_feed::SeekSource()
{
  mIsWatching = true;
  mIsSeeking = true;
  mDoesStoreAnswer = false;
  mAskedSinceProbe = 0;
  ++mQuestion;
  mIsAsking = false;
  Probe(kFirstProbe);
  FollowAnyone();
}

void
store_feed::AddMirrors()
{
  mIsSeeking = false;
  events::line("feed_watches_store").With("known_ms_ago", Age());
  for (const auto& kind : mKinds) {
    AddMirror(kind);
  }
}

void
store_feed::AddMirror(const watched_kind& aKind)
{
  objects::mirror_options options = aKind.mOptions;
  options.mKind = aKind.mKind;
  options.mMayCall = [this] { return mDoesStoreAnswer; };
  objects::mirror_events heard;
  heard.mOnListed = [this, &aKind](const object_map& aObjects) {
    NoteListing(aKind, aObjects);
  };
  heard.mOnEvent = [this, &aKind](const objects::object_event& aEvent) {
    TakeEvent(mState, aKind.mKind, aEvent);
    aKind.mOnEvent(aEvent);
  };
  heard.mOnProven = [this] { AnswerAll(); };
  mMirrors.push_back(std::make_shared<objects::mirror>(
    mDependencies.mScheduler, mDependencies.mStore, options, heard));
  mMirrors.back()->Start();
}

void
store_feed::NoteListing(const watched_kind& aKind, const object_map& aObjects)
{
  TakeListing(mState, aKind.mKind, aObjects);
  mIsListed[aKind.mKind] = true;
  if (HaveMirrorsListed()) {
    mOrigin = mDependencies.mName;
  }
  aKind.mOnListed(aObjects);
  AnswerAll();
}

void
store_feed::StopWatching()
{
  mIsWatching = false;
  mIsSeeking = false;
  mMirrorsSoon.reset();
  for (const auto& mirror : mMirrors) {
    mirror->Stop();
  }
  mMirrors.clear();
  mNextProbe.reset();
}

void
store_feed::Probe(milliseconds aPause)
{
  mNextProbe = mDependencies.mScheduler.mAfter(aPause, [this] {
    if (!mIsWatching) {
      return;
    }
    const auto answered = std::make_shared<bool>(false);
    const auto take = [this, answered](const objects::object_reply& aReply) {
      if (!std::exchange(*answered, true) && mIsWatching) {
        TakeProbe(aReply);
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
store_feed::TakeProbe(const objects::object_reply& aReply)
{
  mAskedSinceProbe = 0;
  const bool answers = IsAnswer(aReply);
  const bool isRegained = answers && !mDoesStoreAnswer;
  mDoesStoreAnswer = answers;
  if (isRegained && mIsSeeking) {
    TakeFirstAnswer();
  } else if (isRegained) {
    // Watches from before the silence may never be answered.
    for (const auto& mirror : mMirrors) {
      mirror->ListAgain();
    }
    LookForBetter();
  }
  SetReachable(answers && !mIsSeeking);
  AnswerAll();
  // Asking anew would hide for ever that the one asked now is silent.
  if (!answers && !mIsAsking) {
    FollowAnyone();
  }
  Probe(mIsSeeking ? kSeekingProbeEach : kProbeEach);
}

void
store_feed::TakeFirstAnswer()
{
  if (mIsReachable) {
    AddMirrors();
    LookForBetter();
    return;
  }
  // The store is back for all, and the first entries by name list it now.
  mDoesStoreAnswer = false;
  mAvoidedUntil.clear();
  mMirrorsSoon = mDependencies.mScheduler.mAfter(kOthersList, [this] {
    if (mIsSeeking) {
      mDoesStoreAnswer = true;
      AddMirrors();
      LookForBetter();
    }
  });
  if (!mIsAsking) {
    FollowAnyone();
  }
}

void
store_feed::LookWhetherStoreAnswers()
{
  // This entry's turn comes before that of the one it follows, and the store
  // may have it back. It follows on meanwhile: leaving first, an entry that is
  // still turned away would know nothing for half a second of every three.
  mDependencies.mDirectStore.mGet(mDependencies.mProbeKind,
                                  mDependencies.mName,
                                  objects::freshness::MayBeStale,
                                  [this](const objects::object_reply& aReply) {
                                    if (IsAnswer(aReply) && !mIsWatching) {
                                      ++mQuestion;
                                      mIsAsking = false;
                                      WatchStore();
                                    }
                                  });
}

} // namespace lavender::feed
