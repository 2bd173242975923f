#include "Libraries/Metrics/Metrics.h"

#include <boost/histogram.hpp>
#include <sstream>
#include <utility>

namespace lavender::metrics {
namespace {

namespace bh = boost::histogram;

constexpr unsigned kBuckets = 36;
constexpr double kLowestSeconds = 0.001;
constexpr double kHighestSeconds = 1000.0;

using latency_axis = bh::axis::regular<double, bh::axis::transform::log>;

auto
MakeLatencyHistogram()
{
  return bh::make_histogram(
    latency_axis(kBuckets, kLowestSeconds, kHighestSeconds));
}

struct latency_series
{
  decltype(MakeLatencyHistogram()) mHistogram = MakeLatencyHistogram();
  double mSumSeconds = 0;
};

using series_key = std::pair<std::string, labels>;

std::string
EscapeLabel(const std::string& aText)
{
  std::string escaped;
  for (const char c : aText) {
    if (c == '"' || c == '\\') {
      escaped.push_back('\\');
    }
    if (c == '\n') {
      escaped += "\\n";
    } else {
      escaped.push_back(c);
    }
  }
  return escaped;
}

std::string
WriteLabels(const labels& aLabels, const std::string& aBound = {})
{
  std::string text;
  for (const auto& [name, content] : aLabels) {
    text +=
      (text.empty() ? "" : ",") + name + "=\"" + EscapeLabel(content) + "\"";
  }
  if (!aBound.empty()) {
    text += (text.empty() ? "le=\"" : ",le=\"") + aBound + "\"";
  }
  return text.empty() ? text : "{" + text + "}";
}

void
WriteHistogram(std::ostream& aOutput,
               const series_key& aKey,
               const latency_series& aSeries)
{
  const auto& [name, labels] = aKey;
  double total = aSeries.mHistogram.at(-1);
  for (unsigned i = 0; i < kBuckets; ++i) {
    total += aSeries.mHistogram.at(static_cast<int>(i));
    std::ostringstream bound;
    bound << aSeries.mHistogram.axis().bin(static_cast<int>(i)).upper();
    aOutput << name << "_bucket" << WriteLabels(labels, bound.str()) << " "
            << total << "\n";
  }
  total += aSeries.mHistogram.at(kBuckets);
  aOutput << name << "_bucket" << WriteLabels(labels, "+Inf") << " " << total
          << "\n"
          << name << "_sum" << WriteLabels(labels) << " " << aSeries.mSumSeconds
          << "\n"
          << name << "_count" << WriteLabels(labels) << " " << total << "\n";
}

} // namespace

struct registry::implementation
{
  mutable std::mutex mMutex;
  std::map<series_key, std::uint64_t> mCounters;
  std::map<series_key, double> mGauges;
  std::map<series_key, latency_series> mLatencies;
};

registry::registry()
  : mImplementation(std::make_unique<implementation>())
{
}

registry::~registry() = default;

void
registry::Count(const std::string& aName,
                const labels& aLabels,
                std::uint64_t aAmount)
{
  std::lock_guard lock(mImplementation->mMutex);
  mImplementation->mCounters[{ aName, aLabels }] += aAmount;
}

std::uint64_t
registry::Counter(const std::string& aName, const labels& aLabels) const
{
  std::lock_guard lock(mImplementation->mMutex);
  const auto found = mImplementation->mCounters.find({ aName, aLabels });
  return found == mImplementation->mCounters.end() ? 0 : found->second;
}

void
registry::SetGauge(const std::string& aName,
                   const labels& aLabels,
                   double aValue)
{
  std::lock_guard lock(mImplementation->mMutex);
  mImplementation->mGauges[{ aName, aLabels }] = aValue;
}

void
registry::Observe(const std::string& aName,
                  const labels& aLabels,
                  std::chrono::nanoseconds aDuration)
{
  const double seconds = std::chrono::duration<double>(aDuration).count();
  std::lock_guard lock(mImplementation->mMutex);
  auto& series = mImplementation->mLatencies[{ aName, aLabels }];
  series.mHistogram(seconds);
  series.mSumSeconds += seconds;
}

std::string
registry::Write() const
{
  std::ostringstream output;
  std::lock_guard lock(mImplementation->mMutex);
  for (const auto& [key, amount] : mImplementation->mCounters) {
    output << key.first << WriteLabels(key.second) << " " << amount << "\n";
  }
  for (const auto& [key, amount] : mImplementation->mGauges) {
    output << key.first << WriteLabels(key.second) << " " << amount << "\n";
  }
  for (const auto& [key, series] : mImplementation->mLatencies) {
    WriteHistogram(output, key, series);
  }
  return output.str();
}

} // namespace lavender::metrics
