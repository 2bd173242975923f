#include "Libraries/Platform/SettledWrite.h"

#include "Libraries/Core/Identity.h"

namespace lavender::platform {
namespace {

constexpr int kMaximumTries = 3;

/** Whose write a conflict shows, when an earlier try's answer was lost. */
write_result
SettleConflict(write_result aConflict, const std::string& aNonce)
{
  if (!aConflict.mCurrent) {
    // Gone: deleted before or after the write, nobody can tell.
    aConflict.mState = write_state::Unknown;
    aConflict.mLastReason = "deleted meanwhile";
    return aConflict;
  }
  const auto& current = *aConflict.mCurrent;
  if (json::StringAt(current.mValue, kNonceMember, "") == aNonce) {
    aConflict.mState = write_state::Done;
    aConflict.mRevision = current.mRevision;
  } else if (json::StringAt(current.mValue, kReplacesMember, "") == aNonce) {
    // Done, and already replaced by a later write.
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
  for (int i = 0; i < kMaximumTries; ++i) {
    written = aSend(aValue);
    if (written.mState == write_state::Conflict && hasUnknown) {
      return SettleConflict(std::move(written), nonce);
    }
    if (written.mState == write_state::Refused && hasUnknown) {
      // This try certainly had no effect; the lost one may have had one.
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
             const stored_object& aMeant,
             std::int64_t aExpected,
             const json::value& aPrevious)
{
  return WriteSettled(
    [&](const json::value& aValue) {
      return Write(aClient, aMeant.mKind, aMeant.mName, aExpected, aValue);
    },
    aMeant.mValue,
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
