#include "Services/Entry/CallerApi.h"

namespace lavender::entry {
namespace {

using dispatch::ran;
using namespace std::chrono_literals;

constexpr std::int64_t kDefaultTokens = 64;
constexpr std::int64_t kMaximumTokens = 100000;
constexpr std::int64_t kMaximumSamples = 65536;

/** Parses a step number; none when the text isn't a whole number. */
std::optional<std::int64_t>
ToStep(const std::string& aText)
{
  const bool isNumber =
    !aText.empty() && aText.size() < 16 &&
    aText.find_first_not_of("0123456789") == std::string::npos;
  return isNumber ? std::optional(std::stoll(aText)) : std::nullopt;
}

/** Parses the body of a batch request.
 * @return the problem found; empty for a valid body */
std::string
ReadBatchSpec(const json::value& aBody, samples::batch_spec& aSpec)
{
  const auto* prompts = aBody.Find("prompts");
  if (!prompts || !prompts->IsArray() || prompts->Elements().empty()) {
    return "$.prompts must be a list of texts";
  }
  for (const auto& prompt : prompts->Elements()) {
    if (!prompt.IsString()) {
      return "$.prompts must be a list of texts";
    }
    aSpec.mPrompts.push_back(prompt.StringOr(""));
  }
  const auto perPrompt = json::IntegerAt(aBody, "samples_per_prompt", 1);
  if (perPrompt < 1 ||
      perPrompt * static_cast<std::int64_t>(aSpec.mPrompts.size()) >
        kMaximumSamples) {
    return "$.samples_per_prompt is out of range";
  }
  aSpec.mSamplesPerPrompt = static_cast<int>(perPrompt);
  aSpec.mMaximumTokens = json::IntegerAt(aBody, "max_tokens", kDefaultTokens);
  if (aSpec.mMaximumTokens < 1 || aSpec.mMaximumTokens > kMaximumTokens) {
    return "$.max_tokens must be a whole number from 1 to 100000";
  }
  return {};
}

int
StatusFor(samples::delivery_status aState)
{
  switch (aState) {
    case samples::delivery_status::Acknowledged:
      return 410;
    case samples::delivery_status::RequestMismatch:
    case samples::delivery_status::NotDelivered:
      return 409;
    default:
      return 503;
  }
}

http::response
JsonResponse(const json::value& aBody)
{
  http::response response;
  response.mBody = json::Write(aBody);
  return response;
}

} // namespace

http::response
caller_api::RefuseBatch(const samples::batch_response& aOutcome,
                        const std::string& aRequestId)
{
  refusal refused;
  refused.mStatus = StatusFor(aOutcome.mState);
  refused.mReason = aOutcome.mReason;
  // A batch has no single run, and this response delivers nothing of it.
  refused.mRan = ran::NotRun;
  refused.mRetryAfter = aOutcome.mRetryAfter;
  refused.mRequestId = aRequestId;
  if (aOutcome.mRequestedSamples > 0) {
    refused.mMessage = std::to_string(aOutcome.mFinishedSamples) + " of " +
                       std::to_string(aOutcome.mRequestedSamples) +
                       " samples are made";
  }
  return Refuse(std::move(refused));
}

bool
caller_api::OwnsRun(const admitted_request& aAdmitted,
                    const std::string& aRun) const
{
  const auto run = aAdmitted.mSnapshot->mRuns.find(aRun);
  return run != aAdmitted.mSnapshot->mRuns.end() &&
         run->second.mCustomer == aAdmitted.mAuthorization.mCustomer.mName;
}

http::response
caller_api::ServeBatch(const http::request& aRequest,
                       const http::path_parts& aParts,
                       const admitted_request& aAdmitted)
{
  const auto& id = aAdmitted.mRequestId;
  const auto body = json::Parse(aRequest.mBody);
  if (!body) {
    return Refuse({ 400, "bad_json", ran::NotRun, 0ms, id, body.mLastReason });
  }
  if (!OwnsRun(aAdmitted, aParts[0])) {
    return Refuse({ 404, "unknown_run", ran::NotRun, 0ms, id, "" });
  }
  const auto step = ToStep(aParts[1]);
  if (!step) {
    return Refuse({ 404, "unknown_step", ran::NotRun, 0ms, id, "" });
  }
  samples::batch_request batch;
  batch.mSpec.mRun = aParts[0];
  batch.mSpec.mStep = *step;
  if (auto problem = ReadBatchSpec(*body, batch.mSpec); !problem.empty()) {
    return Refuse({ 400, "bad_request", ran::NotRun, 0ms, id, problem });
  }
  const auto call = MakeCall(aRequest, aAdmitted);
  batch.mCustomer = call.mCustomer;
  batch.mKeyId = call.mKeyId;
  batch.mWeight = call.mWeight;
  batch.mStopReason = call.mStopReason;
  const auto outcome = mSamples.RequestBatch(batch);
  return outcome.mState == samples::delivery_status::Ready
           ? JsonResponse(outcome.mBatch)
           : RefuseBatch(outcome, id);
}

http::response
caller_api::AcknowledgeBatch(const http::path_parts& aParts,
                             const admitted_request& aAdmitted)
{
  const auto& id = aAdmitted.mRequestId;
  if (!OwnsRun(aAdmitted, aParts[0])) {
    return Refuse({ 404, "unknown_run", ran::NotRun, 0ms, id, "" });
  }
  const auto step = ToStep(aParts[1]);
  if (!step) {
    return Refuse({ 404, "unknown_step", ran::NotRun, 0ms, id, "" });
  }
  const auto outcome = mSamples.ConfirmDelivery(aParts[0], *step);
  return outcome.mState == samples::delivery_status::Acknowledged
           ? JsonResponse(json::object{})
           : RefuseBatch(outcome, id);
}

} // namespace lavender::entry
