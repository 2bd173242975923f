#include "Duties/Versions/FallbackController.h"
#include "Libraries/Edge/LoopScheduler.h"
#include "Libraries/ObjectStore/Mirror.h"
#include "StandIns/ObjectStore/MemoryStore.h"
#include "Tests/Site/Support/Loop.h"
#include "Tests/Site/Support/ModelServer.h"
#include "platform/Orders.h"

#include <boost/test/unit_test.hpp>
#include <set>

using namespace lavender;
using namespace lavender::tests;
using namespace lavender::versions;
using namespace std::chrono_literals;

namespace {

/** A store, one model server, and the directory and configuration that entries
 * and agents have. */
struct controller_site
{
  controller_site()
  {
    auto known = std::make_shared<site::site_configuration>();
    known->mVersion = 1;
    site::server_pool pool;
    pool.mName = "pool";
    pool.mEngine = site::engine_pool{ 12, { "model" } };
    known->mPools["pool"] = pool;
    mConfiguration = known;
    site::ApplyServer(mDirectory, mServer.Entry(), boot_clock::now());
  }

  std::optional<edge::endpoint> FindEntry(const std::string& aName) const
  {
    const auto found = mEntries.find(aName);
    return found == mEntries.end() ? std::nullopt
                                   : std::optional(found->second);
  }

  std::string Name() const { return ClaimName(mServer.Entry().mAddress); }

  test_loop mLoop;
  std::shared_ptr<edge::client_pool> mClients =
    std::make_shared<edge::client_pool>(mLoop.mLoop);
  standin::memory_store_state mState;
  objects::object_store mStore =
    standin::MakeMemoryStore(edge::LoopScheduler(mLoop.mLoop), mState);
  model_server mServer{ mLoop.mLoop, "s1" };
  site::server_directory mDirectory;
  site::configuration_ptr mConfiguration;
  std::map<std::string, edge::endpoint> mEntries;
};

/** The part of an entry that answers controllers and acts as one. */
struct controlling_entry
{
  controlling_entry(controller_site& aSite, const std::string& aName)
    : mAssignments(
        { aSite.mLoop.mLoop, aSite.mDirectory, aSite.mConfiguration, mClaims })
    , mListener(
        aSite.mLoop.mLoop,
        std::make_shared<edge::listener_limits>(),
        [this](const auto& aExchange) { mAssignments.Serve(aExchange); })
  {
    mListener.Open({ "127.0.0.1", 0 });
    aSite.mEntries[aName] = { "127.0.0.1", mListener.Port() };
    objects::mirror_options options;
    options.mKind = kControllerKind;
    objects::mirror_events callbacks;
    callbacks.mOnListed = [this](const auto& aObjects) {
      ApplyClaimListing(mClaims, aObjects);
      mAssignments.RejectSuperseded();
    };
    callbacks.mOnEvent = [this](const auto& aEvent) {
      ApplyClaimEvent(mClaims, aEvent);
      mAssignments.RejectSuperseded();
    };
    mMirror = std::make_shared<objects::mirror>(
      edge::LoopScheduler(aSite.mLoop.mLoop), aSite.mStore, options, callbacks);
    mMirror->Start();
    mFallback.emplace(controller_dependencies{
      aSite.mLoop.mLoop,
      *aSite.mClients,
      aSite.mStore,
      aName,
      3s,
      { "127.0.0.1", mListener.Port() },
      aSite.mDirectory,
      aSite.mConfiguration,
      mClaims,
      mAssignments,
      [this] { return mMayClaim; },
      [&aSite](const std::string& aEntry) { return aSite.FindEntry(aEntry); },
      [] {
        edge::request ping;
        ping.mMethod = "GET";
        ping.mTarget = "/";
        return ping;
      },
      platform::EncodeReportRequest,
      platform::DecodeReport,
      platform::EncodeOrder });
    mFallback->Start();
  }

  ~controlling_entry() { mMirror->Stop(); }

