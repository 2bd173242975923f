#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>

/** Counters, gauges and latency histograms in Prometheus text. */
namespace lavender::metrics {

/** Label names and values; part of a series' identity. */
using labels = std::map<std::string, std::string>;

/** All series of one process. Safe to use from any thread. */
class registry
{
public:
  registry();
  ~registry();
  registry(const registry&) = delete;
  registry& operator=(const registry&) = delete;

  /** Adds to a counter, such as one per refusal reason. */
  void Count(const std::string& aName,
             const labels& aLabels,
             std::uint64_t aAmount = 1);
  /** Current value of a counter; 0 when it was never counted. */
  std::uint64_t Counter(const std::string& aName, const labels& aLabels) const;
  void SetGauge(const std::string& aName, const labels& aLabels, double aValue);
  /** Adds one duration to a histogram with logarithmic buckets from 1 ms to
   * 1000 s. */
  void Observe(const std::string& aName,
               const labels& aLabels,
               std::chrono::nanoseconds aDuration);

  /** Prometheus text exposition of everything. */
  std::string Write() const;

private:
  struct implementation;
  std::unique_ptr<implementation> mImplementation;
};

} // namespace lavender::metrics
