#include "Libraries/Edge/EndOfInput.h"

namespace lavender::edge {

std::optional<call_end>
DecideEnd(const input_end& aInput)
{
  if (aInput.mResponse == response_progress::Whole) {
    return call_end::Complete;
  }
  const bool isBroken = aInput.mIsError ||
                        aInput.mResponse == response_progress::Partial ||
                        aInput.mRequest == request_progress::Failed;
  if (isBroken) {
    return call_end::Broken;
  }
  return aInput.mRequest == request_progress::Written
           ? std::optional(call_end::Complete)
           : std::nullopt;
}

} // namespace lavender::edge
