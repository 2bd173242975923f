#include "Duties/Membership/PollPool.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <fstream>

using namespace lavender;
using namespace lavender::membership;
using namespace std::chrono_literals;

namespace {

/** Returns the number of threads of this process. */
int
CountThreads()
{
  std::ifstream input("/proc/self/status");
  std::string word;
  while (input >> word) {
    if (word == "Threads:") {
      int count = 0;
      input >> count;
      return count;
    }
  }
  return 0;
}

bool
WaitFor(const std::function<bool()>& aCondition)
{
  for (int i = 0; i < 1000 && !aCondition(); ++i) {
    std::this_thread::sleep_for(20ms);
  }
  return aCondition();
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestPollPool)

// A fleet has 1,200 servers, and a third of them becomes unresponsive. One
// thread for each server would exhaust the memory. With few shared threads, the
// unresponsive servers would prevent the live ones from being polled.
BOOST_AUTO_TEST_CASE(PollsManyWithFewThreadsThoughManyAreSilent)
{
  std::array<std::atomic<int>, 1200> polls{};
  std::atomic<int> silentPolls{ 0 };
  const auto indexOf = [](const std::string& aName) {
    return static_cast<std::size_t>(std::stoi(aName));
  };
  poll_options options;
  options.mPoll = [&](const std::string& aName) {
    ++polls[indexOf(aName)];
    if (indexOf(aName) % 3 == 0) {
      ++silentPolls;
      std::this_thread::sleep_for(100ms);
      return poll_outcome::Unresponsive;
    }
    return poll_outcome::Answered;
  };
  poll_pool pool(options);
  std::vector<std::string> names;
  for (std::size_t i = 0; i < polls.size(); ++i) {
    names.push_back(std::to_string(i));
  }
  const int before = CountThreads();
  pool.Start();
  pool.SetTargets(names);
  BOOST_TEST(WaitFor([&] {
    return std::all_of(polls.begin(), polls.end(), [](const auto& aCount) {
      return aCount > 0;
    });
  }));
  BOOST_TEST(CountThreads() - before <= 21);
  // All unresponsive targets are now polled by the separate threads. In the
  // time in which those make 60 polls, each live target is polled again.
  const int mark = silentPolls;
  std::array<int, 1200> seen{};
  for (std::size_t i = 0; i < polls.size(); ++i) {
    seen[i] = polls[i];
  }
  BOOST_TEST(WaitFor([&] { return silentPolls >= mark + 60; }));
  int again = 0;
  for (std::size_t i = 0; i < polls.size(); ++i) {
    again += i % 3 != 0 && polls[i] > seen[i] ? 1 : 0;
  }
  BOOST_TEST(again == 800);
  pool.SetTargets({ "1" });
  pool.Stop();
  BOOST_TEST(CountThreads() == before);
}

BOOST_AUTO_TEST_SUITE_END()
