#include "Duties/Batches/RunMoves.h"

#include "Libraries/Core/Mechanisms.h"

#include <algorithm>
#include <limits>
#include <numeric>

namespace lavender::batches {

namespace {

/** Maximum number of runs moved in one pass, and of moves per item. Each move
 * makes the new server read the item's tokens again. */
constexpr std::size_t kMaximumMovesAtOnce = 8;
constexpr int kMaximumMovesPerItem = 3;
/** Processing the tokens again and opening a connection take some tens of ms;
 * a move must clearly save more. */
constexpr scheduling::event_time kMinimumGain{ 300 };
/** Servers whose speeds differ by less are alike: measured speeds are off by
 * about as much. A measured speed includes the server's load, and a busy server
 * is up to 1.4 times slower than an idle one, so a run may also move to an
 * equal server that is idle. */
constexpr double kClearlyFaster = 1.2;

/** Whether the server is a better place for a run that goes on elsewhere. */
bool
MayMoveTo(const engine_view& aEngine, const item_requirements& aNeed)
{
  return !aEngine.mIsWarming && aEngine.mId != aNeed.mAvoidedServer &&
         (!IsOn(mechanism::MemoryFit) ||
          scheduling::FitsInMemory(
            aEngine.mRunMemory, aNeed.mMemory, aEngine.mMemoryTokens));
}

} // namespace

bool
HasFasterServer(const std::vector<engine_view>& aEngines, time_point aNow)
{
  double fastest = std::numeric_limits<double>::max();
  double slowest = 0;
  for (const auto& engine : aEngines) {
    if (HasRoom(engine, aNow)) {
      fastest = std::min(fastest, engine.mRelativeTime);
    }
    if (engine.mOwnRuns > 0) {
      slowest = std::max(slowest, engine.mRelativeTime);
    }
  }
  return slowest > kClearlyFaster * fastest;
}

std::vector<run_move>
ChooseMoves(std::vector<engine_view>& aEngines,
            const std::vector<movable_run>& aRuns,
            scheduling::event_time aMedian,
            double aMinimumEvents,
            time_point aNow)
{
  const auto timeLeft = [&](const movable_run& aRun) {
    return aRun.mLeft.mMean * RelativeEventTime(aEngines[aRun.mServer]);
  };
  std::vector<std::size_t> order(aRuns.size());
  std::iota(order.begin(), order.end(), std::size_t(0));
  std::stable_sort(order.begin(), order.end(), [&](auto aLeft, auto aRight) {
    return timeLeft(aRuns[aLeft]) > timeLeft(aRuns[aRight]);
  });
  std::vector<run_move> moves;
  for (const auto index : order) {
    const auto& run = aRuns[index];
    auto& from = aEngines[run.mServer];
    if (moves.size() >= kMaximumMovesAtOnce) {
      break;
    }
    if (run.mMoves >= kMaximumMovesPerItem ||
        run.mLeft.mMean < aMinimumEvents) {
      continue;
    }
    const auto to = ChooseEngine(aEngines, run.mNeed, {}, aNow);
    if (!to || *to == run.mServer || !MayMoveTo(aEngines[*to], run.mNeed)) {
      continue;
    }
    const auto gain =
      run.mLeft.mMean *
      (RelativeEventTime(from) - RelativeEventTime(aEngines[*to])) * aMedian;
    if (from.mRelativeTime < kClearlyFaster * aEngines[*to].mRelativeTime ||
        gain < kMinimumGain) {
      continue;
    }
    --from.mOwnRuns;
    ++aEngines[*to].mOwnRuns;
    --aEngines[*to].mRunsLeft;
    aEngines[*to].mRunMemory.push_back(run.mNeed.mMemory);
    moves.push_back({ index, *to, gain });
  }
  return moves;
}

} // namespace lavender::batches
