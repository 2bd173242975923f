#include "Duties/Batches/EventStream.h"
#include "Duties/Batches/Schedule.h"
#include "Duties/Billing/UsageCounts.h"
#include "Duties/Forwarding/AttemptOutcome.h"
#include "Duties/Site/ServerDirectory.h"
#include "Duties/Site/SiteConfiguration.h"
#include "platform/Decode.h"
#include "platform/ExchangeProtocol.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace lavender;
using namespace std::chrono_literals;

namespace {

forwarding::attempt_end
GenerateAttemptEnd()
{
  forwarding::attempt_end end;
  end.mEnd = *rc::gen::element(edge::call_end::Complete,
                               edge::call_end::NotSent,
                               edge::call_end::Broken,
                               edge::call_end::Malformed,
                               edge::call_end::Foreign,
                               edge::call_end::TimedOut);
  end.mStatus = *rc::gen::element(200u, 404u, 421u, 429u, 500u, 503u, 504u);
  end.mIsNotExecuted = *rc::gen::arbitrary<bool>();
  return end;
}

batches::version_parser
VersionParser()
{
  return platform::MakeExchangeProtocol().mReadVersionLine;
}

/** Returns the events of a stream that arrives in these chunks. */
std::vector<batches::stream_event>
ParseEvents(const std::vector<std::string>& aChunks)
{
  batches::event_stream stream;
  std::vector<batches::stream_event> events;
  for (const auto& chunk : aChunks) {
    batches::ParseChunk(stream, chunk, VersionParser(), [&](auto&& aEvent) {
      events.push_back(std::move(aEvent));
    });
  }
  return events;
}

site::backend_server
Server(const std::string& aId)
{
  site::backend_server server;
  server.mId = aId;
  server.mPool = "p";
  return server;
}

std::optional<site::server_load>
ReadLoad(const std::string& aText)
{
  edge::response response;
  response.mHeaders.Set("X-Server-Load", aText);
  return platform::MakeExchangeProtocol().mReadResponseMetadata(response).mLoad;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestDecisions)

/** A request that may run only once goes to a second server only if the first
 * one states that it didn't execute it, and no refusal says "not run" of a
 * request that may have run. */
BOOST_AUTO_TEST_CASE(NothingRunsTwiceOrIsFalselyCalledNotRun)
{
  BOOST_TEST(rc::check("attempts", [] {
    const auto end = GenerateAttemptEnd();
    forwarding::attempt_budget budget;
    budget.mRetryPolicy = *rc::gen::element(site::retry_policy::Idempotent,
                                            site::retry_policy::AtMostOnce);
    budget.mAttemptsLeft = *rc::gen::inRange(0, 3);
    budget.mTimeLeft = milliseconds(*rc::gen::inRange(0, 100));
    budget.mMayHaveRun = *rc::gen::arbitrary<bool>();
    const auto known = forwarding::ExecutionOf(end);
    const auto step = forwarding::DecideNext(end, budget);
    if (step == forwarding::next_step::RetryOnAnotherServer) {
      RC_ASSERT(known == forwarding::execution::NotRun ||
                budget.mRetryPolicy == site::retry_policy::Idempotent);
      RC_ASSERT(budget.mAttemptsLeft > 0);
    }
    if (step == forwarding::next_step::RefuseNotRun) {
      RC_ASSERT(known == forwarding::execution::NotRun);
      RC_ASSERT(!budget.mMayHaveRun);
    }
    if (step == forwarding::next_step::Deliver) {
      RC_ASSERT(known == forwarding::execution::Ran);
      RC_ASSERT(end.mEnd != edge::call_end::Foreign);
    }
    if (end.mEnd == edge::call_end::Foreign) {
      RC_ASSERT(known == forwarding::execution::Unknown);
    }
  }));
}

/** The same events result however a stream is split into chunks, and an
 * incomplete event at its end is never reported. */
BOOST_AUTO_TEST_CASE(EventsDontDependOnHowTheBytesArrive)
{
  BOOST_TEST(rc::check("streams", [] {
    std::string bytes;
    const int count = *rc::gen::inRange(0, 8);
    for (int i = 1; i <= count; ++i) {
      if (*rc::gen::arbitrary<bool>()) {
        bytes += "x-weight-versions: " + std::to_string(i + 1) + "\n";
      }
      bytes +=
        "id: " + std::to_string(i) + "\ndata: text " + std::to_string(i) + "\n";
      bytes += *rc::gen::arbitrary<bool>() ? "data:more\n\n" : "\n";
    }
    const auto whole = ParseEvents({ bytes + "id: 99\ndata: half" });
    RC_ASSERT(whole.size() == static_cast<std::size_t>(count));
    std::vector<std::string> chunks;
    for (std::size_t start = 0; start < bytes.size();) {
      const auto size = *rc::gen::inRange<std::size_t>(1, 12);
      chunks.push_back(bytes.substr(start, size));
      start += size;
    }
    const auto fromChunks = ParseEvents(chunks);
    RC_ASSERT(fromChunks.size() == whole.size());
    for (std::size_t i = 0; i < fromChunks.size(); ++i) {
      RC_ASSERT(fromChunks[i].mId == whole[i].mId);
      RC_ASSERT(fromChunks[i].mData == whole[i].mData);
      RC_ASSERT(fromChunks[i].mVersion == whole[i].mVersion);
    }
  }));
}

/** An item is never sent to a server that is full, blocked, in another pool or
 * has too old a version. Slow servers are chosen after fast ones, and the
 * server to avoid is chosen last. */
BOOST_AUTO_TEST_CASE(ItemsGoOnlyWhereTheyMayRun)
{
  BOOST_TEST(rc::check("schedule", [] {
    const auto now = boot_clock::now();
    std::vector<batches::engine_view> engines;
    const int count = *rc::gen::inRange(0, 8);
    for (int i = 0; i < count; ++i) {
      batches::engine_view engine;
      engine.mId = "s" + std::to_string(i);
      engine.mPool = *rc::gen::element<std::string>("p", "q");
      engine.mSlots = *rc::gen::inRange(1, 4);
      engine.mOwnRuns = *rc::gen::inRange(0, 5);
      engine.mVersions["m"] = *rc::gen::inRange(1, 4);
      engine.mRelativeTime = *rc::gen::element(1.0, 2.0);
      engine.mBlockedUntil = now + milliseconds(*rc::gen::inRange(-5, 5));
      engines.push_back(engine);
    }
    batches::item_requirements requirements;
    requirements.mPools = { "p" };
    requirements.mModel = "m";
    requirements.mMinimumVersion = *rc::gen::inRange(1, 4);
    requirements.mGroup = "g";
    requirements.mAvoidedServer = "s0";
    const batches::group_affinities affinities = { { "g", { "s1", now } } };
    const auto mayRun = [&](const batches::engine_view& aEngine) {
      return aEngine.mPool == "p" && aEngine.mOwnRuns < aEngine.mSlots &&
             aEngine.mVersions.at("m") >= requirements.mMinimumVersion &&
             aEngine.mBlockedUntil <= now;
    };
    const auto chosen =
      batches::ChooseEngine(engines, requirements, affinities, now);
    RC_ASSERT(chosen.has_value() ==
              std::any_of(engines.begin(), engines.end(), mayRun));
    if (!chosen) {
      return;
    }
    RC_ASSERT(mayRun(engines[*chosen]));
    for (const auto& other : engines) {
      if (mayRun(other) && other.mId != "s0") {
        RC_ASSERT(engines[*chosen].mId != "s0");
        RC_ASSERT(engines[*chosen].mRelativeTime <= other.mRelativeTime);
      }
    }
  }));
}

// Guards against memory that grows with every group that an entry ever ran,
// which ended the process within weeks. Groups that haven't been used for a
// minute are removed.
BOOST_AUTO_TEST_CASE(GroupsOfLongAgoAreForgotten)
{
  const auto now = boot_clock::now();
  batches::group_affinities affinities = {
    { "old", { "s1", now - batches::kAffinityLifetime - 1ms } },
    { "recent", { "s1", now - batches::kAffinityLifetime + 1ms } }
  };
  batches::ExpireAffinities(affinities, now);
  BOOST_TEST(affinities.count("old") == 0u);
  BOOST_TEST(affinities.count("recent") == 1u);
}

BOOST_AUTO_TEST_CASE(TheLongestPrefixOfTheHostDecides)
{
  site::site_configuration configuration;
  for (const auto* prefix : { "/", "/a/", "/a/b/" }) {
    auto route = std::make_shared<site::route>();
    route->mName = prefix;
    configuration.mRoutes["h"][prefix] = route;
  }
  const auto name = [&](const char* aTarget) {
    const auto route = site::FindRoute(configuration, "h:80", aTarget);
    return route ? route->mName : std::string("none");
  };
  BOOST_TEST(name("/a/b/c?x=/a/") == "/a/b/");
  BOOST_TEST(name("/a/b") == "/a/");
  BOOST_TEST(name("/ab/") == "/");
  BOOST_TEST(name("") == "none");
  BOOST_TEST(!site::FindRoute(configuration, "other", "/a/"));
}

/** The configuration in force never goes back to an older version, in whatever
 * order versions arrive. */
BOOST_AUTO_TEST_CASE(ConfigurationNeverReverts)
{
  BOOST_TEST(rc::check("versions", [] {
    site::configuration_ptr inForce;
    std::int64_t highest = -1;
    for (const auto version :
         *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 20))) {
      auto arrived = std::make_shared<site::site_configuration>();
      arrived->mVersion = version;
      site::ApplyConfiguration(inForce, arrived);
      highest = std::max<std::int64_t>(highest, version);
      RC_ASSERT(inForce->mVersion == highest);
    }
  }));
}

