#include "Duties/Keys/KeyGate.h"

#include "Libraries/Core/Log.h"

namespace lavender::keys {
namespace {

constexpr milliseconds kJudgeEvery{ 200 };

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
  if (mJudgedAt && now - *mJudgedAt < kJudgeEvery) {
    return mLast;
  }
  const auto judged =
    Judge(mState, mOptions.mLocal(), mOptions.mRemote(), mOptions.mLimits, now);
  mJudgedAt = now;
  if (judged != mLast) {
    Log(IsFreshEnough(judged) ? log_level::Info : log_level::Warning,
        "keys",
        std::string("Configuration is ") + ToString(judged));
    if (mOptions.mMetrics) {
      mOptions.mMetrics->Count("lavender_freshness_changes_total",
                               { { "to", ToString(judged) } });
    }
    mLast = judged;
  }
  return judged;
}

} // namespace lavender::keys
