#include "Duties/Keys/TestFreshnessModel.h"

#include "Duties/Keys/Authorize.h"
#include "Duties/Membership/Reachability.h"

#include <algorithm>

namespace lavender::keys::model {

using namespace configuration;

namespace {

void
RecordResponse(process_view& aView, time_point aNow)
{
  aView.mReachableSince = membership::ReachableSince(
    aView.mReachableSince, aView.mLastResponseAt, aNow);
  aView.mLastResponseAt = aNow;
}

} // namespace

std::string
KeyName(int aKey)
{
  return "key-" + std::to_string(aKey);
}

json::value
KeySpec(int aKey, bool aIsWithdrawn)
{
  json::value spec;
  spec.Set("customer", "brf");
  spec.Set("hash", "hash-" + std::to_string(aKey));
  spec.Set("withdrawn", aIsWithdrawn);
  return spec;
}

bool
KnowsKeyAsGood(const model_entry& aEntry, int aKey)
{
  return keys::FindKeyRejection(*aEntry.mState.mSnapshot,
                                "hash-" + std::to_string(aKey))
    .empty();
}

void
Restart(model_entry& aEntry, bool aHasDisk)
{
  const auto disk = aEntry.mDisk;
  const int side = aEntry.mSide;
  const bool isCutOffFromStore = aEntry.mIsCutOffFromStore;
  aEntry = model_entry{};
  aEntry.mSide = side;
  aEntry.mIsCutOffFromStore = isCutOffFromStore;
  if (aHasDisk && disk.mRevision > 0) {
    aEntry.mDisk = disk;
    auto copy = disk;
    copy.mVerifiedAt.reset();
    ApplyCopy(aEntry.mState, std::move(copy));
  }
}

void
QueryStore(simulation& aSimulation, model_entry& aEntry)
{
  auto& store = aSimulation.mStore;
  if (store.mIsDown || aEntry.mIsCutOffFromStore) {
    return;
  }
  const auto& list =
    store.mReadsStaleReplica ? store.mStaleReplica : store.mNow;
  const auto from = aEntry.mState.mKnownRevision;
  if (from == 0 || from < store.mOldestKept) {
    ApplyList(aEntry.mState, list, aSimulation.mNow);
    return;
  }
  platform::watch_batch batch;
  batch.mRevision = list.mRevision;
  for (const auto& event : store.mEvents) {
    if (event.mObject.mRevision > from &&
        event.mObject.mRevision <= list.mRevision) {
      batch.mEvents.push_back(event);
    }
  }
  ApplyWatchBatch(aEntry.mState, batch, aSimulation.mNow);
}

void
ExchangeWithPeers(simulation& aSimulation, std::size_t aIndex)
{
  auto& entry = aSimulation.mEntries[aIndex];
  for (std::size_t i = 0; i < kEntries; ++i) {
    const auto& peer = aSimulation.mEntries[i];
    if (i == aIndex) {
      continue;
    }
    auto& view = entry.mPeers[i];
    view.mIsAsked = true;
    if (!peer.IsRunning() ||
        !aSimulation.ArePeersLinked(entry.mSide, peer.mSide)) {
      continue;
    }
    const auto digest = DigestOf(peer.mState);
    RecordResponse(view, aSimulation.mNow);
    view.mChangedRevision = digest.mChangedRevision;
    view.mVerifiedAt = digest.mVerifiedAt;
    if (ApplyDigest(entry.mState, digest) == apply_outcome::NeedsFullCopy) {
      ApplyCopy(entry.mState, CopyOf(peer.mState));
    }
  }
}

void
PollAgents(simulation& aSimulation, model_entry& aEntry)
{
  for (std::size_t i = 0; i < kAgents; ++i) {
    auto& agent = aSimulation.mAgents[i];
    auto& view = aEntry.mAgents[i];
    view.mIsAsked = true;
    if (!aSimulation.AreLinked(aEntry.mSide, agent.mSide)) {
      continue;
    }
    if (aEntry.mState.mChangedRevision > 0 && aEntry.mState.mVerifiedAt) {
      agent.mFreshAt = std::max(agent.mFreshAt, *aEntry.mState.mVerifiedAt);
    }
    agent.mChangedRevision =
      std::max(agent.mChangedRevision, aEntry.mState.mChangedRevision);
    RecordResponse(view, aSimulation.mNow);
    view.mChangedRevision = agent.mChangedRevision;
    view.mVerifiedAt = agent.mFreshAt;
  }
}

} // namespace lavender::keys::model