// Guards against "no server" responses after an outage of the store, during
// which the servers' entries expired. Entries are kept for two seconds after
// the store's return; those still missing then are removed.
BOOST_AUTO_TEST_CASE(EntriesThatLapsedInAnOutageAreKeptForAMoment)
{
  const auto start = boot_clock::now();
  site::server_directory directory;
  site::ApplyServer(directory, Server("back"), start);
  site::ApplyServer(directory, Server("gone"), start);
  site::RecordOutageEnd(directory, start);
  site::TakeListing(directory, {}, start + 10ms);
  BOOST_TEST(directory.mRows.size() == 2u);
  site::ApplyServer(directory, Server("back"), start);
  BOOST_TEST(site::RemoveExpired(directory, start + 1900ms).has_value());
  BOOST_TEST(directory.mRows.size() == 2u);
  site::RemoveExpired(directory, start + 2000ms);
  BOOST_TEST(directory.mRows.count("back") == 1u);
  BOOST_TEST(directory.mRows.count("gone") == 0u);
  site::ApplyRemoval(directory, "back", start + 3000ms);
  BOOST_TEST(directory.mRows.empty());
}

// Entries written by others may lack fields or have fields of the wrong type.
// Such a server must not get requests.
BOOST_AUTO_TEST_CASE(MalformedServerEntriesNameNoServer)
{
  const std::string good =
    R"({"service":"p","address":"10.0.0.1:80","zone":"z","slots":4,"state":"ready"})";
  const auto decode = [](const std::string& aSpec) {
    objects::stored_object object;
    object.mName = "s";
    object.mSpec = *json::Parse(aSpec);
    return platform::DecodeServer(object).has_value();
  };
  BOOST_TEST(decode(good));
  for (const auto& [field, bad] :
       { std::pair{ "\"p\"", "7" },
         std::pair{ "\"10.0.0.1:80\"", "\"example:80\"" },
         std::pair{ "\"z\"", "null" },
         std::pair{ ":4", ":\"4\"" },
         std::pair{ ":4", ":0" },
         std::pair{ "\"ready\"", "\"asleep\"" },
         std::pair{ "\"ready\"", "true" } }) {
    auto spec = good;
    spec.replace(spec.find(field), std::string(field).size(), bad);
    BOOST_TEST(!decode(spec), spec);
  }
  BOOST_TEST(!decode("[]"));
}

