#include "Duties/StoreAccess/HelperChoice.h"

#include "Libraries/Core/Rendezvous.h"

#include <algorithm>

namespace lavender::storeaccess {

namespace {

bool
IsAvoided(const helper_memory& aMemory,
          const std::string& aName,
          time_point aNow)
{
  const auto avoided = aMemory.mAvoidedUntil.find(aName);
  return avoided != aMemory.mAvoidedUntil.end() && aNow < avoided->second;
}

} // namespace

std::optional<helper>
ChooseHelper(const helper_memory& aMemory,
             const helper_candidates& aView,
             const std::set<std::string>& aAsked,
             time_point aNow)
{
  // The origin, too, was asked by all others when it refused.
  const auto* preferred = aAsked.empty() ? &aMemory.mLast : &aView.mOrigin;
  std::vector<weighted_candidate> spread;
  std::optional<helper> chosen;
  for (const auto& entry : aView.mEntries) {
    if (entry.mName == aView.mSelf || aAsked.count(entry.mName) > 0 ||
        IsAvoided(aMemory, entry.mName, aNow)) {
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
NoteHelped(helper_memory& aMemory,
           const helper_candidates& aView,
           const std::string& aName)
{
  aMemory.mAvoidedUntil.erase(aName);
  if (aName != aView.mOrigin) {
    aMemory.mLast = aName;
  }
}

void
NoteRefused(helper_memory& aMemory,
            const std::string& aName,
            milliseconds aAvoidFor,
            time_point aNow)
{
  aMemory.mAvoidedUntil[aName] = aNow + aAvoidFor;
  if (aMemory.mLast == aName) {
    aMemory.mLast.clear();
  }
}

} // namespace lavender::storeaccess
