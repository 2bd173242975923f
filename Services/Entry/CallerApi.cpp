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
/** Time after which another entry, or this one once its configuration is
 * current, can serve the request. */
constexpr milliseconds kStaleRetryAfter = 2000ms;
constexpr milliseconds kMaximumDeadline = 3600000ms;
/** Reason of refusals by an entry that is told to stop; another one can serve
 * the request at once. */
constexpr char kStopping[] = "entry_stopping";
constexpr milliseconds kStoppingRetryAfter = 100ms;

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
  http::response response;
  response.mBody = json::Write(aBody);
  return response;
}

/** Validates the body of a completion request.
 * @return the problem found; empty for a valid body */
std::string
ValidateCompletion(const json::value& aBody)
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

/** Number of outcomes between two removals of idle customers' back pressure. */
constexpr std::uint64_t kOutcomesPerIdleRemoval = 4096;

/** True when an agent refused because its server has no capacity left. */
bool
IsCapacityRefusal(const std::string& aReason)
{
  return aReason == "queue_full" || aReason == "displaced" ||
         aReason == "deadline_unreachable";
}

json::value
VersionsToJson(const std::vector<wire::weight_part>& aVersions)
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
CompletionToJson(const call_outcome& aOutcome,
                 const std::string& aRequestId,
                 const std::string& aModel)
{
  const auto& result = aOutcome.mResult;
  const auto content = json::Parse(result.body);
  json::value choice;
  choice.Set("index", 0);
  choice.Set("text", content ? json::StringAt(*content, "text", "") : "");
  choice.Set("finish_reason", "stop");
  json::value usage;
  usage.Set("prompt_tokens", result.prompt_tokens);
  usage.Set("completion_tokens", result.completion_tokens);
  usage.Set("total_tokens", result.prompt_tokens + result.completion_tokens);
  json::value extension;
  extension.Set("server", aOutcome.mServerName);
  extension.Set("versions", VersionsToJson(result.versions));
  extension.Set("prompt_digest",
                content ? json::IntegerAt(*content, "prompt_digest", 0) : 0);
  json::value body;
  body.Set("id", aRequestId);
  body.Set("object", "text_completion");
  body.Set("model", aModel);
  body.Set("choices", json::array{ std::move(choice) });
  body.Set("usage", std::move(usage));
  body.Set("lavender", std::move(extension));
  return body;
}

/** Message for reasons that need an explanation; empty for all others. */
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
  , mIdempotentCalls({ mOptions.mPlatform, mOptions.mCallRecordRetention, 20 },
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
      return ServeBatch(aRequest, aParts, aAdmitted);
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
  auto response = http::Serve(mRouter, aRequest);
  mStopGate.CountResponse(response.mStatus);
  return response;
}

