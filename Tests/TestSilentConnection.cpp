#include "Libraries/Core/Identity.h"
#include "Tests/Support/DeskSite.h"

#include <boost/test/unit_test.hpp>
#include <csignal>

using namespace lavender;
using namespace lavender::test;

namespace {

using stopwatch = std::chrono::steady_clock;

std::int64_t
MillisecondsSince(stopwatch::time_point aStart)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           stopwatch::now() - aStart)
    .count();
}

/** Whether a response belongs to this request body and to no other. */
bool
IsResponseTo(const answer& aAnswer, const std::string& aBody)
{
  return aAnswer.mStatus == 200 &&
         json::StringAt(aAnswer.mBody, "body_digest", "") ==
           HashKey(json::Write(aBody));
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestSilentConnection)

// A device between entry and agent has lost its state of the open connections:
// they carry nothing and never close, while new ones work. The entry has to
// detect this by the missing responses alone.
BOOST_AUTO_TEST_CASE(OpenConnectionsGoSilentWhileNewOnesWork)
{
  desk_site site({}, { "desk-1" });
  auto relays = site.PutRelaysBeforeAgents();
  auto& relay = *relays.at("desk-1");
  std::int64_t longest = 0;
  for (int i = 0; i < 5; ++i) {
    const auto body = "silent " + std::to_string(i);
    relay.FreezeOpen();
    const auto start = stopwatch::now();
    const auto booked = site.Book("entry-1", body);
    longest = std::max(longest, MillisecondsSince(start));
    const bool isRefusedCorrectly =
      RanOf(booked) == "not_run" && site.RunsOf(body) == 0;
    BOOST_TEST((IsResponseTo(booked, body) || isRefusedCorrectly));
    BOOST_TEST(site.RunsOf(body) <= 1);
    BOOST_TEST(relay.HeldBytes() > 0u,
               "no bytes were sent on a frozen connection");
    BOOST_TEST(site.Book("entry-1", body + " next").mStatus == 200);
  }
  BOOST_TEST_MESSAGE("longest response time with a frozen connection: "
                     << longest << " ms; stated bound 2600 ms");
}

// An agent is paused while it runs a booking. The caller gets "outcome unknown"
// in bounded time; once the agent resumes, the same idempotency key returns the
// response of the one run.
BOOST_AUTO_TEST_CASE(AgentPausedMidRun)
{
  desk_site site({}, { "desk-1" });
  site.SetRunTime(500ms);
  auto booking = site.BookAsync("entry-1", "paused", "key-paused", 30s);
  BOOST_REQUIRE(WaitFor([&] { return site.RunsOf("paused") == 1; }));
  site.Desk("desk-1").mAgent->Signal(SIGSTOP);
  const auto start = stopwatch::now();
  const auto first = booking.get();
  BOOST_TEST_MESSAGE("response with a paused agent after "
                     << MillisecondsSince(start)
                     << " ms; stated bound 6600 ms");
  BOOST_TEST(RanOf(first) == "outcome_unknown");
  BOOST_TEST(ReasonOf(first) == "server_silent");
  site.Desk("desk-1").mAgent->Signal(SIGCONT);
  answer again;
  BOOST_TEST(WaitFor([&] {
    again = site.Book("entry-2", "paused", "key-paused");
    return again.mStatus == 200;
  }));
  BOOST_TEST(IsResponseTo(again, "paused"));
  BOOST_TEST(site.RunsOf("paused") == 1);
}

// Guards against mismatched responses. Agents pause for longer than entries
// wait on a connection and then send all late responses at once; a reused
// connection would deliver the response to an earlier call.
BOOST_AUTO_TEST_CASE(LateAnswersAreNeverTakenForAnothers)
{
  desk_site site;
  site.SetRunTime(200ms);
  for (int round = 0; round < 2; ++round) {
    std::vector<std::pair<std::string, std::future<answer>>> bookings;
    for (int i = 0; i < 16; ++i) {
      const auto body =
        "late " + std::to_string(round) + "/" + std::to_string(i);
      bookings.emplace_back(
        body, site.BookAsync(i % 2 == 0 ? "entry-1" : "entry-2", body));
    }
    BOOST_REQUIRE(WaitFor([&] {
      return site.RunsOf(bookings.front().first) +
               site.RunsOf(bookings.back().first) >
             0;
    }));
    for (const char* desk : { "desk-1", "desk-2" }) {
      site.Desk(desk).mAgent->Signal(SIGSTOP);
    }
    // Longer than the time without a response after which entries drop a
    // connection.
    std::this_thread::sleep_for(2s);
    for (const char* desk : { "desk-1", "desk-2" }) {
      site.Desk(desk).mAgent->Signal(SIGCONT);
    }
    for (auto& [body, booking] : bookings) {
      const auto answer = booking.get();
      BOOST_TEST_CONTEXT(body << " " << ReasonOf(answer))
      {
        BOOST_TEST(IsResponseTo(answer, body));
        BOOST_TEST(site.RunsOf(body) == 1);
      }
    }
  }
}

