#include "Duties/Dispatch/CallRecord.h"

namespace lavender::dispatch {

using std::chrono::system_clock;

json::value
ToValue(const call_record& aRecord)
{
  const auto keepUntil = std::chrono::duration_cast<milliseconds>(
    aRecord.mKeepUntil.time_since_epoch());
  json::value value;
  value.Set("attempt", aRecord.mTicket.mId);
  value.Set("server", aRecord.mTicket.mServerName);
  value.Set("incarnation", aRecord.mTicket.mIncarnation);
  value.Set("issued_at_ms", aRecord.mTicket.mIssuedAt.count());
  value.Set("fingerprint", aRecord.mFingerprint);
  value.Set("keep_until_ms", keepUntil.count());
  return value;
}

result<call_record>
ReadCallRecord(const json::value& aValue)
{
  call_record record;
  record.mTicket.mId = json::StringAt(aValue, "attempt", "");
  record.mTicket.mServerName = json::StringAt(aValue, "server", "");
  record.mTicket.mIncarnation = json::StringAt(aValue, "incarnation", "");
  record.mTicket.mIssuedAt =
    milliseconds(json::IntegerAt(aValue, "issued_at_ms", 0));
  record.mFingerprint = json::StringAt(aValue, "fingerprint", "");
  record.mKeepUntil = system_clock::time_point(
    milliseconds(json::IntegerAt(aValue, "keep_until_ms", 0)));
  if (record.mTicket.mId.empty() || record.mTicket.mServerName.empty()) {
    return Fail<call_record>("$.attempt and $.server must be text");
  }
  return Succeed(std::move(record));
}

} // namespace lavender::dispatch
