#include "Tests/Support/DeskSite.h"

#include <boost/test/unit_test.hpp>
#include <csignal>

using namespace lavender;
using namespace lavender::test;

namespace {

/** Compares a response with the number of runs that the desks counted. */
void
CheckAgainstRuns(desk_site& aSite,
                 const answer& aAnswer,
                 const std::string& aBody)
{
  const auto runs = aSite.RunsOf(aBody);
  BOOST_TEST_CONTEXT(aBody << " status=" << aAnswer.mStatus << " reason="
                           << ReasonOf(aAnswer) << " ran=" << RanOf(aAnswer))
  {
    BOOST_TEST(runs <= 1);
    if (aAnswer.mStatus == 200) {
      BOOST_TEST(runs == 1);
    }
    if (RanOf(aAnswer) == "not_run") {
      BOOST_TEST(runs == 0);
    }
  }
}

bool
WaitForRun(desk_site& aSite, const std::string& aBody)
{
  return WaitFor([&] { return aSite.RunsOf(aBody) == 1; });
}

/** Number of dispatches that agents refused because their cancellation arrived
 * first. */
std::int64_t
CountCancelledDispatches(desk_site& aSite)
{
  std::int64_t count = 0;
  for (const char* desk : { "desk-1", "desk-2" }) {
    count += CounterOf(aSite.Desk(desk).mAgent->Port("health"),
                       "lavender_agent_refusals_total",
                       "cancelled_before_arrival");
  }
  return count;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestRunOnce)

// A booking must be made, or refused as "not run" and not made. One agent has
// died before the dispatch, and the entries still consider it alive.
BOOST_AUTO_TEST_CASE(AgentKilledBeforeTheRun)
{
  desk_site site;
  site.Desk("desk-1").mAgent->Signal(SIGKILL);
  int refused = 0;
  for (int i = 0; i < 12; ++i) {
    const auto body = "before " + std::to_string(i);
    CheckAgainstRuns(site, site.Book("entry-1", body), body);
  }
  refused = static_cast<int>(CounterOf(site.Entry("entry-1").Health(),
                                       "lavender_retries_total",
                                       "server_unreachable"));
  BOOST_TEST(refused > 0, "no dispatch was sent to the dead agent");
}

// The agent dies while a booking runs. The caller must get "outcome unknown" at
// both entries, and the booking must never run twice.
BOOST_AUTO_TEST_CASE(AgentKilledDuringTheRun)
{
  desk_site site;
  site.SetRunTime(1500ms);
  auto booking = site.BookAsync("entry-1", "during", "key-during");
  BOOST_REQUIRE(WaitForRun(site, "during"));
  site.Desk("desk-1").mAgent->Signal(SIGKILL);
  site.Desk("desk-2").mAgent->Signal(SIGKILL);
  const auto first = booking.get();
  BOOST_TEST(RanOf(first) == "outcome_unknown");
  site.RestartAgent("desk-1");
  site.RestartAgent("desk-2");
  site.SetRunTime(0ms);
  BOOST_REQUIRE(site.WaitUntilServing());
  for (const char* entry : { "entry-1", "entry-2" }) {
    const auto again = site.Book(entry, "during", "key-during");
    BOOST_TEST(RanOf(again) == "outcome_unknown");
  }
  BOOST_TEST(site.RunsOf("during") == 1);
}

// A booking has run and its agent dies before the response has left, as a relay
// in front of the agent holds it back. The response can't be retrieved any
// more.
BOOST_AUTO_TEST_CASE(AgentKilledAfterTheRun)
{
  desk_site site;
  auto relays = site.PutRelaysBeforeAgents();
  // Long enough for the relays to freeze before the run ends, on a loaded
  // machine too.
  site.SetRunTime(2000ms);
  auto booking = site.BookAsync("entry-1", "after", "key-after");
  BOOST_REQUIRE(WaitForRun(site, "after"));
  const auto ended = site.RunsEnded();
  for (auto& [name, relay] : relays) {
    relay->HoldNew(true);
    relay->FreezeOpen();
  }
  BOOST_REQUIRE(WaitFor([&] { return site.RunsEnded() > ended; }));
  site.Desk("desk-1").mAgent->Signal(SIGKILL);
  site.Desk("desk-2").mAgent->Signal(SIGKILL);
  const auto first = booking.get();
  BOOST_TEST(RanOf(first) == "outcome_unknown");
  BOOST_TEST(site.RunsOf("after") == 1);
}

// An entry dies while a booking runs. The caller repeats the request at the
// other entry with the same idempotency key and gets the response of the one
// run.
BOOST_AUTO_TEST_CASE(EntryKilledMidRequest)
{
  desk_site site;
  site.SetRunTime(800ms);
  auto booking = site.BookAsync("entry-1", "entry dies", "key-entry");
  BOOST_REQUIRE(WaitForRun(site, "entry dies"));
  site.Entry("entry-1").mProcess->Signal(SIGKILL);
  BOOST_TEST(booking.get().mStatus != 200);
  const auto again = site.Book("entry-2", "entry dies", "key-entry");
  BOOST_TEST(again.mStatus == 200);
  BOOST_TEST(site.RunsOf("entry dies") == 1);
}

// A client sends each booking to both entries at once. It must run once, and
// both requests must get its response.
BOOST_AUTO_TEST_CASE(DoubledAtBothEntriesAtOnce)
{
  desk_site site;
  site.SetRunTime(50ms);
  for (int i = 0; i < 25; ++i) {
    const auto body = "both " + std::to_string(i);
    auto one = site.BookAsync("entry-1", body, body);
    auto two = site.BookAsync("entry-2", body, body);
    const auto first = one.get();
    const auto second = two.get();
    BOOST_TEST(first.mStatus == 200);
    BOOST_TEST(second.mStatus == 200);
    BOOST_TEST(json::IntegerAt(first.mBody, "booking", -1) ==
               json::IntegerAt(second.mBody, "booking", -2));
    BOOST_TEST(site.RunsOf(body) == 1);
  }
  const auto shared =
    CounterOf(
      site.Entry("entry-1").Health(), "lavender_shared_calls_total", "") +
    CounterOf(
      site.Entry("entry-2").Health(), "lavender_shared_calls_total", "");
  BOOST_TEST(shared > 0, "no request found the record of another one");
}

// A desk's response breaks off in the middle. It must not be passed on as a
// response, and the booking must not run again, whichever entry is asked.
BOOST_AUTO_TEST_CASE(AnswerCutShortByTheServer)
{
  desk_site site;
  auto relays = site.PutRelaysBeforeDesks();
  for (auto& [name, relay] : relays) {
    relay->CutResponsesAfter(120);
  }
  const auto first = site.Book("entry-1", "cut", "key-cut");
  BOOST_TEST(RanOf(first) == "outcome_unknown");
  const auto again = site.Book("entry-2", "cut", "key-cut");
  BOOST_TEST(RanOf(again) == "outcome_unknown");
  BOOST_TEST(site.RunsOf("cut") == 1);
  int cuts = 0;
  for (auto& [name, relay] : relays) {
    cuts += relay->Cuts();
  }
  BOOST_TEST(cuts > 0, "no response was cut");
}

// A dispatch is stuck on a connection that became unresponsive. The entry
// cancels it over a new connection and books elsewhere; then the old connection
// delivers the dispatch.
BOOST_AUTO_TEST_CASE(DispatchArrivesAfterItsCancel)
{
  desk_site site;
  auto relays = site.PutRelaysBeforeAgents();
  for (auto& [name, relay] : relays) {
    relay->FreezeOpen();
  }
  const auto booked = site.Book("entry-1", "late dispatch", "key-late");
  CheckAgainstRuns(site, booked, "late dispatch");
  BOOST_TEST(booked.mStatus == 200);
  for (auto& [name, relay] : relays) {
    relay->ThawAll();
  }
  BOOST_TEST(WaitFor([&] { return CountCancelledDispatches(site) > 0; }),
             "the late dispatch never arrived");
  BOOST_TEST(site.RunsOf("late dispatch") == 1);
}

// An entry records a booking and dies before the dispatch reaches the agent.
// The other entry finds out that it never ran and runs it; the agent must
// refuse the dispatch that arrives late.
BOOST_AUTO_TEST_CASE(EntryKilledBetweenRecordAndArrival)
{
  desk_site site;
  auto relays = site.PutRelaysBeforeAgents();
  for (auto& [name, relay] : relays) {
    relay->FreezeOpen();
  }
  auto booking = site.BookAsync("entry-1", "recorded", "key-recorded");
  const auto isHeld = [&] {
    bool isFound = false;
    for (auto& [name, relay] : relays) {
      isFound = isFound || relay->IsHolding("recorded");
    }
    return isFound;
  };
  BOOST_REQUIRE(WaitFor(isHeld));
  site.Entry("entry-1").mProcess->Signal(SIGKILL);
  booking.get();
  const auto again = site.Book("entry-2", "recorded", "key-recorded");
  BOOST_TEST(again.mStatus == 200);
  for (auto& [name, relay] : relays) {
    relay->ThawAll();
  }
  BOOST_TEST(WaitFor([&] { return CountCancelledDispatches(site) > 0; }),
             "the late dispatch never arrived");
  CheckAgainstRuns(site, again, "recorded");
}

// An agent restarts while a dispatch for its earlier process is in flight. The
// new process must refuse it, and the booking is made elsewhere or not at all.
BOOST_AUTO_TEST_CASE(AgentRestartedBetweenDispatchAndArrival)
{
  desk_site site({}, { "desk-1" });
  auto relays = site.PutRelaysBeforeAgents();
  auto& relay = *relays.at("desk-1");
  relay.HoldNew(true);
  relay.CloseOpen();
  auto booking = site.BookAsync("entry-1", "restarted");
  BOOST_REQUIRE(WaitFor([&] { return relay.IsHolding("restarted"); }));
  site.RestartAgent("desk-1");
  relay.SetTarget(site.Desk("desk-1").mAgent->Port("wire"));
  relay.ThawAll();
  const auto answer = booking.get();
  CheckAgainstRuns(site, answer, "restarted");
  BOOST_TEST(RanOf(answer) == "not_run");
  BOOST_TEST(CounterOf(site.Desk("desk-1").mAgent->Port("health"),
                       "lavender_agent_refusals_total",
                       "other_incarnation") > 0);
}

// More bookings arrive than the one desk has room for. The excess is refused at
// once, as "not run" and with a time to retry; the others run once.
BOOST_AUTO_TEST_CASE(QueueFull)
{
  desk_site site({ "--slots", "1", "--queue", "1" }, { "desk-1" });
  site.SetRunTime(300ms);
  std::vector<std::pair<std::string, std::future<answer>>> bookings;
  for (int i = 0; i < 8; ++i) {
    const auto body = "full " + std::to_string(i);
    bookings.emplace_back(body, site.BookAsync("entry-1", body));
  }
  int refused = 0;
  for (auto& [body, booking] : bookings) {
    const auto answer = booking.get();
    CheckAgainstRuns(site, answer, body);
    if (ReasonOf(answer) == "queue_full") {
      ++refused;
      BOOST_TEST(!http::HeaderOr(answer.mHeaders, "Retry-After", "").empty());
    }
  }
  BOOST_TEST(refused > 0, "the queue was never full");
}

// An agent is stopped by SIGTERM while bookings run and wait, and its drain
// deadline is too short for all. The running ones get complete responses, and
// the waiting ones are refused as "not run".
BOOST_AUTO_TEST_CASE(AgentStoppedWhileBookingsWait)
{
  desk_site site({ "--slots", "2", "--queue", "16", "--drain-deadline", "100" },
                 { "desk-1" });
  site.SetRunTime(700ms);
  std::vector<std::pair<std::string, std::future<answer>>> bookings;
  for (int i = 0; i < 8; ++i) {
    const auto body = "stop " + std::to_string(i);
    bookings.emplace_back(body, site.BookAsync("entry-1", body));
  }
  const auto countRuns = [&] {
    std::int64_t runs = 0;
    for (const auto& [body, booking] : bookings) {
      runs += site.RunsOf(body);
    }
    return runs;
  };
  BOOST_REQUIRE(WaitFor([&] { return countRuns() == 2; }));
  site.Desk("desk-1").mAgent->Signal(SIGTERM);
  int made = 0;
  int refused = 0;
  for (auto& [body, booking] : bookings) {
    const auto answer = booking.get();
    CheckAgainstRuns(site, answer, body);
    BOOST_TEST((answer.mStatus == 200 || RanOf(answer) == "not_run"));
    made += answer.mStatus == 200 ? 1 : 0;
    refused += ReasonOf(answer) == "draining" ? 1 : 0;
  }
  BOOST_TEST(made >= 2);
  BOOST_TEST(refused > 0, "no booking waited when the agent stopped");
  BOOST_TEST(site.Desk("desk-1").mAgent->WaitForExit(20s) == 0);
}

// A caller sets a deadline of half a second for a generation of ten seconds.
// The engine must stop working on it, and the partial output must not be
// returned as a response.
BOOST_AUTO_TEST_CASE(GenerationStopsAtTheDeadline)
{
  fleet fleet;
  auto& engine = fleet.AddBackend("engine-1", "bogota", "pool", "engine");
  auto& entry = fleet.AddEntry("entry-1", "bogota");
  fleet.PublishInstances();
  json::value pool;
  pool.Set("model", "reports");
  fleet.Put("BackendPool", "pool", pool);
  const auto key = fleet.AddCustomer("geoandina");
  BOOST_REQUIRE(fleet.WaitUntilServing(key, "reports"));
  const auto port = engine.mServer->Port("http");
  json::value slow;
  slow.Set("per_token_us", 100000);
  Send(port, "POST", "/control/faults", slow);
  std::string prompt;
  for (int i = 0; i < 100; ++i) {
    prompt += "word ";
  }
  const auto late = Complete(entry.Callers(),
                             key,
                             "reports",
                             prompt,
                             100,
                             { { "X-Deadline-Ms", "500" } });
  BOOST_TEST(late.mStatus == 504);
  BOOST_TEST(RanOf(late) == "outcome_unknown");
  const auto countRunning = [&] {
    return json::IntegerAt(Send(port, "GET", "/load").mBody, "running", -1);
  };
  BOOST_TEST(WaitFor([&] { return countRunning() == 0; }, 5s),
             "the engine still generates");
  const auto log = Send(port, "GET", "/control/log");
  BOOST_TEST(log.mBody.Find("runs")->Elements().size() == 2u);
}

// A client reuses an idempotency key for another booking by mistake.
BOOST_AUTO_TEST_CASE(KeyUsedAgainWithAnotherBody)
{
  desk_site site;
  BOOST_TEST(site.Book("entry-1", "first body", "key-reused").mStatus == 200);
  for (const char* entry : { "entry-1", "entry-2" }) {
    const auto other = site.Book(entry, "second body", "key-reused");
    BOOST_TEST(other.mStatus == 409);
    BOOST_TEST(ReasonOf(other) == "idempotency_key_reused");
  }
  BOOST_TEST(site.RunsOf("second body") == 0);
}

// The platform's store loses responses after writes, goes down, and comes back.
// A booking runs once, or is refused at once and doesn't run.
BOOST_AUTO_TEST_CASE(PlatformLosesAnswersAndGoesDown)
{
  desk_site site;
  const auto setFaults = [&](const json::value& aFaults) {
    Send(site.Fleet().PlatformPort(), "POST", "/control/faults", aFaults);
  };
  const auto& entry = site.Entry("entry-1");
  for (int i = 0; i < 20; ++i) {
    json::value lost;
    lost.Set("lose_answers", 1);
    setFaults(lost);
    const auto body = "lost " + std::to_string(i);
    const auto booked = site.Book("entry-1", body, body);
    BOOST_TEST(booked.mStatus == 200);
    BOOST_TEST(site.RunsOf(body) == 1);
  }
  BOOST_TEST(CounterOf(entry.Health(),
                       "lavender_platform_calls_total",
                       "call=\"write\",result=\"500\"") > 0,
             "no response was lost");
  json::value down;
  down.Set("down", true);
  down.Set("lose_answers", 0);
  setFaults(down);
  const auto refused = site.Book("entry-1", "down", "key-down");
  BOOST_TEST(refused.mStatus == 503);
  BOOST_TEST(ReasonOf(refused) == "platform_unavailable");
  CheckAgainstRuns(site, refused, "down");
  BOOST_TEST(site.RunsOf("down") == 0);
  // Requests without an idempotency key don't need the store.
  BOOST_TEST(site.Book("entry-1", "down, no key").mStatus == 200);
  down.Set("down", false);
  setFaults(down);
  BOOST_TEST(WaitFor(
    [&] { return site.Book("entry-1", "down", "key-down").mStatus == 200; }));
  BOOST_TEST(site.RunsOf("down") == 1);
}

// A booking runs, and its entry dies before the caller has the response. The
// caller repeats the request at the other entry while the platform is down.
// "not_run" there would make it book elsewhere and so twice. Only the record in
// the store could tell, so the outcome is unknown.
BOOST_AUTO_TEST_CASE(AskedAgainWhileThePlatformIsDown)
{
  desk_site site;
  site.SetRunTime(800ms);
  auto booking = site.BookAsync("entry-1", "in between", "key-between");
  BOOST_REQUIRE(WaitForRun(site, "in between"));
  site.Entry("entry-1").mProcess->Signal(SIGKILL);
  BOOST_TEST(booking.get().mStatus != 200);
  json::value down;
  down.Set("down", true);
  Send(site.Fleet().PlatformPort(), "POST", "/control/faults", down);
  const auto again = site.Book("entry-2", "in between", "key-between");
  BOOST_TEST(ReasonOf(again) == "platform_unavailable");
  BOOST_TEST(RanOf(again) == "outcome_unknown");
  BOOST_TEST(site.RunsOf("in between") == 1);
  down.Set("down", false);
  Send(site.Fleet().PlatformPort(), "POST", "/control/faults", down);
  BOOST_TEST(WaitFor([&] {
    return site.Book("entry-2", "in between", "key-between").mStatus == 200;
  }));
  BOOST_TEST(site.RunsOf("in between") == 1);
}

// An idempotency key is remembered for a stated time. Its record must not stay
// in the store for ever, also when the entry that wrote it has died.
BOOST_AUTO_TEST_CASE(OldRecordsAreRemoved)
{
  desk_site site;
  auto& entry = site.Entry("entry-1");
  for (auto& [name, one] : site.Fleet().Entries()) {
    one.mProcess.reset();
    site.Fleet().StartEntry(one, { "--call-record-keep", "1" });
  }
  site.Fleet().PublishInstances();
  BOOST_REQUIRE(site.WaitUntilServing());
  BOOST_TEST(site.Book("entry-2", "left", "key-left", 1000ms).mStatus == 200);
  site.Entry("entry-2").mProcess->Signal(SIGKILL);
  site.Fleet().Entries().erase("entry-2");
  BOOST_REQUIRE(site.WaitUntilServing());
  BOOST_TEST(site.Book("entry-1", "old", "key-old", 1000ms).mStatus == 200);
  const auto records = [&] {
    const auto list =
      Send(site.Fleet().PlatformPort(), "GET", "/v1/objects?kind=Call");
    const auto* items = list.mBody.Find("items");
    return items ? items->Elements().size() : 0u;
  };
  BOOST_TEST(WaitFor([&] { return records() == 0; }));
  BOOST_TEST(CounterOf(entry.Health(),
                       "lavender_call_records_removed_total",
                       "done") >= 2);
}

BOOST_AUTO_TEST_SUITE_END()
