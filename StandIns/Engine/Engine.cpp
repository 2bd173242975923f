#include "StandIns/Engine/Engine.h"

#include "Libraries/Core/Identity.h"
#include "StandIns/Common/Program.h"

#include <algorithm>
#include <sstream>
#include <thread>

namespace lavender::standin {
namespace {

constexpr int kSlots = 16;
constexpr std::size_t kMaximumPrefixes = 64;
constexpr std::size_t kPrefixLength = 64;
constexpr std::size_t kMaximumReceived = 64u << 20;

http::response
Failure(int aStatus, const std::string& aReason)
{
  json::value body;
  body.Set("reason", aReason);
  return JsonResponse(aStatus, body);
}

/** Returns the first words of the prompt, at most aMaximum. */
std::vector<std::string>
FirstWords(const std::string& aPrompt, std::size_t aMaximum)
{
  std::istringstream input(aPrompt);
  std::vector<std::string> words;
  std::string word;
  while (words.size() < aMaximum && input >> word) {
    words.push_back(word);
  }
  return words;
}

/** Counts a token in the last part, or in a new part if the version differs. */
void
AddToken(json::array& aParts, std::int64_t aVersion)
{
  if (aParts.empty() ||
      json::IntegerAt(aParts.back(), "version", 0) != aVersion) {
    json::value part;
    part.Set("version", aVersion);
    part.Set("tokens", 0);
    aParts.push_back(std::move(part));
  }
  auto& last = aParts.back();
  last.Set("tokens", json::IntegerAt(last, "tokens", 0) + 1);
}

version_report
ParseVersionReport(const std::string& aName)
{
  if (aName == "none") {
    return version_report::None;
  }
  return aName == "ordered" ? version_report::Ordered
                            : version_report::Truthful;
}

std::int64_t
CountWords(const std::string& aText)
{
  std::istringstream input(aText);
  std::int64_t count = 0;
  std::string word;
  while (input >> word) {
    ++count;
  }
  return count;
}

} // namespace

std::int64_t
DigestOf(const std::string& aText)
{
  return static_cast<std::int64_t>(
    std::stoull(HashKey(aText).substr(0, 15), nullptr, 16));
}

engine::engine()
{
  AddServingRoutes();
  AddControlRoutes();
}

http::response
engine::Serve(const http::request& aRequest)
{
  {
    std::lock_guard lock(mMutex);
    if (mReceived.size() < kMaximumReceived) {
      mReceived += aRequest.mPath + aRequest.mQuery + aRequest.mBody;
      for (const auto& [name, content] : aRequest.mHeaders) {
        mReceived += name + content;
      }
    }
  }
  return http::Serve(mRouter, aRequest);
}

std::int64_t
engine::ReportedVersion(version_report aReport) const
{
  return aReport == version_report::Ordered ? mOrderedVersion : mVersion;
}

/** Simulates a crash and restart: responses in flight are truncated, and the
 * base version is loaded. */
http::response
engine::Crash()
{
  std::lock_guard lock(mMutex);
  ++mIncarnation;
  mModel = "base";
  mVersion = 1;
  mOrderedVersion = 1;
  mPendingVersion = 0;
  mHighestFencing = 0;
  return JsonResponse(200, json::object{});
}

void
engine::ApplyPendingSwap()
{
  if (mPendingVersion != 0 &&
      std::chrono::steady_clock::now() >= mPendingSwapAt) {
    mVersion = mPendingVersion;
    mPendingVersion = 0;
  }
}

/** Returns the prefill time of the prompt and caches its prefix. Evicts the
 * least recently used prefix if the cache is full. */
std::chrono::milliseconds
engine::ReadPrefix(const std::string& aPrompt)
{
  const auto prefix = DigestOf(aPrompt.substr(0, kPrefixLength));
  const auto known =
    std::find(mCachedPrefixes.begin(), mCachedPrefixes.end(), prefix);
  const bool isHit = known != mCachedPrefixes.end();
  if (isHit) {
    mCachedPrefixes.erase(known);
  }
  mCachedPrefixes.push_back(prefix);
  if (mCachedPrefixes.size() > kMaximumPrefixes) {
    mCachedPrefixes.pop_front();
  }
  mPrefixHits += isHit ? 1 : 0;
  mPrefixMisses += isHit ? 0 : 1;
  return isHit ? std::chrono::milliseconds(0) : mFaults.mPrefillTime;
}

http::response
engine::Generate(const http::request& aRequest)
{
  const auto body = json::Parse(aRequest.mBody);
  if (!body) {
    return Failure(400, body.mLastReason);
  }
  const std::string prompt = json::StringAt(*body, "prompt", "");
  const std::string id = json::StringAt(*body, "request", "");
  const auto words = FirstWords(
    prompt, static_cast<std::size_t>(json::IntegerAt(*body, "max_tokens", 16)));
  json::value run;
  run.Set("request", id);
  // Identifies the attempt; cancel requests refer to it.
  const auto attempt = http::HeaderOr(aRequest.mHeaders, "X-Request-Id", id);
  run.Set("attempt", attempt);
  engine_faults faults;
  std::chrono::milliseconds prefill{ 0 };
  {
    std::lock_guard lock(mMutex);
    mRuns.push_back(run);
    if (mFaults.mFailsFast) {
      return Failure(500, "engine_failed");
    }
    faults = mFaults;
    ++mRunning;
    prefill = ReadPrefix(prompt);
  }
  std::this_thread::sleep_for(prefill);
  std::string text;
  json::array actualVersions;
  json::array report;
  bool isCancelled = false;
  int incarnation = -1;
  for (const auto& word : words) {
    std::this_thread::sleep_for(faults.mTimePerToken);
    text += (text.empty() ? "" : " ") + word;
    std::lock_guard lock(mMutex);
    ApplyPendingSwap();
    incarnation = incarnation < 0 ? mIncarnation : incarnation;
    if (incarnation != mIncarnation) {
      --mRunning;
      http::response truncated;
      truncated.mBody = "{\"text\":\"" + text;
      return truncated;
    }
    if (mCancelled.count(attempt) > 0) {
      isCancelled = true;
      break;
    }
    AddToken(actualVersions, mVersion);
    AddToken(report, ReportedVersion(faults.mVersionReport));
  }
  {
    std::lock_guard lock(mMutex);
    --mRunning;
    json::value finishedRun;
    finishedRun.Set("request", id);
    finishedRun.Set("attempt",
                    http::HeaderOr(aRequest.mHeaders, "X-Request-Id", ""));
    finishedRun.Set("model", mModel);
    finishedRun.Set("truth", actualVersions);
    mActualVersions.push_back(std::move(finishedRun));
    if (mFaults.mTruncatedResponses > 0) {
      --mFaults.mTruncatedResponses;
      http::response truncated;
      truncated.mBody = "{\"text\":\"" + text.substr(0, text.size() / 2);
      return truncated;
    }
  }
  json::value response;
  response.Set("text", text);
  response.Set("prompt_tokens", CountWords(prompt));
  response.Set("completion_tokens", static_cast<std::int64_t>(words.size()));
  if (faults.mVersionReport != version_report::None) {
    response.Set("versions", std::move(report));
  }
  response.Set("prompt_digest", DigestOf(prompt));
  response.Set("cancelled", isCancelled);
  return JsonResponse(200, response);
}

http::response
engine::SwapWeights(const http::request& aRequest)
{
  const auto body = json::Parse(aRequest.mBody);
  if (!body) {
    return Failure(400, body.mLastReason);
  }
  const auto fencing = json::IntegerAt(*body, "fencing", 0);
  std::lock_guard lock(mMutex);
  mOrders.push_back(*body);
  if (fencing < mHighestFencing && !mFaults.mIgnoresFencing) {
    return Failure(409, "old_fencing_number");
  }
  mHighestFencing = std::max(mHighestFencing, fencing);
  if (mFaults.mFailedSwaps > 0) {
    --mFaults.mFailedSwaps;
    mOrderedVersion = json::IntegerAt(*body, "version", mVersion);
    return Failure(500, "swap_failed");
  }
  mModel = json::StringAt(*body, "model", mModel);
  mOrderedVersion = json::IntegerAt(*body, "version", mVersion);
  if (mFaults.mBrokenSwaps > 0) {
    --mFaults.mBrokenSwaps;
    mVersion = 0;
    return Failure(500, "swap_broken");
  }
  mPendingVersion = mOrderedVersion;
  mPendingSwapAt = std::chrono::steady_clock::now() + mFaults.mSwapDelay;
  ApplyPendingSwap();
  json::value response;
  response.Set("model", mModel);
  response.Set("version", mVersion);
  return JsonResponse(200, response);
}

json::value
engine::LoadToJson()
{
  std::lock_guard lock(mMutex);
  const auto now = std::chrono::steady_clock::now();
  mLoadHistory.push_back({ now, mRunning });
  // Keep the newest state that is at least as old as the configured lag.
  while (mLoadHistory.size() > 1 &&
         mLoadHistory[1].mAt <= now - mFaults.mLoadLag) {
    mLoadHistory.pop_front();
  }
  json::value body;
  body.Set("running", mLoadHistory.front().mRunning);
  body.Set("slots", kSlots);
  body.Set("tokens_per_second",
           kSlots * 1e6 /
             static_cast<double>(
               std::max<std::int64_t>(mFaults.mTimePerToken.count(), 1)));
  json::array prefixes;
  std::int64_t event = 0;
  for (const auto prefix : mCachedPrefixes) {
    if (mFaults.mLostCacheEventInterval == 0 ||
        ++event % mFaults.mLostCacheEventInterval != 0) {
      prefixes.emplace_back(prefix);
    }
  }
  body.Set("cached_prefixes", std::move(prefixes));
  body.Set("prefix_hits", mPrefixHits);
  body.Set("prefix_misses", mPrefixMisses);
  return body;
}

void
engine::AddServingRoutes()
{
  mRouter.Add(
    "POST", "/generate", [this](const http::request& aRequest, const auto&) {
      return Generate(aRequest);
    });
  mRouter.Add(
    "POST", "/cancel", [this](const http::request& aRequest, const auto&) {
      const auto body = json::Parse(aRequest.mBody);
      if (!body) {
        return Failure(400, body.mLastReason);
      }
      std::lock_guard lock(mMutex);
      mCancelled.insert(json::StringAt(*body, "request", ""));
      return JsonResponse(200, json::object{});
    });
  mRouter.Add("GET", "/load", [this](const auto&, const auto&) {
    return JsonResponse(200, LoadToJson());
  });
  mRouter.Add(
    "POST", "/weights", [this](const http::request& aRequest, const auto&) {
      return SwapWeights(aRequest);
    });
  mRouter.Add("GET", "/weights", [this](const auto&, const auto&) {
    std::lock_guard lock(mMutex);
    ApplyPendingSwap();
    json::value body;
    body.Set("model", mModel);
    body.Set("version", mVersion);
    return JsonResponse(200, body);
  });
}

http::response
engine::SetFaults(const http::request& aRequest)
{
  const auto body = json::Parse(aRequest.mBody);
  if (!body) {
    return Failure(400, body.mLastReason);
  }
  std::lock_guard lock(mMutex);
  mFaults.mTimePerToken = std::chrono::microseconds(
    json::IntegerAt(*body, "per_token_us", mFaults.mTimePerToken.count()));
  mFaults.mFailsFast = json::BooleanAt(*body, "fail_fast", mFaults.mFailsFast);
  mFaults.mFailedSwaps = static_cast<int>(
    json::IntegerAt(*body, "fail_swaps", mFaults.mFailedSwaps));
  mFaults.mBrokenSwaps = static_cast<int>(
    json::IntegerAt(*body, "break_swaps", mFaults.mBrokenSwaps));
  if (const auto* report = body->Find("account")) {
    mFaults.mVersionReport = ParseVersionReport(report->StringOr(""));
  }
  mFaults.mSwapDelay = std::chrono::milliseconds(
    json::IntegerAt(*body, "swap_late_ms", mFaults.mSwapDelay.count()));
  mFaults.mTruncatedResponses = static_cast<int>(
    json::IntegerAt(*body, "cut_answers", mFaults.mTruncatedResponses));
  mFaults.mLoadLag = std::chrono::milliseconds(
    json::IntegerAt(*body, "load_lag_ms", mFaults.mLoadLag.count()));
  mFaults.mPrefillTime = std::chrono::milliseconds(
    json::IntegerAt(*body, "prefill_ms", mFaults.mPrefillTime.count()));
  mFaults.mLostCacheEventInterval =
    json::IntegerAt(*body, "cache_event_gap", mFaults.mLostCacheEventInterval);
  mFaults.mIgnoresFencing =
    json::BooleanAt(*body, "ignore_fencing", mFaults.mIgnoresFencing);
  return JsonResponse(200, json::object{});
}

void
engine::AddControlRoutes()
{
  mRouter.Add("POST",
              "/control/faults",
              [this](const http::request& aRequest, const auto&) {
                return SetFaults(aRequest);
              });
  mRouter.Add("POST", "/control/crash", [this](const auto&, const auto&) {
    return Crash();
  });
  mRouter.Add("GET", "/control/log", [this](const auto&, const auto&) {
    std::lock_guard lock(mMutex);
    json::value body;
    body.Set("runs", mRuns);
    body.Set("orders", mOrders);
    body.Set("truths", mActualVersions);
    return JsonResponse(200, body);
  });
  mRouter.Add("GET", "/control/received", [this](const auto&, const auto&) {
    std::lock_guard lock(mMutex);
    http::response response;
    response.mContentType = "application/octet-stream";
    response.mBody = mReceived;
    return response;
  });
}

} // namespace lavender::standin
