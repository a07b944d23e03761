/// Counters and times of a gateway host, as a text page.
#pragma once

#include <map>
#include <string>
#include <string_view>

#include <rattandyke/types.h>

#include "metrics/time_histogram.h"

namespace rattandyke::gateway {

/// Counts by name and label, and one histogram of times for each name. Not
/// thread-safe.
class Metrics
{
public:
  /// @param aLabel "key=\"value\"", or empty.
  void Increment(std::string_view aName, std::string_view aLabel = {});

  void Observe(std::string_view aName, Duration aTime);

  /// Sets a value that may rise and fall.
  void Set(std::string_view aName, double aValue);

  /// @return all of it in Prometheus' text format.
  std::string PrometheusText() const;

private:
  std::map<std::string, std::map<std::string, uint64_t>> mCounts;
  std::map<std::string, double> mValues;
  std::map<std::string, metrics::TimeHistogram> mTimes;
};

} // namespace rattandyke::gateway
