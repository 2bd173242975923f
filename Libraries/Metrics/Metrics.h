#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>

/** Counters, gauges and latency histograms in Prometheus text format. */
namespace lavender::metrics {

/** Label names and values; with the metric's name they identify a series. */
using labels = std::map<std::string, std::string>;

/** All series of one process. Thread-safe. */
class registry
{
public:
  registry();
  ~registry();
  registry(const registry&) = delete;
  registry& operator=(const registry&) = delete;

  /** Adds to a counter; creates it when it doesn't exist. */
  void Count(const std::string& aName,
             const labels& aLabels,
             std::uint64_t aAmount = 1);
  /** Returns a counter's current value; 0 when it doesn't exist. */
  std::uint64_t Counter(const std::string& aName, const labels& aLabels) const;
  void SetGauge(const std::string& aName, const labels& aLabels, double aValue);
  /** Adds one duration to a histogram with logarithmic buckets from 1 ms to
   * 1000 s. */
  void Observe(const std::string& aName,
               const labels& aLabels,
               std::chrono::nanoseconds aDuration);

  /** Writes all series in Prometheus text exposition format. */
  std::string Write() const;

private:
  struct implementation;
  std::unique_ptr<implementation> mImplementation;
};

} // namespace lavender::metrics
