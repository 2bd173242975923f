#include "Libraries/Edge/LoopScheduler.h"
#include "Tests/Site/Support/Loop.h"
#include "platform/StoreClient.h"

#include <boost/test/unit_test.hpp>

using namespace lavender;
using namespace lavender::tests;

namespace {

/** An entry whose direct calls to the store have a given result, and the entry
 * that helps it. */
struct help_site
{
  help_site()
    : mHelper(mLoop.mLoop,
              std::make_shared<edge::listener_limits>(),
              [this](const auto& aExchange) {
                ++mHelped;
                aExchange->Answer({ mHelperStatus, {}, {} });
              })
  {
    mHelper.Open({ "127.0.0.1", 0 });
    mHelperPort = mHelper.Port();
  }

  /** Returns the outcome of one create as the entry sees it. */
  std::string Create()
  {
    const auto direct = [this](const edge::request&,
                               milliseconds,
                               const edge::call_options&,
                               const edge::whole_answer& aDone) {
      aDone(mDirectEnd, { mDirectStatus, {}, {} });
    };
    platform::store_counts counts;
    storeaccess::store_access access({
      edge::LoopScheduler(mLoop.mLoop),
      direct,
      [this](const edge::endpoint& aEntry,
             const edge::request& aRequest,
             milliseconds aDeadline,
             edge::whole_answer aDone) {
        edge::FetchWhole(*mClients,
                         mLoop.mLoop,
                         aEntry,
                         aRequest,
                         {},
                         aDeadline,
                         1 << 20,
                         std::move(aDone));
      },
      [this] {
        return storeaccess::helper_candidates{
          "self", "helper", { { "helper", { "127.0.0.1", mHelperPort } } }
        };
      },
      platform::IsTurnedAway,
      {},
    });
    const auto store = platform::MakeStore(
      [&access](const edge::request& aRequest,
                milliseconds aDeadline,
                const edge::call_options& aOptions,
                edge::whole_answer aDone) {
        access.Call(aRequest, aDeadline, aOptions, std::move(aDone));
      },
      counts);
    std::optional<objects::store_outcome> outcome;
    store.mCreate("kind", "name", "{}", [&](const auto& aReply) {
      outcome = aReply.mOutcome;
    });
    BOOST_TEST(mLoop.RunUntil([&] { return outcome.has_value(); }));
    return outcome ? objects::ToString(*outcome) : "none";
  }

  test_loop mLoop;
  std::shared_ptr<edge::client_pool> mClients =
    std::make_shared<edge::client_pool>(mLoop.mLoop);
  edge::call_end mDirectEnd = edge::call_end::TimedOut;
  unsigned mDirectStatus = 0;
  unsigned mHelperStatus = 503;
  int mHelped = 0;
  edge::listener mHelper;
  unsigned short mHelperPort = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(TestStoreHelp)

// Guards against a trainer that is told that its batch won't run though it
// does. The entry's write to the store got no response and was carried out
// seconds later. Meanwhile the store refused the helper too, and that refusal
// was taken for the outcome of the write.
BOOST_AUTO_TEST_CASE(ARefusalToTheHelperDoesntUndoAWriteWithoutAnswer)
{
  for (const auto end : { edge::call_end::TimedOut,
                          edge::call_end::Broken,
                          edge::call_end::Malformed }) {
    for (const unsigned status : { 503u, 429u }) {
      help_site site;
      site.mDirectEnd = end;
      site.mHelperStatus = status;
      BOOST_TEST(site.Create() == "unknown");
      BOOST_TEST(site.mHelped == 1);
    }
  }
}

// The same with a helper that has just ended, so that nothing was sent to it.
BOOST_AUTO_TEST_CASE(AMissingHelperDoesntUndoAWriteWithoutAnswer)
{
  help_site site;
  site.mHelper.StopAccepting();
  BOOST_TEST(site.Create() == "unknown");
}

/** A write that the store refused to both entries was not carried out. */
BOOST_AUTO_TEST_CASE(AWriteThatBothAreRefusedWasNotCarriedOut)
{
  help_site site;
  site.mDirectEnd = edge::call_end::Complete;
  site.mDirectStatus = 503;
  BOOST_TEST(site.Create() == "refused");
  BOOST_TEST(site.mHelped == 1);
}

BOOST_AUTO_TEST_SUITE_END()
