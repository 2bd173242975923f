#include "Duties/Routing/PrefixMemory.h"

#include "Libraries/Core/Identity.h"

#include <algorithm>

namespace lavender::routing {
namespace {

constexpr std::size_t kPrefixLength = 64;
/** Hexadecimal digits that fit a positive 64-bit number. */
constexpr std::size_t kDigits = 15;

std::vector<prefix_home>&
Touch(prefix_memory& aMemory, std::int64_t aDigest)
{
  if (const auto found = aMemory.mNewer.find(aDigest);
      found != aMemory.mNewer.end()) {
    return found->second;
  }
  std::vector<prefix_home> homes;
  if (const auto found = aMemory.mOlder.find(aDigest);
      found != aMemory.mOlder.end()) {
    homes = std::move(found->second);
    aMemory.mOlder.erase(found);
  }
  if (aMemory.mNewer.size() >= aMemory.mLimits.mGenerationSize) {
    aMemory.mOlder = std::move(aMemory.mNewer);
    aMemory.mNewer.clear();
  }
  return aMemory.mNewer[aDigest] = std::move(homes);
}

} // namespace

std::int64_t
PrefixDigest(std::string_view aPrompt)
{
  if (aPrompt.empty()) {
    return 0;
  }
  const auto hash = HashKey(aPrompt.substr(0, kPrefixLength));
  return static_cast<std::int64_t>(
    std::stoull(hash.substr(0, kDigits), nullptr, 16));
}

void
Remember(prefix_memory& aMemory,
         std::int64_t aDigest,
         const std::string& aServer,
         time_point aNow)
{
  if (aDigest == 0) {
    return;
  }
  auto& homes = Touch(aMemory, aDigest);
  const auto known =
    std::find_if(homes.begin(), homes.end(), [&](const prefix_home& aHome) {
      return aHome.mServer == aServer;
    });
  if (known != homes.end()) {
    homes.erase(known);
  }
  homes.insert(homes.begin(), { aServer, aNow });
  if (homes.size() > aMemory.mLimits.mHomes) {
    homes.pop_back();
  }
}

std::vector<prefix_home>
FindHomes(const prefix_memory& aMemory, std::int64_t aDigest, time_point aNow)
{
  std::vector<prefix_home> homes;
  for (const auto* generation : { &aMemory.mNewer, &aMemory.mOlder }) {
    const auto found = generation->find(aDigest);
    if (found == generation->end()) {
      continue;
    }
    for (const auto& home : found->second) {
      if (aNow - home.mSeenAt < aMemory.mLimits.mForgetAfter) {
        homes.push_back(home);
      }
    }
    break;
  }
  return homes;
}

} // namespace lavender::routing
