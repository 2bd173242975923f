#pragma once

#include "Libraries/Http/Router.h"
#include "Libraries/Json/Value.h"

#include <chrono>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <set>
#include <string>

namespace lavender::standin {

/** What an engine's answer says of the versions that produced it. */
enum class version_account
{
  Truthful,
  /** Nothing at all. */
  None,
  /** The version last ordered, whatever the engine holds. */
  Ordered
};

/** Faults that a test or experiment switches on with POST /control/faults. */
struct engine_faults
{
  /** Generation takes this long per token; also the speed of the engine. */
  std::chrono::microseconds mPerToken{ 1000 };
  /** Every generation fails at once with 500. */
  bool mFailsFast = false;
  /** That many weight swaps fail and leave the old version. */
  int mFailedSwaps = 0;
  /** That many weight swaps fail half-way and leave no version loaded. */
  int mBrokenSwaps = 0;
  version_account mAccount = version_account::Truthful;
  /** A swap answers at once and takes effect this much later. */
  std::chrono::milliseconds mSwapLateness{ 0 };
  /** That many answers are cut short. */
  int mCutAnswers = 0;
  /** The load report shows what was true this long ago. */
  std::chrono::milliseconds mLoadLag{ 0 };
  /** Reading a prompt whose prefix isn't cached takes this long. */
  std::chrono::milliseconds mPrefill{ 0 };
  /** Every that many cache events one is lost; 0 for none. */
  std::int64_t mCacheEventGap = 0;
  /** Orders with old fencing numbers are carried out. */
  bool mIgnoresFencing = false;
};

/** A small model engine: it "summarises" by keeping the prompt's first words,
 * holds one weight version and logs every run. */
class engine
{
public:
  engine();
  http::response Serve(const http::request& aRequest);

private:
  struct load_state
  {
    std::chrono::steady_clock::time_point mAt;
    int mRunning = 0;
  };

  void AddServingRoutes();
  void AddControlRoutes();
  http::response Generate(const http::request& aRequest);
  http::response SwapWeights(const http::request& aRequest);
  http::response SetFaults(const http::request& aRequest);
  json::value DescribeLoad();
  http::response Crash();
  std::chrono::milliseconds ReadPrefix(const std::string& aPrompt);
  void ApplyDueSwap();
  std::int64_t AccountedVersion(version_account aAccount) const;

  http::router mRouter;
  std::mutex mMutex;
  engine_faults mFaults;
  std::string mModel = "base";
  std::int64_t mVersion = 1;
  std::int64_t mDueVersion = 0;
  std::int64_t mOrderedVersion = 1;
  /** Grows with each simulated crash; runs from before are cut. */
  int mLife = 0;
  std::chrono::steady_clock::time_point mDueAt;
  std::int64_t mHighestFencing = 0;
  int mRunning = 0;
  std::deque<load_state> mLoadHistory;
  std::deque<std::int64_t> mCachedPrefixes;
  std::int64_t mPrefixHits = 0;
  std::int64_t mPrefixMisses = 0;
  std::set<std::string> mCancelled;
  json::array mRuns;
  json::array mOrders;
  /** For each run that ended: which version truly produced its tokens. */
  json::array mTruths;
  /** Every byte received, so that a test can search it for keys. */
  std::string mReceived;
};

/** First 64 bits of a digest of the text; answers carry it so that a test can
 * see whose they are. */
std::int64_t
DigestOf(const std::string& aText);

} // namespace lavender::standin
