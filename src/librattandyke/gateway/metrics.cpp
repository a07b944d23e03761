#include "gateway/metrics.h"

#include <sstream>

namespace rattandyke::gateway {

namespace {

constexpr std::string_view kPrefix = "rattandyke_gateway_";

double
ToSeconds(std::chrono::nanoseconds aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

void
WriteHistogram(std::ostream& aPage,
               const std::string& aName,
               const metrics::TimeHistogram& aHistogram)
{
  metrics::Distribution distribution;
  aHistogram.AddTo(distribution);
  const std::string name = std::string(kPrefix) + aName + "_seconds";
  const auto bounds = metrics::TimeHistogram::UpperBounds();
  aPage << "# TYPE " << name << " histogram\n";
  uint64_t cumulative = 0;
  for (size_t i = 0; i < bounds.size(); ++i) {
    cumulative += distribution.counts[i];
    aPage << name << "_bucket{le=\"" << ToSeconds(bounds[i]) << "\"} "
          << cumulative << '\n';
  }
  aPage << name << "_bucket{le=\"+Inf\"} " << distribution.count << '\n'
        << name << "_sum " << ToSeconds(distribution.sum) << '\n'
        << name << "_count " << distribution.count << '\n';
}

} // namespace

void
Metrics::Increment(std::string_view aName, std::string_view aLabel)
{
  ++mCounters[std::string(aName)][std::string(aLabel)];
}

void
Metrics::SetTotal(std::string_view aName,
                  std::string_view aLabel,
                  uint64_t aValue)
{
  mCounters[std::string(aName)][std::string(aLabel)] = aValue;
}

void
Metrics::Observe(std::string_view aName, Duration aTime)
{
  mHistograms[std::string(aName)].Add(aTime);
}

void
Metrics::Set(std::string_view aName, double aValue)
{
  mGauges[std::string(aName)] = aValue;
}

std::string
Metrics::PrometheusText() const
{
  std::ostringstream page;
  for (const auto& [name, values] : mCounters) {
    page << "# TYPE " << kPrefix << name << "_total counter\n";
    for (const auto& [label, count] : values) {
      page << kPrefix << name << "_total";
      if (!label.empty()) {
        page << '{' << label << '}';
      }
      page << ' ' << count << '\n';
    }
  }
  for (const auto& [name, value] : mGauges) {
    page << "# TYPE " << kPrefix << name << " gauge\n"
         << kPrefix << name << ' ' << value << '\n';
  }
  for (const auto& [name, histogram] : mHistograms) {
    WriteHistogram(page, name, histogram);
  }
  return page.str();
}

} // namespace rattandyke::gateway
