#pragma once

#include "Libraries/Core/Clock.h"

#include <optional>

namespace lavender {

/** Whether a condition has held without a break for that long.
 * @param aSince when it began to hold, kept by the caller between calls */
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