// A caller's API key must not reach a server, and a caller must not choose the
// customer, the server or the deadline of a request.
BOOST_AUTO_TEST_CASE(WhatACallerSaysOfItselfIsReplaced)
{
  edge::request request;
  request.mMethod = "POST";
  request.mTarget = "/x";
  request.mHeaders.Add("authorization", "Token secret");
  request.mHeaders.Add("X-TENANT", "somebody");
  request.mHeaders.Add("X-Expect-Instance", "other");
  request.mHeaders.Add("X-Deadline-Ms", "99999");
  request.mHeaders.Add("X-Attempt-Id", "a1");
  request.mHeaders.Add("Connection", "X-Hop");
  request.mHeaders.Add("X-Hop", "1");
  site::attempt attempt;
  attempt.mServerId = "s1";
  attempt.mCustomer = "c1";
  attempt.mTimeLeft = 50ms;
  const auto sent = platform::MakeExchangeProtocol().mAddress(request, attempt);
  BOOST_TEST(sent.mHeaders.Find("Authorization") == nullptr);
  BOOST_TEST(sent.mHeaders.Find("X-Hop") == nullptr);
  BOOST_TEST(sent.mHeaders.ValueOr("X-Tenant", "") == "c1");
  BOOST_TEST(sent.mHeaders.ValueOr("X-Expect-Instance", "") == "s1");
  BOOST_TEST(sent.mHeaders.ValueOr("X-Deadline-Ms", "") == "50");
  BOOST_TEST(sent.mHeaders.ValueOr("X-Attempt-Id", "") == "a1");
}

