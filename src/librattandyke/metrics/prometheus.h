/// The metrics page that scrapers read.
#pragma once

#include <string>

#include "metrics/recorder.h"

namespace rattandyke::metrics {

/// @return the snapshot in Prometheus' text format 0.0.4; docs/METRICS.md
/// lists the names. Times are in seconds.
std::string ToPrometheus(const Snapshot& aSnapshot);

/// Media type of the text, for the Content-Type header.
inline constexpr std::string_view kPrometheusType =
  "text/plain; version=0.0.4; charset=utf-8";

} // namespace rattandyke::metrics
