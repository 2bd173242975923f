#include "Duties/Feed/FeedState.h"

#include <algorithm>

namespace lavender::feed {

namespace {

std::string
EncodeChange(const std::string& aKind, const objects::object_event& aEvent)
{
  const auto& object = aEvent.mObject;
  json::value change = json::object{ { "kind", aKind },
                                     { "deleted", aEvent.mIsDeleted },
                                     { "name", object.mName },
                                     { "revision", object.mRevision },
                                     { "created", object.mCreatedAt } };
  if (!aEvent.mIsDeleted) {
    change.Set("spec", object.mSpec);
    change.Set("status", object.mStatus);
  }
  return json::Write(change);
}

decoded_change
DecodeChange(const json::value& aValue)
{
  decoded_change change;
  change.mKind = json::StringAt(aValue, "kind", "");
  change.mEvent.mIsDeleted = json::BooleanAt(aValue, "deleted", false);
  auto& object = change.mEvent.mObject;
  object.mName = json::StringAt(aValue, "name", "");
  object.mRevision = json::IntegerAt(aValue, "revision", 0);
  object.mCreatedAt = json::IntegerAt(aValue, "created", 0);
  if (const auto* spec = aValue.Find("spec")) {
    object.mSpec = *spec;
  }
  if (const auto* status = aValue.Find("status")) {
    object.mStatus = *status;
  }
  return change;
}

void
Append(feed_state& aState,
       const std::string& aKind,
       const objects::object_event& aEvent)
{
  aState.mChanges.push_back({ ++aState.mNewest, EncodeChange(aKind, aEvent) });
  while (aState.mChanges.size() > kKeptChanges) {
    aState.mChanges.pop_front();
  }
}

} // namespace

void
ApplyListing(feed_state& aState,
             const std::string& aKind,
             const object_map& aListed)
{
  auto& known = aState.mKinds[aKind];
  for (const auto& [name, object] : known) {
    if (aListed.count(name) == 0) {
      Append(aState, aKind, { object, true });
    }
  }
  for (const auto& [name, object] : aListed) {
    const auto before = known.find(name);
    if (before == known.end() || before->second.mRevision != object.mRevision) {
      Append(aState, aKind, { object, false });
    }
  }
  known = aListed;
}

void
ApplyEvent(feed_state& aState,
           const std::string& aKind,
           const objects::object_event& aEvent)
{
  auto& known = aState.mKinds[aKind];
  if (aEvent.mIsDeleted) {
    known.erase(aEvent.mObject.mName);
  } else {
    known[aEvent.mObject.mName] = aEvent.mObject;
  }
  Append(aState, aKind, aEvent);
}

void
RecordRevision(feed_state& aState,
               const std::string& aKind,
               objects::revision_number aRevision)
{
  auto& known = aState.mRevisions[aKind];
  known = std::max(known, aRevision);
}

object_map
MergeListing(const object_map& aKnown,
             const object_map& aReceived,
             objects::revision_number aReceivedRevision)
{
  auto merged = aReceived;
  for (const auto& [name, object] : aKnown) {
    const auto found = aReceived.find(name);
    const bool isNewer = found == aReceived.end()
                           ? object.mRevision > aReceivedRevision
                           : object.mRevision > found->second.mRevision;
    if (isNewer) {
      merged[name] = object;
    }
  }
  return merged;
}

bool
IsNewer(const feed_state& aState,
        const std::string& aKind,
        const objects::object_event& aEvent)
{
  const auto kind = aState.mKinds.find(aKind);
  if (kind == aState.mKinds.end()) {
    return true;
  }
  const auto known = kind->second.find(aEvent.mObject.mName);
  return known == kind->second.end() ||
         known->second.mRevision <= aEvent.mObject.mRevision;
}

encoded_changes
EncodeChanges(const feed_state& aState, std::optional<feed_sequence> aSince)
{
  const feed_sequence oldest =
    aState.mNewest - static_cast<feed_sequence>(aState.mChanges.size());
  encoded_changes changes;
  changes.mIsComplete = !aSince || *aSince < oldest || *aSince > aState.mNewest;
  const auto add = [&](const std::string& aJson) {
    changes.mJson += changes.mJson.empty() ? aJson : "," + aJson;
  };
  if (changes.mIsComplete) {
    for (const auto& [kind, known] : aState.mKinds) {
      for (const auto& [name, object] : known) {
        add(EncodeChange(kind, { object, false }));
      }
    }
  } else {
    for (const auto& change : aState.mChanges) {
      if (change.mNumber > *aSince) {
        add(change.mJson);
      }
    }
  }
  return changes;
}

std::string
EncodeFeed(const feed_state& aState,
           const std::string& aIncarnation,
           const encoded_changes& aChanges,
           const feed_provenance& aProof)
{
  json::value revisions = json::object{};
  for (const auto& [kind, revision] : aState.mRevisions) {
    revisions.Set(kind, revision);
  }
  const json::value head =
    json::object{ { "life", aIncarnation },
                  { "newest", aState.mNewest },
                  { "whole", aChanges.mIsComplete },
                  { "origin", aProof.mOrigin },
                  { "age_ms", static_cast<std::int64_t>(aProof.mAge.count()) },
                  { "held_ms",
                    static_cast<std::int64_t>(aProof.mHeld.count()) },
                  { "revisions", revisions } };
  auto body = json::Write(head);
  body.pop_back();
  return body + ",\"changes\":[" + aChanges.mJson + "]}";
}

std::optional<decoded_feed>
DecodeFeed(const std::string& aBody)
{
  const auto body = json::Parse(aBody);
  const auto* changes = body ? body->Find("changes") : nullptr;
  if (!changes || !changes->IsArray() || !body->Find("origin")) {
    return std::nullopt;
  }
  decoded_feed feed;
  feed.mIncarnation = json::StringAt(*body, "life", "");
  feed.mNewest = json::IntegerAt(*body, "newest", 0);
  feed.mIsComplete = json::BooleanAt(*body, "whole", false);
  feed.mProof = { json::StringAt(*body, "origin", ""),
                  milliseconds(json::IntegerAt(*body, "age_ms", 0)),
                  milliseconds(json::IntegerAt(*body, "held_ms", 0)) };
  if (const auto* revisions = body->Find("revisions")) {
    for (const auto& [kind, revision] : revisions->Members()) {
      feed.mRevisions[kind] = revision.IntegerOr(0);
    }
  }
  for (const auto& change : changes->Elements()) {
    feed.mChanges.push_back(DecodeChange(change));
  }
  return feed;
}

} // namespace lavender::feed
