#include "Duties/Routing/OwnRequests.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace lavender;
using namespace lavender::routing;

namespace {

/** Records the true number of requests on the server over time. */
struct server_oracle
{
  std::vector<std::pair<time_point, int>> mHistory{ { time_point(), 0 } };

  int Now() const { return mHistory.back().second; }
  void Change(time_point aNow, int aBy)
  {
    mHistory.emplace_back(aNow, Now() + aBy);
  }
  int At(time_point aTime) const
  {
    int held = 0;
    for (const auto& [time, count] : mHistory) {
      held = time <= aTime ? count : held;
    }
    return held;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(TestOwnRequests)

// If an entry added all its requests in flight to a report that includes most
// of them, it would avoid the servers that it uses and overload idle ones. If
// it added none, it would send a whole burst to one server.
BOOST_AUTO_TEST_CASE(CorrectedReportEqualsTheTrueCount)
{
  BOOST_TEST(rc::check("report plus correction is what the server holds", [] {
    own_requests own;
    server_oracle server;
    std::vector<time_point> inFlight;
    time_point now;
    int reported = 0;
    const int steps = *rc::gen::inRange(1, 100);
    for (int step = 0; step < steps; ++step) {
      now += milliseconds(*rc::gen::inRange(1, 200));
      const int kind = *rc::gen::inRange(0, 5);
      if (kind < 2) {
        RecordSent(own, now);
        inFlight.push_back(now);
        server.Change(now, 1);
      } else if (kind < 4 && !inFlight.empty()) {
        const auto which = *rc::gen::inRange<std::size_t>(0, inFlight.size());
        RecordEnd(own, inFlight[which], now);
        inFlight.erase(inFlight.begin() + static_cast<std::ptrdiff_t>(which));
        server.Change(now, -1);
      } else if (kind == 4) {
        const auto lag = milliseconds(*rc::gen::inRange(0, 5000));
        const auto madeAt = std::max(time_point(), now - lag);
        if (madeAt > own.mReportedAt) {
          reported = server.At(madeAt);
          ApplyReportTime(own, madeAt);
        }
      }
      RC_ASSERT(reported + own.mCorrection == server.Now());
      RC_ASSERT(own.mInFlight.size() == inFlight.size());
    }
  }));
}

// Guards against memory that grows with each request to a server that sends no
// load reports.
BOOST_AUTO_TEST_CASE(RequestsToAServerWithoutReportsAreForgotten)
{
  own_requests own;
  time_point now;
  constexpr int kRequests = 200'000;
  constexpr milliseconds kInterval{ 1 };
  for (int i = 0; i < kRequests; ++i) {
    const auto sentAt = now += kInterval;
    RecordSent(own, sentAt);
    RecordEnd(own, sentAt, now += kInterval);
  }
  BOOST_TEST(own.mCorrection == 0);
  BOOST_TEST(own.mInFlight.empty());
  BOOST_TEST(own.mEnded.size() <=
             static_cast<std::size_t>(kLongestReportDelay / kInterval));
}

BOOST_AUTO_TEST_SUITE_END()
