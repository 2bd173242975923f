#pragma once

#include "Duties/Routing/SlowStart.h"
#include "Duties/Site/ServerDirectory.h"
#include "Duties/Site/SiteConfiguration.h"

#include <functional>
#include <unordered_map>

namespace lavender::site {

/** How many requests this entry may send to each server. Shared by all that
 * send requests, because a warming server's limit covers all of them. */
class send_limits
{
public:
  /** @param aIsDesignated whether this entry is the one that sends to the
   * server while it warms up */
  send_limits(const server_directory& aDirectory,
              const configuration_ptr& aConfiguration,
              std::function<bool(const backend_server&)> aIsDesignated);

  /** Whether requests to the pool's servers are limited. */
  bool IsLimited(const std::string& aPool) const;
  /** Returns how many requests may be sent to the server now. */
  int RequestsLeft(const directory_row& aRow, time_point aNow) const;
  void RecordSent(const backend_server& aServer, time_point aNow);
  /** Removes the state of servers that are gone from the directory. */
  void RemoveStaleState();

private:
  double LimitOf(const std::string& aPool) const;

  const server_directory& mDirectory;
  const configuration_ptr& mConfiguration;
  std::function<bool(const backend_server&)> mIsDesignated;
  /** By server. */
  std::unordered_map<std::string, routing::send_window> mWindows;
};

} // namespace lavender::site
