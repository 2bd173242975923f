#include "Libraries/Platform/SettledWrite.h"

#include "Libraries/Core/Identity.h"

namespace lavender::platform {
namespace {

constexpr int kMaximumAttempts = 3;

/** Resolves a conflict that follows an attempt whose response was lost: tells
 * by the nonces whether that attempt took effect. */
write_result
SettleConflict(write_result aConflict, const std::string& aNonce)
{
  if (!aConflict.mCurrent) {
    // The object was deleted; whether before or after the write can't be known.
    aConflict.mState = write_state::Unknown;
    aConflict.mLastReason = "deleted meanwhile";
    return aConflict;
  }
  const auto& current = *aConflict.mCurrent;
  if (json::StringAt(current.mValue, kNonceMember, "") == aNonce) {
    aConflict.mState = write_state::Done;
    aConflict.mRevision = current.mRevision;
  } else if (json::StringAt(current.mValue, kReplacesMember, "") == aNonce) {
    // The write took effect and has since been replaced by a later one.
    aConflict.mState = write_state::Done;
    aConflict.mRevision = 0;
  } else {
    aConflict.mState = write_state::Unknown;
    aConflict.mLastReason = "written by others meanwhile";
  }
  return aConflict;
}

} // namespace

write_result
WriteSettled(const write_sender& aSend,
             json::value aValue,
             const json::value& aPrevious)
{
  const auto nonce = MakeRandomName();
  aValue.Set(kNonceMember, nonce);
  aValue.Set(kReplacesMember, json::StringAt(aPrevious, kNonceMember, ""));
  bool hasUnknown = false;
  write_result written;
  for (int i = 0; i < kMaximumAttempts; ++i) {
    written = aSend(aValue);
    if (written.mState == write_state::Conflict && hasUnknown) {
      return SettleConflict(std::move(written), nonce);
    }
    if (written.mState == write_state::Refused && hasUnknown) {
      // This attempt had no effect, but the one whose response was lost may
      // have had one.
      written.mState = write_state::Unknown;
    }
    if (written.mState != write_state::Unknown) {
      return written;
    }
    hasUnknown = true;
  }
  return written;
}

write_result
WriteSettled(const client& aClient,
             const stored_object& aTarget,
             std::int64_t aExpected,
             const json::value& aPrevious)
{
  return WriteSettled(
    [&](const json::value& aValue) {
      return Write(aClient, aTarget.mKind, aTarget.mName, aExpected, aValue);
    },
    aTarget.mValue,
    aPrevious);
}

write_result
DeleteSettled(const client& aClient,
              const std::string& aKind,
              const std::string& aName,
              std::int64_t aExpected)
{
  auto written = Delete(aClient, aKind, aName, aExpected);
  if (written.mState != write_state::Unknown) {
    return written;
  }
  const auto again = Delete(aClient, aKind, aName, aExpected);
  const bool isGone =
    again.mState == write_state::Conflict && !again.mCurrent.has_value();
  if (again.mState == write_state::Done || isGone) {
    written.mState = write_state::Done;
  }
  return written;
}

} // namespace lavender::platform