/** Usage windows are contiguous, and entries report one after the other, all
 * within the time that a report may take. */
BOOST_AUTO_TEST_CASE(WindowsAndPlacesAreInOrder)
{
  BOOST_TEST(rc::check("windows", [] {
    const auto time = std::chrono::system_clock::time_point(
      milliseconds(*rc::gen::inRange<std::int64_t>(0, 4'000'000'000'000)));
    const auto window = billing::WindowAt(time, 5000ms);
    RC_ASSERT(time < billing::EndOf(window, 5000ms));
    RC_ASSERT(time >= billing::EndOf(window - 1, 5000ms));
  }));
  for (std::size_t index = 0; index < 4; ++index) {
    BOOST_TEST((billing::ReportDelay(index) < 10s));
    BOOST_TEST((billing::ReportDelay(index + 1) > billing::ReportDelay(index)));
  }
}

BOOST_AUTO_TEST_CASE(ServersThatTellThreeOrFourFiguresAreBothRead)
{
  for (const auto* text : { "5,2,8", "5,2,8,350" }) {
    const auto load = ReadLoad(text);
    BOOST_REQUIRE(load);
    BOOST_TEST(load->mRunning == 5);
    BOOST_TEST(load->mWaiting == 2);
    BOOST_TEST(load->mSlots == 8);
  }
  BOOST_TEST(!ReadLoad("5,2,8")->mSlowdown);
  BOOST_TEST(ReadLoad("5,2,8,350")->mSlowdown.value() == 3.5);
  BOOST_TEST(ReadLoad("5,2,8,100,7")->mSlowdown.value() == 1.0);
}

// Guards against a server's load being lost with a figure that is garbled.
BOOST_AUTO_TEST_CASE(AFourthFigureThatIsNoNumberIsIgnored)
{
  for (const auto* text : { "5,2,8,", "5,2,8,slow", "5,2,8,1e9", "5,2,8,,3" }) {
    const auto load = ReadLoad(text);
    BOOST_REQUIRE(load);
    BOOST_TEST(load->mRunning == 5);
    BOOST_TEST(load->mSlots == 8);
    BOOST_TEST(!load->mSlowdown);
  }
}

// Guards against figures that wrap into a small load.
BOOST_AUTO_TEST_CASE(ALoadThatIsNoLoadIsNotRead)
{
  for (const auto* text : { "",
                            "5",
                            "5,2",
                            "5,,8",
                            "a,2,8",
                            "4294967297,2,8",
                            "5,2,-4294967288" }) {
    BOOST_TEST(!ReadLoad(text));
  }
}

BOOST_AUTO_TEST_SUITE_END()
