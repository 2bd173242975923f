#include "Duties/Versions/SubstituteGiver.h"
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

/** A store, one model server, and what entries and agents know of them. */
struct giver_site
{
  giver_site()
  {
    auto known = std::make_shared<site::site_configuration>();
    known->mVersion = 1;
    site::server_pool pool;
    pool.mName = "pool";
    pool.mEngine = site::engine_pool{ 12, { "model" } };
    known->mPools["pool"] = pool;
    mConfiguration = known;
    site::ApplyServer(mDirectory, mServer.Entry());
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
};

/** The duties of an entry about orders. */
struct giving_entry
{
  giving_entry(giver_site& aSite, const std::string& aName)
    : mAssignments(
        { aSite.mLoop.mLoop, aSite.mDirectory, aSite.mConfiguration, mClaims })
    , mListener(
        aSite.mLoop.mLoop,
        std::make_shared<edge::listener_limits>(),
        [this](const auto& aExchange) { mAssignments.Serve(aExchange); })
  {
    mListener.Open({ "127.0.0.1", 0 });
    objects::mirror_options options;
    options.mKind = kControllerKind;
    objects::mirror_events heard;
    heard.mOnListed = [this](const auto& aObjects) {
      ApplyClaimListing(mClaims, aObjects);
      mAssignments.RejectSuperseded();
    };
    heard.mOnEvent = [this](const auto& aEvent) {
      ApplyClaimEvent(mClaims, aEvent);
      mAssignments.RejectSuperseded();
    };
    mMirror = std::make_shared<objects::mirror>(
      edge::LoopScheduler(aSite.mLoop.mLoop), aSite.mStore, options, heard);
    mMirror->Start();
    mSubstitute.emplace(
      controller_dependencies{ aSite.mLoop.mLoop,
                               *aSite.mClients,
                               aSite.mStore,
                               aName,
                               { "127.0.0.1", mListener.Port() },
                               aSite.mDirectory,
                               aSite.mConfiguration,
                               mClaims,
                               mAssignments,
                               [this] { return mMayClaim; },
                               platform::EncodeReportRequest,
                               platform::DecodeReport,
                               platform::EncodeOrder });
    mSubstitute->Start();
  }

  ~giving_entry() { mMirror->Stop(); }

  bool mMayClaim = true;
  claim_table mClaims;
  assignments mAssignments;
  edge::listener mListener;
  std::shared_ptr<objects::mirror> mMirror;
  std::optional<fallback_controller> mSubstitute;
};

std::optional<order_permission>
Claim(giver_site& aSite, const std::string& aGiver)
{
  std::optional<order_permission> right;
  bool isDone = false;
  ClaimServer(aSite.mStore,
              aSite.Name(),
              aGiver,
              [&](std::optional<order_permission> aRight) {
                right = aRight;
                isDone = true;
              });
  BOOST_TEST(aSite.mLoop.RunUntil([&] { return isDone; }));
  return right;
}

/** Asks what the server shall hold; the answer's status comes later. */
std::shared_ptr<unsigned>
StartAsking(giver_site& aSite,
            giving_entry& aEntry,
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

/** Status of the answer to a giver's question. */
unsigned
Ask(giver_site& aSite, giving_entry& aEntry, const controller_claim& aClaim)
{
  const auto status = StartAsking(aSite, aEntry, aClaim, { { "model", 1 } });
  BOOST_TEST(aSite.mLoop.RunUntil([&] { return *status != 0; }));
  return *status;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestGivers)

// Training stops after three steps on a deployment without instances beside its
// servers: only agents gave orders, so no version but the first was loaded. Two
// entries take themselves for the one that watches the store; one orders.
BOOST_AUTO_TEST_CASE(AServerWithoutAgentIsGivenOrdersByOneEntry)
{
  giver_site site;
  giving_entry first(site, "front-1");
  giving_entry second(site, "front-2");
  first.mAssignments.HandleVersionAnnounced("model", 2);
  second.mAssignments.HandleVersionAnnounced("model", 2);
  BOOST_TEST(
    site.mLoop.RunUntil([&] { return site.mServer.mVersion == 2; }, 12s));
  first.mAssignments.HandleVersionAnnounced("model", 3);
  second.mAssignments.HandleVersionAnnounced("model", 3);
  BOOST_TEST(
    site.mLoop.RunUntil([&] { return site.mServer.mVersion == 3; }, 5s));
  std::set<std::string> givers;
  for (const auto& [epoch, giver] : site.mServer.mOrders) {
    givers.insert(giver);
  }
  BOOST_TEST(givers.size() == 1u);
  BOOST_TEST(site.mServer.mOrders.size() == 2u);
}

// Two give one server orders in turn: an agent starts beside a server that an
// entry has claimed, and orders while the entry's last order is on its way.
BOOST_AUTO_TEST_CASE(WhoTakesAClaimWaitsAndHasAHigherEpoch)
{
  giver_site site;
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

// All servers wait for seconds whenever their agents are restarted.
BOOST_AUTO_TEST_CASE(AnAgentThatStartsAgainOrdersAtOnce)
{
  giver_site site;
  const auto before = Claim(site, "side-1");
  const auto after = Claim(site, "side-1");
  BOOST_REQUIRE(before);
  BOOST_REQUIRE(after);
  BOOST_TEST(after->mEpoch > before->mEpoch);
  BOOST_TEST((after->mNotBefore <= boot_clock::now()));
}

// A giver that lost its claim goes on ordering: it still asks an entry that
// tells it what is wanted. Its question may wait there already.
BOOST_AUTO_TEST_CASE(OnlyTheHolderOfTheClaimIsTold)
{
  giver_site site;
  const auto entry = Claim(site, "front-1");
  BOOST_REQUIRE(entry);
  giving_entry asked(site, "front-9");
  asked.mMayClaim = false;
  const auto status =
    StartAsking(site, asked, { "front-1", false, entry->mEpoch }, {});
  const auto agent = Claim(site, "side-1");
  BOOST_REQUIRE(agent);
  BOOST_TEST(
    site.mLoop.RunUntil([&] { return *status == kNotController; }, 5s));
  BOOST_TEST(Ask(site, asked, { "front-1", false, entry->mEpoch }) ==
             kNotController);
  asked.mAssignments.HandleVersionAnnounced("model", 2);
  BOOST_TEST(Ask(site, asked, { "side-1", false, agent->mEpoch }) == 200u);
}

// A server keeps its old weights for good after its agent has ended for good.
// One whose giver lives, or that needs nothing, is left alone.
BOOST_AUTO_TEST_CASE(ASilentGiverIsReplacedWhenALoadIsOverdue)
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
  view.mLastAsked = now - 9s;
  BOOST_TEST(!NeedsFallbackController(view, "front-1", now));
  view.mLastAsked = now - 21s;
  BOOST_TEST(NeedsFallbackController(view, "front-1", now));
  view.mClaim->mController = "front-1";
  BOOST_TEST(!NeedsFallbackController(view, "front-1", now));
}

BOOST_AUTO_TEST_SUITE_END()
