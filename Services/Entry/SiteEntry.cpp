#include "Services/Entry/SiteEntry.h"

#include "Duties/Site/DescriptorBudget.h"
#include "Duties/Site/EntryKind.h"
#include "Duties/Site/EntryOrder.h"
#include "Duties/Site/Regions.h"
#include "Libraries/Core/Identity.h"
#include "Libraries/Edge/LoopScheduler.h"
#include "Libraries/EventLog/EventLog.h"
#include "platform/BatchMessages.h"
#include "platform/Decode.h"
#include "platform/ExchangeProtocol.h"
#include "platform/Names.h"
#include "platform/Orders.h"

#include <algorithm>
#include <csignal>

namespace lavender::entry {

using namespace std::chrono_literals;

namespace {

/** A complete feed of the largest supported site has a few MB. */
constexpr std::size_t kMaximumFeedBytes = 16 << 20;
/** A registrar's write of what it has gathered takes some tenths of a second.
 */
constexpr milliseconds kAnnounceTimeout = 1500ms;
/** A usage report without a response within this time is sent again. */
constexpr milliseconds kReportTimeout = 1200ms;

edge::listener_options
Named(const char* aName)
{
  edge::listener_options options;
  options.mName = aName;
  return options;
}

/** A request that each entry answers at once. */
edge::request
MakePing()
{
  edge::request ping;
  ping.mMethod = "GET";
  ping.mTarget = std::string(billing::kUsagePath) + "0";
  return ping;
}

} // namespace

site_entry::site_entry(site_settings aSettings)
  : mSettings(std::move(aSettings))
  , mClients(std::make_shared<edge::client_pool>(mLoop))
  , mDirectTransport(
      platform::DirectTransport(mLoop, mClients, mSettings.mStore))
  , mStoreAccess({ edge::LoopScheduler(mLoop),
                   mDirectTransport,
                   [this](const edge::endpoint& aEntry,
                          const edge::request& aRequest,
                          milliseconds aDeadline,
                          edge::whole_answer aDone) {
                     edge::call_options options;
                     options.mSilenceTimeout = aDeadline;
                     edge::FetchWhole(*mClients,
                                      mLoop,
                                      aEntry,
                                      aRequest,
                                      options,
                                      aDeadline,
                                      platform::kMaximumPageBytes,
                                      std::move(aDone));
                   },
                   [this] { return HelperCandidates(); },
                   platform::IsTurnedAway,
                   platform::EncodeTrial(site::kEntryKind, mSettings.mName) })
  , mDirectStore(platform::MakeStore(mDirectTransport, mStoreCounts))
  , mStore(platform::MakeStore(
      [this](const edge::request& aRequest,
             milliseconds aDeadline,
             const edge::call_options& aOptions,
             edge::whole_answer aDone) {
        mStoreAccess.Call(aRequest, aDeadline, aOptions, std::move(aDone));
      },
      mStoreCounts))
  , mProtocol(platform::MakeExchangeProtocol())
  , mLimits(std::make_shared<edge::listener_limits>())
  , mSendLimits(mDirectory,
                mConfiguration,
                [this](const site::backend_server& aServer) {
                  return IsDesignatedSender(aServer);
                })
  , mLoads(
      mDirectory,
      mMetrics,
      [this](const std::string& aServer) { return mRunner.RunsOn(aServer); })
  , mRouter(mDirectory,
            mSendLimits,
            mLoads,
            *mClients,
            mSettings.mAvailabilityZone)
  , mForwarder({ mLoop,
                 *mClients,
                 mProtocol,
                 mRouter,
                 mMetrics,
                 [this](const std::string& aCustomer) {
                   mUsage.CountStart(aCustomer);
                 } })
  , mRewards({ mLoop, *mClients, mProtocol, mConfiguration, mRouter, mMetrics })
  , mServerChecks(mLoop, *mClients, mProtocol, mDirectory, mMetrics)
  , mRunner(
      { mLoop,
        *mClients,
        mProtocol,
        mDirectory,
        mConfiguration,
        mSendLimits,
        mLoads,
        mMetrics,
        mRewards,
        mServerChecks,
        [this](const std::string& aBatchId, batches::item_result aResult) {
          mBatches.AddResult(aBatchId, std::move(aResult));
        },
        [this](const std::string& aBatchId) { mBatches.StoreRuns(aBatchId); },
        mSettings.mName,
        batches::LargestText(mSettings.mStoreObjectBytes) })
  , mBatches({ mLoop,
               mStore,
               *mClients,
               mRunner,
               mMetrics,
               platform::MakePageFormat(),
               mSettings.mName,
               [this](const std::string& aName) { return FindPeer(aName); },
               [this](const batches::batch_affiliation& aBatch) {
                 return WeightedEntries(aBatch);
               },
               [this] { return mStoreAccess.CanReachStore(); },
               [this](const batches::batch_metadata& aMetadata) {
                 mAssignments.HandleBatchSubmitted(
                   { aMetadata.mMinimumVersion,
                     aMetadata.mExpectedTokens,
                     aMetadata.mLongItemTokens,
                     { aMetadata.mModel,
                       aMetadata.mServerSpeeds,
                       aMetadata.mMedianEventTime } });
               },
               mSettings.mMemory.mItemBytes,
               mSettings.mStoreObjectBytes })
  , mAssignments({ mLoop, mDirectory, mConfiguration, mClaims, &mMetrics })
  , mUsage({ mLoop,
             mStore,
             *mClients,
             mSettings.mName,
             mSettings.mUsageWindow,
             mSettings.mLeaseDuration,
             [this] { return EntryOrder(); },
             [this](const std::string& aName) { return FindPeer(aName); },
             [this](const billing::usage_report& aReport,
                    std::function<void(billing::report_outcome)> aDone) {
               SendUsage(aReport, std::move(aDone));
             } })
  , mRegistrar(
      { edge::LoopScheduler(mLoop), mStore, site::kEntryKind, mSettings.mName })
  , mAnnouncer({ edge::LoopScheduler(mLoop),
                 mStore,
                 site::kEntryKind,
                 Self(),
                 [this](const edge::endpoint& aEntry,
                        const registration::announced_entry& aSelf,
                        registration::announce_done aDone) {
                   AskToAnnounce(aEntry, aSelf, std::move(aDone));
                 },
                 [this](const objects::stored_object& aOwn) {
                   mRegistrar.SetOwnObject(aOwn);
                 },
                 [this](const auto& aListed) { JoinPeers(aListed); } })
  , mFeed({ edge::LoopScheduler(mLoop),
            mStore,
            mDirectStore,
            [this](const edge::endpoint& aEntry,
                   const edge::request& aRequest,
                   const edge::call_options& aOptions,
                   milliseconds aDeadline,
                   edge::whole_answer aDone) {
              edge::FetchWhole(*mClients,
                               mLoop,
                               aEntry,
                               aRequest,
                               aOptions,
                               aDeadline,
                               kMaximumFeedBytes,
                               std::move(aDone));
            },
            mSettings.mName,
            site::kEntryKind,
            [this] {
              std::vector<feed::feed_candidate> candidates;
              for (const auto& name : EntryOrder()) {
                candidates.push_back({ name, mPeers.at(name).mAddress });
              }
              return candidates;
            },
            [this](bool aIsReachable) {
              if (aIsReachable) {
                site::RecordOutageEnd(mDirectory, boot_clock::now());
              } else {
                mAssignments.RejectWaiting();
              }
            } },
          WatchedKinds())
  , mFallback({ mLoop,
                *mClients,
                mStore,
                mSettings.mName,
                mSettings.mLeaseDuration,
                mSettings.mPeers,
                mDirectory,
                mConfiguration,
                mClaims,
                mAssignments,
                [this] { return mFeed.IsWatching() && !mDrainStart; },
                [this](const std::string& aName) { return FindPeer(aName); },
                MakePing,
                platform::EncodeReportRequest,
                platform::DecodeReport,
                platform::EncodeOrder })
  , mUpkeep({ mLoop,
              mStore,
              *mClients,
              mSettings.mName,
              mSettings.mResultRetention,
              [this] { return mFeed.IsWatching() && !mDrainStart; },
              [this] {
                std::map<std::string, edge::endpoint> entries;
                for (const auto& [name, known] : mPeers) {
                  entries[name] = known.mAddress;
                }
                return entries;
              },
              [this](const std::string& aEntry) { RemovePeer(aEntry); },
              [this] { return mBatches.ListBatches(); },
              MakePing })
  , mCallers(mLoop,
             mLimits,
             [this](const auto& aExchange) { ServeCaller(aExchange); })
  , mReadiness(
      mLoop,
      std::make_shared<edge::listener_limits>(
        BodilessLimits(mSettings.mMemory)),
      [this](const auto& aExchange) { ServeReadiness(aExchange); },
      Named("readiness"))
  , mPeerListener(
      mLoop,
      std::make_shared<edge::listener_limits>(PeerLimits(mSettings.mMemory)),
      [this](const auto& aExchange) { ServePeer(aExchange); },
      Named("peers"))
  , mMetricsListener(
      mLoop,
      std::make_shared<edge::listener_limits>(
        BodilessLimits(mSettings.mMemory)),
      [this](const auto& aExchange) {
        edge::response page{ 200, {}, MetricsText() };
        page.mHeaders.Add("Content-Type", "text/plain");
        aExchange->Answer(std::move(page));
      },
      Named("metrics"))
  , mSignals(mLoop, SIGTERM, SIGINT, SIGHUP)
  , mDrainTimer(mLoop)
  , mDirectoryTimer(mLoop)
  , mServerUpdateTimer(mLoop)
  , mServerSummaryTimer(mLoop)
{
  mDirectory.mRegions = mSettings.mRegions;
  UpdateConnectionLimit();
  LimitCallers(*mLimits, mSettings.mMemory);
  mClients->LimitAnswers(mSettings.mMemory.mAnswerBytes);
}

std::string
site_entry::Open()
{
  for (auto [listener, address] :
       { std::pair{ &mCallers, mSettings.mCallers },
         std::pair{ &mReadiness, mSettings.mReadiness },
         std::pair{ &mPeerListener, mSettings.mPeers } }) {
    if (auto problem = listener->Open(address); !problem.empty()) {
      return problem;
    }
  }
  return mSettings.mMetrics ? mMetricsListener.Open(*mSettings.mMetrics)
                            : std::string();
}

int
site_entry::Run()
{
  std::signal(SIGPIPE, SIG_IGN);
  SwitchOff(mSettings.mDisabledMechanisms);
  if (const auto problem = Open(); !problem.empty()) {
    events::line("start_failed").With("reason", problem);
    return 1;
  }
  events::line("started")
    .With("zone", mSettings.mAvailabilityZone)
    .With("callers", mSettings.mCallers.Text())
    .With("peers", mSettings.mPeers.Text());
  UpdatePeers();
  WaitForSignals();
  mAnnouncer.Start();
  mUsage.Start();
  mUpkeep.Start();
  mFallback.Start();
  mLoop.run();
  events::line("stopped");
  return 0;
}

registration::announced_entry
site_entry::Self() const
{
  return { mSettings.mName,
           mSettings.mPeers,
           mSettings.mAvailabilityZone,
           mSettings.mProcessorShare };
}

void
site_entry::AskToAnnounce(const edge::endpoint& aEntry,
                          const registration::announced_entry& aSelf,
                          registration::announce_done aDone)
{
  edge::request request;
  request.mMethod = "POST";
  request.mTarget = registration::kAnnouncePath;
  request.mBody = json::Write(registration::EncodeEntry(aSelf));
  edge::call_options options;
  options.mSilenceTimeout = kAnnounceTimeout;
  edge::FetchWhole(*mClients,
                   mLoop,
                   aEntry,
                   request,
                   options,
                   kAnnounceTimeout,
                   64 << 10,
                   [done = std::move(aDone)](edge::call_end aEnd,
                                             const edge::response& aResponse) {
                     done(aEnd == edge::call_end::Complete &&
                          aResponse.mStatus == 200);
                   });
}

void
site_entry::UpdateConnectionLimit()
{
  mLimits->mMaximumConnections = site::MaximumCallerConnections(
    mSettings.mDescriptors, { mPeers.size(), mDirectory.mRows.size() });
}

storeaccess::helper_candidates
site_entry::HelperCandidates() const
{
  storeaccess::helper_candidates candidates{ mSettings.mName,
                                             mFeed.Origin(),
                                             {} };
  // An entry that watches the store itself either reaches it or knows of no
  // entry that does.
  if (mFeed.Source()) {
    for (const auto& [name, known] : mPeers) {
      candidates.mEntries.push_back({ name, known.mAddress });
    }
  }
  return candidates;
}

const std::vector<std::string>&
site_entry::EntryOrder()
{
  if (mEntryOrder.empty()) {
    std::vector<site::listed_entry> entries;
    for (const auto& [name, known] : mPeers) {
      entries.push_back({ name, known.mProcessorShare });
    }
    mEntryOrder = site::OrderEntries(std::move(entries));
  }
  return mEntryOrder;
}

std::vector<weighted_candidate>
site_entry::WeightedEntries(const batches::batch_affiliation& aBatch) const
{
  const auto route =
    mConfiguration
      ? site::FindRoute(*mConfiguration, aBatch.mHost, aBatch.mPath)
      : nullptr;
  const auto* customer =
    mConfiguration ? site::FindCustomer(*mConfiguration, aBatch.mCustomer)
                   : nullptr;
  std::vector<weighted_candidate> entries;
  for (const auto& [name, known] : mPeers) {
    if (site::IsZoneAllowed(mDirectory.mRegions,
                            route.get(),
                            customer,
                            known.mAvailabilityZone)) {
      entries.push_back(
        { name, known.mProcessorShare * known.mProcessorShare });
    }
  }
  return entries;
}

bool
site_entry::IsDesignatedSender(const site::backend_server& aServer) const
{
  std::vector<weighted_candidate> candidates;
  for (const auto& owner : mBatches.OwnersOfOpenBatches()) {
    candidates.push_back({ owner, 1 });
  }
  if (candidates.empty()) {
    for (const auto& [name, known] : mPeers) {
      candidates.push_back({ name, 1 });
    }
  }
  return ChooseByRendezvous(aServer.mId, candidates) == mSettings.mName;
}

std::string
site_entry::MetricsText()
{
  const auto gauge = [this](const char* aName, double aValue) {
    mMetrics.SetGauge(aName, {}, aValue);
  };
  gauge("lavender_configuration_version",
        mConfiguration ? static_cast<double>(mConfiguration->mVersion) : -1);
  gauge("lavender_servers_known", static_cast<double>(mDirectory.mRows.size()));
  const auto now = boot_clock::now();
  for (const auto& [zone, since] : mDirectory.mEvacuatedZones) {
    mMetrics.SetGauge("lavender_zone_evacuated_seconds",
                      { { "zone", zone } },
                      std::chrono::duration<double>(now - since).count());
  }
  gauge("lavender_servers_warming",
        static_cast<double>(std::count_if(mDirectory.mRows.begin(),
                                          mDirectory.mRows.end(),
                                          [now](const auto& aRow) {
                                            return now <
                                                   site::WarmAt(aRow.second);
                                          })));
  gauge("lavender_open_batches", static_cast<double>(mBatches.OpenBatches()));
  gauge("lavender_batch_item_bytes", static_cast<double>(mBatches.ItemBytes()));
  gauge("lavender_rewards_open", static_cast<double>(mRewards.Open()));
  gauge("lavender_requests_under_way",
        static_cast<double>(mCallers.Requests()));
  gauge("lavender_peer_connections",
        static_cast<double>(mPeerListener.Connections()));
  gauge("lavender_connection_buffer_bytes",
        static_cast<double>(mCallers.BufferBytes() +
                            mPeerListener.BufferBytes() +
                            mClients->IdleBytes()));
  SetListenerGauges();
  gauge("lavender_answer_bytes", static_cast<double>(mClients->AnswerBytes()));
  gauge("lavender_answers_discarded",
        static_cast<double>(mClients->Counts().mDiscarded));
  gauge("lavender_store_reachable", mFeed.IsReachable() ? 1 : 0);
  gauge("lavender_feed_age_ms", static_cast<double>(mFeed.Age().count()));
  gauge("lavender_feed_watches", mFeed.IsWatching() ? 1 : 0);
  gauge("lavender_connections_opened",
        static_cast<double>(mClients->Counts().mOpened));
  gauge("lavender_connections_reused",
        static_cast<double>(mClients->Counts().mReused));
  gauge("lavender_log_lines_dropped",
        static_cast<double>(events::DroppedLines()));
  for (const auto& [call, calls] : mStoreCounts.mCalls) {
    mMetrics.SetGauge("lavender_store_calls",
                      { { "operation", call.mOperation },
                        { "kind", call.mKind },
                        { "outcome", call.mOutcome } },
                      static_cast<double>(calls));
  }
  for (const auto& [kind, objects] : mStoreCounts.mUnreadable) {
    mMetrics.SetGauge("lavender_store_objects_unreadable",
                      { { "kind", kind } },
                      static_cast<double>(objects));
  }
  for (const auto& [kind, listings] : mStoreCounts.mListingFaults) {
    mMetrics.SetGauge("lavender_store_listing_faults",
                      { { "kind", kind } },
                      static_cast<double>(listings));
  }
  return mMetrics.Write();
}

void
site_entry::SetListenerGauges()
{
  for (const auto* listener :
       { &mCallers, &mReadiness, &mPeerListener, &mMetricsListener }) {
    const auto set = [&](const char* aName,
                         const char* aLabel,
                         const char* aValue,
                         auto aCount) {
      metrics::labels labels{ { "listener", listener->Name() } };
      if (aLabel) {
        labels[aLabel] = aValue;
      }
      mMetrics.SetGauge(aName, labels, static_cast<double>(aCount));
    };
    const auto& counts = listener->Counts();
    constexpr auto kEnded = "lavender_connections_ended";
    set("lavender_request_bytes", nullptr, "", listener->HeldBytes());
    set(kEnded, "how", "refused", counts.mRefused);
    set(kEnded, "how", "reset", counts.mReset);
    set(kEnded, "how", "closed", counts.mClosed);
    set(kEnded, "how", "not_accepted", counts.mNotAccepted);
  }
}

bool
site_entry::IsReady() const
{
  return mConfiguration && mFeed.HasListed() && !mDrainStart;
}

void
site_entry::ServeReadiness(const edge::exchange_ptr& aExchange)
{
  aExchange->Answer({ IsReady() ? 200u : 503u, {}, {} });
}

std::optional<edge::endpoint>
site_entry::FindPeer(const std::string& aName) const
{
  const auto found = mPeers.find(aName);
  return found == mPeers.end() ? std::nullopt
                               : std::optional(found->second.mAddress);
}

void
site_entry::SendUsage(const billing::usage_report& aReport,
                      std::function<void(billing::report_outcome)> aDone)
{
  edge::call_options options;
  options.mMayReuse = false;
  edge::FetchWhole(
    *mClients,
    mLoop,
    mSettings.mReports,
    platform::EncodeUsage(aReport),
    options,
    kReportTimeout,
    64 << 10,
    [done = std::move(aDone)](edge::call_end aEnd,
                              const edge::response& aResponse) {
      if (aEnd != edge::call_end::Complete) {
        done(!edge::MayHaveBeenSent(aEnd) ? billing::report_outcome::Refused
                                          : billing::report_outcome::Unknown);
        return;
      }
      done(aResponse.mStatus == 200 ? billing::report_outcome::Accepted
                                    : billing::report_outcome::Refused);
    });
}

void
site_entry::WaitForSignals()
{
  mSignals.async_wait([this](const auto& aError, int aSignal) {
    if (aError) {
      return;
    }
    if (aSignal == SIGHUP) {
      // Everything that can change at run time is read from the store, so there
      // is nothing to reload.
      events::line("reloaded");
    } else if (!mDrainStart) {
      StartDrain();
    }
    WaitForSignals();
  });
}

} // namespace lavender::entry
