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

/** Which versions a response reports for its tokens. */
enum class version_report
{
  Truthful,
  /** The response reports no versions. */
  None,
  /** The last ordered version, even if another one is loaded. */
  Ordered
};

/** Faults that a test or experiment switches on with POST /control/faults. */
struct engine_faults
{
  /** Generation time per token. The reported tokens per second follow from it.
   */
  std::chrono::microseconds mTimePerToken{ 1000 };
  /** Every generation fails at once with 500. */
  bool mFailsFast = false;
  /** Number of following weight swaps that fail and leave the old version
   * loaded. */
  int mFailedSwaps = 0;
  /** Number of following weight swaps that fail midway and leave no version
   * loaded. */
  int mBrokenSwaps = 0;
  version_report mVersionReport = version_report::Truthful;
  /** Delay between the response to a swap and its effect. */
  std::chrono::milliseconds mSwapDelay{ 0 };
  /** Number of following responses that are truncated. */
  int mTruncatedResponses = 0;
  /** Age of the state that the load report shows. */
  std::chrono::milliseconds mLoadLag{ 0 };
  /** Prefill time of a prompt whose prefix isn't cached. */
  std::chrono::milliseconds mPrefillTime{ 0 };
  /** One in this many cached prefixes is missing from the load report; 0 for
   * none. */
  std::int64_t mLostCacheEventInterval = 0;
  /** Orders with outdated fencing numbers are accepted. */
  bool mIgnoresFencing = false;
};

/** Simulates a model engine that holds one weight version. Its completion is
 * the first words of the prompt. Records every run. */
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
  json::value LoadToJson();
  http::response Crash();
  std::chrono::milliseconds ReadPrefix(const std::string& aPrompt);
  void ApplyPendingSwap();
  std::int64_t ReportedVersion(version_report aReport) const;

  http::router mRouter;
  std::mutex mMutex;
  engine_faults mFaults;
  std::string mModel = "base";
  std::int64_t mVersion = 1;
  std::int64_t mPendingVersion = 0;
  std::int64_t mOrderedVersion = 1;
  /** Incremented by each simulated crash. Responses of runs that began before
   * the crash are truncated. */
  int mIncarnation = 0;
  std::chrono::steady_clock::time_point mPendingSwapAt;
  std::int64_t mHighestFencing = 0;
  int mRunning = 0;
  std::deque<load_state> mLoadHistory;
  std::deque<std::int64_t> mCachedPrefixes;
  std::int64_t mPrefixHits = 0;
  std::int64_t mPrefixMisses = 0;
  std::set<std::string> mCancelled;
  json::array mRuns;
  json::array mOrders;
  /** For each finished run: the versions that produced its tokens. */
  json::array mActualVersions;
  /** Received bytes up to a limit, so that a test can search them for keys. */
  std::string mReceived;
};

/** Returns the first 60 bits of a digest of the text. Responses contain the
 * digest of their prompt, so that a test can match them. */
std::int64_t
DigestOf(const std::string& aText);

} // namespace lavender::standin
