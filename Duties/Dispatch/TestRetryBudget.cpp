#include "Duties/Dispatch/RetryBudget.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <vector>

using namespace lavender;
using namespace lavender::dispatch;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(TestRetryBudget)

// During an overload every server refuses requests. If each refusal were
// retried, the servers would get several times the load that overloads them.
// Retries must stay within their ratio for any pattern of arrivals.
BOOST_AUTO_TEST_CASE(RetriesStayWithinTheirRatio)
{
  std::int64_t refusals = 0;
  const bool isKept = rc::check("share holds over every window", [&] {
    const auto gaps =
      *rc::gen::resize(400,
                       rc::gen::container<std::vector<std::uint16_t>>(
                         rc::gen::inRange<std::uint16_t>(0, 250)));
    retry_budget budget;
    auto now = time_point(5000s);
    std::vector<time_point> firsts;
    std::vector<time_point> retries;
    // The window consists of the current second and the nine before it.
    const auto countRecent = [&](const std::vector<time_point>& aTimes) {
      const auto second = now.time_since_epoch() / 1s;
      return std::count_if(aTimes.begin(), aTimes.end(), [&](auto aTime) {
        return aTime.time_since_epoch() / 1s > second - 10;
      });
    };
    for (const auto gap : gaps) {
      now += milliseconds(gap);
      CountFirstAttempt(budget, now);
      firsts.push_back(now);
      // Every attempt fails and requests two retries.
      for (int i = 0; i < 2; ++i) {
        const auto allowed =
          std::max<std::int64_t>(10, countRecent(firsts) / 10);
        const bool isDue = countRecent(retries) < allowed;
        RC_ASSERT(TryConsumeRetry(budget, now) == isDue);
        if (isDue) {
          retries.push_back(now);
        } else {
          ++refusals;
        }
      }
    }
  });
  BOOST_TEST(isKept);
  BOOST_TEST(refusals > 0);
}

// An entry with little traffic must be able to retry a refused request.
BOOST_AUTO_TEST_CASE(AnEntryWithLittleTrafficMayRetry)
{
  retry_budget budget;
  CountFirstAttempt(budget, time_point(1s));
  BOOST_TEST(TryConsumeRetry(budget, time_point(1s)));
}

BOOST_AUTO_TEST_SUITE_END()
