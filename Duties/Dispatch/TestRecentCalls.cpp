#include "Duties/Dispatch/RecentCalls.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <thread>
#include <vector>

using namespace lavender;
using namespace lavender::dispatch;
using namespace std::chrono_literals;

namespace {

call_outcome
Ended(ran aRan)
{
  call_outcome outcome;
  outcome.mRan = aRan;
  outcome.mResult.body = "answer";
  return outcome;
}

time_point
Soon()
{
  return boot_clock::now() + 20s;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestRecentCalls)

// A client sends the same request eight times concurrently. It must run once
// and be billed once.
BOOST_AUTO_TEST_CASE(JoinsConcurrentRequests)
{
  recent_calls calls;
  std::atomic<int> runs{ 0 };
  std::atomic<int> shared{ 0 };
  std::vector<std::thread> clients;
  for (int i = 0; i < 8; ++i) {
    clients.emplace_back([&] {
      const auto outcome = calls.Run("key", "same", Soon(), [&] {
        ++runs;
        std::this_thread::sleep_for(100ms);
        return Ended(ran::Ran);
      });
      shared += outcome.mSource == answer_source::SharedRun ? 1 : 0;
    });
  }
  for (auto& client : clients) {
    client.join();
  }
  BOOST_TEST(runs == 1);
  BOOST_TEST(shared == 7);
}

// Refusals and unknown outcomes aren't cached, so a repeated request runs
// again.
BOOST_AUTO_TEST_CASE(DoesNotCacheWhatDidNotRun)
{
  recent_calls calls;
  int runs = 0;
  for (const auto end : { ran::NotRun, ran::OutcomeUnknown, ran::Ran }) {
    calls.Run("key", "same", Soon(), [&] {
      ++runs;
      return Ended(end);
    });
  }
  calls.Run("key", "same", Soon(), [&] {
    ++runs;
    return Ended(ran::Ran);
  });
  BOOST_TEST(runs == 3);
}

// A request with another body but the same key is refused, and a run that
// throws doesn't block later requests with its key.
BOOST_AUTO_TEST_CASE(RefusesAnotherBodyAndSurvivesAThrow)
{
  recent_calls calls;
  const auto fail = []() -> call_outcome {
    throw std::runtime_error("no memory");
  };
  BOOST_CHECK_THROW(calls.Run("key", "same", Soon(), fail), std::runtime_error);
  calls.Run("key", "same", Soon(), [] { return Ended(ran::Ran); });
  const auto other =
    calls.Run("key", "other", Soon(), [] { return Ended(ran::Ran); });
  BOOST_TEST(other.mReason == "idempotency_key_reused");
  BOOST_TEST((other.mRan == ran::NotRun));
}

BOOST_AUTO_TEST_SUITE_END()
