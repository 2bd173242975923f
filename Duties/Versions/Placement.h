#pragma once

#include "Duties/Site/ServerDirectory.h"
#include "Duties/Site/SiteConfiguration.h"
#include "Duties/Versions/OrderDecision.h"

#include <optional>
#include <vector>

namespace lavender::versions {

/** Newest version that a trainer has announced, by model. */
using announced_versions = std::map<std::string, std::int64_t>;

/** A server and the version that it holds of each model. */
struct server_versions
{
  std::string mId;
  std::map<std::string, std::int64_t> mVersions;
  /** Relative to a usual server of the pool. */
  double mSpeed = 1;
  int mSlots = 1;
  /** Model that the server was assigned to before; none if unknown. Counts
   * only where speeds differ. */
  std::optional<std::string> mAssigned = std::nullopt;
};

/** Fraction of the servers' work that each model causes; the sum is one. */
using model_shares = std::map<std::string, double>;

/** Servers are moved between models only if some model's share of the work has
 * changed by more than this fraction of itself, because a moved server must
 * load weights first. The estimate of one batch's work is off by less. The
 * threshold is relative because with many models each share is small. */
constexpr double kShareChangeThreshold = 0.25;

/** Returns the models' shares of the work if some share has changed by more
 * than kShareChangeThreshold, else none.
 * @param aWork expected tokens of one batch, by model */
std::optional<model_shares>
UpdatedModelShares(const std::map<std::string, double>& aWork,
                   const model_shares& aBefore);

/** Returns the number of servers for each model, in proportion to its share of
 * the work. Every model gets at least one if there are enough servers. */
std::map<std::string, std::size_t>
ServersPerModel(std::size_t aServers,
                const std::vector<std::string>& aModels,
                const model_shares& aWeights);

/** Whether some server has another speed than the usual one. */
bool
DifferInSpeed(const std::vector<server_versions>& aServers);

/** Returns the model that each server serves, by server.
 *
 * Each model has its own servers: loading every model on every server would
 * multiply the loads by the number of models. A server keeps the model of which
 * it holds an announced version, unless that model has more servers than its
 * share. If the servers' speeds differ, capacity is divided instead of the
 * number of servers; see AssignByCapacity. The result depends on the arguments
 * alone, so entries with the same state agree.
 * @param aLongShares part of each model's weight that is in long items */
std::map<std::string, std::string>
AssignModels(const std::vector<server_versions>& aServers,
             const std::vector<std::string>& aModels,
             const announced_versions& aAnnounced,
             const model_shares& aWeights,
             const model_shares& aLongShares = {});

/** Returns those of one model's servers that shall load the newest version, the
 * most outdated first.
 *
 * A batch that is submitted when version k is the newest accepts tokens of
 * version k - lag and later. Servers that hold an older version can't serve the
 * batch and must load. Of the others just enough load that each version is on
 * an equal part of the servers. Most servers are then still recent enough when
 * the next version is announced, and each loads only one in lag + 1 versions. A
 * lag of one thus halves the loads, each of which takes a server about a
 * second. */
std::vector<std::string>
ServersToLoad(const std::vector<server_versions>& aShare,
              const std::string& aModel,
              std::int64_t aAnnounced,
              std::int64_t aLag);

/** Returns how many servers may load at the same time without slowing each
 * other much: a fifth of the servers, at least two. */
std::size_t
MaximumConcurrentLoads(std::size_t aServers);

} // namespace lavender::versions
