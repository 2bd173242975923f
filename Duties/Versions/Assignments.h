#pragma once

#include "Duties/Versions/ControllerClaim.h"
#include "Duties/Versions/Placement.h"
#include "Duties/Versions/ToldSpeeds.h"
#include "Libraries/Edge/Listener.h"
#include "Libraries/Metrics/Metrics.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <unordered_map>

namespace lavender::versions {

struct assignment_dependencies
{
  boost::asio::io_context& mLoop;
  const site::server_directory& mDirectory;
  const site::configuration_ptr& mConfiguration;
  /** Only the controllers that hold these claims are answered. */
  const claim_table& mClaims;
  /** Gets the capacity of each model; null to write none. */
  metrics::registry* mMetrics = nullptr;
};

/** What decides, of a submitted batch, which servers serve its model. */
struct submitted_work
{
  std::int64_t mMinimumVersion = 0;
  std::int64_t mExpectedTokens = 0;
  /** Those of the expected tokens that are in items which only a fast server
   * is likely to finish when they are due. */
  std::int64_t mLongItemTokens = 0;
  batch_speeds mSpeeds;
};

/** Answers the long polls of the servers' controllers for target versions.
 *
 * A request states which versions the controller's server holds. That is more
 * recent than the server's record in the list, so the next loads start as soon
 * as earlier ones end. A controller whose claim is known to be superseded is
 * rejected. */
class assignments
{
public:
  explicit assignments(assignment_dependencies aParts);

  /** Handles a trainer's announcement of a version. */
  void HandleVersionAnnounced(const std::string& aModel, std::int64_t aVersion);
  /** Handles a trainer's submission of a batch. The lag that the batch allows
   * behind the newest version decides how many servers must load the next
   * version. */
  void HandleBatchSubmitted(const submitted_work& aWork);
  /** Schedules an evaluation after servers, the configuration or the announced
   * versions have changed. */
  void Refresh();
  /** Recomputes the target versions, and answers the requests for which they
   * have changed or whose wait is over. */
  void Evaluate();
  /** Answers all waiting requests with 503, so that the controllers ask other
   * entries: this one no longer learns of announced versions. */
  void RejectWaiting();
  /** Handles a controller's request. */
  void Serve(const edge::exchange_ptr& aExchange);
  /** Rejects the waiting requests of controllers whose claims have been
   * superseded. */
  void RejectSuperseded();
  /** Returns when the controller with that claim was last heard of: at its
   * request, or at the last evaluation if one is waiting. None if it wasn't in
   * the last minute. */
  std::optional<time_point> LastRequestAt(const std::string& aClaimName) const;
  /** Returns since when the server has been due to load a version that it
   * doesn't hold. */
  std::optional<time_point> LoadingSince(const std::string& aServerId) const;

private:
  /** A held request of a controller. */
  struct held_request
  {
    edge::exchange_ptr mExchange;
    std::string mAddress;
    std::string mClaimName;
    controller_claim mClaim;
    /** Id of the server at that address; empty while unknown. */
    std::string mServer;
    std::map<std::string, std::int64_t> mHeld;
    /** Target versions that the controller already knows. */
    target_versions mKnown;
    /** When the request is answered even without a change. */
    time_point mUntil;
  };

  std::map<std::string, target_versions> Decide(time_point aNow);
  std::vector<server_versions> ServersOf(const std::string& aPool) const;
  /** Fills in what the placement needs beyond the versions. */
  void ApplySpeeds(std::vector<server_versions>& aServers);
  model_placement Place(const std::vector<server_versions>& aServers,
                        const std::vector<std::string>& aModels);
  std::vector<std::string> ServersDueToLoad(
    const std::vector<server_versions>& aServers,
    const std::vector<std::string>& aModels,
    const model_placement& aPlaced) const;
  /** Forgets assignments of servers that are gone, and all if they are old. */
  void ForgetOldPlaces(time_point aNow);
  /** Adds the capacities of one pool's servers. */
  void AddCapacities(const std::vector<server_versions>& aServers,
                     const model_placement& aPlaced,
                     std::map<std::string, double>& aCapacities) const;
  void Answer(const held_request& aHeldRequest,
              const target_versions& aTargetVersions);
  std::unordered_map<std::string, std::string> ServersByAddress() const;
  void ScheduleEvaluation();
  void UpdateModelShares();
  void LogModelShares() const;

  assignment_dependencies mDependencies;
  announced_versions mAnnounced;
  /** Lags behind the newest version that the last two batches of a model
   * allowed. */
  std::map<std::string, std::pair<std::int64_t, std::int64_t>> mLags;
  /** Versions that servers hold according to their controllers, by server. */
  std::map<std::string, std::map<std::string, std::int64_t>> mReported;
  /** Moving average of the expected tokens of a model's batches. */
  std::map<std::string, double> mWork;
  /** Derived from mWork, but changed only when the work has clearly shifted,
   * because a server that is moved to another model must load it first. */
  model_shares mModelShares;
  /** Moving average of the expected tokens in a model's long items. */
  std::map<std::string, double> mLongWork;
  /** Derived from mLongWork and changed rarely like mModelShares. */
  model_shares mLongShares;
  told_speeds mSpeeds;
  model_placement mPlaced;
  time_point mPlacedAt;
  /** Since when a server has been due to load a version that it doesn't
   * hold. */
  std::map<std::string, time_point> mLoadingSince;
  std::map<std::string, target_versions> mTargetVersions;
  std::vector<held_request> mHeldRequests;
  std::map<std::string, time_point> mLastRequestAt;
  boost::asio::steady_timer mTimer;
  /** Delays an evaluation so that one serves a burst of changes. */
  boost::asio::steady_timer mBurstTimer;
  bool mIsEvaluationScheduled = false;
};

/** Path of controllers' requests; the server's address follows. */
constexpr char kAssignmentPath[] = "/assignments/";
/** Status for a request whose claim has been superseded. */
constexpr unsigned kNotController = 410;

/** A controller's request for its server's target versions. */
struct assignment_request
{
  edge::endpoint mServer;
  controller_claim mClaim;
  /** Versions that the server holds. */
  std::map<std::string, std::int64_t> mHeld;
  /** Target versions that the controller already knows. */
  target_versions mKnown;
};

edge::request
EncodeAssignmentRequest(const assignment_request& aRequest);

/** Returns none if the response has another status than 200 or its body is
 * malformed. */
std::optional<target_versions>
DecodeAssignmentResponse(const edge::response& aResponse);

} // namespace lavender::versions
