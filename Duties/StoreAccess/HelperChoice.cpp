#include "Duties/StoreAccess/HelperChoice.h"

#include "Libraries/Core/Rendezvous.h"

#include <algorithm>

namespace lavender::storeaccess {

namespace {

bool
IsAvoided(const helper_history& aHistory,
          const std::string& aName,
          time_point aNow)
{
  const auto avoided = aHistory.mAvoidedUntil.find(aName);
  return avoided != aHistory.mAvoidedUntil.end() && aNow < avoided->second;
}

} // namespace

std::optional<helper>
ChooseHelper(const helper_history& aHistory,
             const helper_candidates& aView,
             const std::set<std::string>& aAsked,
             time_point aNow)
{
  // The origin may have refused because all other entries ask it too, so it is
  // subject to the same backoff as the others.
  const auto* preferred = aAsked.empty() ? &aHistory.mLast : &aView.mOrigin;
  std::vector<weighted_candidate> spread;
  std::optional<helper> chosen;
  for (const auto& entry : aView.mEntries) {
    if (entry.mName == aView.mSelf || aAsked.count(entry.mName) > 0 ||
        IsAvoided(aHistory, entry.mName, aNow)) {
      continue;
    }
    if (entry.mName == *preferred) {
      return entry;
    }
    spread.push_back({ entry.mName });
  }
  const auto name = ChooseByRendezvous(aView.mSelf, spread);
  for (const auto& entry : aView.mEntries) {
    if (name && entry.mName == *name) {
      chosen = entry;
    }
  }
  return chosen;
}

void
RecordHelp(helper_history& aHistory,
           const helper_candidates& aView,
           const std::string& aName)
{
  aHistory.mAvoidedUntil.erase(aName);
  if (aName != aView.mOrigin) {
    aHistory.mLast = aName;
  }
}

void
RecordRefusal(helper_history& aHistory,
              const std::string& aName,
              milliseconds aAvoidFor,
              time_point aNow)
{
  aHistory.mAvoidedUntil[aName] = aNow + aAvoidFor;
  if (aHistory.mLast == aName) {
    aHistory.mLast.clear();
  }
}

} // namespace lavender::storeaccess
