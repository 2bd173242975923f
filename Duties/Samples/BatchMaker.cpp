#include "Duties/Samples/BatchMaker.h"

#include "Libraries/Core/Identity.h"

#include <atomic>
#include <optional>
#include <thread>

namespace lavender::samples {
namespace {

constexpr const char* kBatchKind = "Batch";
constexpr std::size_t kSideBySide = 16;

std::string
BatchName(const std::string& aRun, std::int64_t aStep)
{
  return aRun + "." + std::to_string(aStep);
}

std::optional<sample>
MakeSample(const batch_request& aRequest,
           const configuration::training_run& aRun,
           dispatch::entry_dispatch& aDispatch,
           int aGroup,
           int aIndex)
{
  sample made;
  made.mGroup = aGroup;
  made.mIndex = aIndex;
  made.mId = BatchName(aRequest.mRun, aRequest.mStep) + "." +
             std::to_string(aGroup) + "." + std::to_string(aIndex);
  json::value payload;
  payload.Set("prompt", aRequest.mPrompts[static_cast<std::size_t>(aGroup)]);
  payload.Set("max_tokens", aRequest.mMaximumTokens);
  payload.Set("request", made.mId);
  dispatch::call call;
  call.mRequestId = made.mId + "." + MakeRandomName();
  call.mCustomer = aRequest.mCustomer;
  call.mKeyId = aRequest.mKeyId;
  call.mWeight = aRequest.mWeight;
  call.mPool = aRun.mPool;
  call.mOperation = "sample";
  call.mPayload = json::Write(payload);
  call.mCostTokens = aRequest.mMaximumTokens;
  call.mDeadline = aRequest.mDeadline;
  const auto outcome = aDispatch.Run(call);
  if (outcome.mRan != dispatch::ran::Ran ||
      outcome.mResult.http_status != 200 || outcome.mResult.versions.empty()) {
    return std::nullopt;
  }
  for (const auto& part : outcome.mResult.versions) {
    if (part.version < aRun.mAcceptedVersion - aRun.mStalenessBound) {
      return std::nullopt;
    }
  }
  const auto body = json::Parse(outcome.mResult.body);
  made.mText = body ? json::StringAt(*body, "text", "") : "";
  made.mVersions = outcome.mResult.versions;
  return made;
}

json::value
Describe(const sample& aSample)
{
  json::value shown;
  shown.Set("id", aSample.mId);
  shown.Set("group", aSample.mGroup);
  shown.Set("index", aSample.mIndex);
  shown.Set("text", aSample.mText);
  json::array versions;
  for (const auto& part : aSample.mVersions) {
    json::value version;
    version.Set("version", part.version);
    version.Set("tokens", part.tokens);
    versions.push_back(std::move(version));
  }
  shown.Set("versions", std::move(versions));
  return shown;
}

std::vector<std::optional<sample>>
MakeAllSamples(const batch_request& aRequest,
               const configuration::training_run& aRun,
               dispatch::entry_dispatch& aDispatch)
{
  const std::size_t count =
    aRequest.mPrompts.size() *
    static_cast<std::size_t>(aRequest.mSamplesPerPrompt);
  std::vector<std::optional<sample>> made(count);
  std::atomic<std::size_t> next{ 0 };
  std::vector<std::thread> workers;
  for (std::size_t i = 0; i < std::min(count, kSideBySide); ++i) {
    workers.emplace_back([&] {
      for (std::size_t k = next++; k < count; k = next++) {
        const int perPrompt = aRequest.mSamplesPerPrompt;
        made[k] = MakeSample(aRequest,
                             aRun,
                             aDispatch,
                             static_cast<int>(k) / perPrompt,
                             static_cast<int>(k) % perPrompt);
      }
    });
  }
  for (auto& worker : workers) {
    worker.join();
  }
  return made;
}

batch_outcome
Give(const platform::stored_object& aObject)
{
  return { true, aObject.mValue, "" };
}

} // namespace

batch_outcome
MakeBatch(const batch_request& aRequest,
          const configuration::training_run& aRun,
          dispatch::entry_dispatch& aDispatch,
          const platform::client& aPlatform)
{
  const std::string name = BatchName(aRequest.mRun, aRequest.mStep);
  if (const auto fixed = platform::Read(aPlatform, kBatchKind, name);
      fixed.mState == platform::read_state::Found) {
    return Give(fixed.mObject);
  }
  json::array samples;
  for (const auto& made : MakeAllSamples(aRequest, aRun, aDispatch)) {
    if (!made) {
      return { false, {}, "samples_missing" };
    }
    samples.push_back(Describe(*made));
  }
  json::value batch;
  batch.Set("run", aRequest.mRun);
  batch.Set("step", aRequest.mStep);
  batch.Set("nonce", MakeRandomName());
  batch.Set("acknowledged", false);
  batch.Set("samples", std::move(samples));
  const auto written = platform::Write(aPlatform, kBatchKind, name, 0, batch);
  if (written.mState == platform::write_state::Done) {
    return { true, std::move(batch), "" };
  }
  // Another entry was first, or the answer was lost: what stands there is
  // the batch.
  const auto fixed = platform::Read(aPlatform, kBatchKind, name);
  if (fixed.mState == platform::read_state::Found) {
    return Give(fixed.mObject);
  }
  return { false, {}, "platform_unavailable" };
}

batch_outcome
AcknowledgeBatch(const std::string& aRun,
                 std::int64_t aStep,
                 const platform::client& aPlatform)
{
  const std::string name = BatchName(aRun, aStep);
  auto fixed = platform::Read(aPlatform, kBatchKind, name);
  if (fixed.mState != platform::read_state::Found) {
    return { false, {}, "unknown_batch" };
  }
  fixed.mObject.mValue.Set("acknowledged", true);
  const auto written = platform::Write(
    aPlatform, kBatchKind, name, fixed.mObject.mRevision, fixed.mObject.mValue);
  if (written.mState == platform::write_state::Done) {
    return { true, {}, "" };
  }
  return { false, {}, "platform_unavailable" };
}

} // namespace lavender::samples
