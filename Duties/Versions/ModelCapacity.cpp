#include "Duties/Versions/ModelCapacity.h"

#include <algorithm>
#include <cmath>

namespace lavender::versions {

namespace {

constexpr std::size_t kNone = static_cast<std::size_t>(-1);

/** A move must reduce the sum of the squared deviations by twice this fraction
 * of the square of the servers' mean capacity. With alike servers, undoing a
 * move thus takes a shift of the shares by a whole server. */
constexpr double kMinimumGain = 0.5;
/** Fast servers are set aside for this multiple of the long items' work,
 * because only an estimate tells which items are long. */
constexpr double kLongWorkHeadroom = 2;
/** Change of a model's long items that counts, as a fraction of itself. */
constexpr double kLongShareChangeThreshold = 0.5;

/** State of an assignment. Models and servers are named by their indices. */
struct assignment_state
{
  std::vector<double> mCapacity;
  std::vector<std::size_t> mModelOf;
  /** Number of servers per model. */
  std::vector<std::size_t> mCount;
};

double
CapacityOf(const server_capacity& aServer)
{
  return aServer.mSpeed * std::max(aServer.mSlots, 1);
}

using members = std::vector<std::size_t>;
using loads = std::vector<double>;

void
Move(assignment_state& aState, std::size_t aServer, std::size_t aModel)
{
  if (aState.mModelOf[aServer] != kNone) {
    --aState.mCount[aState.mModelOf[aServer]];
  }
  aState.mModelOf[aServer] = aModel;
  ++aState.mCount[aModel];
}

loads
LoadsOf(const assignment_state& aState, const members& aServers)
{
  loads sums(aState.mCount.size(), 0);
  for (const auto server : aServers) {
    if (aState.mModelOf[server] != kNone) {
      sums[aState.mModelOf[server]] += aState.mCapacity[server];
    }
  }
  return sums;
}

/** Returns by how much each model is above its target; negative if below. */
loads
SurplusOf(const assignment_state& aState,
          const members& aServers,
          const loads& aTargets)
{
  auto surplus = LoadsOf(aState, aServers);
  for (std::size_t model = 0; model < surplus.size(); ++model) {
    surplus[model] -= aTargets[model];
  }
  return surplus;
}

/** Assigns servers without a model, to models without servers first. */
void
PlaceFree(assignment_state& aState,
          const members& aServers,
          const loads& aTargets)
{
  auto surplus = SurplusOf(aState, aServers, aTargets);
  for (const auto server : aServers) {
    if (aState.mModelOf[server] != kNone) {
      continue;
    }
    std::size_t neediest = 0;
    for (std::size_t model = 1; model < surplus.size(); ++model) {
      const auto key = [&](std::size_t aModel) {
        return std::pair(aState.mCount[aModel] > 0, surplus[aModel]);
      };
      neediest = key(model) < key(neediest) ? model : neediest;
    }
    Move(aState, server, neediest);
    surplus[neediest] += aState.mCapacity[server];
  }
}

/** Moves servers until no move pays.
 * @return whether any was moved */
bool
Balance(assignment_state& aState,
        const members& aServers,
        const loads& aTargets)
{
  if (aServers.empty()) {
    return false;
  }
  double sum = 0;
  for (const auto server : aServers) {
    sum += aState.mCapacity[server];
  }
  const auto mean = sum / static_cast<double>(aServers.size());
  bool hasMoved = false;
  while (true) {
    const auto surplus = SurplusOf(aState, aServers, aTargets);
    double best = kMinimumGain * mean * mean;
    std::size_t moved = kNone;
    const auto to = static_cast<std::size_t>(
      std::min_element(surplus.begin(), surplus.end()) - surplus.begin());
    for (const auto server : aServers) {
      const auto from = aState.mModelOf[server];
      const auto capacity = aState.mCapacity[server];
      const auto gain = capacity * (surplus[from] - surplus[to] - capacity);
      if (from != to && aState.mCount[from] > 1 && gain > best) {
        best = gain;
        moved = server;
      }
    }
    if (moved == kNone) {
      return hasMoved;
    }
    hasMoved = true;
    Move(aState, moved, to);
  }
}

/** Gives each model without servers the slowest server of the model with the
 * greatest surplus that has more than one. */
void
FillEmptyModels(assignment_state& aState,
                const members& aServers,
                const loads& aTargets)
{
  for (std::size_t empty = 0; empty < aTargets.size(); ++empty) {
    if (aState.mCount[empty] > 0) {
      continue;
    }
    const auto surplus = SurplusOf(aState, aServers, aTargets);
    std::size_t chosen = kNone;
    for (const auto server : aServers) {
      const auto key = [&](std::size_t aServer) {
        return std::pair(-surplus[aState.mModelOf[aServer]],
                         aState.mCapacity[aServer]);
      };
      if (aState.mCount[aState.mModelOf[server]] > 1 &&
          (chosen == kNone || key(server) < key(chosen))) {
        chosen = server;
      }
    }
    if (chosen == kNone) {
      return;
    }
    Move(aState, chosen, empty);
  }
}

/** Returns the fast capacity for each model; the sum is aFast.
 * @param aTargets whole capacity for each model */
loads
FastTargets(const std::vector<model_work>& aModels,
            const loads& aTargets,
            double aWhole,
            double aFast)
{
  loads needs;
  double sum = 0;
  for (std::size_t model = 0; model < aModels.size(); ++model) {
    const auto wanted = kLongWorkHeadroom * aModels[model].mLongShare * aWhole;
    needs.push_back(std::min(aTargets[model], wanted));
    sum += needs.back();
  }
  for (std::size_t model = 0; model < aModels.size(); ++model) {
    if (sum > 0 && sum >= aFast) {
      needs[model] *= aFast / sum;
    } else {
      needs[model] +=
        (aFast - sum) * (aTargets[model] - needs[model]) / (aWhole - sum);
    }
  }
  return needs;
}

assignment_state
StateBefore(const std::vector<server_capacity>& aServers,
            const std::vector<model_work>& aModels)
{
  assignment_state state;
  state.mCount.resize(aModels.size(), 0);
  for (const auto& server : aServers) {
    const auto held =
      std::find_if(aModels.begin(), aModels.end(), [&](const auto& aModel) {
        return aModel.mModel == server.mModel;
      });
    state.mCapacity.push_back(CapacityOf(server));
    state.mModelOf.push_back(kNone);
    if (held != aModels.end()) {
      Move(state,
           state.mModelOf.size() - 1,
           static_cast<std::size_t>(held - aModels.begin()));
    }
  }
  return state;
}

void
SubtractLoads(loads& aTargets, const loads& aLoads)
{
  for (std::size_t model = 0; model < aTargets.size(); ++model) {
    aTargets[model] -= aLoads[model];
  }
}

} // namespace

std::map<std::string, std::string>
AssignByCapacity(std::vector<server_capacity> aServers,
                 const std::vector<model_work>& aModels)
{
  std::map<std::string, std::string> placed;
  if (aModels.empty() || aServers.empty()) {
    return placed;
  }
  std::sort(aServers.begin(),
            aServers.end(),
            [](const auto& aLeft, const auto& aRight) {
              return aLeft.mId < aRight.mId;
            });
  auto state = StateBefore(aServers, aModels);
  const bool hasLongItems =
    std::any_of(aModels.begin(), aModels.end(), [](const auto& aModel) {
      return aModel.mLongShare > 0;
    });
  members all;
  members fast;
  members others;
  double whole = 0;
  double fastCapacity = 0;
  for (std::size_t server = 0; server < aServers.size(); ++server) {
    const bool isFast = hasLongItems && aServers[server].mSpeed >= kFastSpeed;
    all.push_back(server);
    (isFast ? fast : others).push_back(server);
    whole += state.mCapacity[server];
    fastCapacity += isFast ? state.mCapacity[server] : 0;
  }
  double shares = 0;
  for (const auto& model : aModels) {
    shares += model.mShare;
  }
  loads targets;
  for (const auto& model : aModels) {
    targets.push_back(shares > 0 ? whole * model.mShare / shares : 0);
  }
  const auto fastTargets = FastTargets(aModels, targets, whole, fastCapacity);
  PlaceFree(state, fast, fastTargets);
  PlaceFree(state, all, targets);
  FillEmptyModels(state, all, targets);
  // A model that has got a second server may give away its first.
  bool hasMoved = true;
  while (hasMoved) {
    Balance(state, fast, fastTargets);
    auto otherTargets = targets;
    SubtractLoads(otherTargets, LoadsOf(state, fast));
    hasMoved = Balance(state, others, otherTargets);
  }
  for (std::size_t server = 0; server < aServers.size(); ++server) {
    placed[aServers[server].mId] = aModels[state.mModelOf[server]].mModel;
  }
  return placed;
}

std::map<std::string, double>
CapacityPerModel(const std::vector<server_capacity>& aServers)
{
  std::map<std::string, double> capacity;
  for (const auto& server : aServers) {
    capacity[server.mModel] += CapacityOf(server);
  }
  return capacity;
}

std::optional<std::map<std::string, double>>
UpdatedLongShares(const std::map<std::string, double>& aWork,
                  const std::map<std::string, double>& aLongWork,
                  const std::map<std::string, double>& aBefore)
{
  double sum = 0;
  for (const auto& [model, work] : aWork) {
    sum += work;
  }
  std::map<std::string, double> shares;
  bool hasShifted = false;
  for (const auto& [model, work] : aLongWork) {
    const auto share = shares[model] = sum > 0 ? work / sum : 0;
    const auto found = aBefore.find(model);
    const auto before = found == aBefore.end() ? 0 : found->second;
    hasShifted = hasShifted ||
                 std::abs(share - before) > kLongShareChangeThreshold * before;
  }
  return hasShifted ? std::optional(shares) : std::nullopt;
}

} // namespace lavender::versions
