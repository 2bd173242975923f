#include "Services/Entry/CallTarget.h"

#include "platform/BatchMessages.h"

namespace lavender::entry {

std::optional<batches::batch_call>
NamedBatchCall(const edge::request& aRequest)
{
  if (!platform::IsBatchPath(aRequest.mTarget)) {
    return std::nullopt;
  }
  auto call = platform::DecodeBatchCall(aRequest);
  if (!call || !batches::IsValidId(call->mBatchId)) {
    return std::nullopt;
  }
  const bool isItem = call->mKind == batches::batch_call::kind::Item;
  return isItem && call->mItemId.empty() ? std::nullopt : call;
}

call_target
TargetOf(const edge::request& aRequest, const site::route* aRoute)
{
  if (!aRoute) {
    return platform::IsBatchPath(aRequest.mTarget) ? call_target::Batch
                                                   : call_target::None;
  }
  if (!NamedBatchCall(aRequest)) {
    return aRoute->mAcceptsBatches ? call_target::Submission
                                   : call_target::Server;
  }
  // A submission is a POST, so nothing but a batch can answer here.
  return aRoute->mAcceptsBatches ? call_target::Batch
                                 : call_target::BatchOrServer;
}

} // namespace lavender::entry
