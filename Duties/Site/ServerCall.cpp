#include "Duties/Site/ServerCall.h"

#include "Duties/Site/ResponseOwner.h"
#include "Libraries/Edge/HeadSyntax.h"
#include "Libraries/EventLog/EventLog.h"

namespace lavender::site {

namespace {

void
ReportForeign(metrics::registry& aMetrics,
              const std::string& aRequestId,
              const std::string& aServer,
              const std::string& aResponseId,
              unsigned aStatus,
              response_owner aOwner)
{
  events::line("response_foreign")
    .With("request", aRequestId)
    .With("server", aServer)
    .With("response_id", aResponseId)
    .With("status", static_cast<std::int64_t>(aStatus))
    .With("owner", ToString(aOwner));
  aMetrics.Count("lavender_foreign_responses_total",
                 { { "owner", ToString(aOwner) } });
}

} // namespace

edge::call_handle
CallServer(const server_call_dependencies& aDependencies,
           const edge::endpoint& aAddress,
           const edge::request& aRequest,
           const attempt& aAttempt,
           const edge::call_options& aOptions,
           server_call_events aEvents)
{
  const auto& protocol = aDependencies.mProtocol;
  const auto request = protocol.mAddress(aRequest, aAttempt);
  if (const auto fault = edge::FindFault(request)) {
    // The connection refuses to send it; this tells why.
    events::line("request_unsendable")
      .With("server", aAttempt.mServerId)
      .With("reason", edge::Describe(*fault));
  }
  const auto id = protocol.mReadCallerMetadata(request).mAttemptId;
  const auto metadata = std::make_shared<response_metadata>();
  edge::call_events events;
  events.mIsOwn = [&protocol,
                   &metrics = aDependencies.mMetrics,
                   id,
                   metadata,
                   server = aAttempt.mServerId](const edge::response& aHead) {
    *metadata = protocol.mReadResponseMetadata(aHead);
    const auto owner = OwnerOf(id, metadata->mAttemptId);
    if (owner == response_owner::Request) {
      return true;
    }
    ReportForeign(
      metrics, id, server, metadata->mAttemptId, aHead.mStatus, owner);
    return false;
  };
  events.mOnHead = [metadata, onHead = std::move(aEvents.mOnHead)](
                     const edge::response& aHead) { onHead(aHead, *metadata); };
  events.mOnBody = std::move(aEvents.mOnBody);
  events.mOnEnd = std::move(aEvents.mOnEnd);
  auto options = aOptions;
  options.mRequestId = id;
  return aDependencies.mClients.Start(
    aAddress, request, std::move(options), std::move(events));
}

} // namespace lavender::site
