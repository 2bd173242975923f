#pragma once

#include "Duties/Dispatch/AttemptTicket.h"
#include "Libraries/Core/Result.h"
#include "Libraries/Json/Value.h"

#include <chrono>
#include <string>

namespace lavender::dispatch {

/** Object kind of the records, of which there is one per Idempotency-Key. */
constexpr const char* kCallKind = "Call";

/** Record stored in the Object API for the Idempotency-Key of a call that may
 * not be repeated; names the one attempt that may run. */
struct call_record
{
  attempt_ticket mTicket;
  /** Digest of the request that the key was first used with. */
  std::string mFingerprint;
  /** When the record may be removed; later than the request's deadline, so that
   * the record exists for as long as the request may run. */
  std::chrono::system_clock::time_point mKeepUntil;
};

json::value
ToValue(const call_record& aRecord);

result<call_record>
ReadCallRecord(const json::value& aValue);

} // namespace lavender::dispatch
