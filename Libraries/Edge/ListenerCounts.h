#pragma once

#include <cstdint>

namespace lavender::edge {

/** Connections that a listener ended for others, since its start. */
struct listener_counts
{
  /** For memory, with a request that wasn't passed on. */
  std::uint64_t mRefused = 0;
  /** With a response that its caller didn't take. */
  std::uint64_t mReset = 0;
  /** Idle ones, and for a new connection ones within a request. */
  std::uint64_t mClosed = 0;
  /** New ones, which weren't accepted as all others had requests under way. */
  std::uint64_t mNotAccepted = 0;
};

} // namespace lavender::edge
