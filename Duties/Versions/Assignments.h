#pragma once

#include "Duties/Versions/GiverClaim.h"
#include "Duties/Versions/Placement.h"
#include "Libraries/Edge/Listener.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <unordered_map>

namespace lavender::versions {

struct assignment_dependencies
{
  boost::asio::io_context& mLoop;
  const site::server_directory& mDirectory;
  const site::configuration_ptr& mConfiguration;
  /** Whose questions are answered. */
  const claim_table& mClaims;
};

/** Tells those that give orders which versions their servers shall hold.
 *
 * They wait here for a change. What they say when they ask, namely which
 * versions their server holds now, is fresher than the server's own entry, so
 * the next loads start as soon as earlier ones end. Only the one that holds a
 * server's claim, as far as it is known here, is told anything. */
class assignments
{
public:
  explicit assignments(assignment_dependencies aParts);

  /** A trainer named a version. */
  void HandleVersionAnnounced(const std::string& aModel, std::int64_t aVersion);
  /** A trainer submitted a batch: how far behind the newest version it lets
   * its tokens be tells how many servers must load the next one. */
  void HandleBatchSubmitted(const std::string& aModel,
                            std::int64_t aMinimumVersion,
                            std::int64_t aExpectedTokens);
  /** Servers or configuration have changed. */
  void Refresh();
  /** Decides what is wanted now, and answers those who wait for it. */
  void Look();
  /** Sends all waiting agents to other entries: this one no longer hears which
   * versions are named, and would hold them for nothing. */
  void RejectWaiting();
  /** A giver's question. */
  void Serve(const edge::exchange_ptr& aExchange);
  /** Claims have changed: those who lost theirs are told. */
  void RejectSuperseded();
  /** When the giver of the server with that claim last asked here. */
  std::optional<time_point> LastAsked(const std::string& aClaimName) const;
  /** Since when a server has been told to load what it doesn't hold. */
  std::optional<time_point> LoadingSince(const std::string& aServerId) const;

private:
  struct waiter
  {
    edge::exchange_ptr mExchange;
    std::string mAddress;
    std::string mClaimName;
    controller_claim mClaim;
    /** Name of the server at that address; empty while it isn't known. */
    std::string mServer;
    std::map<std::string, std::int64_t> mHeld;
    /** What it was told before. */
    target_versions mKnown;
    time_point mUntil;
  };

  std::map<std::string, target_versions> Decide(time_point aNow);
  std::vector<server_versions> ServersOf(const std::string& aPool) const;
  std::vector<std::string> DueOf(const std::vector<server_versions>& aServers,
                                 const std::vector<std::string>& aModels) const;
  void Answer(const waiter& aWaiter, const target_versions& aWanted);
  std::unordered_map<std::string, std::string> ServersByAddress() const;
  void PlanLook();
  void UpdateWeights();
  void LogWeights() const;

  assignment_dependencies mDependencies;
  announced_versions mNamed;
  /** Versions that the last two batches of a model allowed to be behind. */
  std::map<std::string, std::pair<std::int64_t, std::int64_t>> mLags;
  std::map<std::string, std::map<std::string, std::int64_t>> mReported;
  /** Work of a model's batches, newest counting most, and the weights that
   * follow. They change only when the work has clearly shifted: a server that
   * moves to another model loads it first. */
  std::map<std::string, double> mWork;
  model_shares mWeights;
  /** Since when a server has been told to load what it doesn't hold. */
  std::map<std::string, time_point> mLoadingSince;
  std::map<std::string, target_versions> mWanted;
  std::vector<waiter> mWaiters;
  std::map<std::string, time_point> mLastAsked;
  boost::asio::steady_timer mTimer;
  boost::asio::steady_timer mBurstTimer;
  bool mIsLookPlanned = false;
};

/** Path at which givers of orders ask; the server's address follows. */
constexpr char kAssignmentPath[] = "/assignments/";
/** The asker's claim isn't the newest. */
constexpr unsigned kNotController = 410;

/** What a giver of orders asks. */
struct assignment_request
{
  edge::endpoint mServer;
  controller_claim mClaim;
  /** Versions that its server holds. */
  std::map<std::string, std::int64_t> mHeld;
  /** What it was told last. */
  target_versions mKnown;
};

edge::request
EncodeAssignmentRequest(const assignment_request& aQuestion);

/** None for anything but an entry's answer. */
std::optional<target_versions>
DecodeAssignmentResponse(const edge::response& aResponse);

} // namespace lavender::versions
