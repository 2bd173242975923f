#pragma once

#include "Libraries/Core/Clock.h"

#include <optional>

namespace lavender {

/** Whether a condition has held continuously for at least the limit.
 * @param aSince when the condition began to hold; the caller keeps this value
 *   between calls */
inline bool
HasLasted(std::optional<time_point>& aSince,
          bool aHolds,
          milliseconds aLimit,
          time_point aNow)
{
  if (!aHolds) {
    aSince.reset();
    return false;
  }
  if (!aSince) {
    aSince = aNow;
  }
  return aNow - *aSince >= aLimit;
}

} // namespace lavender
