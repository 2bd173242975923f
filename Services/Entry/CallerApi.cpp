#include "Services/Entry/CallerApi.h"

#include "Libraries/Core/Identity.h"
#include "Libraries/Core/Log.h"
#include "Libraries/Core/ScopeGuard.h"

#include <algorithm>

namespace lavender::entry {
namespace {

using dispatch::call;
using dispatch::call_outcome;
using dispatch::ran;
using namespace std::chrono_literals;

constexpr std::int64_t kDefaultTokens = 64;
constexpr std::int64_t kMaximumTokens = 100000;
constexpr milliseconds kBusyRetryAfter = 1000ms;
/** Another entry, or this one after catching up, can serve by then. */
constexpr milliseconds kStaleRetryAfter = 2000ms;
constexpr milliseconds kLongestDeadline = 3600000ms;

std::int64_t
ToNumber(const std::string& aText, std::int64_t aFallback)
{
  const bool isNumber =
    !aText.empty() && aText.size() < 16 &&
    aText.find_first_not_of("0123456789") == std::string::npos;
  return isNumber ? std::stoll(aText) : aFallback;
}

http::response
JsonResponse(const json::value& aBody)
{
  http::response answer;
  answer.mBody = json::Write(aBody);
  return answer;
}

/** What is wrong with a completion's body; empty when nothing is. */
std::string
FindCompletionFault(const json::value& aBody)
{
  if (!aBody.IsObject()) {
    return "$ must be an object";
  }
  const auto* prompt = aBody.Find("prompt");
  if (!prompt || !prompt->IsString()) {
    return "$.prompt must be text";
  }
  const auto* model = aBody.Find("model");
  if (!model || !model->IsString()) {
    return "$.model must be text";
  }
  if (const auto* tokens = aBody.Find("max_tokens")) {
    const auto number = tokens->IntegerOr(0);
    if (number < 1 || number > kMaximumTokens) {
      return "$.max_tokens must be a whole number from 1 to 100000";
    }
  }
  return {};
}

/** Outcomes after which customers without requests are forgotten. */
constexpr std::uint64_t kForgetEvery = 4096;

/** True for an agent's refusal that says its server can't take more now. */
bool
IsForWantOfRoom(const std::string& aReason)
{
  return aReason == "queue_full" || aReason == "displaced" ||
         aReason == "deadline_unreachable";
}

json::value
DescribeVersions(const std::vector<wire::weight_part>& aVersions)
{
  json::array versions;
  for (const auto& part : aVersions) {
    json::value version;
    version.Set("version", part.version);
    version.Set("tokens", part.tokens);
    versions.push_back(std::move(version));
  }
  return versions;
}

json::value
DescribeCompletion(const call_outcome& aOutcome,
                   const std::string& aRequestId,
                   const std::string& aModel)
{
  const auto& result = aOutcome.mResult;
  const auto answer = json::Parse(result.body);
  json::value choice;
  choice.Set("index", 0);
  choice.Set("text", answer ? json::StringAt(*answer, "text", "") : "");
  choice.Set("finish_reason", "stop");
  json::value usage;
  usage.Set("prompt_tokens", result.prompt_tokens);
  usage.Set("completion_tokens", result.completion_tokens);
  usage.Set("total_tokens", result.prompt_tokens + result.completion_tokens);
  json::value own;
  own.Set("server", aOutcome.mServerName);
  own.Set("versions", DescribeVersions(result.versions));
  own.Set("prompt_digest",
          answer ? json::IntegerAt(*answer, "prompt_digest", 0) : 0);
  json::value body;
  body.Set("id", aRequestId);
  body.Set("object", "text_completion");
  body.Set("model", aModel);
  body.Set("choices", json::array{ std::move(choice) });
  body.Set("usage", std::move(usage));
  body.Set("lavender", std::move(own));
  return body;
}

/** Sentence for people about a reason that may be misread; else empty. */
std::string
ExplainOutcome(const call_outcome& aOutcome)
{
  if (aOutcome.mReason == "platform_unavailable") {
    return "Whether a call with this Idempotency-Key has run can't be told "
           "now; "
           "ask again with the same key.";
  }
  if (aOutcome.mReason == "idempotency_key_reused") {
    return "The Idempotency-Key was first used with another request.";
  }
  return {};
}

} // namespace

caller_api::caller_api(caller_api_options aOptions,
                       configuration::configuration_store& aConfiguration,
                       membership::server_directory& aDirectory,
                       dispatch::entry_dispatch& aDispatch,
                       samples::sample_duty& aSamples,
                       usage::usage_account& aUsage,
                       metrics::registry& aMetrics)
  : mOptions(std::move(aOptions))
  , mConfiguration(aConfiguration)
  , mDirectory(aDirectory)
  , mDispatch(aDispatch)
  , mSamples(aSamples)
  , mUsage(aUsage)
  , mMetrics(aMetrics)
  , mIdempotentCalls({ mOptions.mPlatform, mOptions.mCallRecordKeep, 20 },
                     aDispatch,
                     aMetrics)
{
  AddRoute("POST",
           "/v1/completions",
           [this](const auto& aRequest, const auto&, const auto& aAdmitted) {
             return Complete(aRequest, aAdmitted);
           });
  for (const char* method : { "GET", "POST", "PUT", "DELETE" }) {
    AddRoute(
      method,
      "/v1/services/*/**",
      [this](const auto& aRequest, const auto& aParts, const auto& aAdmitted) {
        return CallService(aRequest, aParts, aAdmitted);
      });
  }
  AddRoute(
    "POST",
    "/v1/training-runs/*/steps/*/batch",
    [this](const auto& aRequest, const auto& aParts, const auto& aAdmitted) {
      return GiveBatch(aRequest, aParts, aAdmitted);
    });
  AddRoute("POST",
           "/v1/training-runs/*/steps/*/acknowledgement",
           [this](const auto&, const auto& aParts, const auto& aAdmitted) {
             return AcknowledgeBatch(aParts, aAdmitted);
           });
}

void
caller_api::AddRoute(const char* aMethod,
                     const char* aPattern,
                     admitted_handler aHandler)
{
  mRouter.Add(aMethod,
              aPattern,
              [this, handler = std::move(aHandler)](
                const http::request& aRequest, const http::path_parts& aParts) {
                return Admit(aRequest, aParts, handler);
              });
}

http::response
caller_api::Serve(const http::request& aRequest)
{
  return http::Serve(mRouter, aRequest);
}

http::response
caller_api::Refuse(refusal aRefusal)
{
  mMetrics.Count("lavender_refusals_total", { { "reason", aRefusal.mReason } });
  Log(log_level::Info,
      "callers",
      "Refused reason=" + aRefusal.mReason,
      aRefusal.mRequestId);
  return ToResponse(aRefusal);
}

http::response
caller_api::RefuseOutcome(const call_outcome& aOutcome,
                          const std::string& aRequestId)
{
  return Refuse({ StatusFor(aOutcome),
                  aOutcome.mReason,
                  aOutcome.mRan,
                  aOutcome.mRetryAfter,
                  aRequestId,
                  ExplainOutcome(aOutcome) });
}

http::response
caller_api::Admit(const http::request& aRequest,
                  const http::path_parts& aParts,
                  const admitted_handler& aHandler)
{
  const auto start = boot_clock::now();
  admitted_request admitted;
  admitted.mRequestId =
    mOptions.mEntryIncarnation + "-" + std::to_string(mNextRequest++);
  const auto& id = admitted.mRequestId;
  if (!keys::IsFreshEnough(mOptions.mKeyGate->Check())) {
    // Somebody knows, or may know, of withdrawals that this entry doesn't.
    return Refuse(
      { 503, "configuration_stale", ran::NotRun, kStaleRetryAfter, id, "" });
  }
  admitted.mSnapshot = mConfiguration.Current();
  auto authorization =
    keys::Authorize(*admitted.mSnapshot,
                    http::HeaderOr(aRequest.mHeaders, "Authorization", ""));
  if (!authorization) {
    return Refuse({ 401, authorization.mLastReason, ran::NotRun, 0ms, id, "" });
  }
  admitted.mAuthorization = *authorization;
  if (mUnderWay.fetch_add(1) >= mOptions.mMaximumRequests) {
    --mUnderWay;
    return Refuse({ 503, "entry_busy", ran::NotRun, kBusyRetryAfter, id, "" });
  }
  scope_guard leave([this] { --mUnderWay; });
  const auto& customer = authorization->mCustomer;
  admission::admission_decision entered;
  {
    const double share = admission::EntryShare(
      mDispatch.DemandOf(customer.mName), mDirectory.Entries().size());
    std::lock_guard lock(mLimitMutex);
    entered = admission::AdmitRequest(mLimits, customer, share, start);
  }
  if (!entered.mIsAdmitted) {
    return Refuse(
      { 429, entered.mReason, ran::NotRun, entered.mRetryAfter, id, "" });
  }
  scope_guard leaveLimits([&] {
    std::lock_guard lock(mLimitMutex);
    admission::ReleaseRequest(mLimits, customer.mName);
  });
  const auto patience =
    ToNumber(http::HeaderOr(aRequest.mHeaders,
                            "X-Deadline-Ms",
                            std::to_string(mOptions.mDefaultDeadline.count())),
             -1);
  if (patience < 0 || patience > kLongestDeadline.count()) {
    return Refuse({ 400,
                    "bad_deadline",
                    ran::NotRun,
                    0ms,
                    id,
                    "X-Deadline-Ms must be a whole number up to 3600000" });
  }
  admitted.mDeadline = start + milliseconds(patience);
  auto answer = aHandler(aRequest, aParts, admitted);
  mMetrics.Observe("lavender_request_seconds",
                   { { "customer", customer.mName } },
                   boot_clock::now() - start);
  answer.mHeaders.emplace_back("X-Request-Id", id);
  return answer;
}

call
caller_api::MakeCall(const http::request& aRequest,
                     const admitted_request& aAdmitted) const
{
  call made;
  made.mFingerprint = HashKey(aRequest.mMethod + "\n" + aRequest.mPath + "\n" +
                              aRequest.mQuery + "\n" + aRequest.mBody);
  made.mRequestId = aAdmitted.mRequestId;
  made.mCustomer = aAdmitted.mAuthorization.mCustomer.mName;
  made.mKeyId = aAdmitted.mAuthorization.mKeyId;
  made.mWeight = aAdmitted.mAuthorization.mCustomer.mWeight;
  made.mDeadline = aAdmitted.mDeadline;
  made.mStopReason = [this, hash = aAdmitted.mAuthorization.mKeyHash] {
    return keys::FindKeyRejection(*mConfiguration.Current(), hash);
  };
  made.mQueuedStopReason = [this] {
    return keys::IsFreshEnough(mOptions.mKeyGate->Check())
             ? std::string()
             : std::string("configuration_stale");
  };
  return made;
}

void
caller_api::CountUsage(const call& aCall, const call_outcome& aOutcome)
{
  const bool isOwn = aOutcome.mSource == dispatch::answer_source::OwnRun;
  if (aOutcome.mRan == ran::Ran && isOwn) {
    mUsage.Count(aOutcome.mServerIncarnation,
                 mOptions.mEntryIncarnation,
                 aCall.mCustomer,
                 aOutcome.mResult.usage_window,
                 aOutcome.mResult.prompt_tokens,
                 aOutcome.mResult.completion_tokens);
  }
}

http::response
caller_api::Complete(const http::request& aRequest,
                     const admitted_request& aAdmitted)
{
  const auto& id = aAdmitted.mRequestId;
  const auto body = json::Parse(aRequest.mBody);
  if (!body) {
    return Refuse({ 400, "bad_json", ran::NotRun, 0ms, id, body.mLastReason });
  }
  if (auto fault = FindCompletionFault(*body); !fault.empty()) {
    return Refuse({ 400, "bad_request", ran::NotRun, 0ms, id, fault });
  }
  const std::string model = json::StringAt(*body, "model", "");
  const auto* pool =
    configuration::FindPoolForModel(*aAdmitted.mSnapshot, model);
  if (!pool) {
    return Refuse({ 404, "unknown_model", ran::NotRun, 0ms, id, "" });
  }
  const auto tokens = json::IntegerAt(*body, "max_tokens", kDefaultTokens);
  const std::string prompt = json::StringAt(*body, "prompt", "");
  auto call = MakeCall(aRequest, aAdmitted);
  call.mPool = pool->mName;
  call.mOperation = "generate";
  call.mCostTokens = tokens + static_cast<std::int64_t>(prompt.size()) / 4;
  call.mPrefix = routing::PrefixDigest(prompt);
  json::value payload;
  payload.Set("prompt", prompt);
  payload.Set("max_tokens", tokens);
  payload.Set("request", id);
  call.mPayload = json::Write(payload);
  const auto outcome = RunCall(aRequest, call);
  if (outcome.mRan != ran::Ran) {
    return RefuseOutcome(outcome, id);
  }
  CountUsage(call, outcome);
  if (outcome.mResult.http_status != 200) {
    return Refuse({ 502, "engine_error", ran::Ran, kBusyRetryAfter, id, "" });
  }
  return JsonResponse(DescribeCompletion(outcome, id, model));
}

call_outcome
caller_api::RunUnlessPressed(const call& aCall)
{
  std::optional<milliseconds> refused;
  {
    std::lock_guard lock(mPressureMutex);
    std::uniform_real_distribution<double> draw(0, 1);
    refused = admission::CheckBackPressure(mPressures,
                                           aCall.mPool,
                                           aCall.mCustomer,
                                           {},
                                           draw(mRandom),
                                           boot_clock::now());
  }
  if (refused) {
    call_outcome outcome;
    outcome.mReason = "overloaded";
    outcome.mRetryAfter = *refused;
    return outcome;
  }
  auto outcome = mDispatch.Run(aCall);
  const bool hasRoom =
    outcome.mRan != ran::NotRun || !IsForWantOfRoom(outcome.mReason);
  std::lock_guard lock(mPressureMutex);
  const auto now = boot_clock::now();
  admission::RecordOutcome(mPressures,
                           aCall.mPool,
                           aCall.mCustomer,
                           hasRoom ? std::nullopt
                                   : std::optional(outcome.mRetryAfter),
                           {},
                           now);
  if (++mOutcomes % kForgetEvery == 0) {
    admission::RemoveIdle(mPressures, now);
  }
  return outcome;
}

call_outcome
caller_api::RunCall(const http::request& aRequest, const call& aCall)
{
  const auto key = http::HeaderOr(aRequest.mHeaders, "Idempotency-Key", "");
  if (key.empty()) {
    return RunUnlessPressed(aCall);
  }
  const std::string name = HashKey(aCall.mCustomer + "\n" + key);
  return mRecentCalls.Run(name, aCall.mFingerprint, aCall.mDeadline, [&] {
    return aCall.mIsRepeatable ? RunUnlessPressed(aCall)
                               : mIdempotentCalls.Run(name, aCall);
  });
}

http::response
caller_api::CallService(const http::request& aRequest,
                        const http::path_parts& aParts,
                        const admitted_request& aAdmitted)
{
  const auto& id = aAdmitted.mRequestId;
  const auto* pool =
    configuration::FindPoolForService(*aAdmitted.mSnapshot, aParts[0]);
  if (!pool) {
    return Refuse({ 404, "unknown_service", ran::NotRun, 0ms, id, "" });
  }
  auto call = MakeCall(aRequest, aAdmitted);
  call.mPool = pool->mName;
  call.mOperation = "service";
  call.mMethod = aRequest.mMethod;
  call.mPath = aParts[1].empty() ? "/" : aParts[1];
  if (!aRequest.mQuery.empty()) {
    call.mPath += "?" + aRequest.mQuery;
  }
  call.mPayload = aRequest.mBody;
  call.mIsRepeatable = pool->mIsRepeatable;
  const auto outcome = RunCall(aRequest, call);
  if (outcome.mRan != ran::Ran) {
    return RefuseOutcome(outcome, id);
  }
  CountUsage(call, outcome);
  http::response answer;
  answer.mStatus = outcome.mResult.http_status;
  answer.mContentType = outcome.mResult.content_type;
  answer.mBody = outcome.mResult.body;
  answer.mHeaders.emplace_back("X-Lavender-Server", outcome.mServerName);
  return answer;
}

} // namespace lavender::entry
