#pragma once

#include "Duties/Keys/FreshnessGate.h"
#include "Libraries/Metrics/Metrics.h"

#include <functional>
#include <mutex>

namespace lavender::keys {

struct key_gate_options
{
  freshness_limits mLimits;
  std::function<local_freshness()> mLocal;
  std::function<remote_freshness()> mRemote;
  /** Optional; null disables the metrics. */
  metrics::registry* mMetrics = nullptr;
};

/** Caches the result of the freshness evaluation for a short time, because each
 * request needs it and an evaluation iterates over all known processes. */
class key_gate
{
public:
  explicit key_gate(key_gate_options aOptions);

  /** Returns a result that is at most 200 ms old. A process that was paused
   * therefore evaluates again before it accepts its next key. */
  freshness Check();

private:
  const key_gate_options mOptions;
  std::mutex mMutex;
  freshness_state mState;
  freshness mLastFreshness = freshness::Joining;
  std::optional<time_point> mEvaluatedAt;
};

} // namespace lavender::keys
