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
AnyEnd()
{
  forwarding::attempt_end end;
  end.mEnd = *rc::gen::element(edge::call_end::Complete,
                               edge::call_end::NotSent,
                               edge::call_end::Broken,
                               edge::call_end::Malformed,
                               edge::call_end::TimedOut);
  end.mStatus = *rc::gen::element(200u, 404u, 421u, 429u, 500u, 503u, 504u);
  end.mIsNotExecuted = *rc::gen::arbitrary<bool>();
  end.mIsMismatched = *rc::gen::arbitrary<bool>();
  return end;
}

batches::version_reader
ReadNoVersion()
{
  return platform::MakeExchangeProtocol().mReadVersionLine;
}

/** All events of a stream that arrives in these pieces. */
std::vector<batches::stream_event>
Events(const std::vector<std::string>& aPieces)
{
  batches::event_stream stream;
  std::vector<batches::stream_event> events;
  for (const auto& piece : aPieces) {
    batches::FeedStream(stream, piece, ReadNoVersion(), [&](auto&& aEvent) {
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

} // namespace

BOOST_AUTO_TEST_SUITE(TestDecisions)

/** A request that may run once never goes to a second server unless the first
 * says that it didn't run it, and no refusal says "not run" of one that may
 * have. */
BOOST_AUTO_TEST_CASE(NothingRunsTwiceOrIsFalselyCalledNotRun)
{
  BOOST_TEST(rc::check("attempts", [] {
    const auto end = AnyEnd();
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
      RC_ASSERT(!end.mIsMismatched);
    }
    if (end.mIsMismatched && end.mEnd != edge::call_end::NotSent) {
      RC_ASSERT(known == forwarding::execution::Unknown);
    }
  }));
}

/** However a stream is cut into pieces, the same events come out; a part of
 * one at its end never does. */
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
    const auto whole = Events({ bytes + "id: 99\ndata: half" });
    RC_ASSERT(whole.size() == static_cast<std::size_t>(count));
    std::vector<std::string> pieces;
    for (std::size_t start = 0; start < bytes.size();) {
      const auto size = *rc::gen::inRange<std::size_t>(1, 12);
      pieces.push_back(bytes.substr(start, size));
      start += size;
    }
    const auto cut = Events(pieces);
    RC_ASSERT(cut.size() == whole.size());
    for (std::size_t i = 0; i < cut.size(); ++i) {
      RC_ASSERT(cut[i].mId == whole[i].mId);
      RC_ASSERT(cut[i].mData == whole[i].mData);
      RC_ASSERT(cut[i].mVersion == whole[i].mVersion);
    }
  }));
}

/** An item is never placed on a server that is full, blocked, in another pool
 * or too old, and a slow one only when no other has room. */
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
      engine.mIsSlow = *rc::gen::arbitrary<bool>();
      engine.mBlockedUntil = now + milliseconds(*rc::gen::inRange(-5, 5));
      engines.push_back(engine);
    }
    batches::item_requirements need;
    need.mPools = { "p" };
    need.mModel = "m";
    need.mMinimumVersion = *rc::gen::inRange(1, 4);
    need.mGroup = "g";
    need.mAvoided = "s0";
    const batches::group_affinities homes = { { "g", { "s1", now } } };
    const auto mayRun = [&](const batches::engine_view& aEngine) {
      return aEngine.mPool == "p" && aEngine.mOwnRuns < aEngine.mSlots &&
             aEngine.mVersions.at("m") >= need.mMinimumVersion &&
             aEngine.mBlockedUntil <= now;
    };
    const auto chosen = batches::ChooseEngine(engines, need, homes, now);
    RC_ASSERT(chosen.has_value() ==
              std::any_of(engines.begin(), engines.end(), mayRun));
    if (!chosen) {
      return;
    }
    RC_ASSERT(mayRun(engines[*chosen]));
    for (const auto& other : engines) {
      if (mayRun(other) && other.mId != "s0") {
        RC_ASSERT(engines[*chosen].mId != "s0");
        RC_ASSERT(!engines[*chosen].mIsSlow || other.mIsSlow);
      }
    }
  }));
}

// An entry's memory grows by every group it ever ran and ends the process in
// weeks. Groups that weren't used for a minute are forgotten, the others kept.
BOOST_AUTO_TEST_CASE(GroupsOfLongAgoAreForgotten)
{
  const auto now = boot_clock::now();
  batches::group_affinities homes = {
    { "old", { "s1", now - batches::kHomeKept - 1ms } },
    { "recent", { "s1", now - batches::kHomeKept + 1ms } }
  };
  batches::ForgetOldHomes(homes, now);
  BOOST_TEST(homes.count("old") == 0u);
  BOOST_TEST(homes.count("recent") == 1u);
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

/** In whatever order versions arrive, what is in force never goes back. */
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

// Callers get "no server" after an outage of the store: the servers' entries
// lapsed meanwhile, and are back a moment later. They are kept for two seconds
// after the store's return; what is missing then is gone.
BOOST_AUTO_TEST_CASE(EntriesThatLapsedInAnOutageAreKeptForAMoment)
{
  const auto start = boot_clock::now();
  site::server_directory directory;
  site::ApplyServer(directory, Server("back"));
  site::ApplyServer(directory, Server("gone"));
  site::RecordOutageEnd(directory, start);
  site::TakeListing(directory, {}, start + 10ms);
  BOOST_TEST(directory.mRows.size() == 2u);
  site::ApplyServer(directory, Server("back"));
  BOOST_TEST(site::RemoveExpired(directory, start + 1900ms).has_value());
  BOOST_TEST(directory.mRows.size() == 2u);
  site::RemoveExpired(directory, start + 2000ms);
  BOOST_TEST(directory.mRows.count("back") == 1u);
  BOOST_TEST(directory.mRows.count("gone") == 0u);
  site::ApplyRemoval(directory, "back", start + 3000ms);
  BOOST_TEST(directory.mRows.empty());
}

// Another writer leaves entries with fields missing or of another type; none
// of them may get a request.
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

// A caller's key must not reach a server, and a caller must not choose the
// customer, the server or the time that the server works for.
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

/** Windows follow each other without a gap, and entries act one after the
 * other, all within the time that a report may take. */
BOOST_AUTO_TEST_CASE(WindowsAndPlacesAreInOrder)
{
  BOOST_TEST(rc::check("windows", [] {
    const auto time = std::chrono::system_clock::time_point(
      milliseconds(*rc::gen::inRange<std::int64_t>(0, 4'000'000'000'000)));
    const auto window = billing::WindowAt(time, 5000ms);
    RC_ASSERT(time < billing::EndOf(window, 5000ms));
    RC_ASSERT(time >= billing::EndOf(window - 1, 5000ms));
  }));
  for (std::size_t place = 0; place < 4; ++place) {
    BOOST_TEST((billing::ReportDelay(place) < 10s));
    BOOST_TEST((billing::ReportDelay(place + 1) > billing::ReportDelay(place)));
  }
}

BOOST_AUTO_TEST_SUITE_END()
