/// Metrics of a gateway host in Prometheus' text format.
#pragma once

#include <map>
#include <string>
#include <string_view>

#include <rattandyke/types.h>

#include "metrics/time_histogram.h"

namespace rattandyke::gateway {

/// A registry of counters, gauges and histograms of durations. Metrics are
/// created on first use. Not thread-safe.
class Metrics
{
public:
  /// Increments a counter, which the page shows as aName + "_total".
  /// @param aLabel "key=\"value\"", or empty.
  void Increment(std::string_view aName, std::string_view aLabel = {});

  /// Sets a counter that is kept elsewhere; the page shows it as aName +
  /// "_total".
  /// @param aLabel "key=\"value\"" pairs separated by commas, or empty.
  void SetTotal(std::string_view aName,
                std::string_view aLabel,
                uint64_t aValue);

  /// Adds a duration to a histogram, which the page shows as aName +
  /// "_seconds".
  void Observe(std::string_view aName, Duration aTime);

  /// Sets a gauge.
  void Set(std::string_view aName, double aValue);

  /// @return all metrics in Prometheus' text format.
  std::string PrometheusText() const;

private:
  std::map<std::string, std::map<std::string, uint64_t>> mCounters;
  std::map<std::string, double> mGauges;
  std::map<std::string, metrics::TimeHistogram> mHistograms;
};

} // namespace rattandyke::gateway
