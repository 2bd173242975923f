#pragma once

#include "Libraries/Edge/Listener.h"

#include <memory>
#include <unordered_set>

namespace lavender::edge {

/** State shared by the connections of one listener. */
struct listener_state
{
  std::shared_ptr<const listener_limits> mLimits;
  request_handler mHandler;
  listener_options mOptions;
  std::unordered_set<server_connection*> mConnections;
  std::size_t mRequests = 0;
  /** Memory of all connections and requests, in bytes. */
  std::shared_ptr<std::size_t> mHeldBytes = std::make_shared<std::size_t>(0);
  /** Largest *mHeldBytes since freed memory was last given back. */
  std::size_t mMostHeldBytes = 0;
  listener_counts mCounts;
  /** When the log last told of connections that were ended for others. */
  std::optional<time_point> mToldAt;
  /** Each response says that its connection closes. */
  bool mIsDraining = false;
  /** Connections without a request are closed after a short time. */
  bool mClosesIdle = false;
  /** No further request is served. */
  bool mIsEnding = false;
  drain_counts mDrainCounts;
};

} // namespace lavender::edge
