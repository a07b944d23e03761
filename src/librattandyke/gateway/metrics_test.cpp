#include "gateway/metrics.h"

#include <gtest/gtest.h>

namespace rattandyke::gateway {
namespace {

TEST(GatewayMetrics, TextContainsCountersGaugesAndHistograms)
{
  Metrics metrics;
  metrics.Increment("requests", "status=\"200\"");
  metrics.Increment("requests", "status=\"200\"");
  metrics.Increment("connects");
  metrics.Set("state_index", 7);
  metrics.Observe("request", std::chrono::milliseconds{ 20 });
  const std::string page = metrics.PrometheusText();
  const auto expectLine = [&](const std::string& aLine) {
    EXPECT_NE(page.find(aLine + "\n"), std::string::npos) << aLine;
  };
  expectLine("rattandyke_gateway_requests_total{status=\"200\"} 2");
  expectLine("rattandyke_gateway_connects_total 1");
  expectLine("rattandyke_gateway_state_index 7");
  expectLine("rattandyke_gateway_request_seconds_count 1");
  expectLine("rattandyke_gateway_request_seconds_bucket{le=\"+Inf\"} 1");
}

// In Prometheus' format a bucket counts all durations up to its bound, not only
// those above the previous bound.
TEST(GatewayMetrics, BucketsAreCumulative)
{
  Metrics metrics;
  metrics.Observe("request", std::chrono::microseconds{ 1 });
  metrics.Observe("request", std::chrono::seconds{ 1000 });
  const std::string page = metrics.PrometheusText();
  EXPECT_NE(page.find("le=\"0.0001\"} 1\n"), std::string::npos);
  EXPECT_NE(page.find("le=\"100\"} 1\n"), std::string::npos);
  EXPECT_NE(page.find("le=\"+Inf\"} 2\n"), std::string::npos);
}

} // namespace
} // namespace rattandyke::gateway
