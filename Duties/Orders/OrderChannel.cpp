#include "Duties/Orders/OrderChannel.h"

#include "Libraries/Core/Log.h"
#include "Libraries/Core/UrlEncoding.h"

namespace lavender::orders {
namespace {

using namespace std::chrono_literals;

constexpr char kKind[] = "ZoneOrder";
/** Remaining lease time needed to send an order. With less, the connection
 * would probably be aborted when the lease expires. */
constexpr milliseconds kMinimumLeaseTime = 100ms;

std::string
ToString(order_stage aStage)
{
  switch (aStage) {
    case order_stage::Draining:
      return "draining";
    case order_stage::Sent:
      return "sent";
    case order_stage::Settled:
      break;
  }
  return "settled";
}

order_stage
ToStage(const std::string& aText)
{
  if (aText == "draining") {
    return order_stage::Draining;
  }
  return aText == "sent" ? order_stage::Sent : order_stage::Settled;
}

bool
AreEqual(const order_record& aOne, const order_record& aOther)
{
  return json::Write(ToJson(aOne)) == json::Write(ToJson(aOther));
}

} // namespace

std::string
LeaseName(const std::string& aZone)
{
  return "zone-" + aZone;
}

json::value
ToJson(const order_record& aRecord)
{
  json::value encoded;
  encoded.Set("id", aRecord.mId);
  encoded.Set("action", aRecord.mAction);
  encoded.Set("pool", aRecord.mPool);
  encoded.Set("server", aRecord.mServer);
  encoded.Set("fencing", aRecord.mFencing);
  encoded.Set("stage", ToString(aRecord.mStage));
  return encoded;
}

order_record
ParseRecord(const json::value& aValue)
{
  return { json::StringAt(aValue, "id", ""),
           json::StringAt(aValue, "action", ""),
           json::StringAt(aValue, "pool", ""),
           json::StringAt(aValue, "server", ""),
           json::IntegerAt(aValue, "fencing", 0),
           ToStage(json::StringAt(aValue, "stage", "")) };
}

order_channel::order_channel(std::string aZone, platform::client aPlatform)
  : mZone(std::move(aZone))
  , mPlatform(std::move(aPlatform))
{
}

bool
order_channel::TakeOver(const leases::held_lease& aLease)
{
  if (aLease.mFencing == mFencing) {
    return true;
  }
  const auto read = platform::Read(mPlatform, kKind, mZone);
  if (read.mState == platform::read_state::Failed) {
    return false;
  }
  const bool isFound = read.mState == platform::read_state::Found;
  auto record = isFound ? ParseRecord(read.mObject.mValue) : order_record();
  if (record.mFencing > aLease.mFencing) {
    // Another process holds a newer lease, so this lease is about to expire.
    return false;
  }
  mRevision = isFound ? read.mObject.mRevision : 0;
  if (!WriteRecord(std::move(record), aLease)) {
    return false;
  }
  mFencing = aLease.mFencing;
  return true;
}

bool
order_channel::Begin(order_record aRecord, const leases::held_lease& aLease)
{
  return TakeOver(aLease) && WriteRecord(std::move(aRecord), aLease);
}

bool
order_channel::Cancel(const leases::held_lease& aLease)
{
  auto record = mRecord;
  record.mStage = order_stage::Settled;
  return TakeOver(aLease) && WriteRecord(std::move(record), aLease);
}

order_outcome
order_channel::Send(const leases::held_lease& aLease)
{
  if (!TakeOver(aLease)) {
    return order_outcome::TryAgain;
  }
  if (mRecord.mStage != order_stage::Sent) {
    auto record = mRecord;
    record.mStage = order_stage::Sent;
    if (!WriteRecord(std::move(record), aLease)) {
      return order_outcome::TryAgain;
    }
  }
  if (boot_clock::now() + kMinimumLeaseTime > aLease.mExpiresAt) {
    Count("lease_too_short");
    return order_outcome::TryAgain;
  }
  auto body = ToJson(mRecord);
  body.Set("holder", mPlatform.mCaller);
  const auto response = leases::PostUnderLease(
    mPlatform, "/v1/zones/" + EncodeUrl(mZone) + "/orders", body, aLease);
  const int status = response.mResponse.mStatus;
  if (response.mState != http::call_state::Answered || status >= 500) {
    // The platform may have executed the order; it is resent with the same id.
    Count("unknown");
    mUnansweredAt = boot_clock::now();
    return order_outcome::TryAgain;
  }
  Count(status == 200 ? "done" : "refused");
  auto record = mRecord;
  record.mStage = order_stage::Settled;
  WriteRecord(std::move(record), aLease);
  return status == 200 ? order_outcome::Done : order_outcome::Refused;
}

bool
order_channel::WriteRecord(order_record aRecord,
                           const leases::held_lease& aLease)
{
  aRecord.mFencing = aLease.mFencing;
  const auto written =
    platform::Write(mPlatform, kKind, mZone, mRevision, ToJson(aRecord));
  if (written.mState == platform::write_state::Done) {
    mRevision = written.mRevision;
    mRecord = std::move(aRecord);
    return true;
  }
  if (written.mState == platform::write_state::Unknown) {
    const auto read = platform::Read(mPlatform, kKind, mZone);
    if (read.mState == platform::read_state::Found &&
        AreEqual(ParseRecord(read.mObject.mValue), aRecord)) {
      mRevision = read.mObject.mRevision;
      mRecord = std::move(aRecord);
      return true;
    }
  }
  // The stored record is unknown, so TakeOver has to read it again before
  // anything is sent.
  mFencing = 0;
  return false;
}

void
order_channel::Count(const char* aResult) const
{
  if (mPlatform.mMetrics) {
    mPlatform.mMetrics->Count("lavender_zone_orders_total",
                              { { "result", aResult } });
  }
}

} // namespace lavender::orders
