#include "Libraries/Edge/EndOfInput.h"

namespace lavender::edge {

std::optional<call_end>
DecideUnboundedEnd(request_progress aRequest)
{
  switch (aRequest) {
    case request_progress::Writing:
      return std::nullopt;
    case request_progress::Written:
      return call_end::Complete;
    case request_progress::Failed:
      return call_end::Broken;
  }
  return call_end::Broken;
}

} // namespace lavender::edge
