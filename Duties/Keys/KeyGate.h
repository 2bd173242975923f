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
  /** May be null. */
  metrics::registry* mMetrics = nullptr;
};

/** Keeps the judgement on freshness for a short time, since each request
 * asks for it and judging walks over all that is known. */
class key_gate
{
public:
  explicit key_gate(key_gate_options aOptions);

  /** The judgement, at most a fifth of a second old. A process that was
   * paused therefore judges anew before it accepts its next key. */
  freshness Check();

private:
  const key_gate_options mOptions;
  std::mutex mMutex;
  freshness_state mState;
  freshness mLast = freshness::Joining;
  std::optional<time_point> mJudgedAt;
};

} // namespace lavender::keys
