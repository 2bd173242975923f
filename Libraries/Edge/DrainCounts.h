#pragma once

#include <cstddef>

namespace lavender::edge {

/** How requests ended since a listener began to drain. Those that their callers
 * left aren't counted. */
struct drain_counts
{
  /** Requests whose whole response was written, refused ones included. */
  std::size_t mAnswered = 0;
  /** Requests answered with 503: they didn't run. */
  std::size_t mRefused = 0;
  /** Requests whose connection was closed without a whole response. */
  std::size_t mCut = 0;
};

} // namespace lavender::edge