http::response
caller_api::Refuse(refusal aRefusal)
{
  mMetrics.Count("lavender_refusals_total", { { "reason", aRefusal.mReason } });
  Log(log_level::Info,
      "callers",
      "Request refused reason=" + aRefusal.mReason,
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
    // Another entry or agent knows, or may know, of key withdrawals that this
    // entry has not read yet.
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
  if (mInFlight.fetch_add(1) >= mOptions.mMaximumRequests) {
    --mInFlight;
    return Refuse({ 503, "entry_busy", ran::NotRun, kBusyRetryAfter, id, "" });
  }
  scope_guard releaseSlot([this] { --mInFlight; });
  const auto& customer = authorization->mCustomer;
  admission::admission_decision decision;
  {
    const double share = admission::EntryShare(
      mDispatch.DemandOf(customer.mName), mDirectory.Entries().size());
    std::lock_guard lock(mLimitMutex);
    decision = admission::AdmitRequest(mLimits, customer, share, start);
  }
  if (!decision.mIsAdmitted) {
    return Refuse(
      { 429, decision.mReason, ran::NotRun, decision.mRetryAfter, id, "" });
  }
  scope_guard releaseLimits([&] {
    std::lock_guard lock(mLimitMutex);
    admission::ReleaseRequest(mLimits, customer.mName);
  });
  const auto timeout =
    ToNumber(http::HeaderOr(aRequest.mHeaders,
                            "X-Deadline-Ms",
                            std::to_string(mOptions.mDefaultDeadline.count())),
             -1);
  if (timeout < 0 || timeout > kMaximumDeadline.count()) {
    return Refuse({ 400,
                    "bad_deadline",
                    ran::NotRun,
                    0ms,
                    id,
                    "X-Deadline-Ms must be a whole number up to 3600000" });
  }
  admitted.mDeadline = start + milliseconds(timeout);
  auto response = aHandler(aRequest, aParts, admitted);
  mMetrics.Observe("lavender_request_seconds",
                   { { "customer", customer.mName } },
                   boot_clock::now() - start);
  response.mHeaders.emplace_back("X-Request-Id", id);
  return response;
}

call
caller_api::MakeCall(const http::request& aRequest,
                     const admitted_request& aAdmitted) const
{
  call newCall;
  newCall.mFingerprint =
    HashKey(aRequest.mMethod + "\n" + aRequest.mPath + "\n" + aRequest.mQuery +
            "\n" + aRequest.mBody);
  newCall.mRequestId = aAdmitted.mRequestId;
  newCall.mCustomer = aAdmitted.mAuthorization.mCustomer.mName;
  newCall.mKeyId = aAdmitted.mAuthorization.mKeyId;
  newCall.mWeight = aAdmitted.mAuthorization.mCustomer.mWeight;
  newCall.mDeadline = aAdmitted.mDeadline;
  newCall.mStopReason = [this, hash = aAdmitted.mAuthorization.mKeyHash] {
    return keys::FindKeyRejection(*mConfiguration.Current(), hash);
  };
  newCall.mQueuedStopReason = [this] {
    return keys::IsFreshEnough(mOptions.mKeyGate->Check())
             ? std::string()
             : std::string("configuration_stale");
  };
  return newCall;
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
  if (auto problem = ValidateCompletion(*body); !problem.empty()) {
    return Refuse({ 400, "bad_request", ran::NotRun, 0ms, id, problem });
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
  EndWithStop(call);
  const auto outcome = RunCall(aRequest, call);
  if (outcome.mRan != ran::Ran) {
    return RefuseOutcome(outcome, id);
  }
  CountUsage(call, outcome);
  if (outcome.mResult.http_status != 200) {
    return Refuse({ 502, "engine_error", ran::Ran, kBusyRetryAfter, id, "" });
  }
  return JsonResponse(CompletionToJson(outcome, id, model));
}

call_outcome
caller_api::RunUnlessOverloaded(const call& aCall)
{
  std::optional<milliseconds> refused;
  {
    std::lock_guard lock(mBackPressureMutex);
    std::uniform_real_distribution<double> draw(0, 1);
    refused = admission::CheckBackPressure(mBackPressure,
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
  const bool hasCapacity =
    outcome.mRan != ran::NotRun || !IsCapacityRefusal(outcome.mReason);
  std::lock_guard lock(mBackPressureMutex);
  const auto now = boot_clock::now();
  admission::RecordOutcome(mBackPressure,
                           aCall.mPool,
                           aCall.mCustomer,
                           hasCapacity ? std::nullopt
                                       : std::optional(outcome.mRetryAfter),
                           {},
                           now);
  if (++mOutcomeCount % kOutcomesPerIdleRemoval == 0) {
    admission::RemoveIdle(mBackPressure, now);
  }
  return outcome;
}

void
caller_api::EndWithStop(call& aCall) const
{
  aCall.mStopReason = [this, reason = std::move(aCall.mStopReason)] {
    return mStopGate.IsOver(boot_clock::now()) ? std::string(kStopping)
                                               : reason();
  };
}

call_outcome
caller_api::RunCall(const http::request& aRequest, const call& aCall)
{
  const auto start = boot_clock::now();
  if (!mStopGate.BeginCall(aCall.mPool, start, aCall.mDeadline)) {
    call_outcome outcome;
    outcome.mReason = kStopping;
    outcome.mRetryAfter = kStoppingRetryAfter;
    return outcome;
  }
  auto end = forwarding::request_end::BrokenOff;
  scope_guard guard(
    [&] { mStopGate.EndCall(aCall.mPool, start, boot_clock::now(), end); });
  auto outcome = RunOnce(aRequest, aCall);
  if (outcome.mRan == ran::Ran) {
    end = forwarding::request_end::ByServer;
  }
  return outcome;
}

call_outcome
caller_api::RunOnce(const http::request& aRequest, const call& aCall)
{
  const auto key = http::HeaderOr(aRequest.mHeaders, "Idempotency-Key", "");
  if (key.empty()) {
    return RunUnlessOverloaded(aCall);
  }
  const std::string name = HashKey(aCall.mCustomer + "\n" + key);
  return mRecentCalls.Run(name, aCall.mFingerprint, aCall.mDeadline, [&] {
    return aCall.mIsRepeatable ? RunUnlessOverloaded(aCall)
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
  EndWithStop(call);
  const auto outcome = RunCall(aRequest, call);
  if (outcome.mRan != ran::Ran) {
    return RefuseOutcome(outcome, id);
  }
  CountUsage(call, outcome);
  http::response response;
  response.mStatus = outcome.mResult.http_status;
  response.mContentType = outcome.mResult.content_type;
  response.mBody = outcome.mResult.body;
  response.mHeaders.emplace_back("X-Lavender-Server", outcome.mServerName);
  return response;
}

} // namespace lavender::entry
