#include "gateway/metrics.h"

#include <sstream>

namespace rattandyke::gateway {

namespace {

constexpr std::string_view kPrefix = "rattandyke_gateway_";

double
Seconds(std::chrono::nanoseconds aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

void
WriteTimes(std::ostream& aPage,
           const std::string& aName,
           const metrics::TimeHistogram& aTimes)
{
  metrics::Distribution times;
  aTimes.AddTo(times);
  const std::string name = std::string(kPrefix) + aName + "_seconds";
  const auto bounds = metrics::TimeHistogram::UpperBounds();
  aPage << "# TYPE " << name << " histogram\n";
  uint64_t sum = 0;
  for (size_t i = 0; i < bounds.size(); ++i) {
    sum += times.counts[i];
    aPage << name << "_bucket{le=\"" << Seconds(bounds[i]) << "\"} " << sum
          << '\n';
  }
  aPage << name << "_bucket{le=\"+Inf\"} " << times.count << '\n'
        << name << "_sum " << Seconds(times.sum) << '\n'
        << name << "_count " << times.count << '\n';
}

} // namespace

void
Metrics::Increment(std::string_view aName, std::string_view aLabel)
{
  ++mCounts[std::string(aName)][std::string(aLabel)];
}

void
Metrics::Observe(std::string_view aName, Duration aTime)
{
  mTimes[std::string(aName)].Add(aTime);
}

void
Metrics::Set(std::string_view aName, double aValue)
{
  mValues[std::string(aName)] = aValue;
}

std::string
Metrics::PrometheusText() const
{
  std::ostringstream page;
  for (const auto& [name, counts] : mCounts) {
    page << "# TYPE " << kPrefix << name << "_total counter\n";
    for (const auto& [label, count] : counts) {
      page << kPrefix << name << "_total";
      if (!label.empty()) {
        page << '{' << label << '}';
      }
      page << ' ' << count << '\n';
    }
  }
  for (const auto& [name, value] : mValues) {
    page << "# TYPE " << kPrefix << name << " gauge\n"
         << kPrefix << name << ' ' << value << '\n';
  }
  for (const auto& [name, times] : mTimes) {
    WriteTimes(page, name, times);
  }
  return page.str();
}

} // namespace rattandyke::gateway
