#include "Duties/Batches/Records.h"

#include <algorithm>

namespace lavender::batches {

namespace {

/** Items of one object: the store takes 1 MB, and the escapes of JSON and the
 * object's own fields need room. */
constexpr std::size_t kPartBytes = 700 << 10;

std::string
Numbered(const std::string& aBatchId, int aNumber)
{
  char suffix[16];
  std::snprintf(suffix, sizeof suffix, ".%06d", aNumber);
  return aBatchId + suffix;
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
                                   { "expected", aItem.mExpectedTokens } };
  if (const auto& reward = aItem.mReward) {
    item.Set("reward",
             json::object{ { "id", reward->mId },
                           { "host", reward->mHost },
                           { "path", reward->mPath },
                           { "body", reward->mBodyBase64 } });
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
  if (const auto* reward = aValue.Find("reward")) {
    item.mReward = rewards::reward_call{ json::StringAt(*reward, "id", ""),
                                         json::StringAt(*reward, "host", ""),
                                         json::StringAt(*reward, "path", ""),
                                         json::StringAt(*reward, "body", "") };
  }
  return item;
}

json::value
EncodePart(const text_part& aPart)
{
  json::array versions;
  for (const auto version : aPart.mMade.mVersions) {
    versions.emplace_back(version);
  }
  json::value part =
    json::object{ { "item", static_cast<std::int64_t>(aPart.mItem) },
                  { "last", aPart.mMade.mLastEvent.value_or(0) },
                  { "text", aPart.mMade.mData },
                  { "versions", std::move(versions) },
                  { "whole", aPart.mMade.mIsWhole } };
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
  part.mMade.mLastEvent = json::IntegerAt(aValue, "last", 0);
  part.mMade.mData = json::StringAt(aValue, "text", "");
  part.mMade.mIsWhole = json::BooleanAt(aValue, "whole", false);
  if (const auto* versions = aValue.Find("versions")) {
    for (const auto& version : versions->Elements()) {
      part.mMade.mVersions.push_back(version.IntegerOr(0));
    }
  }
  return part;
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
AgeOf(const batch_metadata& aHead)
{
  return std::chrono::duration_cast<milliseconds>(
    std::chrono::system_clock::now() - aHead.mSubmittedAt);
}

std::string
EncodeHead(const batch_metadata& aHead)
{
  const auto submitted = std::chrono::duration_cast<milliseconds>(
    aHead.mSubmittedAt.time_since_epoch());
  return json::Write(
    json::object{ { "customer", aHead.mCustomer },
                  { "host", aHead.mHost },
                  { "model", aHead.mModel },
                  { "minimumVersion", aHead.mMinimumVersion },
                  { "targetGroups", aHead.mTargetGroups },
                  { "total", aHead.mTotal },
                  { "expected", aHead.mExpectedTokens },
                  { "parts", aHead.mParts },
                  { "submittedMs", std::int64_t{ submitted.count() } },
                  { "owner", aHead.mOwner } });
}

std::string
EncodeHeadStatus(const std::string& aOwner, bool aIsEnded)
{
  return json::Write(
    json::object{ { "owner", aOwner }, { "ended", aIsEnded } });
}

std::optional<batch_metadata>
DecodeHead(const objects::stored_object& aObject)
{
  const auto& spec = aObject.mSpec;
  if (!spec.IsObject() || !spec.Find("total")) {
    return std::nullopt;
  }
  batch_metadata head;
  head.mId = aObject.mName;
  head.mRevision = aObject.mRevision;
  head.mCustomer = json::StringAt(spec, "customer", "");
  head.mHost = json::StringAt(spec, "host", "");
  head.mModel = json::StringAt(spec, "model", "");
  head.mMinimumVersion = json::IntegerAt(spec, "minimumVersion", 0);
  head.mTargetGroups =
    static_cast<int>(json::IntegerAt(spec, "targetGroups", 0));
  head.mTotal = static_cast<int>(json::IntegerAt(spec, "total", 0));
  head.mExpectedTokens = json::IntegerAt(spec, "expected", 0);
  head.mParts = static_cast<int>(json::IntegerAt(spec, "parts", 0));
  head.mSubmittedAt = std::chrono::system_clock::time_point(
    milliseconds(json::IntegerAt(spec, "submittedMs", 0)));
  head.mOwner =
    json::StringAt(aObject.mStatus, "owner", json::StringAt(spec, "owner", ""));
  head.mIsEnded = json::BooleanAt(aObject.mStatus, "ended", false);
  return head;
}

std::vector<std::string>
EncodeItems(const submission& aSubmission)
{
  std::vector<std::string> parts;
  std::string part;
  for (const auto& item : aSubmission.mItems) {
    const auto text = json::Write(EncodeItem(item));
    if (!part.empty() && part.size() + text.size() > kPartBytes) {
      parts.push_back("{\"items\":[" + part + "]}");
      part.clear();
    }
    part += part.empty() ? text : "," + text;
  }
  parts.push_back("{\"items\":[" + part + "]}");
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
  return true;
}

std::string
ItemsObjectName(const std::string& aBatchId, int aPart)
{
  return Numbered(aBatchId, aPart);
}

std::string
ResultsObjectName(const std::string& aBatchId, int aNumber)
{
  return Numbered(aBatchId, aNumber);
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
    text += ",\"writer\":" + json::Write(json::value(aBlock.mWriter)) +
            ",\"parts\":" + json::Write(std::move(parts));
  }
  return text + "}";
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
  return block;
}

} // namespace lavender::batches
