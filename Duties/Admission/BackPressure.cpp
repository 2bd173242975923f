#include "Duties/Admission/BackPressure.h"

#include <algorithm>
#include <cmath>

namespace lavender::admission {
namespace {

using namespace std::chrono_literals;

constexpr milliseconds kExpireAfter = 60000ms;

void
Decay(back_pressure& aPressure,
      const back_pressure_limits& aLimits,
      time_point aNow)
{
  const std::chrono::duration<double> age = aNow - aPressure.mDecayedAt;
  const std::chrono::duration<double> halfLife = aLimits.mHalfLife;
  const double factor = std::exp2(-std::max(age / halfLife, 0.0));
  aPressure.mAccepted *= factor;
  aPressure.mRefusedByAgents *= factor;
  aPressure.mRefusedLocally *= factor;
  aPressure.mDecayedAt = aNow;
}

/** Ratio of requests that this entry should refuse. */
double
RefusalRatio(const back_pressure& aPressure, double aHeadroom)
{
  const double sent = aPressure.mAccepted + aPressure.mRefusedByAgents;
  const double total = sent + aPressure.mRefusedLocally;
  const double share = (total - aHeadroom * aPressure.mAccepted) / (total + 1);
  // Local refusals hide that the agents have capacity again, but the requests
  // that are still sent show it: during an overload the agents refuse those
  // sent above their capacity because of the headroom, and fewer once the
  // overload has ended.
  const double expected = 1 - 1 / aHeadroom;
  const double observed = aPressure.mRefusedByAgents / (sent + 1);
  return share * std::min(observed / expected, 1.0);
}

} // namespace

std::optional<milliseconds>
CheckBackPressure(back_pressure_map& aPressures,
                  const std::string& aPool,
                  const std::string& aCustomer,
                  const back_pressure_limits& aLimits,
                  double aDraw,
                  time_point aNow)
{
  auto& pressure = aPressures[{ aPool, aCustomer }];
  Decay(pressure, aLimits, aNow);
  if (aDraw >= RefusalRatio(pressure, aLimits.mHeadroom)) {
    return std::nullopt;
  }
  pressure.mRefusedLocally += 1;
  const auto left =
    std::chrono::duration_cast<milliseconds>(pressure.mRetryAt - aNow);
  return std::max(left, aLimits.mMinimumRetryAfter);
}

void
RecordOutcome(back_pressure_map& aPressures,
              const std::string& aPool,
              const std::string& aCustomer,
              std::optional<milliseconds> aRetryAfter,
              const back_pressure_limits& aLimits,
              time_point aNow)
{
  auto& pressure = aPressures[{ aPool, aCustomer }];
  Decay(pressure, aLimits, aNow);
  if (aRetryAfter) {
    pressure.mRefusedByAgents += 1;
    pressure.mRetryAt = aNow + *aRetryAfter;
  } else {
    pressure.mAccepted += 1;
  }
}

void
RemoveIdle(back_pressure_map& aPressures, time_point aNow)
{
  for (auto item = aPressures.begin(); item != aPressures.end();) {
    const bool isIdle = aNow - item->second.mDecayedAt > kExpireAfter;
    item = isIdle ? aPressures.erase(item) : std::next(item);
  }
}

} // namespace lavender::admission
