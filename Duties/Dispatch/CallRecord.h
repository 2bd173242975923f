#pragma once

#include "Duties/Dispatch/AttemptTicket.h"
#include "Libraries/Core/Result.h"
#include "Libraries/Json/Value.h"

#include <chrono>
#include <string>

namespace lavender::dispatch {

/** Kind of the objects that hold one record for each Idempotency-Key. */
constexpr const char* kCallKind = "Call";

/** What the Object API keeps for the Idempotency-Key of a call that may not
 * be repeated: the one attempt that may run. */
struct call_record
{
  attempt_ticket mTicket;
  /** Digest of the request that the key was first used with. */
  std::string mFingerprint;
  /** Until then the record stays; later than the request's own deadline, so
   * that no run outlives the memory of its key. */
  std::chrono::system_clock::time_point mKeepUntil;
};

json::value
ToValue(const call_record& aRecord);

result<call_record>
ReadCallRecord(const json::value& aValue);

} // namespace lavender::dispatch
