#include "Duties/Routing/SlowStart.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

using namespace lavender;
using namespace lavender::routing;
using namespace std::chrono_literals;

namespace {

/** An entry that sends to one server whenever it may. */
struct sender
{
  slow_start_view mView;
  send_window mWindow;
};

slow_start_view
View(double aRequestsPerSecond, bool aIsWarming, bool aIsDesignated)
{
  return { aRequestsPerSecond, aIsWarming, aIsDesignated };
}

/** Lets the senders send as many requests as they may at random times.
 * @return the largest number of requests within a second */
int
BusiestSecond(std::vector<sender> aSenders)
{
  std::vector<time_point> sent;
  time_point now{ 1h };
  const int steps = *rc::gen::inRange(10, 200);
  for (int i = 0; i < steps; ++i) {
    now += milliseconds(*rc::gen::inRange(0, 120));
    auto& next = aSenders[*rc::gen::inRange<std::size_t>(0, aSenders.size())];
    for (int wanted = *rc::gen::inRange(0, 40);
         wanted > 0 && RequestsLeft(next.mWindow, next.mView, now) > 0;
         --wanted) {
      RecordSent(next.mWindow, now);
      sent.push_back(now);
    }
  }
  int busiest = 0;
  for (auto first = sent.begin(); first != sent.end(); ++first) {
    const auto end = std::lower_bound(first, sent.end(), *first + kSendWindow);
    busiest = std::max(busiest, static_cast<int>(end - first));
  }
  return busiest;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestSlowStart)

/** The load that a restarted server gets from owners of several batches, each
 * of which takes it for empty. The designated entry alone sends; two that both
 * take themselves for it stay within the limit. */
BOOST_AUTO_TEST_CASE(OwnersThatDisagreeStayWithinTheLimitOfAWarmingServer)
{
  BOOST_TEST(rc::check("two designated entries", [] {
    const int limit = *rc::gen::inRange(1, 100);
    std::vector<sender> senders(2, { View(limit, true, true), {} });
    const int others = *rc::gen::inRange(0, 6);
    for (int i = 0; i < others; ++i) {
      senders.push_back({ View(limit, true, false), {} });
    }
    RC_ASSERT(BusiestSecond(senders) <= limit);
  }));
}

/** A server that starts again while one entry doesn't hear of it: that entry
 * and the designated one together exceed the limit by no more than half. */
BOOST_AUTO_TEST_CASE(AnEntryThatMissedTheRestartExceedsTheLimitByHalfAtMost)
{
  BOOST_TEST(rc::check("an uninformed entry", [] {
    const int limit = *rc::gen::inRange(1, 100);
    const std::vector<sender> senders{ { View(limit, false, false), {} },
                                       { View(limit, true, true), {} } };
    RC_ASSERT(BusiestSecond(senders) <= limit + limit / 2);
  }));
}

BOOST_AUTO_TEST_CASE(APoolWithoutALimitIsNotLimited)
{
  send_window window;
  const time_point now{ 1h };
  for (int i = 0; i < 1000; ++i) {
    RecordSent(window, now);
  }
  BOOST_TEST(RequestsLeft(window, View(0, true, false), now) > 1000);
}

BOOST_AUTO_TEST_CASE(TheWindowSlides)
{
  send_window window;
  const time_point start{ 1h };
  const auto warm = View(2, false, false);
  RecordSent(window, start);
  RecordSent(window, start + 600ms);
  BOOST_TEST(RequestsLeft(window, warm, start + 999ms) == 0);
  BOOST_TEST(RequestsLeft(window, warm, start + 1000ms) == 1);
  BOOST_TEST(RequestsLeft(window, warm, start + 1600ms) == 2);
}

BOOST_AUTO_TEST_SUITE_END()
