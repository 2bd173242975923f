#include "StandIns/Platform/ObjectStore.h"

namespace lavender::standin {
namespace {

constexpr std::size_t kMaximumEvents = 20000;

bool
IsExpected(const std::optional<stored_object>& aCurrent, std::int64_t aExpected)
{
  return aExpected < 0 || (aCurrent ? aCurrent->mRevision : 0) == aExpected;
}

} // namespace

std::optional<stored_object>
object_store::Read(const std::string& aKind, const std::string& aName) const
{
  std::lock_guard lock(mMutex);
  const auto found = mObjects.find({ aKind, aName });
  if (found == mObjects.end()) {
    return std::nullopt;
  }
  return found->second;
}

write_result
object_store::Write(const std::string& aKind,
                    const std::string& aName,
                    std::int64_t aExpected,
                    json::value aValue)
{
  std::lock_guard lock(mMutex);
  const auto found = mObjects.find({ aKind, aName });
  std::optional<stored_object> current;
  if (found != mObjects.end()) {
    current = found->second;
  }
  if (!IsExpected(current, aExpected)) {
    return { false, mRevision, current };
  }
  ++mRevision;
  mObjects[{ aKind, aName }] = { mRevision, aValue };
  Append({ mRevision, false, aKind, aName, std::move(aValue) });
  return { true, mRevision, std::nullopt };
}

write_result
object_store::Delete(const std::string& aKind,
                     const std::string& aName,
                     std::int64_t aExpected)
{
  std::lock_guard lock(mMutex);
  const auto found = mObjects.find({ aKind, aName });
  if (found == mObjects.end()) {
    return { aExpected <= 0, mRevision, std::nullopt };
  }
  if (!IsExpected(found->second, aExpected)) {
    return { false, mRevision, found->second };
  }
  ++mRevision;
  mObjects.erase(found);
  Append({ mRevision, true, aKind, aName, {} });
  return { true, mRevision, std::nullopt };
}

std::pair<std::int64_t, json::array>
object_store::List(const std::string& aKind) const
{
  std::lock_guard lock(mMutex);
  json::array items;
  for (const auto& [key, object] : mObjects) {
    if (aKind.empty() || key.first == aKind) {
      items.push_back(ToJson(key.first, key.second, object));
    }
  }
  return { mRevision, std::move(items) };
}

std::optional<std::pair<std::int64_t, json::array>>
object_store::Watch(std::int64_t aFrom, std::chrono::milliseconds aWait)
{
  std::unique_lock lock(mMutex);
  if (aFrom < mOldestRetained) {
    return std::nullopt;
  }
  mChanged.wait_for(lock, aWait, [&] { return mRevision > aFrom; });
  if (aFrom < mOldestRetained) {
    return std::nullopt;
  }
  json::array events;
  for (const auto& event : mEvents) {
    if (event.mRevision <= aFrom) {
      continue;
    }
    auto item =
      ToJson(event.mKind, event.mName, { event.mRevision, event.mValue });
    item.Set("type", event.mIsDeletion ? "delete" : "put");
    events.push_back(std::move(item));
  }
  return std::pair{ mRevision, std::move(events) };
}

void
object_store::Compact()
{
  std::lock_guard lock(mMutex);
  mEvents.clear();
  mOldestRetained = mRevision;
}

void
object_store::SaveSnapshot()
{
  auto list = List("");
  std::lock_guard lock(mMutex);
  mSnapshot = std::move(list);
}

std::pair<std::int64_t, json::array>
object_store::ListSnapshot() const
{
  std::lock_guard lock(mMutex);
  return mSnapshot;
}

void
object_store::Append(stored_event aEvent)
{
  mEvents.push_back(std::move(aEvent));
  if (mEvents.size() > kMaximumEvents) {
    mOldestRetained = mEvents.front().mRevision;
    mEvents.pop_front();
  }
  mChanged.notify_all();
}

json::value
ToJson(const std::string& aKind,
       const std::string& aName,
       const stored_object& aObject)
{
  json::value item;
  item.Set("kind", aKind);
  item.Set("name", aName);
  item.Set("revision", aObject.mRevision);
  item.Set("value", aObject.mValue);
  return item;
}

} // namespace lavender::standin
