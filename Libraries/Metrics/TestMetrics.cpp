#include "Libraries/Metrics/Metrics.h"

#include <boost/test/unit_test.hpp>

using namespace lavender;
using namespace std::chrono_literals;

namespace {

bool
Contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestMetrics)

BOOST_AUTO_TEST_CASE(CountsEachLabelValueSeparately)
{
  metrics::registry registry;
  registry.Count("refusals_total", { { "reason", "deadline" } });
  registry.Count("refusals_total", { { "reason", "deadline" } });
  registry.Count("refusals_total", { { "reason", "queue_full" } });
  BOOST_TEST(registry.Counter("refusals_total", { { "reason", "deadline" } }) ==
             2u);
  BOOST_TEST(registry.Counter("refusals_total", { { "reason", "other" } }) ==
             0u);
  BOOST_TEST(
    Contains(registry.Write(), "refusals_total{reason=\"queue_full\"} 1\n"));
}

BOOST_AUTO_TEST_CASE(BucketsAreCumulativeAndIncludeOutliers)
{
  metrics::registry registry;
  for (const auto duration : { 100us, 5000us, 60000000us, 5000000000us }) {
    registry.Observe("latency_seconds", {}, duration);
  }
  const auto text = registry.Write();
  BOOST_TEST(Contains(text, "latency_seconds_bucket{le=\"1000\"} 3\n"));
  BOOST_TEST(Contains(text, "latency_seconds_bucket{le=\"+Inf\"} 4\n"));
  BOOST_TEST(Contains(text, "latency_seconds_count 4\n"));
}

BOOST_AUTO_TEST_CASE(EscapesLabelValues)
{
  metrics::registry registry;
  registry.Count("total", { { "name", "a\"b\\c\nd" } });
  BOOST_TEST(registry.Write() == "total{name=\"a\\\"b\\\\c\\nd\"} 1\n");
}

BOOST_AUTO_TEST_SUITE_END()
