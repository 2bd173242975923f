#include "Duties/Upkeep/UpkeepDuty.h"

#include "Duties/Batches/Records.h"
#include "Duties/Site/EntryKind.h"
#include "Libraries/EventLog/EventLog.h"

namespace lavender::upkeep {

using namespace std::chrono_literals;
using objects::store_outcome;

namespace {

constexpr milliseconds kLookEach = 5000ms;
constexpr milliseconds kPingTimeout = 1000ms;
/** A batch whose trainer never ended it is over after this. */
constexpr milliseconds kForgottenAfter = std::chrono::hours(1);

} // namespace

bool
IsDisposable(const batches::batch_metadata& aHead,
             milliseconds aKeep,
             std::chrono::system_clock::time_point aNow)
{
  const auto age = aNow - aHead.mSubmittedAt;
  return age > (aHead.mIsEnded ? aKeep : std::max(aKeep, kForgottenAfter));
}

bool
TakePing(silent_entries& aSilent,
         const std::string& aName,
         bool aHasAnswered,
         time_point aNow)
{
  if (aHasAnswered) {
    aSilent.erase(aName);
    return false;
  }
  const auto since = aSilent.emplace(aName, aNow).first->second;
  if (aNow - since < kGoneAfter) {
    return false;
  }
  aSilent.erase(aName);
  return true;
}

upkeep_duty::upkeep_duty(upkeep_dependencies aParts)
  : mDependencies(std::move(aParts))
  , mTimer(mDependencies.mLoop)
{
}

void
upkeep_duty::Start()
{
  LookAgain();
}

void
upkeep_duty::LookAgain()
{
  mTimer.expires_after(kLookEach);
  mTimer.async_wait([this](const auto& aError) {
    if (aError) {
      return;
    }
    if (mDependencies.mIsMyTurn()) {
      PingEntries();
      DisposeOne();
    } else {
      mSilent.clear();
    }
    LookAgain();
  });
}

void
upkeep_duty::PingEntries()
{
  for (const auto& [name, address] : mDependencies.mEntries()) {
    if (name == mDependencies.mName) {
      continue;
    }
    edge::call_options options;
    options.mConnectTimeout = kPingTimeout;
    edge::FetchWhole(
      mDependencies.mClients,
      mDependencies.mLoop,
      address,
      mDependencies.mPing(),
      options,
      kPingTimeout,
      64 << 10,
      [this, name = name](edge::call_end aEnd, const edge::response&) {
        const bool answered = aEnd == edge::call_end::Complete;
        if (!TakePing(mSilent, name, answered, boot_clock::now())) {
          return;
        }
        events::line("entry_removed").With("entry", name);
        mDependencies.mStore.mDelete(
          site::kEntryKind, name, [](const objects::object_reply&) {});
      });
  }
}

void
upkeep_duty::DisposeOne()
{
  if (mIsDisposing) {
    return;
  }
  const auto now = std::chrono::system_clock::now();
  for (const auto& head : mDependencies.mHeads()) {
    if (IsDisposable(head, mDependencies.mKeepResults, now)) {
      mIsDisposing = true;
      DeleteBlocks(head, 0);
      return;
    }
  }
}

void
upkeep_duty::DeleteBlocks(const batches::batch_metadata& aHead, int aNumber)
{
  mDependencies.mStore.mDelete(batches::kBatchResultsKind,
                               batches::ResultsObjectName(aHead.mId, aNumber),
                               [this, aHead, aNumber](const auto& aReply) {
                                 if (aReply.mOutcome == store_outcome::Done) {
                                   DeleteBlocks(aHead, aNumber + 1);
                                 } else if (aReply.mOutcome ==
                                            store_outcome::NotFound) {
                                   DeleteItems(aHead, 0);
                                 } else {
                                   mIsDisposing = false;
                                 }
                               });
}

void
upkeep_duty::DeleteItems(const batches::batch_metadata& aHead, int aPart)
{
  // The head goes last: while it is there, the rest is found again after a
  // failure.
  const bool isHead = aPart == aHead.mParts;
  mDependencies.mStore.mDelete(
    isHead ? batches::kBatchMetadataKind : batches::kBatchItemsKind,
    isHead ? aHead.mId : batches::ItemsObjectName(aHead.mId, aPart),
    [this, aHead, aPart, isHead](const auto& aReply) {
      const bool isGone = aReply.mOutcome == store_outcome::Done ||
                          aReply.mOutcome == store_outcome::NotFound;
      if (isGone && !isHead) {
        DeleteItems(aHead, aPart + 1);
        return;
      }
      mIsDisposing = false;
      if (isGone) {
        events::line("batch_removed").With("batch", aHead.mId);
        DisposeOne();
      }
    });
}

} // namespace lavender::upkeep
