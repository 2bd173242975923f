#include "Tests/Site/Support/SimulatedFeed.h"

namespace lavender::tests {

using namespace std::chrono_literals;
using objects::store_outcome;

namespace {

constexpr milliseconds kEntryLatency = 1ms;
constexpr milliseconds kStoreTimeout = 1500ms;
/** A watch times out this long after the wait that it requested. */
constexpr milliseconds kWatchSlack = 2000ms;
constexpr milliseconds kLongWatch = 2000ms;
constexpr char kObjectName[] = "x";

} // namespace

simulated_entry::simulated_entry(simulated_site& aSite, std::string aName)
  : mName(std::move(aName))
  , mSite(aSite)
  , mBackingStore(
      standin::MakeMemoryStore(aSite.mClock.Scheduler(), aSite.mState))
  , mStore(MakeStore())
{
  feed::feed_dependencies dependencies{
    MakeScheduler(), mStore, mStore, {}, mName, "entries", {}, {}
  };
  dependencies.mCall = [this](const auto& aAddress,
                              const auto& aRequest,
                              const auto& aOptions,
                              milliseconds aDeadline,
                              auto aDone) {
    mSite.CallEntry(
      *this, aAddress, aRequest, aOptions, aDeadline, std::move(aDone));
  };
  dependencies.mCandidates = [this] {
    std::vector<feed::feed_candidate> candidates;
    for (const auto& [name, address] : mSite.mPeers) {
      candidates.push_back({ name, address });
    }
    return candidates;
  };
  dependencies.mOnReachabilityChange = [this](bool aIsReachable) {
    if (aIsReachable) {
      mValueAtContact = Value(kBusyKind);
    }
  };
  auto busy = MakeWatchedKind(kBusyKind);
  auto quiet = MakeWatchedKind(kQuietKind);
  quiet.mProof = feed::freshness_rule::WatchConnected;
  quiet.mOptions.mWatchWait = kLongWatch;
  std::vector<feed::watched_kind> kinds{ busy, quiet };
  mFeed = std::make_unique<feed::store_feed>(std::move(dependencies),
                                             std::move(kinds));
}

feed::watched_kind
simulated_entry::MakeWatchedKind(const std::string& aKind)
{
  feed::watched_kind kind;
  kind.mKind = aKind;
  kind.mOnListed = [this, aKind](const auto& aObjects) {
    ApplyObjects(aKind, aObjects);
  };
  kind.mOnEvent = [this, aKind](const auto& aEvent) {
    auto objects = mObjects[aKind];
    if (aEvent.mIsDeleted) {
      objects.erase(aEvent.mObject.mName);
    } else {
      objects[aEvent.mObject.mName] = aEvent.mObject;
    }
    ApplyObjects(aKind, objects);
  };
  return kind;
}

simulated_entry::~simulated_entry()
{
  mIsAlive.reset();
}

void
simulated_entry::Start()
{
  mFeed->Start();
}

std::int64_t
simulated_entry::Value(const std::string& aKind) const
{
  const auto kind = mObjects.find(aKind);
  if (kind == mObjects.end() || kind->second.count(kObjectName) == 0) {
    return -1;
  }
  return json::IntegerAt(kind->second.at(kObjectName).mSpec, "value", -1);
}

void
simulated_entry::ApplyObjects(const std::string& aKind,
                              const feed::object_map& aObjects)
{
  const auto before = Value(aKind);
  mObjects[aKind] = aObjects;
  mHasGoneBack |= Value(aKind) < before;
}

void
simulated_entry::Deliver(std::function<void()> aAction)
{
  if (mIsFrozen) {
    mDeferred.push_back(std::move(aAction));
  } else {
    aAction();
  }
}

void
simulated_entry::Thaw()
{
  mIsFrozen = false;
  for (const auto& action : std::exchange(mDeferred, {})) {
    action();
  }
}

void
simulated_entry::BreakCalls()
{
  const auto calls = mCalls;
  for (const auto& call : calls) {
    call->mEnd();
  }
}

void
simulated_entry::SilenceWatches()
{
  for (const auto& call : mCalls) {
    call->mIsLost |= call->mIsWatch;
  }
}

scheduler
simulated_entry::MakeScheduler()
{
  auto timers = mSite.mClock.Scheduler();
  timers.mAfter = [this, scheduleOn = timers.mAfter](
                    milliseconds aDelay, std::function<void()> aAction) {
    const auto handle = std::make_shared<planned_action>();
    const auto unlessCancelled = [weak = std::weak_ptr(handle),
                                  action = std::move(aAction)] {
      if (!weak.expired()) {
        action();
      }
    };
    *handle = scheduleOn(
      aDelay, [this, alive = std::weak_ptr(mIsAlive), unlessCancelled] {
        if (!alive.expired()) {
          Deliver(unlessCancelled);
        }
      });
    return planned_action(handle);
  };
  return timers;
}

template<typename Reply, typename Begin>
void
simulated_entry::Call(bool aIsWatch,
                      milliseconds aTimeout,
                      std::function<void(Reply)> aDone,
                      const Begin& aBegin)
{
  auto call = std::make_shared<store_call>();
  call->mIsWatch = aIsWatch;
  const auto end = [this,
                    alive = std::weak_ptr(mIsAlive),
                    weak = std::weak_ptr(call),
                    done = std::move(aDone)](Reply aReply) {
    const auto ended = weak.lock();
    if (alive.expired() || !ended || ended->mHasEnded) {
      return;
    }
    ended->mHasEnded = true;
    mCalls.remove(ended);
    Deliver([alive, done, reply = std::move(aReply)] {
      if (!alive.expired()) {
        done(reply);
      }
    });
  };
  call->mEnd = [end] { end({}); };
  mCalls.push_back(call);
  const auto timers = mSite.mClock.Scheduler();
  RunAfter(timers, aTimeout, [call] { call->mEnd(); });
  if (mWay == store_way::TurnedAway) {
    Reply refused;
    refused.mOutcome = store_outcome::Refused;
    RunAfter(timers, 1ms, [end, refused, call] { end(refused); });
  } else if (mWay == store_way::Open) {
    aBegin([this, alive = std::weak_ptr(mIsAlive), call, end](Reply aReply) {
      if (!alive.expired() && !call->mIsLost && mWay != store_way::Cut) {
        end(std::move(aReply));
      }
    });
  }
}

objects::object_store
simulated_entry::MakeStore()
{
  objects::object_store store;
  store.mGet = [this](const auto& aKind,
                      const auto& aName,
                      objects::freshness aFreshness,
                      objects::object_done aDone) {
    Call<objects::object_reply>(
      false, kStoreTimeout, std::move(aDone), [&](auto aHandleReply) {
        mBackingStore.mGet(aKind, aName, aFreshness, std::move(aHandleReply));
      });
  };
  store.mList = [this](const auto& aKind,
                       const auto& aAfter,
                       objects::freshness aFreshness,
                       objects::list_done aDone) {
    Call<objects::list_reply>(
      false, kStoreTimeout, std::move(aDone), [&](auto aHandleReply) {
        mBackingStore.mList(aKind, aAfter, aFreshness, std::move(aHandleReply));
      });
  };
  store.mWatch = [this](const auto& aKind,
                        objects::revision_number aSince,
                        milliseconds aWait,
                        objects::watch_done aDone) {
    Call<objects::watch_reply>(
      true, aWait + kWatchSlack, std::move(aDone), [&](auto aHandleReply) {
        mBackingStore.mWatch(aKind, aSince, aWait, std::move(aHandleReply));
      });
  };
  return store;
}

simulated_site::simulated_site()
{
  mState.mLookEach = 10ms;
  standin::PutDirectly(mState, kQuietKind, kObjectName, "{\"value\":1}");
}

simulated_entry&
simulated_site::Add(const std::string& aName)
{
  mPeers.try_emplace(
    aName,
    edge::endpoint{ "10.0.0.1",
                    static_cast<unsigned short>(mPeers.size() + 1) });
  mEntries.erase(aName);
  return *mEntries
            .emplace(aName, std::make_unique<simulated_entry>(*this, aName))
            .first->second;
}

void
simulated_site::Put(std::int64_t aValue)
{
  standin::PutDirectly(mState,
                       kBusyKind,
                       kObjectName,
                       "{\"value\":" + std::to_string(aValue) + "}");
}

void
simulated_site::CutWatches()
{
  for (const auto& [name, entry] : mEntries) {
    entry->BreakCalls();
  }
}

void
simulated_site::CallEntry(simulated_entry& aCaller,
                          const edge::endpoint& aAddress,
                          const edge::request& aRequest,
                          const edge::call_options& aOptions,
                          milliseconds aDeadline,
                          edge::whole_answer aDone)
{
  ++mCallsBetweenEntries;
  const auto timers = mClock.Scheduler();
  const auto hasEnded = std::make_shared<bool>(false);
  const auto caller = aCaller.mName;
  const auto end = [this,
                    hasEnded,
                    alive = std::weak_ptr(aCaller.mIsAlive),
                    caller,
                    done = std::move(aDone)](edge::call_end aEnd,
                                             edge::response aAnswer) {
    if (alive.expired() || std::exchange(*hasEnded, true)) {
      return;
    }
    At(caller).Deliver([alive, done, aEnd, answer = std::move(aAnswer)] {
      if (!alive.expired()) {
        done(aEnd, answer);
      }
    });
  };
  RunAfter(timers, aDeadline, [end] { end(edge::call_end::TimedOut, {}); });
  const auto target =
    std::find_if(mEntries.begin(), mEntries.end(), [&](const auto& aEntry) {
      return mPeers.at(aEntry.first) == aAddress;
    });
  if (target == mEntries.end() || target->second->mIsAlone ||
      aCaller.mIsAlone) {
    RunAfter(timers, aOptions.mConnectTimeout, [end] {
      end(edge::call_end::NotSent, {});
    });
    return;
  }
  const auto answer =
    [this, timers, end, caller, name = target->first](edge::response aAnswer) {
      if (const auto shared = std::move(aAnswer.mSharedBody)) {
        aAnswer.mBody += *shared;
      }
      mBytesBetweenEntries += aAnswer.mBody.size();
      RunAfter(timers, kEntryLatency, [this, end, caller, name, aAnswer] {
        const auto isCut = [&](const std::string& aName) {
          return mEntries.count(aName) > 0 && At(aName).mIsAlone;
        };
        if (!isCut(caller) && !isCut(name)) {
          end(edge::call_end::Complete, aAnswer);
        }
      });
    };
  const feed::feed_requester requester{ answer,
                                        [hasEnded] { return *hasEnded; } };
  auto& entry = *target->second;
  RunAfter(
    timers,
    kEntryLatency,
    [&entry, alive = std::weak_ptr(entry.mIsAlive), aRequest, requester] {
      if (!alive.expired()) {
        entry.Deliver([&entry, aRequest, requester] {
          entry.mFeed->Serve(aRequest, requester);
        });
      }
    });
}

} // namespace lavender::tests
