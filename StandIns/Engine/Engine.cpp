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

/** The prompt's first words, at most that many. */
std::vector<std::string>
FirstWords(const std::string& aPrompt, std::size_t aMost)
{
  std::istringstream input(aPrompt);
  std::vector<std::string> words;
  std::string word;
  while (words.size() < aMost && input >> word) {
    words.push_back(word);
  }
  return words;
}

/** Adds a token to the last part, or begins one. */
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

version_account
ParseAccount(const std::string& aName)
{
  if (aName == "none") {
    return version_account::None;
  }
  return aName == "ordered" ? version_account::Ordered
                            : version_account::Truthful;
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
engine::AccountedVersion(version_account aAccount) const
{
  return aAccount == version_account::Ordered ? mOrderedVersion : mVersion;
}

/** What a crash and restart look like from outside: answers under way are
 * cut, and the base version is loaded. */
http::response
engine::Crash()
{
  std::lock_guard lock(mMutex);
  ++mLife;
  mModel = "base";
  mVersion = 1;
  mOrderedVersion = 1;
  mDueVersion = 0;
  mHighestFencing = 0;
  return JsonResponse(200, json::object{});
}

void
engine::ApplyDueSwap()
{
  if (mDueVersion != 0 && std::chrono::steady_clock::now() >= mDueAt) {
    mVersion = mDueVersion;
    mDueVersion = 0;
  }
}

/** Time that reading the prompt takes; the prefix is cached from then on, and
 * the one that wasn't used for longest goes. */
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
  return isHit ? std::chrono::milliseconds(0) : mFaults.mPrefill;
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
  // Names the attempt; cancels name it too.
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
  json::array truth;
  json::array account;
  bool isCancelled = false;
  int life = -1;
  for (const auto& word : words) {
    std::this_thread::sleep_for(faults.mPerToken);
    text += (text.empty() ? "" : " ") + word;
    std::lock_guard lock(mMutex);
    ApplyDueSwap();
    life = life < 0 ? mLife : life;
    if (life != mLife) {
      --mRunning;
      http::response cut;
      cut.mBody = "{\"text\":\"" + text;
      return cut;
    }
    if (mCancelled.count(attempt) > 0) {
      isCancelled = true;
      break;
    }
    AddToken(truth, mVersion);
    AddToken(account, AccountedVersion(faults.mAccount));
  }
  {
    std::lock_guard lock(mMutex);
    --mRunning;
    json::value ended;
    ended.Set("request", id);
    ended.Set("attempt", http::HeaderOr(aRequest.mHeaders, "X-Request-Id", ""));
    ended.Set("model", mModel);
    ended.Set("truth", truth);
    mTruths.push_back(std::move(ended));
    if (mFaults.mCutAnswers > 0) {
      --mFaults.mCutAnswers;
      http::response cut;
      cut.mBody = "{\"text\":\"" + text.substr(0, text.size() / 2);
      return cut;
    }
  }
  json::value answer;
  answer.Set("text", text);
  answer.Set("prompt_tokens", CountWords(prompt));
  answer.Set("completion_tokens", static_cast<std::int64_t>(words.size()));
  if (faults.mAccount != version_account::None) {
    answer.Set("versions", std::move(account));
  }
  answer.Set("prompt_digest", DigestOf(prompt));
  answer.Set("cancelled", isCancelled);
  return JsonResponse(200, answer);
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
  mDueVersion = mOrderedVersion;
  mDueAt = std::chrono::steady_clock::now() + mFaults.mSwapLateness;
  ApplyDueSwap();
  json::value answer;
  answer.Set("model", mModel);
  answer.Set("version", mVersion);
  return JsonResponse(200, answer);
}

json::value
engine::DescribeLoad()
{
  std::lock_guard lock(mMutex);
  const auto now = std::chrono::steady_clock::now();
  mLoadHistory.push_back({ now, mRunning });
  // Keep the newest state that is already old enough to be shown.
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
               std::max<std::int64_t>(mFaults.mPerToken.count(), 1)));
  json::array prefixes;
  std::int64_t event = 0;
  for (const auto prefix : mCachedPrefixes) {
    if (mFaults.mCacheEventGap == 0 || ++event % mFaults.mCacheEventGap != 0) {
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
    return JsonResponse(200, DescribeLoad());
  });
  mRouter.Add(
    "POST", "/weights", [this](const http::request& aRequest, const auto&) {
      return SwapWeights(aRequest);
    });
  mRouter.Add("GET", "/weights", [this](const auto&, const auto&) {
    std::lock_guard lock(mMutex);
    ApplyDueSwap();
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
  mFaults.mPerToken = std::chrono::microseconds(
    json::IntegerAt(*body, "per_token_us", mFaults.mPerToken.count()));
  mFaults.mFailsFast = json::BooleanAt(*body, "fail_fast", mFaults.mFailsFast);
  mFaults.mFailedSwaps = static_cast<int>(
    json::IntegerAt(*body, "fail_swaps", mFaults.mFailedSwaps));
  mFaults.mBrokenSwaps = static_cast<int>(
    json::IntegerAt(*body, "break_swaps", mFaults.mBrokenSwaps));
  if (const auto* account = body->Find("account")) {
    mFaults.mAccount = ParseAccount(account->StringOr(""));
  }
  mFaults.mSwapLateness = std::chrono::milliseconds(
    json::IntegerAt(*body, "swap_late_ms", mFaults.mSwapLateness.count()));
  mFaults.mCutAnswers = static_cast<int>(
    json::IntegerAt(*body, "cut_answers", mFaults.mCutAnswers));
  mFaults.mLoadLag = std::chrono::milliseconds(
    json::IntegerAt(*body, "load_lag_ms", mFaults.mLoadLag.count()));
  mFaults.mPrefill = std::chrono::milliseconds(
    json::IntegerAt(*body, "prefill_ms", mFaults.mPrefill.count()));
  mFaults.mCacheEventGap =
    json::IntegerAt(*body, "cache_event_gap", mFaults.mCacheEventGap);
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
    body.Set("truths", mTruths);
    return JsonResponse(200, body);
  });
  mRouter.Add("GET", "/control/received", [this](const auto&, const auto&) {
    std::lock_guard lock(mMutex);
    http::response answer;
    answer.mContentType = "application/octet-stream";
    answer.mBody = mReceived;
    return answer;
  });
}

} // namespace lavender::standin
