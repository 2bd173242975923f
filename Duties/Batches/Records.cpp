#include "Duties/Batches/Records.h"

#include "Libraries/Json/Text.h"

#include <algorithm>

namespace lavender::batches {

namespace {

std::string
NumberedName(const std::string& aBatchId, int aNumber)
{
  char suffix[16];
  std::snprintf(suffix, sizeof suffix, ".%06d", aNumber);
  return aBatchId + suffix;
}

site::server_start
ServerAt(const json::value& aValue)
{
  return { json::StringAt(aValue, "server", ""),
           json::IntegerAt(aValue, "startedAt", 0) };
}

json::value
EncodeServer(const site::server_start& aServer)
{
  return json::object{ { "server", aServer.mId },
                       { "startedAt", aServer.mStartedAt } };
}

json::value
EncodeItem(const batch_item& aItem)
{
  json::value headers = json::object{};
  for (const auto& [name, value] : aItem.mHeaders.mFields) {
    headers.Set(name, value);
  }
  json::value item = json::object{ { "id", aItem.mId },
                                   { "path", aItem.mPath },
                                   { "headers", std::move(headers) },
                                   { "body", aItem.mBodyBase64 },
                                   { "group", aItem.mGroup },
                                   { "expected", aItem.mExpectedTokens },
                                   { "prompt", aItem.mPromptTokens } };
  if (const auto& reward = aItem.mReward) {
    item.Set("reward",
             json::object{ { "id", reward->mId },
                           { "host", reward->mHost },
                           { "path", reward->mPath },
                           { "body", reward->mBodyBase64 } });
  }
  if (const auto& planned = aItem.mPlannedServer) {
    item.Set("planned", EncodeServer(*planned));
  }
  return item;
}

batch_item
DecodeItem(const json::value& aValue)
{
  batch_item item;
  item.mId = json::StringAt(aValue, "id", "");
  item.mPath = json::StringAt(aValue, "path", "");
  if (const auto* headers = aValue.Find("headers")) {
    for (const auto& [name, value] : headers->Members()) {
      item.mHeaders.Add(name, value.StringOr(""));
    }
  }
  item.mBodyBase64 = json::StringAt(aValue, "body", "");
  item.mGroup = json::StringAt(aValue, "group", "");
  item.mExpectedTokens = json::IntegerAt(aValue, "expected", 0);
  item.mPromptTokens = json::IntegerAt(aValue, "prompt", 0);
  if (const auto* reward = aValue.Find("reward")) {
    item.mReward = rewards::reward_call{ json::StringAt(*reward, "id", ""),
                                         json::StringAt(*reward, "host", ""),
                                         json::StringAt(*reward, "path", ""),
                                         json::StringAt(*reward, "body", "") };
  }
  if (const auto* planned = aValue.Find("planned")) {
    item.mPlannedServer = ServerAt(*planned);
  }
  return item;
}

json::value
EncodePart(const text_part& aPart)
{
  json::array versions;
  for (const auto version : aPart.mGenerated.mVersions) {
    versions.emplace_back(version);
  }
  json::value part =
    json::object{ { "item", static_cast<std::int64_t>(aPart.mItem) },
                  { "last", aPart.mGenerated.mLastEvent.value_or(0) },
                  { "text", aPart.mGenerated.mData },
                  { "versions", std::move(versions) },
                  { "whole", aPart.mGenerated.mIsComplete } };
  if (aPart.mAfter) {
    part.Set("after", *aPart.mAfter);
  }
  return part;
}

text_part
DecodePart(const json::value& aValue)
{
  text_part part;
  part.mItem = static_cast<std::size_t>(json::IntegerAt(aValue, "item", 0));
  if (aValue.Find("after")) {
    part.mAfter = json::IntegerAt(aValue, "after", 0);
  }
  part.mGenerated.mLastEvent = json::IntegerAt(aValue, "last", 0);
  part.mGenerated.mData = json::StringAt(aValue, "text", "");
  part.mGenerated.mIsComplete = json::BooleanAt(aValue, "whole", false);
  if (const auto* versions = aValue.Find("versions")) {
    for (const auto& version : versions->Elements()) {
      part.mGenerated.mVersions.push_back(version.IntegerOr(0));
    }
  }
  return part;
}

run_fate
FateOf(const json::value& aValue)
{
  const auto text = json::StringAt(aValue, "fate", "");
  for (const auto fate :
       { run_fate::Placed, run_fate::Survived, run_fate::Ended }) {
    if (text == ToString(fate)) {
      return fate;
    }
  }
  return run_fate::Open;
}

json::value
EncodeRun(json::value aItem, const site::server_start& aServer, run_fate aFate)
{
  return json::object{ { "item", std::move(aItem) },
                       { "server", aServer.mId },
                       { "startedAt", aServer.mStartedAt },
                       { "fate", ToString(aFate) } };
}

json::value
EncodeRun(const run_record& aRun)
{
  return EncodeRun(
    static_cast<std::int64_t>(aRun.mItem), aRun.mServer, aRun.mFate);
}

json::value
EncodeRun(const item_run& aRun)
{
  return EncodeRun(aRun.mItemId, aRun.mServer, aRun.mFate);
}

std::size_t
BytesWithComma(const json::value& aValue)
{
  return json::Write(aValue).size() + 1;
}

template<typename Servers>
json::value
EncodeServers(const Servers& aServers)
{
  json::array servers;
  for (const auto& server : aServers) {
    servers.push_back(EncodeServer(server));
  }
  return servers;
}

std::vector<site::server_start>
DecodeServers(const json::value* aServers)
{
  std::vector<site::server_start> servers;
  if (aServers) {
    for (const auto& server : aServers->Elements()) {
      servers.push_back(ServerAt(server));
    }
  }
  return servers;
}

json::value
EncodeChange(const server_list_change& aChange)
{
  json::value change = json::object{ { "begins", aChange.mBeginsTerm } };
  if (!aChange.mAdded.empty()) {
    change.Set("added", EncodeServers(aChange.mAdded));
  }
  if (!aChange.mRemoved.empty()) {
    change.Set("removed", EncodeServers(aChange.mRemoved));
  }
  return change;
}

server_list_change
DecodeChange(const json::value& aValue)
{
  return { json::BooleanAt(aValue, "begins", false),
           DecodeServers(aValue.Find("added")),
           DecodeServers(aValue.Find("removed")) };
}

run_record
DecodeRun(const json::value& aValue)
{
  return { static_cast<std::size_t>(json::IntegerAt(aValue, "item", 0)),
           ServerAt(aValue),
           FateOf(aValue) };
}

item_run
DecodeItemRun(const json::value& aValue)
{
  return { json::StringAt(aValue, "item", ""),
           ServerAt(aValue),
           FateOf(aValue) };
}

json::value
EncodeErrors(const error_record& aRecord)
{
  return json::object{ { "item", static_cast<std::int64_t>(aRecord.mItem) },
                       { "known", aRecord.mKnown },
                       { "possible", aRecord.mPossible } };
}

error_record
DecodeErrors(const json::value& aValue)
{
  return { static_cast<std::size_t>(json::IntegerAt(aValue, "item", 0)),
           static_cast<int>(json::IntegerAt(aValue, "known", 0)),
           static_cast<int>(json::IntegerAt(aValue, "possible", 0)) };
}

json::value
EncodeSpeeds(const std::vector<scheduling::told_speed>& aSpeeds)
{
  json::value object = json::object{};
  for (const auto& speed : aSpeeds) {
    object.Set(speed.mServer, speed.mEventTime.count());
  }
  return object;
}

std::vector<scheduling::told_speed>
DecodeSpeeds(const json::value* aObject)
{
  std::vector<scheduling::told_speed> speeds;
  if (aObject) {
    for (const auto& [server, time] : aObject->Members()) {
      speeds.push_back({ server, scheduling::event_time(time.NumberOr(0)) });
    }
  }
  return speeds;
}

} // namespace

bool
IsValidId(const std::string& aId)
{
  return !aId.empty() && aId.size() <= 128 &&
         std::all_of(aId.begin(), aId.end(), [](unsigned char aCharacter) {
           return std::isalnum(aCharacter) || aCharacter == '-' ||
                  aCharacter == '_';
         });
}

const std::string*
GroupOf(const submission& aSubmission, const std::string& aItemId)
{
  const auto& items = aSubmission.mItems;
  const auto item =
    std::find_if(items.begin(), items.end(), [&](const auto& aCandidate) {
      return aCandidate.mId == aItemId;
    });
  return item == items.end() ? nullptr : &item->mGroup;
}

milliseconds
AgeOf(const batch_metadata& aMetadata)
{
  return std::chrono::duration_cast<milliseconds>(
    std::chrono::system_clock::now() - aMetadata.mSubmittedAt);
}

bool
AreRunsPlaced(const batch_item& aItem)
{
  return !aItem.mReward;
}

void
ForgetServers(submission& aSubmission)
{
  aSubmission.mServers.clear();
  for (auto& item : aSubmission.mItems) {
    item.mPlannedServer.reset();
  }
}

std::string
FirstPath(const submission& aSubmission)
{
  return aSubmission.mItems.empty() ? std::string()
                                    : aSubmission.mItems.front().mPath;
}

std::size_t
MemoryOf(const submission& aSubmission)
{
  std::size_t bytes = 0;
  for (const auto& item : aSubmission.mItems) {
    const auto& fields = item.mHeaders.mFields;
    std::size_t text = item.mId.size() + item.mPath.size() +
                       item.mBodyBase64.size() + item.mGroup.size();
    for (const auto& [name, value] : fields) {
      text += name.size() + value.size();
    }
    if (item.mReward) {
      text += item.mReward->mBodyBase64.size();
    }
    constexpr std::size_t kCopies = 2;
    bytes +=
      sizeof item + fields.capacity() * sizeof fields.front() + kCopies * text;
  }
  return bytes;
}

batch_affiliation
AffiliationOf(const batch_metadata& aMetadata)
{
  return {
    aMetadata.mCustomer, aMetadata.mModel, aMetadata.mHost, aMetadata.mPath
  };
}

std::string
EncodeMetadata(const batch_metadata& aMetadata)
{
  const auto submitted = std::chrono::duration_cast<milliseconds>(
    aMetadata.mSubmittedAt.time_since_epoch());
  json::value spec =
    json::object{ { "customer", aMetadata.mCustomer },
                  { "host", aMetadata.mHost },
                  { "path", aMetadata.mPath },
                  { "model", aMetadata.mModel },
                  { "minimumVersion", aMetadata.mMinimumVersion },
                  { "targetGroups", aMetadata.mTargetGroups },
                  { "total", aMetadata.mTotal },
                  { "expected", aMetadata.mExpectedTokens },
                  { "parts", aMetadata.mParts },
                  { "submittedMs", std::int64_t{ submitted.count() } },
                  { "owner", aMetadata.mOwner },
                  { "acceptedBy", aMetadata.mAcceptedBy } };
  if (aMetadata.mLongItemTokens > 0) {
    spec.Set("longTokens", aMetadata.mLongItemTokens);
  }
  if (!aMetadata.mServerSpeeds.empty()) {
    spec.Set("eventMs", EncodeSpeeds(aMetadata.mServerSpeeds));
  }
  if (aMetadata.mMedianEventTime > scheduling::event_time(0)) {
    spec.Set("medianEventMs", aMetadata.mMedianEventTime.count());
  }
  return json::Write(spec);
}

std::string
EncodeMetadataStatus(const batch_metadata& aMetadata)
{
  json::value status = json::object{ { "owner", aMetadata.mOwner },
                                     { "ended", aMetadata.mIsEnded } };
  if (!aMetadata.mCountedRuns.empty()) {
    json::array runs;
    for (const auto& run : aMetadata.mCountedRuns) {
      runs.push_back(EncodeRun(run));
    }
    status.Set("countedRuns", std::move(runs));
  }
  return json::Write(status);
}

std::optional<batch_metadata>
DecodeMetadata(const objects::stored_object& aObject)
{
  const auto& spec = aObject.mSpec;
  if (!IsValidId(aObject.mName) || !spec.IsObject() || !spec.Find("total")) {
    return std::nullopt;
  }
  batch_metadata metadata;
  metadata.mId = aObject.mName;
  metadata.mRevision = aObject.mRevision;
  metadata.mCustomer = json::StringAt(spec, "customer", "");
  metadata.mHost = json::StringAt(spec, "host", "");
  metadata.mPath = json::StringAt(spec, "path", "");
  metadata.mModel = json::StringAt(spec, "model", "");
  metadata.mMinimumVersion = json::IntegerAt(spec, "minimumVersion", 0);
  metadata.mTargetGroups =
    static_cast<int>(json::IntegerAt(spec, "targetGroups", 0));
  metadata.mTotal = static_cast<int>(json::IntegerAt(spec, "total", 0));
  metadata.mExpectedTokens = json::IntegerAt(spec, "expected", 0);
  metadata.mLongItemTokens = json::IntegerAt(spec, "longTokens", 0);
  metadata.mServerSpeeds = DecodeSpeeds(spec.Find("eventMs"));
  if (const auto* median = spec.Find("medianEventMs")) {
    metadata.mMedianEventTime = scheduling::event_time(median->NumberOr(0));
  }
  metadata.mParts = static_cast<int>(json::IntegerAt(spec, "parts", 0));
  metadata.mSubmittedAt = std::chrono::system_clock::time_point(
    milliseconds(json::IntegerAt(spec, "submittedMs", 0)));
  metadata.mOwner =
    json::StringAt(aObject.mStatus, "owner", json::StringAt(spec, "owner", ""));
  if (!aObject.mStatus.Find("owner")) {
    metadata.mAcceptedBy = json::StringAt(spec, "acceptedBy", "");
  }
  metadata.mIsEnded = json::BooleanAt(aObject.mStatus, "ended", false);
  if (const auto* runs = aObject.mStatus.Find("countedRuns")) {
    for (const auto& run : runs->Elements()) {
      metadata.mCountedRuns.push_back(DecodeItemRun(run));
    }
  }
  return metadata;
}

std::vector<std::string>
EncodeItems(const submission& aSubmission, std::size_t aMaximumBytes)
{
  // {"servers":[..],"items":[..]}
  constexpr std::size_t kFrameBytes = 26;
  std::vector<std::string> parts;
  std::string servers;
  std::string items;
  const auto finishPart = [&] {
    parts.push_back("{" +
                    (servers.empty() ? "" : "\"servers\":[" + servers + "],") +
                    "\"items\":[" + items + "]}");
    servers.clear();
    items.clear();
  };
  const auto add = [&](std::string& aList, const std::string& aText) {
    const auto bytes = kFrameBytes + servers.size() + items.size();
    const bool hasRecords = !servers.empty() || !items.empty();
    if (hasRecords && bytes + aText.size() + 1 > aMaximumBytes) {
      finishPart();
    }
    aList += aList.empty() ? aText : "," + aText;
  };
  for (const auto& server : aSubmission.mServers) {
    add(servers, json::Write(EncodeServer(server)));
  }
  for (const auto& item : aSubmission.mItems) {
    add(items, json::Write(EncodeItem(item)));
  }
  finishPart();
  return parts;
}

bool
DecodeItems(const objects::stored_object& aObject, submission& aSubmission)
{
  const auto* items = aObject.mSpec.Find("items");
  if (!items || !items->IsArray()) {
    return false;
  }
  for (const auto& item : items->Elements()) {
    aSubmission.mItems.push_back(DecodeItem(item));
  }
  const auto servers = DecodeServers(aObject.mSpec.Find("servers"));
  aSubmission.mServers.insert(servers.begin(), servers.end());
  return true;
}

std::string
ItemsObjectName(const std::string& aBatchId, int aPart)
{
  return NumberedName(aBatchId, aPart);
}

std::string
ResultsObjectName(const std::string& aBatchId, int aNumber)
{
  return NumberedName(aBatchId, aNumber);
}

bool
IsEmpty(const result_block& aBlock)
{
  return aBlock.mItemIds.empty() && aBlock.mParts.empty() &&
         aBlock.mRuns.empty() && aBlock.mErrors.empty() &&
         aBlock.mServers.IsEmpty();
}

std::string
EncodeBlock(const result_block& aBlock)
{
  json::array ids(aBlock.mItemIds.begin(), aBlock.mItemIds.end());
  std::string text =
    "{\"ids\":" + json::Write(std::move(ids)) + ",\"entries\":[";
  for (std::size_t i = 0; i < aBlock.mEntries.size(); ++i) {
    text += (i > 0 ? "," : "") + aBlock.mEntries[i];
  }
  text += ']';
  if (!aBlock.mParts.empty()) {
    json::array parts;
    for (const auto& part : aBlock.mParts) {
      parts.push_back(EncodePart(part));
    }
    text += ",\"parts\":" + json::Write(std::move(parts));
  }
  if (!aBlock.mServers.IsEmpty()) {
    text += ",\"servers\":" + json::Write(EncodeChange(aBlock.mServers));
  }
  if (!aBlock.mParts.empty() || !aBlock.mServers.IsEmpty() ||
      !aBlock.mErrors.empty()) {
    text += ",\"writer\":" + json::Write(json::value(aBlock.mWriter));
  }
  if (!aBlock.mRuns.empty()) {
    json::array runs;
    for (const auto& run : aBlock.mRuns) {
      runs.push_back(EncodeRun(run));
    }
    text += ",\"runs\":" + json::Write(std::move(runs));
  }
  if (!aBlock.mErrors.empty()) {
    json::array errors;
    for (const auto& record : aBlock.mErrors) {
      errors.push_back(EncodeErrors(record));
    }
    text += ",\"errors\":" + json::Write(std::move(errors));
  }
  return text + "}";
}

std::size_t
EncodedBytes(const std::string& aText)
{
  return BytesWithComma(aText);
}

std::size_t
EncodedBytes(const run_record& aRun)
{
  return BytesWithComma(EncodeRun(aRun));
}

std::size_t
EncodedBytes(const item_run& aRun)
{
  return BytesWithComma(EncodeRun(aRun));
}

std::size_t
EncodedBytes(const error_record& aRecord)
{
  return BytesWithComma(EncodeErrors(aRecord));
}

std::size_t
EncodedBytes(const site::server_start& aServer)
{
  return BytesWithComma(EncodeServer(aServer));
}

std::size_t
EncodedBytes(const text_part& aPart)
{
  // Names and numbers at their longest; the text isn't written twice.
  constexpr std::size_t kFrameBytes = 128;
  constexpr std::size_t kVersionBytes = 21;
  return kFrameBytes + kVersionBytes * aPart.mGenerated.mVersions.size() +
         json::WrittenSize(aPart.mGenerated.mData);
}

std::optional<result_block>
DecodeBlock(const objects::stored_object& aObject)
{
  const auto* ids = aObject.mSpec.Find("ids");
  const auto* entries = aObject.mSpec.Find("entries");
  if (!ids || !entries ||
      ids->Elements().size() != entries->Elements().size()) {
    return std::nullopt;
  }
  result_block block;
  for (const auto& id : ids->Elements()) {
    block.mItemIds.push_back(id.StringOr(""));
  }
  for (const auto& entry : entries->Elements()) {
    block.mEntries.push_back(json::Write(entry));
  }
  block.mWriter = json::StringAt(aObject.mSpec, "writer", "");
  if (const auto* parts = aObject.mSpec.Find("parts")) {
    for (const auto& part : parts->Elements()) {
      block.mParts.push_back(DecodePart(part));
    }
  }
  if (const auto* runs = aObject.mSpec.Find("runs")) {
    for (const auto& run : runs->Elements()) {
      block.mRuns.push_back(DecodeRun(run));
    }
  }
  if (const auto* errors = aObject.mSpec.Find("errors")) {
    for (const auto& record : errors->Elements()) {
      block.mErrors.push_back(DecodeErrors(record));
    }
  }
  if (const auto* servers = aObject.mSpec.Find("servers")) {
    block.mServers = DecodeChange(*servers);
  }
  return block;
}

} // namespace lavender::batches
