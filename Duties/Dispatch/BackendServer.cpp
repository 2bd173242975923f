#include "Duties/Dispatch/BackendServer.h"

#include "Libraries/Json/Value.h"

namespace lavender::dispatch {
namespace {

using wire::run_state;
using namespace std::chrono_literals;

constexpr milliseconds kControlTimeout = 2000ms;

http::request
ToHttp(const backend_server& aServer, const wire::dispatch_order& aOrder)
{
  http::request request;
  request.mHeaders.emplace_back("X-Request-Id", aOrder.request_id);
  request.mHeaders.emplace_back("Content-Type", "application/json");
  request.mBody = aOrder.payload;
  request.mMethod = "POST";
  request.mPath = "/generate";
  if (aServer.mKind == backend_kind::Service) {
    request.mMethod = aOrder.method;
    request.mPath = aOrder.path;
  }
  return request;
}

/** Reads counts and weight versions from an engine's answer. False when the
 * body isn't a whole document, or when the engine stopped on a cancel: an
 * answer cut short is no answer. */
bool
ReadEngineAnswer(wire::run_result& aResult)
{
  const auto body = json::Parse(aResult.body);
  if (!body || !body->Find("text") ||
      json::BooleanAt(*body, "cancelled", false)) {
    return false;
  }
  aResult.prompt_tokens = json::IntegerAt(*body, "prompt_tokens", 0);
  aResult.completion_tokens = json::IntegerAt(*body, "completion_tokens", 0);
  if (const auto* versions = body->Find("versions")) {
    for (const auto& part : versions->Elements()) {
      wire::weight_part weights;
      weights.version = json::IntegerAt(part, "version", 0);
      weights.tokens = json::IntegerAt(part, "tokens", 0);
      aResult.versions.push_back(weights);
    }
  }
  return true;
}

} // namespace

backend_run
RunOnServer(const backend_server& aServer,
            const wire::dispatch_order& aOrder,
            milliseconds aTimeout)
{
  backend_run run;
  const auto outcome =
    http::Call(aServer.mEndpoint, ToHttp(aServer, aOrder), aTimeout);
  if (outcome.mState == http::call_state::NotSent) {
    run.mState = run_state::NOT_RUN;
    run.mReason = "server_unreachable";
    return run;
  }
  if (outcome.mState == http::call_state::Unknown) {
    run.mReason = "server_silent";
    return run;
  }
  run.mResult.http_status = outcome.mResponse.mStatus;
  run.mResult.content_type = outcome.mResponse.mContentType;
  run.mResult.body = outcome.mResponse.mBody;
  if (aServer.mKind == backend_kind::Engine && run.mResult.http_status == 200 &&
      !ReadEngineAnswer(run.mResult)) {
    run.mReason = "answer_cut_short";
    return run;
  }
  run.mState = run_state::FINISHED;
  return run;
}

void
CancelOnServer(const backend_server& aServer, const std::string& aRequestId)
{
  json::value body;
  body.Set("request", aRequestId);
  http::Call(aServer.mEndpoint,
             { "POST", "/cancel", "", {}, json::Write(body) },
             kControlTimeout);
}

server_load
ReadLoad(const backend_server& aServer)
{
  server_load load;
  const auto outcome = http::Call(
    aServer.mEndpoint, { "GET", "/load", "", {}, "" }, kControlTimeout);
  if (outcome.mState != http::call_state::Answered ||
      outcome.mResponse.mStatus != 200) {
    return load;
  }
  if (const auto body = json::Parse(outcome.mResponse.mBody)) {
    load.mIsReachable = true;
    auto& figures = load.mFigures;
    figures.running =
      static_cast<std::int32_t>(json::IntegerAt(*body, "running", 0));
    figures.slots =
      static_cast<std::int32_t>(json::IntegerAt(*body, "slots", 1));
    figures.tokens_per_second = json::NumberAt(*body, "tokens_per_second", 0);
    if (const auto* prefixes = body->Find("cached_prefixes")) {
      for (const auto& prefix : prefixes->Elements()) {
        figures.cached_prefixes.push_back(prefix.IntegerOr(0));
      }
    }
  }
  return load;
}

loaded_weights
ReadLoadedWeights(const backend_server& aServer)
{
  loaded_weights held;
  const auto outcome = http::Call(
    aServer.mEndpoint, { "GET", "/weights", "", {}, "" }, kControlTimeout);
  if (outcome.mState == http::call_state::Answered &&
      outcome.mResponse.mStatus == 200) {
    if (const auto body = json::Parse(outcome.mResponse.mBody)) {
      held.mModel = json::StringAt(*body, "model", "");
      held.mVersion = json::IntegerAt(*body, "version", 0);
    }
  }
  return held;
}

std::string
RequestWeightLoad(const backend_server& aServer,
                  const std::string& aModel,
                  std::int64_t aVersion,
                  std::int64_t aFencing)
{
  json::value body;
  body.Set("model", aModel);
  body.Set("version", aVersion);
  body.Set("fencing", aFencing);
  const auto outcome =
    http::Call(aServer.mEndpoint,
               { "POST", "/weights", "", {}, json::Write(body) },
               kControlTimeout);
  if (outcome.mState != http::call_state::Answered) {
    return "no_answer";
  }
  return outcome.mResponse.mStatus == 200 ? "" : "refused";
}

} // namespace lavender::dispatch
