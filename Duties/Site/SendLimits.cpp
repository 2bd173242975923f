#include "Duties/Site/SendLimits.h"

namespace lavender::site {

send_limits::send_limits(
  const server_directory& aDirectory,
  const configuration_ptr& aConfiguration,
  std::function<bool(const backend_server&)> aIsDesignated)
  : mDirectory(aDirectory)
  , mConfiguration(aConfiguration)
  , mIsDesignated(std::move(aIsDesignated))
{
}

double
send_limits::LimitOf(const std::string& aPool) const
{
  if (!mConfiguration) {
    return 0;
  }
  const auto pool = mConfiguration->mPools.find(aPool);
  return pool == mConfiguration->mPools.end()
           ? 0
           : pool->second.mWarmUpRequestsPerSecond;
}

bool
send_limits::IsLimited(const std::string& aPool) const
{
  return LimitOf(aPool) > 0;
}

int
send_limits::RequestsLeft(const directory_row& aRow, time_point aNow) const
{
  const auto& server = aRow.mServer;
  routing::slow_start_view view;
  view.mRequestsPerSecond = LimitOf(server.mPool);
  view.mIsWarming = aNow < WarmAt(aRow);
  view.mIsDesignated = view.mIsWarming && mIsDesignated(server);
  const auto window = mWindows.find(server.mId);
  return window == mWindows.end()
           ? routing::RequestsPerSecond(view)
           : routing::RequestsLeft(window->second, view, aNow);
}

void
send_limits::RecordSent(const backend_server& aServer, time_point aNow)
{
  if (IsLimited(aServer.mPool)) {
    routing::RecordSent(mWindows[aServer.mId], aNow);
  }
}

void
send_limits::RemoveStaleState()
{
  for (auto window = mWindows.begin(); window != mWindows.end();) {
    window = mDirectory.mRows.count(window->first) == 0 ? mWindows.erase(window)
                                                        : std::next(window);
  }
}

} // namespace lavender::site
