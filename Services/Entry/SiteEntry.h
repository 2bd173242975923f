#pragma once

#include "Duties/Batches/BatchService.h"
#include "Duties/Batches/BlockFill.h"
#include "Duties/Billing/UsageDuty.h"
#include "Duties/Feed/StoreFeed.h"
#include "Duties/Forwarding/Forwarder.h"
#include "Duties/Registration/Announcer.h"
#include "Duties/Site/Evacuation.h"
#include "Duties/Site/SendLimits.h"
#include "Duties/Site/ServerChanges.h"
#include "Duties/Upkeep/UpkeepDuty.h"
#include "Duties/Versions/FallbackController.h"
#include "Libraries/ObjectStore/Mirror.h"
#include "Services/Entry/SiteSettings.h"
#include "platform/StoreClient.h"

#include <boost/asio/signal_set.hpp>

namespace lavender::entry {

/** An entry on the users' platform. One event loop serves callers, forwards
 * their requests to servers and runs batches. It also runs the duties that only
 * one entry performs at a time, such as usage reports. */
class site_entry
{
public:
  explicit site_entry(site_settings aSettings);

  /** Serves until SIGTERM or SIGINT.
   * @return exit status of the process */
  int Run();

private:
  std::string Open();
  std::vector<feed::watched_kind> WatchedKinds();
  registration::announced_entry Self() const;
  void AskToAnnounce(const edge::endpoint& aEntry,
                     const registration::announced_entry& aSelf,
                     registration::announce_done aDone);
  /** Follows the store's changes, through one of these entries if possible. */
  void JoinPeers(const registration::announcements& aListed);
  void ApplyConfiguration(const objects::stored_object& aObject);
  void ApplyVersion(const objects::stored_object& aObject);
  void UpdatePeers();
  /** Ends the announcement of an entry that is gone. */
  void RemovePeer(const std::string& aName);
  /** Names of all entries, those first that work for the others. */
  const std::vector<std::string>& EntryOrder();
  void ApplyServerObject(const objects::stored_object& aObject);
  void ApplyServerRemoval(const std::string& aId);
  void RecordServerChange(const std::string& aId, site::server_change aChange);
  void ApplyEvacuations(const site::evacuated_zones& aZones);
  /** Adapts the number of callers' connections to the size of the fleet. */
  void UpdateConnectionLimit();
  void ScheduleServerUpdate();
  void HandleServersChanged();
  void ServeCaller(const edge::exchange_ptr& aExchange);
  void ServeBatchCall(const edge::exchange_ptr& aExchange);
  /** Serves a request that is a call for a batch if there is such a batch, and
   * otherwise one for the route's servers. */
  void ServeBatchOrForward(const edge::exchange_ptr& aExchange,
                           const std::shared_ptr<const site::route>& aRoute);
  /** Serves a submission or a request for the route's servers. */
  void ServeRouted(const edge::exchange_ptr& aExchange,
                   const std::shared_ptr<const site::route>& aRoute);
  site::key_check CheckKeyOfBatchCall(const edge::request& aRequest) const;
  void ServeSubmission(const edge::exchange_ptr& aExchange,
                       const std::string& aCustomer);
  /** Whether a submission of that size can be decoded beside what callers'
   * requests hold. */
  bool HasRoomToDecode(std::size_t aBodyBytes) const;
  void ServeForwardedSubmission(const edge::exchange_ptr& aExchange);
  void ServeAnnouncement(const edge::exchange_ptr& aExchange);
  void ServePeer(const edge::exchange_ptr& aExchange);
  void ServeReadiness(const edge::exchange_ptr& aExchange);
  void SendUsage(const billing::usage_report& aReport,
                 std::function<void(billing::report_outcome)> aDone);
  void WaitForSignals();
  void StartDrain();
  void CheckDrained();
  /** Gives each request that is still open the answer that is true of it. */
  void AnswerOpenRequests();
  /** Ends the loop, and logs what the stop has cost the callers. */
  void EndStop();
  void Deny(const edge::exchange_ptr& aExchange,
            unsigned aStatus,
            const char* aReason);
  std::optional<edge::endpoint> FindPeer(const std::string& aName) const;
  /** Entries that can relay store calls for this entry. */
  storeaccess::helper_candidates HelperCandidates() const;
  /** Entries in regions where the batch may be processed, weighted by the
   * square of their processor share. A model's batches run at one entry and
   * can't be split, so small instances should get few: an entry with five times
   * the processor share gets 25 times as many. */
  std::vector<weighted_candidate> WeightedEntries(
    const batches::batch_affiliation& aBatch) const;
  /** Whether this entry is the one that sends to the server while it warms up:
   * of the entries that run batches, or of all entries if there are none. */
  bool IsDesignatedSender(const site::backend_server& aServer) const;
  std::string MetricsText();
  void SetListenerGauges();
  bool IsReady() const;

  const site_settings mSettings;
  boost::asio::io_context mLoop{ 1 };
  std::shared_ptr<edge::client_pool> mClients;
  platform::store_counts mStoreCounts;
  storeaccess::store_transport mDirectTransport;
  storeaccess::store_access mStoreAccess;
  /** Sends calls directly, without relaying them through other entries. */
  objects::object_store mDirectStore;
  objects::object_store mStore;
  metrics::registry mMetrics;
  site::exchange_protocol mProtocol;
  site::configuration_ptr mConfiguration;
  site::server_directory mDirectory;
  std::shared_ptr<edge::listener_limits> mLimits;
  registration::announcements mAnnouncements;
  /** All entries, this one included. */
  std::map<std::string, registration::announced_entry> mPeers;
  /** Empty if mPeers has changed since it was derived. */
  std::vector<std::string> mEntryOrder;
  site::send_limits mSendLimits;
  site::server_loads mLoads;
  forwarding::pool_router mRouter;
  forwarding::forwarder mForwarder;
  rewards::reward_client mRewards;
  site::server_checks mServerChecks;
  batches::batch_runner mRunner;
  batches::batch_service mBatches;
  versions::claim_table mClaims;
  versions::assignments mAssignments;
  billing::usage_duty mUsage;
  registration::registrar mRegistrar;
  registration::announcer mAnnouncer;
  feed::store_feed mFeed;
  versions::fallback_controller mFallback;
  upkeep::upkeep_duty mUpkeep;
  edge::listener mCallers;
  edge::listener mReadiness;
  edge::listener mPeerListener;
  edge::listener mMetricsListener;
  boost::asio::signal_set mSignals;
  boost::asio::steady_timer mDrainTimer;
  boost::asio::steady_timer mDirectoryTimer;
  boost::asio::steady_timer mServerUpdateTimer;
  boost::asio::steady_timer mServerSummaryTimer;
  site::server_changes mServerChanges;
  bool mIsServerUpdateScheduled = false;
  /** Whether the store, as known here, announces this entry. */
  bool mIsAnnounced = false;
  std::optional<time_point> mDrainStart;
  bool mHasHandedOver = false;
  bool mHasAnsweredOpenRequests = false;
  /** Requests that were answered at the end of the grace period although their
   * server may have run them. */
  std::size_t mGivenUpRequests = 0;
};

} // namespace lavender::entry
