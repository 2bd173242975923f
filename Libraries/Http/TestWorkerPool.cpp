#include "Libraries/Http/WorkerPool.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <chrono>

using namespace lavender;
using namespace std::chrono_literals;

namespace {

/** Waits up to 10 s. */
template<typename Condition>
bool
WaitFor(Condition aCondition)
{
  for (int i = 0; i < 10000 && !aCondition(); ++i) {
    std::this_thread::sleep_for(1ms);
  }
  return aCondition();
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestWorkerPool)

// Guards against a job that waits though a thread may still be started.
BOOST_AUTO_TEST_CASE(AThreadStartsForAJobThatWouldWait)
{
  std::atomic<int> inside{ 0 };
  std::atomic<bool> mayEnd{ false };
  http::worker_pool pool(20);
  for (int i = 0; i < 20; ++i) {
    pool.Run([&] {
      ++inside;
      WaitFor([&] { return mayEnd.load(); });
    });
  }
  BOOST_TEST(WaitFor([&] { return inside == 20; }));
  mayEnd = true;
}

// Guards against more threads than are allowed, and against jobs that are
// dropped at the end.
BOOST_AUTO_TEST_CASE(AllJobsRunOnTheThreadsAllowed)
{
  for (const std::size_t maximum : { 0, 1, 2, 7 }) {
    std::atomic<int> inside{ 0 };
    std::atomic<int> most{ 0 };
    std::atomic<int> ran{ 0 };
    http::worker_pool pool(maximum);
    for (int i = 0; i < 200; ++i) {
      pool.Run([&] {
        const int now = ++inside;
        for (int seen = most; now > seen;) {
          most.compare_exchange_weak(seen, now);
        }
        std::this_thread::sleep_for(100us);
        --inside;
        ++ran;
      });
    }
    pool.Stop();
    BOOST_TEST(ran == 200);
    BOOST_TEST(most <= static_cast<int>(std::max<std::size_t>(maximum, 1)));
  }
}

// Guards against threads that stay for good after a burst, and against one that
// ends while a job waits for it.
BOOST_AUTO_TEST_CASE(ThreadsOfABurstEnd)
{
  std::atomic<int> ran{ 0 };
  http::worker_pool pool(50);
  for (int i = 0; i < 50; ++i) {
    pool.Run([&] {
      std::this_thread::sleep_for(50ms);
      ++ran;
    });
  }
  BOOST_TEST(pool.Threads() > 4U);
  BOOST_TEST(WaitFor([&] { return pool.Threads() == 4; }));
  for (int i = 0; i < 50; ++i) {
    pool.Run([&] { ++ran; });
  }
  pool.Stop();
  BOOST_TEST(ran == 100);
}

BOOST_AUTO_TEST_SUITE_END()
