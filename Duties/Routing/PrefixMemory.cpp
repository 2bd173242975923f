#include "Duties/Routing/PrefixMemory.h"

#include "Libraries/Core/Identity.h"

#include <algorithm>

namespace lavender::routing {
namespace {

constexpr std::size_t kPrefixLength = 64;
/** Hexadecimal digits that fit into a positive signed 64-bit integer. */
constexpr std::size_t kDigits = 15;

std::vector<prefix_holder>&
MoveToNewer(prefix_index& aMemory, std::int64_t aDigest)
{
  if (const auto found = aMemory.mNewer.find(aDigest);
      found != aMemory.mNewer.end()) {
    return found->second;
  }
  std::vector<prefix_holder> holders;
  if (const auto found = aMemory.mOlder.find(aDigest);
      found != aMemory.mOlder.end()) {
    holders = std::move(found->second);
    aMemory.mOlder.erase(found);
  }
  if (aMemory.mNewer.size() >= aMemory.mLimits.mGenerationSize) {
    aMemory.mOlder = std::move(aMemory.mNewer);
    aMemory.mNewer.clear();
  }
  return aMemory.mNewer[aDigest] = std::move(holders);
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
RecordHolder(prefix_index& aMemory,
             std::int64_t aDigest,
             const std::string& aServer,
             time_point aNow)
{
  if (aDigest == 0) {
    return;
  }
  auto& holders = MoveToNewer(aMemory, aDigest);
  const auto known = std::find_if(
    holders.begin(), holders.end(), [&](const prefix_holder& aHolder) {
      return aHolder.mServer == aServer;
    });
  if (known != holders.end()) {
    holders.erase(known);
  }
  holders.insert(holders.begin(), { aServer, aNow });
  if (holders.size() > aMemory.mLimits.mMaximumHolders) {
    holders.pop_back();
  }
}

std::vector<prefix_holder>
FindHolders(const prefix_index& aMemory, std::int64_t aDigest, time_point aNow)
{
  std::vector<prefix_holder> holders;
  for (const auto* generation : { &aMemory.mNewer, &aMemory.mOlder }) {
    const auto found = generation->find(aDigest);
    if (found == generation->end()) {
      continue;
    }
    for (const auto& holder : found->second) {
      if (aNow - holder.mConfirmedAt < aMemory.mLimits.mExpireAfter) {
        holders.push_back(holder);
      }
    }
    break;
  }
  return holders;
}

} // namespace lavender::routing
