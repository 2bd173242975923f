#pragma once

#include "Duties/Batches/BatchService.h"
#include "Duties/Billing/UsageDuty.h"
#include "Duties/Feed/StoreFeed.h"
#include "Duties/Forwarding/Forwarder.h"
#include "Duties/Site/ServerChanges.h"
#include "Duties/Upkeep/UpkeepDuty.h"
#include "Duties/Versions/SubstituteGiver.h"
#include "Libraries/ObjectStore/Mirror.h"
#include "Services/Entry/SiteSettings.h"
#include "platform/StoreClient.h"

#include <boost/asio/signal_set.hpp>

namespace lavender::entry {

/** An entry on the users' platform: one loop that serves callers, passes their
 * requests on to servers, runs batches, and shares the duties that one entry
 * at a time has. */
class site_entry
{
public:
  explicit site_entry(site_settings aSettings);

  /** Serves until a signal ends it.
   * @return the process's exit status */
  int Run();

private:
  struct peer
  {
    edge::endpoint mAddress;
    /** Part of a processor core that it may use. */
    double mProcessorShare = 1;
  };

  std::string Open();
  std::vector<feed::watched_kind> FollowedKinds();
  void Announce();
  void JoinPeers();
  void ApplyConfiguration(const objects::stored_object& aObject);
  void TakeVersion(const objects::stored_object& aObject);
  void TakePeer(const objects::stored_object& aObject);
  void DropPeer(const std::string& aName);
  void TakeServerObject(const objects::stored_object& aObject);
  void TakeServerRemoval(const std::string& aId);
  void NoteServerChange(const std::string& aId, site::server_change aChange);
  void PlanServersChanged();
  void AfterServersChanged();
  void ServeCaller(const edge::exchange_ptr& aExchange);
  void ServeBatchCall(const edge::exchange_ptr& aExchange,
                      const std::shared_ptr<const site::customer>& aCustomer);
  void ServeSubmission(const edge::exchange_ptr& aExchange,
                       const std::string& aCustomer);
  void ServePassedSubmission(const edge::exchange_ptr& aExchange);
  void ServePeer(const edge::exchange_ptr& aExchange);
  void ServeReadiness(const edge::exchange_ptr& aExchange);
  void SendUsage(const billing::usage_report& aReport,
                 std::function<void(billing::report_outcome)> aDone);
  void WaitForSignals();
  void StartLeaving();
  void LookWhetherDone();
  void Deny(const edge::exchange_ptr& aExchange,
            unsigned aStatus,
            const char* aReason);
  std::optional<edge::endpoint> FindPeer(const std::string& aName) const;
  /** Entries that may reach the store for this one. */
  storeaccess::helper_candidates Helpers() const;
  std::vector<std::string> EntryNames() const;
  /** A model's batches run at one entry and can't be split, so a small instance
   * is a bad place for them: one with five times the processor gets
   * twenty-five times as many. */
  std::vector<weighted_candidate> WeighedEntries() const;
  std::string MetricsText();
  bool IsReady() const;

  const site_settings mSettings;
  boost::asio::io_context mLoop{ 1 };
  std::shared_ptr<edge::client_pool> mClients;
  platform::store_counts mStoreCounts;
  storeaccess::store_transport mDirectTransport;
  storeaccess::store_access mStoreAccess;
  /** Calls that no other entry helps with. */
  objects::object_store mDirectStore;
  objects::object_store mStore;
  metrics::registry mMetrics;
  site::exchange_protocol mProtocol;
  site::configuration_ptr mConfiguration;
  site::server_directory mDirectory;
  std::shared_ptr<edge::listener_limits> mLimits;
  std::map<std::string, peer> mPeers;
  forwarding::pool_router mRouter;
  forwarding::forwarder mForwarder;
  rewards::reward_client mRewards;
  batches::batch_runner mRunner;
  batches::batch_service mBatches;
  versions::claim_table mClaims;
  versions::assignments mAssignments;
  billing::usage_duty mUsage;
  feed::store_feed mFeed;
  versions::fallback_controller mSubstitute;
  upkeep::upkeep_duty mUpkeep;
  edge::listener mCallers;
  edge::listener mReadiness;
  edge::listener mPeerListener;
  edge::listener mMetricsListener;
  boost::asio::signal_set mSignals;
  boost::asio::steady_timer mLeaveTimer;
  boost::asio::steady_timer mDirectoryTimer;
  boost::asio::steady_timer mAnnounceTimer;
  boost::asio::steady_timer mJoinTimer;
  boost::asio::steady_timer mServerLookTimer;
  boost::asio::steady_timer mServerLogTimer;
  site::server_changes mServerChanges;
  bool mIsServerLookPlanned = false;
  std::optional<time_point> mLeavingSince;
  bool mHasHandedOver = false;
  bool mHasJoined = false;
};

} // namespace lavender::entry
