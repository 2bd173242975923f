#include "Duties/Keys/KeyGate.h"

#include "Libraries/Core/Log.h"

namespace lavender::keys {
namespace {

constexpr milliseconds kEvaluationInterval{ 200 };

} // namespace

key_gate::key_gate(key_gate_options aOptions)
  : mOptions(std::move(aOptions))
{
}

freshness
key_gate::Check()
{
  std::lock_guard lock(mMutex);
  const auto now = boot_clock::now();
  if (mEvaluatedAt && now - *mEvaluatedAt < kEvaluationInterval) {
    return mLastFreshness;
  }
  const auto evaluated = EvaluateFreshness(
    mState, mOptions.mLocal(), mOptions.mRemote(), mOptions.mLimits, now);
  mEvaluatedAt = now;
  if (evaluated != mLastFreshness) {
    Log(IsFreshEnough(evaluated) ? log_level::Info : log_level::Warning,
        "keys",
        std::string("Freshness of the configuration changed to ") +
          ToString(evaluated));
    if (mOptions.mMetrics) {
      mOptions.mMetrics->Count("lavender_freshness_changes_total",
                               { { "to", ToString(evaluated) } });
    }
    mLastFreshness = evaluated;
  }
  return evaluated;
}

} // namespace lavender::keys
