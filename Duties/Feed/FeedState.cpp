#include "Duties/Feed/FeedState.h"

#include <algorithm>

namespace lavender::feed {

namespace {

constexpr std::size_t kMinimumKeptChanges = 512;
/** Number of gaps kept for a kind. A requester whose state is older than the
 * last gap that was dropped gets the full state. */
constexpr std::size_t kMaximumGaps = 4;

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

/** Drops a change, and the marks from which it would be needed. */
void
DropOldestChange(feed_state& aState)
{
  const auto& dropped = aState.mChanges.front();
  auto& marks = aState.mMarks[dropped.mKind];
  while (!marks.empty() && marks.front().mNumber < dropped.mNumber) {
    marks.pop_front();
  }
  aState.mChanges.pop_front();
}

void
Append(feed_state& aState,
       const std::string& aKind,
       const objects::object_event& aEvent)
{
  // Changes of other kinds since the last mark don't concern this one.
  if (auto& marks = aState.mMarks[aKind];
      !marks.empty() && marks.back().mNumber >= aState.mNewestByKind[aKind]) {
    marks.back().mNumber = aState.mNewest;
  }
  aState.mChanges.push_back(
    { ++aState.mNewest, aKind, EncodeChange(aKind, aEvent) });
  aState.mNewestByKind[aKind] = aState.mNewest;
  const auto kept = KeptChanges(aState);
  while (aState.mChanges.size() > kept) {
    DropOldestChange(aState);
  }
}

/** Sequence number after which all changes are kept. */
feed_sequence
OldestKnown(const feed_state& aState)
{
  return aState.mNewest - static_cast<feed_sequence>(aState.mChanges.size());
}

/** Marks that the changes of the kind up to the revision are known. */
void
AddMark(feed_state& aState,
        const std::string& aKind,
        objects::revision_number aRevision)
{
  auto& marks = aState.mMarks[aKind];
  // Without a change since the last mark, a requester that knows the lower
  // revision lacks nothing more.
  if (marks.empty() || marks.back().mNumber < aState.mNewestByKind[aKind]) {
    marks.push_back({ aState.mNewest, aRevision });
  }
}

bool
IsInGap(const feed_state& aState,
        const std::string& aKind,
        objects::revision_number aRevision)
{
  const auto gaps = aState.mGaps.find(aKind);
  return gaps != aState.mGaps.end() &&
         std::any_of(
           gaps->second.begin(), gaps->second.end(), [&](const auto& aGap) {
             return aGap.mBefore < aRevision && aRevision < aGap.mUntil;
           });
}

json::value
EncodeGaps(const std::map<std::string, revision_gaps>& aGaps)
{
  json::value encoded = json::object{};
  for (const auto& [kind, gaps] : aGaps) {
    json::array list;
    for (const auto& gap : gaps) {
      list.push_back(json::array{ gap.mBefore, gap.mUntil });
    }
    encoded.Set(kind, list);
  }
  return encoded;
}

std::map<std::string, revision_gaps>
DecodeGaps(const json::value& aEncoded)
{
  std::map<std::string, revision_gaps> decoded;
  for (const auto& [kind, gaps] : aEncoded.Members()) {
    for (const auto& gap : gaps.Elements()) {
      if (const auto& ends = gap.Elements(); ends.size() == 2) {
        decoded[kind].push_back({ ends[0].IntegerOr(0), ends[1].IntegerOr(0) });
      }
    }
  }
  return decoded;
}

} // namespace

std::size_t
KeptChanges(const feed_state& aState)
{
  std::size_t objects = 0;
  for (const auto& [kind, known] : aState.mKinds) {
    objects += known.size();
  }
  return std::max(kMinimumKeptChanges, objects / 2);
}

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
  aState.mListedKinds.insert(aKind);
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
  const bool wasListed = aState.mListedKinds.erase(aKind) > 0;
  if (aRevision <= known) {
    return;
  }
  if (wasListed) {
    AddGap(aState, aKind, { known, aRevision });
  }
  known = aRevision;
  AddMark(aState, aKind, aRevision);
}

void
AddGap(feed_state& aState, const std::string& aKind, const revision_gap& aGap)
{
  auto& gaps = aState.mGaps[aKind];
  const bool isKnown =
    std::any_of(gaps.begin(), gaps.end(), [&](const auto& aKnown) {
      return aKnown.mBefore <= aGap.mBefore && aGap.mUntil <= aKnown.mUntil;
    });
  if (isKnown) {
    return;
  }
  gaps.push_back(aGap);
  if (gaps.size() <= kMaximumGaps) {
    return;
  }
  auto& marks = aState.mMarks[aKind];
  while (!marks.empty() && marks.front().mRevision < gaps.front().mUntil) {
    marks.pop_front();
  }
  gaps.erase(gaps.begin());
}

std::optional<feed_sequence>
FindSequence(const feed_state& aState, const kind_revisions& aKnown)
{
  auto since = aState.mNewest;
  for (const auto& [kind, known] : aState.mKinds) {
    const auto revision = aKnown.find(kind);
    const auto marks = aState.mMarks.find(kind);
    if (revision == aKnown.end() || marks == aState.mMarks.end() ||
        IsInGap(aState, kind, revision->second)) {
      return std::nullopt;
    }
    const auto mark = std::find_if(
      marks->second.rbegin(), marks->second.rend(), [&](const auto& aMark) {
        return aMark.mRevision <= revision->second;
      });
    if (mark == marks->second.rend()) {
      return std::nullopt;
    }
    const auto newest = aState.mNewestByKind.find(kind);
    const bool hasChanged =
      newest != aState.mNewestByKind.end() && newest->second > mark->mNumber;
    if (hasChanged) {
      since = std::min(since, mark->mNumber);
    }
  }
  // Changes before the oldest one that is kept are of other kinds.
  return std::max(since, OldestKnown(aState));
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
  if (known != kind->second.end()) {
    return known->second.mRevision <= aEvent.mObject.mRevision;
  }
  // An object that isn't known, though all changes up to its revision are, was
  // deleted later than the source knows.
  const auto revision = aState.mRevisions.find(aKind);
  return aEvent.mIsDeleted || revision == aState.mRevisions.end() ||
         aEvent.mObject.mRevision > revision->second;
}

encoded_changes
EncodeChanges(const feed_state& aState, std::optional<feed_sequence> aSince)
{
  encoded_changes changes;
  changes.mIsComplete =
    !aSince || *aSince < OldestKnown(aState) || *aSince > aState.mNewest;
  std::string json;
  const auto add = [&](const std::string& aJson) {
    json += json.empty() ? aJson : "," + aJson;
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
  changes.mJson = std::make_shared<const std::string>(json + "]}");
  return changes;
}

encoded_feed
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
                  { "revisions", revisions },
                  { "gaps", EncodeGaps(aState.mGaps) } };
  auto body = json::Write(head);
  body.pop_back();
  return { body + ",\"changes\":[", aChanges.mJson };
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
  if (const auto* gaps = body->Find("gaps")) {
    feed.mGaps = DecodeGaps(*gaps);
  }
  for (const auto& change : changes->Elements()) {
    feed.mChanges.push_back(DecodeChange(change));
  }
  return feed;
}

} // namespace lavender::feed
