#pragma once

#include "Duties/Site/ServerProtocol.h"
#include "Libraries/Edge/Caller.h"
#include "Libraries/Metrics/Metrics.h"

namespace lavender::site {

/** Callbacks of a call to a server, invoked on the loop's thread. */
struct server_call_events
{
  /** Called with a response that belongs to the request. */
  std::function<void(const edge::response&, const response_metadata&)> mOnHead;
  std::function<void(std::string_view)> mOnBody;
  /** As in call_events. */
  std::function<void(edge::call_end)> mOnEnd;
};

struct server_call_dependencies
{
  edge::client_pool& mClients;
  const exchange_protocol& mProtocol;
  metrics::registry& mMetrics;
};

/** Sends a request to a server. Every request that bears an id goes this way:
 * a response to another one is logged and counted, ends the call as Foreign,
 * and nothing else of it is used.
 * @param aRequest as the caller sent it, before it is addressed */
edge::call_handle
CallServer(const server_call_dependencies& aDependencies,
           const edge::endpoint& aAddress,
           const edge::request& aRequest,
           const attempt& aAttempt,
           const edge::call_options& aOptions,
           server_call_events aEvents);

} // namespace lavender::site
