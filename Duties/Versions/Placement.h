#pragma once

#include "Duties/Site/ServerDirectory.h"
#include "Duties/Site/SiteConfiguration.h"
#include "Duties/Versions/OrderDecision.h"

#include <optional>
#include <vector>

namespace lavender::versions {

/** Newest version that a trainer has named, by model. */
using announced_versions = std::map<std::string, std::int64_t>;

/** A server that may hold weights. */
struct server_versions
{
  std::string mId;
  std::map<std::string, std::int64_t> mVersions;
};

/** Part of the servers' work that each model makes; the sum is one. */
using model_shares = std::map<std::string, double>;

/** A model's part of the work must change by this much of itself to move
 * servers, which load it first: a guess of one batch's work is off by less, and
 * with many models each one's part is small. */
constexpr double kShiftOfWeight = 0.25;

/** The weights that follow from the models' work, if they have clearly shifted.
 * @param aWork of one batch of each model */
std::optional<model_shares>
UpdatedModelShares(const std::map<std::string, double>& aWork,
                   const model_shares& aBefore);

/** Servers for each model, by its weight; every model has one if there are
 * enough servers. */
std::map<std::string, std::size_t>
ServersPerModel(std::size_t aServers,
                const std::vector<std::string>& aModels,
                const model_shares& aWeights);

/** Model that each server serves, by server.
 *
 * Each model has its own share of the servers: loading every version of every
 * model on all of them would cost as many loads as there are models. A server
 * keeps the model of which it holds a named version; only what the shares are
 * out of balance by moves. Depends on the arguments alone, so that entries
 * with the same view agree. */
std::map<std::string, std::string>
AssignModels(const std::vector<server_versions>& aServers,
             const std::vector<std::string>& aModels,
             const announced_versions& aNamed,
             const model_shares& aWeights);

/** Servers of one model's share that shall load the newest version, the most
 * outdated first.
 *
 * A batch that is asked for when version k is named takes tokens of k - lag
 * and newer. Servers below that are of no use to it and must load. Of the
 * others just enough load that each version is on an equal part of the share:
 * then the next version finds most servers fresh enough, and each server loads
 * only every lag + 1 versions. With a lag of one that halves the loads, each
 * of which costs a server about a second. */
std::vector<std::string>
ServersToLoad(const std::vector<server_versions>& aShare,
              const std::string& aModel,
              std::int64_t aNamed,
              std::int64_t aLag);

/** Servers that load at the same time without slowing each other much: a
 * fifth of the fleet, at least two. */
std::size_t
MaximumConcurrentLoads(std::size_t aServers);

} // namespace lavender::versions