  bool mMayClaim = true;
  claim_table mClaims;
  assignments mAssignments;
  edge::listener mListener;
  std::shared_ptr<objects::mirror> mMirror;
  std::optional<fallback_controller> mFallback;
};

std::optional<order_permission>
Claim(controller_site& aSite,
      const std::string& aController,
      controller_kind aKind = controller_kind::Agent)
{
  std::optional<order_permission> grant;
  bool isDone = false;
  ClaimServer(aSite.mStore,
              aSite.Name(),
              { aController, aKind, 3s },
              [&](std::optional<order_permission> aGrant) {
                grant = aGrant;
                isDone = true;
              });
  BOOST_TEST(aSite.mLoop.RunUntil([&] { return isDone; }));
  return grant;
}

/** Requests the server's target versions.
 * @return the response's status, 0 until it arrives */
std::shared_ptr<unsigned>
StartRequest(controller_site& aSite,
             controlling_entry& aEntry,
             const controller_claim& aClaim,
             const std::map<std::string, std::int64_t>& aHeld)
{
  const auto status = std::make_shared<unsigned>(0);
  edge::FetchWhole(*aSite.mClients,
                   aSite.mLoop.mLoop,
                   { "127.0.0.1", aEntry.mListener.Port() },
                   EncodeAssignmentRequest(
                     { aSite.mServer.Entry().mAddress, aClaim, aHeld, {} }),
                   {},
                   20s,
                   1 << 20,
                   [status](edge::call_end, const edge::response& aAnswer) {
                     *status = aAnswer.mStatus;
                   });
  return status;
}

/** Returns the status of the response to a controller's request. */
unsigned
Request(controller_site& aSite,
        controlling_entry& aEntry,
        const controller_claim& aClaim)
{
  const auto status = StartRequest(aSite, aEntry, aClaim, { { "model", 1 } });
  BOOST_TEST(aSite.mLoop.RunUntil([&] { return *status != 0; }));
  return *status;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestControllers)

// Guards against servers without an agent getting no orders: they would never
// load a version after the first one, and training would stop after three
// steps. Both entries here believe that they are the one that watches the
// store, but only one may send orders.
BOOST_AUTO_TEST_CASE(AServerWithoutAgentIsGivenOrdersByOneEntry)
{
  controller_site site;
  controlling_entry first(site, "front-1");
  controlling_entry second(site, "front-2");
  first.mAssignments.HandleVersionAnnounced("model", 2);
  second.mAssignments.HandleVersionAnnounced("model", 2);
  BOOST_TEST(
    site.mLoop.RunUntil([&] { return site.mServer.mVersion == 2; }, 12s));
  first.mAssignments.HandleVersionAnnounced("model", 3);
  second.mAssignments.HandleVersionAnnounced("model", 3);
  BOOST_TEST(
    site.mLoop.RunUntil([&] { return site.mServer.mVersion == 3; }, 5s));
  std::set<std::string> controllers;
  for (const auto& [epoch, controller] : site.mServer.mOrders) {
    controllers.insert(controller);
  }
  BOOST_TEST(controllers.size() == 1u);
  BOOST_TEST(site.mServer.mOrders.size() == 2u);
}

// Guards against orders of two controllers that reach one server in turn: an
// agent starts on the instance of a server that an entry has claimed, and sends
// orders while the entry's last order is in transit.
BOOST_AUTO_TEST_CASE(ATakeoverOfAClaimWaitsAndHasAHigherEpoch)
{
  controller_site site;
  const auto entry = Claim(site, "front-1");
  BOOST_REQUIRE(entry);
  BOOST_TEST((entry->mNotBefore <= boot_clock::now()));
  const auto agent = Claim(site, "side-1");
  BOOST_REQUIRE(agent);
  BOOST_TEST(agent->mEpoch > entry->mEpoch);
  BOOST_TEST((agent->mNotBefore > boot_clock::now() + 7s));
  // A restart within the wait doesn't shorten it.
  const auto again = Claim(site, "side-1");
  BOOST_REQUIRE(again);
  BOOST_TEST(again->mEpoch > agent->mEpoch);
  BOOST_TEST((again->mNotBefore > boot_clock::now() + 7s));
}

// Guards against all servers waiting for seconds whenever their agents restart:
// an agent that claims its own server again needs no takeover delay.
BOOST_AUTO_TEST_CASE(AnAgentThatStartsAgainOrdersAtOnce)
{
  controller_site site;
  const auto before = Claim(site, "side-1");
  const auto after = Claim(site, "side-1");
  BOOST_REQUIRE(before);
  BOOST_REQUIRE(after);
  BOOST_TEST(after->mEpoch > before->mEpoch);
  BOOST_TEST((after->mNotBefore <= boot_clock::now()));
}

// Guards against a controller that lost its claim but still gets target
// versions from an entry, and so continues to send orders. Its request may
// already be held at the entry when the claim changes.
BOOST_AUTO_TEST_CASE(OnlyTheHolderOfTheClaimIsAnswered)
{
  controller_site site;
  const auto entry = Claim(site, "front-1");
  BOOST_REQUIRE(entry);
  controlling_entry asked(site, "front-9");
  asked.mMayClaim = false;
  const auto status =
    StartRequest(site, asked, { "front-1", false, entry->mEpoch }, {});
  const auto agent = Claim(site, "side-1");
  BOOST_REQUIRE(agent);
  BOOST_TEST(
    site.mLoop.RunUntil([&] { return *status == kNotController; }, 5s));
  BOOST_TEST(Request(site, asked, { "front-1", false, entry->mEpoch }) ==
             kNotController);
  asked.mAssignments.HandleVersionAnnounced("model", 2);
  BOOST_TEST(Request(site, asked, { "side-1", false, agent->mEpoch }) == 200u);
}

// Guards against a server that keeps its old weights because its agent has
// ended and nobody replaces it. A controller that is alive, or whose server
// needs no load, isn't replaced.
BOOST_AUTO_TEST_CASE(ASilentControllerIsReplacedWhenALoadIsOverdue)
{
  const auto now = boot_clock::now();
  controller_status view;
  view.mKnownSince = now - 1s;
  BOOST_TEST(!NeedsFallbackController(view, "front-1", now));
  view.mKnownSince = now - 60s;
  BOOST_TEST(NeedsFallbackController(view, "front-1", now));
  view.mClaim = controller_claim{ "side-1", false, 7 };
  BOOST_TEST(!NeedsFallbackController(view, "front-1", now));
  view.mLoadingSince = now - 11s;
  BOOST_TEST(NeedsFallbackController(view, "front-1", now));
  view.mLastRequestAt = now - 9s;
  BOOST_TEST(!NeedsFallbackController(view, "front-1", now));
  view.mLastRequestAt = now - 21s;
  BOOST_TEST(NeedsFallbackController(view, "front-1", now));
  view.mClaim->mController = "front-1";
  BOOST_TEST(!NeedsFallbackController(view, "front-1", now));
}

// Guards against servers whose orders end for good: the entry that controlled
// them is gone, and each entry that watches the store in its place waits for
// long without an order.
BOOST_AUTO_TEST_CASE(AnEntryThatIsGoneIsReplacedWithinSeconds)
{
  const auto now = boot_clock::now();
  controller_status view;
  view.mKnownSince = now - 1s;
  view.mClaim = controller_claim{ "front-1", false, 7, controller_kind::Entry };
  BOOST_TEST(!NeedsFallbackController(view, "front-2", now));
  view.mHolderSilentSince = now - 1900ms;
  BOOST_TEST(!NeedsFallbackController(view, "front-2", now));
  view.mHolderSilentSince = now - 2000ms;
  BOOST_TEST(NeedsFallbackController(view, "front-2", now));
  BOOST_TEST(!NeedsFallbackController(view, "front-1", now));

  controller_site site;
  site.mState.mRevision = 100;
  BOOST_REQUIRE(Claim(site, "front-1", controller_kind::Entry));
  controlling_entry second(site, "front-2");
  second.mAssignments.HandleVersionAnnounced("model", 2);
  BOOST_TEST(
    site.mLoop.RunUntil([&] { return site.mServer.mVersion == 2; }, 9s));
}

// Guards against orders of two entries in turn: the one that lost its claim
// learns of it from the store right before its order.
BOOST_AUTO_TEST_CASE(AnEntryThatLostItsClaimSendsNoOrder)
{
  controller_site site;
  const auto before = Claim(site, "front-1", controller_kind::Entry);
  const auto after = Claim(site, "front-2", controller_kind::Entry);
  BOOST_REQUIRE(before);
  BOOST_REQUIRE(after);
  BOOST_TEST((after->mNotBefore > boot_clock::now() + 2s));
  BOOST_TEST((after->mNotBefore < boot_clock::now() + 4s));
  const auto check = [&](std::int64_t aEpoch) {
    std::optional<claim_check> result;
    CheckClaim(site.mStore, site.Name(), aEpoch, [&](claim_check aCheck) {
      result = aCheck;
    });
    BOOST_TEST(site.mLoop.RunUntil([&] { return result.has_value(); }));
    return *result;
  };
  BOOST_TEST((check(before->mEpoch) == claim_check::Lost));
  BOOST_TEST((check(after->mEpoch) == claim_check::Held));
  site.mState.mFault = standin::store_fault::Refuse;
  BOOST_TEST((check(after->mEpoch) == claim_check::Unknown));
}

// Guards against two controllers that order in turn within a lease that is
// longer than an order's way to the server.
BOOST_AUTO_TEST_CASE(ATakeoverWaitsForTheLeaseInForce)
{
  const controller_claim entry{ "front-1", false, 7, controller_kind::Entry };
  const auto delay = [&](milliseconds aLease) {
    return TakeoverDelay(entry, { "front-2", controller_kind::Entry, aLease });
  };
  BOOST_TEST((delay(5s) == 5s));
  BOOST_TEST((delay(0ms) == kEntryTakeoverDelay));
  BOOST_TEST((TakeoverDelay(entry, { "side-1", controller_kind::Agent, 0ms }) ==
              kTakeoverDelay));
}

// Guards against an agent's last order that arrives after the first one of its
// successor's successor: the longer wait stays in force.
BOOST_AUTO_TEST_CASE(ATakeoverFromAnAgentKeepsItsLongerWait)
{
  controller_site site;
  Claim(site, "side-1");
  Claim(site, "front-1", controller_kind::Entry);
  const auto last = Claim(site, "front-2", controller_kind::Entry);
  BOOST_REQUIRE(last);
  BOOST_TEST((last->mNotBefore > boot_clock::now() + 7s));
}

BOOST_AUTO_TEST_SUITE_END()
