#include "Duties/Batches/PeerCall.h"

namespace lavender::batches {

namespace {

constexpr char kKindField[] = "Lavender-Call";
constexpr char kCustomerField[] = "Lavender-Customer";
constexpr char kHostField[] = "Lavender-Host";
constexpr char kItemField[] = "Lavender-Item";
constexpr char kAfterField[] = "Lavender-After";
constexpr char kWaitField[] = "Lavender-Wait-Ms";

const char*
ToString(batch_call::kind aKind)
{
  switch (aKind) {
    case batch_call::kind::Results:
      return "results";
    case batch_call::kind::Item:
      return "item";
    case batch_call::kind::End:
      return "end";
    case batch_call::kind::TakeOver:
      return "take-over";
  }
  return "results";
}

} // namespace

edge::request
EncodePeerCall(const batch_call& aCall)
{
  edge::request request;
  request.mMethod = "GET";
  request.mTarget = kPeerPath + aCall.mBatchId;
  request.mHeaders.Add(kKindField, ToString(aCall.mKind));
  request.mHeaders.Add(kCustomerField, aCall.mCustomer);
  request.mHeaders.Add(kItemField, aCall.mItemId);
  request.mHeaders.Add(kAfterField, std::to_string(aCall.mAfter));
  request.mHeaders.Add(kWaitField, std::to_string(aCall.mWait.count()));
  return request;
}

std::optional<batch_call>
DecodePeerCall(const edge::request& aRequest)
{
  const std::string prefix = kPeerPath;
  if (aRequest.mTarget.compare(0, prefix.size(), prefix) != 0) {
    return std::nullopt;
  }
  batch_call call;
  call.mBatchId = aRequest.mTarget.substr(prefix.size());
  const auto kind = aRequest.mHeaders.ValueOr(kKindField, "");
  const auto after = aRequest.mHeaders.Integer(kAfterField);
  const auto wait = aRequest.mHeaders.Integer(kWaitField);
  if (!after || !wait) {
    return std::nullopt;
  }
  for (const auto known : { batch_call::kind::Results,
                            batch_call::kind::Item,
                            batch_call::kind::End,
                            batch_call::kind::TakeOver }) {
    if (kind == ToString(known)) {
      call.mKind = known;
      call.mCustomer = aRequest.mHeaders.ValueOr(kCustomerField, "");
      call.mItemId = aRequest.mHeaders.ValueOr(kItemField, "");
      call.mAfter = static_cast<std::size_t>(*after);
      call.mWait = milliseconds(*wait);
      return call;
    }
  }
  return std::nullopt;
}

edge::request
EncodePeerSubmission(const peer_submission& aSubmission)
{
  edge::request request;
  request.mMethod = "POST";
  request.mTarget = kPeerSubmissionPath + aSubmission.mBatchId;
  request.mHeaders.Add(kCustomerField, aSubmission.mOrigin.mCustomer);
  request.mHeaders.Add(kHostField, aSubmission.mOrigin.mHost);
  request.mBody = aSubmission.mBody;
  return request;
}

std::optional<peer_submission>
DecodePeerSubmission(const edge::request& aRequest)
{
  const std::string prefix = kPeerSubmissionPath;
  if (aRequest.mTarget.compare(0, prefix.size(), prefix) != 0) {
    return std::nullopt;
  }
  return peer_submission{ aRequest.mTarget.substr(prefix.size()),
                          { aRequest.mHeaders.ValueOr(kCustomerField, ""),
                            aRequest.mHeaders.ValueOr(kHostField, "") },
                          aRequest.mBody };
}

} // namespace lavender::batches
