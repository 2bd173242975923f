#include "StandIns/ObjectStore/MemoryStore.h"

#include <functional>

namespace lavender::standin {

using namespace std::chrono_literals;
using objects::store_outcome;

namespace {

enum class write_operation
{
  Create,
  Replace,
  ReplaceStatus,
  Delete
};

struct write_call
{
  write_operation mOperation = write_operation::Create;
  std::string mKind;
  std::string mName;
  objects::revision_number mExpected = 0;
  std::string mJson;
};

json::value
ParsedOrNull(const std::string& aJson)
{
  auto parsed = json::Parse(aJson);
  return parsed ? std::move(*parsed) : json::value();
}

/** Size of the object after the write, in bytes. */
std::size_t
BytesAfter(const objects::stored_object* aObject, const write_call& aCall)
{
  std::size_t other = 0;
  if (aObject && aCall.mOperation == write_operation::Replace) {
    other = json::Write(aObject->mStatus).size();
  } else if (aObject && aCall.mOperation == write_operation::ReplaceStatus) {
    other = json::Write(aObject->mSpec).size();
  }
  return aCall.mName.size() + aCall.mJson.size() + other;
}

objects::object_reply
Apply(memory_store_state& aState, const write_call& aCall)
{
  auto& kind = aState.mKinds[aCall.mKind];
  const auto found = kind.find(aCall.mName);
  if (BytesAfter(found == kind.end() ? nullptr : &found->second, aCall) >
      aState.mMaximumObjectBytes) {
    ++aState.mTooLarge;
    return { store_outcome::TooLarge, {} };
  }
  if (aCall.mOperation == write_operation::Create) {
    if (found != kind.end()) {
      return { store_outcome::Conflict, found->second };
    }
    auto& object = kind[aCall.mName];
    object.mName = aCall.mName;
    object.mRevision = object.mCreatedAt = ++aState.mRevision;
    object.mSpec = ParsedOrNull(aCall.mJson);
    aState.mHistory[aCall.mKind].push_back({ object, false });
    return { store_outcome::Done, object };
  }
  if (found == kind.end()) {
    return { store_outcome::NotFound, {} };
  }
  auto& object = found->second;
  if (aCall.mExpected != 0 && aCall.mExpected != object.mRevision) {
    return { store_outcome::Conflict, object };
  }
  object.mRevision = ++aState.mRevision;
  if (aCall.mOperation == write_operation::Delete) {
    const auto deleted = object;
    kind.erase(found);
    aState.mHistory[aCall.mKind].push_back({ deleted, true });
    return { store_outcome::Done, deleted };
  }
  (aCall.mOperation == write_operation::Replace ? object.mSpec
                                                : object.mStatus) =
    ParsedOrNull(aCall.mJson);
  aState.mHistory[aCall.mKind].push_back({ object, false });
  return { store_outcome::Done, object };
}

void
Write(const scheduler& aScheduler,
      memory_store_state& aState,
      write_call aCall,
      objects::object_done aDone)
{
  ++aState.mCalls;
  const auto respond = [aScheduler, done = std::move(aDone)](
                         milliseconds aDelay, objects::object_reply aReply) {
    RunAfter(
      aScheduler, aDelay, [done, reply = std::move(aReply)] { done(reply); });
  };
  const objects::object_reply unknown{ store_outcome::Unknown, {} };
  switch (aState.mFault) {
    case store_fault::None:
      respond(aState.mLatency, Apply(aState, aCall));
      return;
    case store_fault::Refuse:
      respond(aState.mLatency, { store_outcome::Refused, {} });
      return;
    case store_fault::Silent:
      respond(aState.mTimeoutDelay, unknown);
      return;
    case store_fault::LoseAnswers:
      Apply(aState, aCall);
      respond(aState.mTimeoutDelay, unknown);
      return;
    case store_fault::Late:
      RunAfter(aScheduler, aState.mLateWriteDelay, [&aState, aCall] {
        Apply(aState, aCall);
      });
      respond(aState.mTimeoutDelay, unknown);
      return;
  }
}

/** Returns the outcome of a read that fails because of the current fault. */
std::optional<store_outcome>
ReadFault(const memory_store_state& aState)
{
  switch (aState.mFault) {
    case store_fault::Refuse:
      return store_outcome::Refused;
    case store_fault::Silent:
      return store_outcome::Unknown;
    default:
      return std::nullopt;
  }
}

void
Watch(const scheduler& aScheduler,
      memory_store_state& aState,
      const std::string& aKind,
      objects::revision_number aSince,
      milliseconds aRemaining,
      const objects::watch_done& aDone)
{
  objects::watch_reply reply;
  if (const auto fault = ReadFault(aState)) {
    reply.mOutcome = *fault;
    RunAfter(
      aScheduler, aState.mTimeoutDelay, [aDone, reply] { aDone(reply); });
    return;
  }
  reply.mOutcome = aSince < aState.mForgottenBefore ? store_outcome::HistoryGone
                                                    : store_outcome::Done;
  for (const auto& event : aState.mHistory[aKind]) {
    if (event.mObject.mRevision > aSince) {
      reply.mEvents.push_back(event);
    }
  }
  reply.mStoreRevision = aState.mRevision;
  const bool shouldRespond = !reply.mEvents.empty() || aRemaining <= 0ms ||
                             reply.mOutcome != store_outcome::Done;
  if (shouldRespond && !aState.mAreWatchesDeaf) {
    RunAfter(aScheduler, aState.mLatency, [aDone, reply] { aDone(reply); });
    return;
  }
  // Polling is simpler than a list of waiting watches.
  const auto delay = aState.mLookEach;
  RunAfter(aScheduler, delay, [=, &aState] {
    Watch(aScheduler, aState, aKind, aSince, aRemaining - delay, aDone);
  });
}

} // namespace

objects::object_store
MakeMemoryStore(const scheduler& aScheduler, memory_store_state& aState)
{
  objects::object_store store;
  store.mGet = [aScheduler, &aState](const auto& aKind,
                                     const auto& aName,
                                     objects::freshness aFreshness,
                                     auto aDone) {
    ++aState.mCalls;
    aState.mStaleReads += aFreshness == objects::freshness::MayBeStale;
    objects::object_reply reply{ store_outcome::NotFound, {} };
    auto delay = aState.mLatency;
    if (const auto fault = ReadFault(aState)) {
      reply.mOutcome = *fault;
      delay = aState.mTimeoutDelay;
    } else if (const auto found = aState.mKinds[aKind].find(aName);
               found != aState.mKinds[aKind].end()) {
      reply = { store_outcome::Done, found->second };
    }
    RunAfter(aScheduler, delay, [aDone, reply] { aDone(reply); });
  };
  store.mList = [aScheduler, &aState](const auto& aKind,
                                      const auto& aAfter,
                                      objects::freshness aFreshness,
                                      auto aDone) {
    ++aState.mCalls;
    ++aState.mListCalls;
    aState.mStaleReads += aFreshness == objects::freshness::MayBeStale;
    objects::list_reply reply;
    reply.mOutcome = ReadFault(aState).value_or(store_outcome::Done);
    reply.mStoreRevision = aState.mRevision;
    const auto& objects = aState.mKinds[aKind];
    for (auto at = objects.upper_bound(aAfter);
         at != objects.end() && !reply.mHasMore;
         ++at) {
      reply.mObjects.push_back(at->second);
      reply.mHasMore =
        aState.mPageEnds.count(at->first) > 0 && std::next(at) != objects.end();
    }
    RunAfter(aScheduler, aState.mLatency, [aDone, reply] { aDone(reply); });
  };
  store.mWatch = [aScheduler, &aState](
                   const auto& aKind, auto aSince, auto aWait, auto aDone) {
    ++aState.mCalls;
    Watch(aScheduler, aState, aKind, aSince, aWait, aDone);
  };
  store.mCreate =
    [aScheduler,
     &aState](const auto& aKind, const auto& aName, auto aJson, auto aDone) {
      Write(aScheduler,
            aState,
            { write_operation::Create, aKind, aName, 0, aJson },
            std::move(aDone));
    };
  store.mReplace = [aScheduler, &aState](const auto& aKind,
                                         const auto& aName,
                                         auto aExpected,
                                         auto aJson,
                                         auto aDone) {
    Write(aScheduler,
          aState,
          { write_operation::Replace, aKind, aName, aExpected, aJson },
          std::move(aDone));
  };
  store.mReplaceStatus = [aScheduler, &aState](const auto& aKind,
                                               const auto& aName,
                                               auto aExpected,
                                               auto aJson,
                                               auto aDone) {
    Write(aScheduler,
          aState,
          { write_operation::ReplaceStatus, aKind, aName, aExpected, aJson },
          std::move(aDone));
  };
  store.mDelete = [aScheduler,
                   &aState](const auto& aKind, const auto& aName, auto aDone) {
    Write(aScheduler,
          aState,
          { write_operation::Delete, aKind, aName, 0, "" },
          std::move(aDone));
  };
  return store;
}

void
PutDirectly(memory_store_state& aState,
            const std::string& aKind,
            const std::string& aName,
            const std::string& aSpecJson)
{
  const bool exists = aState.mKinds[aKind].count(aName) > 0;
  Apply(aState,
        { exists ? write_operation::Replace : write_operation::Create,
          aKind,
          aName,
          0,
          aSpecJson });
}

void
RemoveDirectly(memory_store_state& aState,
               const std::string& aKind,
               const std::string& aName)
{
  Apply(aState, { write_operation::Delete, aKind, aName, 0, "" });
}

} // namespace lavender::standin
