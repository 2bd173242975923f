#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

/** Assigns servers of different speeds to models by capacity. No I/O. */
namespace lavender::versions {

/** A server's speed relative to a usual server, from which on it is fast: able
 * to finish long items that usual servers can't finish when they are due. */
constexpr double kFastSpeed = 1.25;

struct server_capacity
{
  std::string mId;
  /** Relative to a usual server. */
  double mSpeed = 1;
  int mSlots = 1;
  /** Model that the server serves; empty if none. */
  std::string mModel;
};

/** Work of one model, as fractions of the work of all models. */
struct model_work
{
  std::string mModel;
  double mShare = 0;
  /** Part of mShare that is in long items. */
  double mLongShare = 0;
};

/** Returns the model that each server shall serve, by server.
 *
 * Capacity (speed times slots) is divided in proportion to the models' work.
 * Fast servers go first to models with long items, by those items' tokens, and
 * what they don't need is divided like other servers. Every model gets a server
 * if there are enough.
 *
 * Each move must reduce the squared deviations from the shares by a fixed
 * amount: fast servers' moves those of the fast capacity, other moves those of
 * the whole capacity while fast servers stay. The sequence therefore ends, and
 * the result, given as the state before, is returned unchanged. */
std::map<std::string, std::string>
AssignByCapacity(std::vector<server_capacity> aServers,
                 const std::vector<model_work>& aModels);

/** Returns the capacity per model, in slots of usual servers. */
std::map<std::string, double>
CapacityPerModel(const std::vector<server_capacity>& aServers);

/** Returns each model's long items as fractions of the work of all models, if
 * some model's fraction has clearly changed, else none. Few items are long, so
 * that batches of one model differ much.
 * @param aWork expected tokens of one batch, by model
 * @param aLongWork those of them that are in long items */
std::optional<std::map<std::string, double>>
UpdatedLongShares(const std::map<std::string, double>& aWork,
                  const std::map<std::string, double>& aLongWork,
                  const std::map<std::string, double>& aBefore);

} // namespace lavender::versions
