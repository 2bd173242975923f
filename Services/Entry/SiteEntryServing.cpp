#include "Services/Entry/SiteEntry.h"

#include "Duties/Batches/PeerCall.h"
#include "Libraries/EventLog/EventLog.h"
#include "Services/Entry/CallTarget.h"
#include "platform/BatchMessages.h"

namespace lavender::entry {

using namespace std::chrono_literals;

namespace {

/** Retry delay for callers of an entry that has no configuration yet. */
constexpr milliseconds kNoConfigurationRetryAfter = 300ms;
/** While a submission is decoded it takes so many times the memory of its body,
 * or a little more. */
constexpr std::size_t kDecodingTimes = 4;

} // namespace

void
site_entry::Deny(const edge::exchange_ptr& aExchange,
                 unsigned aStatus,
                 const char* aReason)
{
  events::line("denied")
    .With("request",
          mProtocol.mReadCallerMetadata(aExchange->mRequest).mAttemptId)
    .With("status", static_cast<std::int64_t>(aStatus))
    .With("reason", aReason)
    .With("configuration", mConfiguration ? mConfiguration->mVersion : -1)
    .With("known_ms_ago", mFeed.Age());
  mMetrics.Count("lavender_refusals_total", { { "reason", aReason } });
  edge::AnswerOwn(aExchange,
                  aStatus,
                  aStatus == 503
                    ? std::optional<milliseconds>(kNoConfigurationRetryAfter)
                    : std::nullopt);
}

bool
site_entry::HasRoomToDecode(std::size_t aBodyBytes) const
{
  return mCallers.HeldBytes() + kDecodingTimes * aBodyBytes <=
         mLimits->mMaximumHeldBytes;
}

void
site_entry::ServeCaller(const edge::exchange_ptr& aExchange)
{
  if (!mConfiguration) {
    Deny(aExchange, 503, "no configuration yet");
    return;
  }
  const auto& request = aExchange->mRequest;
  const auto route = site::FindRoute(
    *mConfiguration, request.mHeaders.ValueOr("Host", ""), request.mTarget);
  switch (TargetOf(request, route.get())) {
    case call_target::None:
      Deny(aExchange, 404, "no route");
      return;
    case call_target::Batch:
      ServeBatchCall(aExchange);
      return;
    case call_target::BatchOrServer:
      ServeBatchOrForward(aExchange, route);
      return;
    case call_target::Submission:
    case call_target::Server:
      ServeRouted(aExchange, route);
      return;
  }
}

void
site_entry::ServeRouted(const edge::exchange_ptr& aExchange,
                        const std::shared_ptr<const site::route>& aRoute)
{
  const auto check = site::CheckKey(
    *mConfiguration, *aRoute, mProtocol.mFindKey(aExchange->mRequest));
  if (check.mVerdict == site::key_verdict::Unknown) {
    Deny(aExchange, 401, "unknown key");
    return;
  }
  if (aRoute->mAcceptsBatches) {
    ServeSubmission(aExchange,
                    check.mCustomer ? check.mCustomer->mName : std::string());
    return;
  }
  mForwarder.Serve(aExchange, aRoute, check.mCustomer);
}

site::key_check
site_entry::CheckKeyOfBatchCall(const edge::request& aRequest) const
{
  // Any known key is accepted here; the batch itself records the customer that
  // owns it.
  const site::route anyRoute;
  return site::CheckKey(
    *mConfiguration, anyRoute, mProtocol.mFindKey(aRequest));
}

void
site_entry::ServeBatchOrForward(
  const edge::exchange_ptr& aExchange,
  const std::shared_ptr<const site::route>& aRoute)
{
  const auto& request = aExchange->mRequest;
  const auto call = NamedBatchCall(request);
  const auto check = CheckKeyOfBatchCall(request);
  if (!call || check.mVerdict == site::key_verdict::Unknown) {
    ServeRouted(aExchange, aRoute);
    return;
  }
  const auto host = request.mHeaders.ValueOr("Host", "");
  mBatches.Identify(
    call->mBatchId,
    { check.mCustomer ? check.mCustomer->mName : std::string(), host },
    site::AcceptsBatches(*mConfiguration, host),
    [this, aExchange, aRoute](batches::batch_presence aPresence) {
      switch (aPresence) {
        case batches::batch_presence::Present:
          ServeBatchCall(aExchange);
          return;
        case batches::batch_presence::Absent:
          ServeRouted(aExchange, aRoute);
          return;
        case batches::batch_presence::Unknown:
          Deny(aExchange, 503, "batch not known");
          return;
      }
    });
}

void
site_entry::ServeBatchCall(const edge::exchange_ptr& aExchange)
{
  const auto check = CheckKeyOfBatchCall(aExchange->mRequest);
  if (check.mVerdict == site::key_verdict::Unknown) {
    Deny(aExchange, 401, "unknown key");
    return;
  }
  auto call = platform::DecodeBatchCall(aExchange->mRequest);
  if (!call) {
    Deny(aExchange, 400, "unreadable batch call");
    return;
  }
  call->mCustomer = check.mCustomer ? check.mCustomer->mName : std::string();
  mBatches.Serve(aExchange, *call);
}

void
site_entry::ServeSubmission(const edge::exchange_ptr& aExchange,
                            const std::string& aCustomer)
{
  const auto& request = aExchange->mRequest;
  if (!HasRoomToDecode(request.mBody.size())) {
    Deny(aExchange, 503, "no memory to decode");
    return;
  }
  auto submission =
    platform::DecodeSubmission(platform::SubmittedId(request), request.mBody);
  if (!submission) {
    events::line("submission_unreadable")
      .With("request", platform::SubmittedId(request))
      .With("reason", submission.mLastReason);
    mMetrics.Count("lavender_refusals_total",
                   { { "reason", "unreadable submission" } });
    aExchange->Answer(platform::EncodeRefusal(400, submission.mLastReason));
    return;
  }
  mBatches.Submit(aExchange,
                  { aCustomer, request.mHeaders.ValueOr("Host", "") },
                  std::move(*submission));
}

void
site_entry::ServeForwardedSubmission(const edge::exchange_ptr& aExchange)
{
  if (!HasRoomToDecode(aExchange->mRequest.mBody.size())) {
    Deny(aExchange, 503, "no memory to decode");
    return;
  }
  const auto forwarded = batches::DecodePeerSubmission(aExchange->mRequest);
  auto submission =
    platform::DecodeSubmission(forwarded->mBatchId, forwarded->mBody);
  if (!submission) {
    aExchange->Answer({ 400, {}, {} });
    return;
  }
  mBatches.SubmitLocally(aExchange, forwarded->mOrigin, std::move(*submission));
}

void
site_entry::ServeAnnouncement(const edge::exchange_ptr& aExchange)
{
  const auto body = json::Parse(aExchange->mRequest.mBody);
  const auto entry = body ? registration::DecodeEntry(*body) : std::nullopt;
  if (!entry) {
    aExchange->Answer({ 400, {}, {} });
    return;
  }
  mRegistrar.Announce(*entry, [aExchange](bool aIsAnnounced) {
    aExchange->Answer(
      { aIsAnnounced ? 200u : registration::kNotAnnounced, {}, {} });
  });
}

void
site_entry::ServePeer(const edge::exchange_ptr& aExchange)
{
  const auto& target = aExchange->mRequest.mTarget;
  const auto startsWith = [&](std::string_view aPrefix) {
    return std::string_view(target).substr(0, aPrefix.size()) == aPrefix;
  };
  if (target == feed::kFeedPath) {
    mFeed.Serve(aExchange->mRequest, feed::RequesterOf(aExchange));
  } else if (target == storeaccess::kHelpPath) {
    mStoreAccess.Help(aExchange->mRequest,
                      [aExchange](edge::response aResponse) {
                        aExchange->Answer(std::move(aResponse));
                      });
  } else if (target == registration::kAnnouncePath) {
    ServeAnnouncement(aExchange);
  } else if (startsWith(batches::kPeerPath)) {
    mBatches.ServePeer(aExchange);
  } else if (startsWith(batches::kPeerSubmissionPath)) {
    ServeForwardedSubmission(aExchange);
  } else if (startsWith(versions::kAssignmentPath)) {
    if (mFeed.IsReachable()) {
      mAssignments.Serve(aExchange);
    } else {
      // This entry may have missed version announcements; another entry may
      // know them.
      aExchange->Answer({ 503, {}, {} });
    }
  } else if (startsWith(billing::kUsagePath)) {
    const auto window = edge::ParseInteger(
      std::string_view(target).substr(sizeof billing::kUsagePath - 1));
    aExchange->Answer(
      { window ? 200u : 400u, {}, mUsage.CountsAsJson(window.value_or(0)) });
  } else {
    aExchange->Answer({ 404, {}, {} });
  }
}

} // namespace lavender::entry