// An agent is stopped by SIGTERM while a booking runs, and the connections to
// it become unresponsive just then: the response is written and never arrives.
// The agent has to stay until the entry has noticed and asked again.
BOOST_AUTO_TEST_CASE(PlannedStopMeetsASilentConnection)
{
  desk_site site({}, { "desk-1" });
  auto relays = site.PutRelaysBeforeAgents();
  auto& relay = *relays.at("desk-1");
  site.SetRunTime(2000ms);
  auto booking = site.BookAsync("entry-1", "stopped");
  BOOST_REQUIRE(WaitFor([&] { return site.RunsOf("stopped") == 1; }));
  const auto ended = site.RunsEnded();
  // The entry's next connection becomes unresponsive too, so that the entry
  // waits on one when the run ends; later ones work.
  relay.HoldNew(true);
  relay.FreezeOpen();
  auto& agent = *site.Desk("desk-1").mAgent;
  agent.Signal(SIGTERM);
  BOOST_REQUIRE(WaitFor([&] { return site.RunsEnded() > ended; }));
  relay.HoldNew(false);
  const auto answer = booking.get();
  BOOST_TEST_CONTEXT(ReasonOf(answer))
  {
    BOOST_TEST(IsResponseTo(answer, "stopped"));
  }
  BOOST_TEST(relay.HeldBytes() > 0u,
             "no bytes were sent on a frozen connection");
  BOOST_TEST(agent.WaitForExit(20s) == 0);
}

// The platform's store accepts connections and never responds. A booking with
// an idempotency key is refused in bounded time, the next ones at once, and
// none runs; bookings without a key don't wait for the store.
BOOST_AUTO_TEST_CASE(SilentPlatformHoldsNoBooking)
{
  desk_site site;
  site.Fleet().Platform().Signal(SIGSTOP);
  for (int i = 0; i < 3; ++i) {
    const auto body = "no store " + std::to_string(i);
    const auto start = stopwatch::now();
    const auto refused = site.Book("entry-1", body, body);
    BOOST_TEST_MESSAGE("refusal " << i
                                  << " with an unresponsive platform after "
                                  << MillisecondsSince(start) << " ms");
    BOOST_TEST(ReasonOf(refused) == "platform_unavailable");
    BOOST_TEST(RanOf(refused) == "outcome_unknown");
    BOOST_TEST(site.RunsOf(body) == 0);
    BOOST_TEST(site.Book("entry-1", body + " no key").mStatus == 200);
  }
  site.Fleet().Platform().Signal(SIGCONT);
  BOOST_TEST(WaitFor(
    [&] { return site.Book("entry-1", "store", "key-store").mStatus == 200; }));
  BOOST_TEST(site.RunsOf("store") == 1);
}

// A caller sets a deadline of two seconds, and the agent doesn't respond. The
// refusal comes at the deadline, not when the entry gives the agent up.
BOOST_AUTO_TEST_CASE(DeadlineHoldsWhileTheAgentIsSilent)
{
  desk_site site({}, { "desk-1" });
  site.Desk("desk-1").mAgent->Signal(SIGSTOP);
  const auto start = stopwatch::now();
  const auto late = site.Book("entry-1", "deadline", "", 2000ms);
  BOOST_TEST_MESSAGE("refusal of a 2000 ms request after "
                     << MillisecondsSince(start)
                     << " ms; stated bound 2700 ms");
  BOOST_TEST(late.mStatus == 504);
  BOOST_TEST(RanOf(late) == "outcome_unknown");
  site.Desk("desk-1").mAgent->Signal(SIGCONT);
  BOOST_TEST(WaitFor(
    [&] { return site.Book("entry-1", "after the pause").mStatus == 200; }));
  BOOST_TEST(site.RunsOf("deadline") <= 1);
}

BOOST_AUTO_TEST_SUITE_END()
