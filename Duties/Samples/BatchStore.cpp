#include "Duties/Samples/BatchStore.h"

#include <algorithm>
#include <array>

namespace lavender::samples {
namespace {

using platform::read_state;
using platform::write_state;

constexpr std::array<const char*, 4> kStateWords = { "making",
                                                     "fixed",
                                                     "delivered",
                                                     "acknowledged" };

bool
HasTooOld(const sample_table& aTable, std::int64_t aOldestVersion)
{
  return std::any_of(aTable.begin(), aTable.end(), [&](const auto& aGroup) {
    return std::any_of(aGroup.begin(), aGroup.end(), [&](const auto& aSample) {
      return !aSample || OldestVersion(*aSample) < aOldestVersion;
    });
  });
}

ask_outcome
Outcome(delivery_status aState, batch_record aRecord = {})
{
  return { aState, {}, std::move(aRecord) };
}

/** Removes the parts of an acknowledged batch and their names. A process that
 * dies in between leaves the names, and the next ask goes on. */
void
RemoveParts(const batch_store& aStore,
            const std::string& aName,
            batch_record aRecord)
{
  for (const auto& part : aRecord.mParts) {
    const auto removed = aStore.mDelete(kPartKind, part);
    if (removed.mState == write_state::Unknown) {
      return;
    }
  }
  if (!aRecord.mParts.empty()) {
    aRecord.mParts.clear();
    aStore.mWrite(kBatchKind, aName, aRecord.mRevision, ToJson(aRecord));
  }
}

} // namespace

batch_store
MakeStore(const platform::client& aPlatform)
{
  const auto* client = &aPlatform;
  batch_store store;
  store.mRead = [client](const std::string& aKind, const std::string& aName) {
    return platform::Read(*client, aKind, aName);
  };
  store.mWrite = [client](const std::string& aKind,
                          const std::string& aName,
                          std::int64_t aExpected,
                          const json::value& aValue) {
    return platform::Write(*client, aKind, aName, aExpected, aValue);
  };
  store.mDelete = [client](const std::string& aKind, const std::string& aName) {
    constexpr std::int64_t kAnyRevision = -1;
    return platform::Delete(*client, aKind, aName, kAnyRevision);
  };
  return store;
}

json::value
ToJson(const batch_record& aRecord)
{
  json::array parts;
  for (const auto& part : aRecord.mParts) {
    parts.emplace_back(part);
  }
  json::value shown;
  shown.Set("state", kStateWords[static_cast<std::size_t>(aRecord.mState)]);
  shown.Set("nonce", aRecord.mNonce);
  shown.Set("digest", aRecord.mDigest);
  shown.Set("parts", std::move(parts));
  shown.Set("done", aRecord.mFinishedSamples);
  shown.Set("wanted", aRecord.mRequestedSamples);
  shown.Set("beat", aRecord.mBeat);
  shown.Set("released", aRecord.mIsReleased);
  return shown;
}

batch_record
ToRecord(const platform::stored_object& aObject)
{
  const auto& kept = aObject.mValue;
  batch_record read;
  const auto word = json::StringAt(kept, "state", "");
  const auto found = std::find(kStateWords.begin(), kStateWords.end(), word);
  if (found != kStateWords.end()) {
    read.mState = static_cast<batch_state>(found - kStateWords.begin());
  }
  read.mNonce = json::StringAt(kept, "nonce", "");
  read.mDigest = json::StringAt(kept, "digest", "");
  if (const auto* parts = kept.Find("parts")) {
    for (const auto& part : parts->Elements()) {
      read.mParts.push_back(part.StringOr(""));
    }
  }
  read.mFinishedSamples = json::IntegerAt(kept, "done", 0);
  read.mRequestedSamples = json::IntegerAt(kept, "wanted", 0);
  read.mBeat = json::IntegerAt(kept, "beat", 0);
  read.mIsReleased = json::BooleanAt(kept, "released", false);
  read.mRevision = aObject.mRevision;
  return read;
}

std::string
PartName(const std::string& aBatch, const std::string& aNonce, int aNumber)
{
  return aBatch + "." + aNonce + "." + std::to_string(aNumber);
}

sample_table
MakeTable(std::size_t aGroups, int aSamplesPerGroup)
{
  return sample_table(aGroups,
                      std::vector<std::optional<sample>>(
                        static_cast<std::size_t>(aSamplesPerGroup)));
}

bool
LoadParts(const batch_store& aStore,
          const batch_record& aRecord,
          sample_table& aTable)
{
  for (const auto& name : aRecord.mParts) {
    const auto part = aStore.mRead(kPartKind, name);
    if (part.mState != read_state::Found) {
      return false;
    }
    const auto* samples = part.mObject.mValue.Find("samples");
    if (!samples) {
      return false;
    }
    for (const auto& element : samples->Elements()) {
      auto read = ToSample(element);
      const auto group = static_cast<std::size_t>(read.mGroup);
      const auto index = static_cast<std::size_t>(read.mIndex);
      if (group < aTable.size() && index < aTable[group].size()) {
        aTable[group][index] = std::move(read);
      }
    }
  }
  return true;
}

json::value
Assemble(const batch_spec& aSpec,
         const batch_record& aRecord,
         const sample_table& aTable)
{
  json::array samples;
  for (const auto& group : aTable) {
    for (const auto& one : group) {
      if (one) {
        samples.push_back(ToJson(*one));
      }
    }
  }
  json::value batch;
  batch.Set("run", aSpec.mRun);
  batch.Set("step", aSpec.mStep);
  batch.Set("nonce", aRecord.mNonce);
  batch.Set("samples", std::move(samples));
  return batch;
}

ask_outcome
Deliver(const batch_store& aStore,
        const batch_spec& aSpec,
        std::int64_t aOldestVersion)
{
  const auto name = NameOf(aSpec);
  // A second round reads what another entry, or a write whose answer was
  // lost, has left.
  for (int round = 0; round < 2; ++round) {
    const auto read = aStore.mRead(kBatchKind, name);
    if (read.mState != read_state::Found) {
      return Outcome(read.mState == read_state::Absent
                       ? delivery_status::Absent
                       : delivery_status::Unavailable);
    }
    auto record = ToRecord(read.mObject);
    if (record.mState == batch_state::Acknowledged) {
      RemoveParts(aStore, name, record);
      return Outcome(delivery_status::Acknowledged, record);
    }
    if (record.mDigest != DigestOf(aSpec)) {
      return Outcome(delivery_status::RequestMismatch, record);
    }
    if (record.mState == batch_state::Making) {
      return Outcome(delivery_status::InProgress, record);
    }
    auto table = MakeTable(aSpec.mPrompts.size(), aSpec.mSamplesPerPrompt);
    if (!LoadParts(aStore, record, table)) {
      continue;
    }
    if (record.mState == batch_state::Fixed) {
      if (HasTooOld(table, aOldestVersion)) {
        return Outcome(delivery_status::TooOld, record);
      }
      record.mState = batch_state::Delivered;
      const auto written =
        aStore.mWrite(kBatchKind, name, record.mRevision, ToJson(record));
      if (written.mState != write_state::Done) {
        continue;
      }
    }
    return { delivery_status::Ready, Assemble(aSpec, record, table), record };
  }
  return Outcome(delivery_status::Unavailable);
}

ask_outcome
Acknowledge(const batch_store& aStore,
            const std::string& aRun,
            std::int64_t aStep)
{
  const auto name = NameOf(aRun, aStep);
  for (int round = 0; round < 2; ++round) {
    const auto read = aStore.mRead(kBatchKind, name);
    if (read.mState == read_state::Failed) {
      return Outcome(delivery_status::Unavailable);
    }
    if (read.mState == read_state::Absent) {
      return Outcome(delivery_status::NotDelivered);
    }
    auto record = ToRecord(read.mObject);
    if (record.mState == batch_state::Acknowledged) {
      RemoveParts(aStore, name, record);
      return Outcome(delivery_status::Acknowledged, record);
    }
    if (record.mState != batch_state::Delivered) {
      return Outcome(delivery_status::NotDelivered, record);
    }
    record.mState = batch_state::Acknowledged;
    const auto written =
      aStore.mWrite(kBatchKind, name, record.mRevision, ToJson(record));
    if (written.mState == write_state::Done) {
      record.mRevision = written.mRevision;
      RemoveParts(aStore, name, record);
      return Outcome(delivery_status::Acknowledged, record);
    }
  }
  return Outcome(delivery_status::Unavailable);
}

} // namespace lavender::samples
