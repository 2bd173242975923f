#include "Duties/Admission/BackPressure.h"

#include <algorithm>
#include <cmath>

namespace lavender::admission {
namespace {

using namespace std::chrono_literals;

constexpr milliseconds kForgetAfter = 60000ms;

void
Decay(pressure& aPressure, const pressure_limits& aLimits, time_point aNow)
{
  const std::chrono::duration<double> age = aNow - aPressure.mCountedAt;
  const std::chrono::duration<double> halfLife = aLimits.mHalfLife;
  const double factor = std::exp2(-std::max(age / halfLife, 0.0));
  aPressure.mTaken *= factor;
  aPressure.mRefusedThere *= factor;
  aPressure.mRefusedHere *= factor;
  aPressure.mCountedAt = aNow;
}

/** Share of requests to refuse here. */
double
RefusalShare(const pressure& aPressure, double aHeadroom)
{
  const double sent = aPressure.mTaken + aPressure.mRefusedThere;
  const double asked = sent + aPressure.mRefusedHere;
  const double share = (asked - aHeadroom * aPressure.mTaken) / (asked + 1);
  // Refusing here hides that the agents have room again. The requests that
  // are still sent show it: while the overload lasts, the headroom's part of
  // them is refused, and fewer once it is over.
  const double expected = 1 - 1 / aHeadroom;
  const double seen = aPressure.mRefusedThere / (sent + 1);
  return share * std::min(seen / expected, 1.0);
}

} // namespace

std::optional<milliseconds>
CheckBackPressure(back_pressure_map& aPressures,
                  const std::string& aPool,
                  const std::string& aCustomer,
                  const pressure_limits& aLimits,
                  double aDraw,
                  time_point aNow)
{
  auto& pressure = aPressures[{ aPool, aCustomer }];
  Decay(pressure, aLimits, aNow);
  if (aDraw >= RefusalShare(pressure, aLimits.mHeadroom)) {
    return std::nullopt;
  }
  pressure.mRefusedHere += 1;
  const auto left =
    std::chrono::duration_cast<milliseconds>(pressure.mRetryAt - aNow);
  return std::max(left, aLimits.mLeastRetryAfter);
}

void
RecordOutcome(back_pressure_map& aPressures,
              const std::string& aPool,
              const std::string& aCustomer,
              std::optional<milliseconds> aRetryAfter,
              const pressure_limits& aLimits,
              time_point aNow)
{
  auto& pressure = aPressures[{ aPool, aCustomer }];
  Decay(pressure, aLimits, aNow);
  if (aRetryAfter) {
    pressure.mRefusedThere += 1;
    pressure.mRetryAt = aNow + *aRetryAfter;
  } else {
    pressure.mTaken += 1;
  }
}

void
RemoveIdle(back_pressure_map& aPressures, time_point aNow)
{
  for (auto one = aPressures.begin(); one != aPressures.end();) {
    const bool isIdle = aNow - one->second.mCountedAt > kForgetAfter;
    one = isIdle ? aPressures.erase(one) : std::next(one);
  }
}

} // namespace lavender::admission
