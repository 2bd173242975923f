#include "Duties/Registration/Registrar.h"

#include <algorithm>
#include <utility>

namespace lavender::registration {

using namespace std::chrono_literals;
using objects::store_outcome;

namespace {

/** Entries announced by one object. If the object is lost, each of these writes
 * one of its own. */
constexpr std::size_t kMaximumEntries = 32;
constexpr milliseconds kGatherTime = 150ms;
constexpr int kMaximumRetries = 2;

} // namespace

registrar::registrar(registrar_dependencies aDependencies)
  : mDependencies(std::move(aDependencies))
{
}

void
registrar::SetOwnObject(const objects::stored_object& aObject)
{
  if (aObject.mRevision > mOwnObject.mRevision) {
    mOwnObject = aObject;
  }
}

void
registrar::Announce(const announced_entry& aEntry, announce_done aDone)
{
  const auto announced = DecodeAnnouncement(mOwnObject).size();
  if (mOwnObject.mRevision == 0 ||
      announced + mWaiting.size() + mWriting.size() >= kMaximumEntries) {
    aDone(false);
    return;
  }
  mWaiting.push_back({ aEntry, std::move(aDone) });
  ScheduleWrite();
}

void
registrar::ScheduleWrite()
{
  if (mNextWrite || !mWriting.empty() || mWaiting.empty()) {
    return;
  }
  mNextWrite = mDependencies.mScheduler.mAfter(kGatherTime, [this] {
    // Destroying the handle would destroy this action while it runs.
    const auto ended = std::exchange(mNextWrite, nullptr);
    mWriting = std::exchange(mWaiting, {});
    Write(kMaximumRetries);
  });
}

void
registrar::Write(int aRetriesLeft)
{
  auto entries = DecodeAnnouncement(mOwnObject);
  for (const auto& [entry, done] : mWriting) {
    const auto isSame = [&name = entry.mName](const auto& aKnown) {
      return aKnown.mName == name;
    };
    entries.erase(std::remove_if(entries.begin(), entries.end(), isSame),
                  entries.end());
    entries.push_back(entry);
  }
  const auto spec = EncodeAnnouncement(mDependencies.mName, entries);
  mDependencies.mStore.mReplace(
    mDependencies.mKind,
    mDependencies.mName,
    mOwnObject.mRevision,
    json::Write(spec),
    [this, spec, aRetriesLeft](const objects::object_reply& aReply) {
      HandleWritten(aReply, spec, aRetriesLeft);
    });
}

void
registrar::HandleWritten(const objects::object_reply& aReply,
                         const json::value& aSpec,
                         int aRetriesLeft)
{
  if (aReply.mOutcome == store_outcome::Conflict && aRetriesLeft > 0) {
    // Another entry has removed one that was gone.
    SetOwnObject(aReply.mObject);
    Write(aRetriesLeft - 1);
    return;
  }
  const bool isDone = aReply.mOutcome == store_outcome::Done;
  if (isDone) {
    objects::stored_object written = aReply.mObject;
    written.mName = mDependencies.mName;
    written.mSpec = aSpec;
    SetOwnObject(written);
  } else if (aReply.mOutcome == store_outcome::NotFound) {
    mOwnObject = {};
  }
  for (const auto& [entry, done] : std::exchange(mWriting, {})) {
    done(isDone);
  }
  ScheduleWrite();
}

} // namespace lavender::registration
