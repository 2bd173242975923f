#include "Duties/Versions/Placement.h"

#include "Duties/Versions/ModelCapacity.h"
#include "Libraries/Core/Mechanisms.h"

#include <algorithm>
#include <cmath>

namespace lavender::versions {

namespace {

double
WantedShare(const std::string& aModel,
            const std::vector<std::string>& aModels,
            const model_shares& aWeights)
{
  const auto weight = aWeights.find(aModel);
  return weight == aWeights.end() ? 1.0 / static_cast<double>(aModels.size())
                                  : weight->second;
}

/** Returns the model of which the server holds the most recent announced
 * version. Every server holds version 1 of all models from its start, so
 * version 1 is ignored. */
std::optional<std::string>
HeldModel(const server_versions& aServer,
          const std::vector<std::string>& aModels,
          const announced_versions& aAnnounced)
{
  std::optional<std::string> held;
  std::int64_t leastBehind = 0;
  for (const auto& model : aModels) {
    const auto announced = aAnnounced.find(model);
    const auto version = aServer.mVersions.find(model);
    if (announced == aAnnounced.end() || version == aServer.mVersions.end() ||
        version->second < 2) {
      continue;
    }
    const auto behind = announced->second - version->second;
    if (!held || behind < leastBehind) {
      held = model;
      leastBehind = behind;
    }
  }
  return held;
}

std::map<std::string, std::string>
AssignBySpeed(const std::vector<server_versions>& aServers,
              const std::vector<std::string>& aModels,
              const announced_versions& aAnnounced,
              const model_shares& aWeights,
              const model_shares& aLongShares)
{
  std::vector<model_work> work;
  for (const auto& model : aModels) {
    const auto isLong = aLongShares.find(model);
    work.push_back({ model,
                     WantedShare(model, aModels, aWeights),
                     isLong == aLongShares.end() ? 0 : isLong->second });
  }
  std::vector<server_capacity> servers;
  for (const auto& server : aServers) {
    const auto before =
      std::find(aModels.begin(), aModels.end(), server.mAssigned);
    const auto model = before != aModels.end()
                         ? server.mAssigned
                         : HeldModel(server, aModels, aAnnounced);
    servers.push_back(
      { server.mId, server.mSpeed, server.mSlots, model.value_or("") });
  }
  return AssignByCapacity(std::move(servers), work);
}

} // namespace

std::vector<std::string>
ServersToLoad(const std::vector<server_versions>& aShare,
              const std::string& aModel,
              std::int64_t aAnnounced,
              std::int64_t aLag)
{
  struct row
  {
    std::int64_t mVersion;
    std::string mId;
    bool operator<(const row& aOther) const
    {
      return std::tie(mVersion, mId) < std::tie(aOther.mVersion, aOther.mId);
    }
  };
  std::vector<row> behind;
  std::size_t fresh = 0;
  for (const auto& server : aShare) {
    const auto held = server.mVersions.find(aModel);
    const auto version = held == server.mVersions.end() ? 0 : held->second;
    if (version >= aAnnounced) {
      ++fresh;
    } else {
      behind.push_back({ version, server.mId });
    }
  }
  std::sort(behind.begin(), behind.end());
  const auto parts =
    IsOn(mechanism::VersionSpread) ? static_cast<std::size_t>(aLag + 1) : 1;
  const std::size_t wanted = (aShare.size() + parts - 1) / parts;
  std::vector<std::string> due;
  for (const auto& [version, id] : behind) {
    if (version < aAnnounced - aLag || fresh + due.size() < wanted) {
      due.push_back(id);
    }
  }
  return due;
}

std::optional<model_shares>
UpdatedModelShares(const std::map<std::string, double>& aWork,
                   const model_shares& aBefore)
{
  double sum = 0;
  for (const auto& [model, work] : aWork) {
    sum += work;
  }
  model_shares weights;
  bool hasShifted = false;
  for (const auto& [model, work] : aWork) {
    const auto weight = weights[model] = sum > 0 ? work / sum : 0;
    const auto before = aBefore.find(model);
    hasShifted = hasShifted || before == aBefore.end() ||
                 std::abs(before->second - weight) >
                   kShareChangeThreshold * before->second;
  }
  return hasShifted ? std::optional(weights) : std::nullopt;
}

std::size_t
MaximumConcurrentLoads(std::size_t aServers)
{
  constexpr std::size_t kShare = 5;
  return std::max<std::size_t>(2, (aServers + kShare - 1) / kShare);
}

std::map<std::string, std::size_t>
ServersPerModel(std::size_t aServers,
                const std::vector<std::string>& aModels,
                const model_shares& aWeights)
{
  std::map<std::string, std::size_t> shares;
  std::map<std::string, double> wanted;
  for (const auto& model : aModels) {
    wanted[model] = WantedShare(model, aModels, aWeights);
    shares[model] = 0;
  }
  // Give each server to the model that is furthest below its share. Models
  // without any server come first.
  for (std::size_t given = 0; given < aServers; ++given) {
    const auto next = std::max_element(
      aModels.begin(),
      aModels.end(),
      [&](const auto& aLeft, const auto& aRight) {
        const auto lack = [&](const std::string& aModel) {
          return shares[aModel] == 0
                   ? 2.0 + wanted[aModel]
                   : wanted[aModel] - static_cast<double>(shares[aModel]) /
                                        static_cast<double>(aServers);
        };
        return lack(aLeft) < lack(aRight);
      });
    ++shares[*next];
  }
  return shares;
}

bool
DifferInSpeed(const std::vector<server_versions>& aServers)
{
  return std::any_of(aServers.begin(), aServers.end(), [](const auto& aServer) {
    return aServer.mSpeed != 1;
  });
}

std::map<std::string, std::string>
AssignModels(const std::vector<server_versions>& aServers,
             const std::vector<std::string>& aModels,
             const announced_versions& aAnnounced,
             const model_shares& aWeights,
             const model_shares& aLongShares)
{
  std::map<std::string, std::string> placed;
  if (aModels.empty()) {
    return placed;
  }
  if (DifferInSpeed(aServers)) {
    return AssignBySpeed(aServers, aModels, aAnnounced, aWeights, aLongShares);
  }
  const auto shares = ServersPerModel(aServers.size(), aModels, aWeights);
  std::map<std::string, std::vector<std::string>> byModel;
  std::vector<std::string> free;
  for (const auto& server : aServers) {
    if (const auto held = HeldModel(server, aModels, aAnnounced)) {
      byModel[*held].push_back(server.mId);
    } else {
      free.push_back(server.mId);
    }
  }
  for (const auto& model : aModels) {
    auto& servers = byModel[model];
    std::sort(servers.begin(), servers.end());
    while (servers.size() > shares.at(model)) {
      free.push_back(servers.back());
      servers.pop_back();
    }
  }
  std::sort(free.begin(), free.end());
  for (const auto& server : free) {
    const auto neediest =
      std::max_element(aModels.begin(),
                       aModels.end(),
                       [&](const auto& aLeft, const auto& aRight) {
                         const auto lack = [&](const std::string& aModel) {
                           return static_cast<double>(shares.at(aModel)) -
                                  static_cast<double>(byModel[aModel].size());
                         };
                         return lack(aLeft) < lack(aRight);
                       });
    byModel[*neediest].push_back(server);
  }
  for (const auto& [model, servers] : byModel) {
    for (const auto& server : servers) {
      placed[server] = model;
    }
  }
  return placed;
}

} // namespace lavender::versions
