#include "metrics/recorder.h"

#include <thread>

#include <gtest/gtest.h>

#include "metrics/prometheus.h"

namespace rattandyke::metrics {
namespace {

using namespace std::chrono_literals;

uint64_t
Requests(const ServiceFigures& aService)
{
  uint64_t requests = 0;
  for (const CustomerFigures& customer : aService.customers) {
    requests += customer.ran + customer.notRun + customer.unknown;
  }
  return requests;
}

// A client sends every request under another customer name. Each name would
// become a series that lives for ever, until the host is out of memory. Past
// the limit they share one series; no request goes uncounted, and the page says
// how many were folded.
TEST(Recorder, CustomersPastTheLimitFoldAndNoneIsLost)
{
  Recorder recorder({ .services = 2, .customersPerService = 3 });
  for (int customer = 0; customer < 1000; ++customer) {
    const std::string name = "customer-" + std::to_string(customer);
    recorder.RecordRequest({ .service = "board", .customer = name });
  }
  const Snapshot snapshot = recorder.Collect();
  ASSERT_EQ(snapshot.services.size(), 1u);
  EXPECT_EQ(snapshot.services[0].customers.size(), 4u);
  EXPECT_EQ(Requests(snapshot.services[0]), 1000u);
  EXPECT_EQ(snapshot.folded.customers, 997u);
}

// Paths that no record names arrive as services of their own from a scanner;
// the same bound holds for them, and "other" keeps bounds of its own.
TEST(Recorder, ServicesPastTheLimitFold)
{
  Recorder recorder({ .services = 2, .customersPerService = 3 });
  for (int service = 0; service < 50; ++service) {
    const std::string name = "service-" + std::to_string(service);
    recorder.RecordRequest({ .service = name, .customer = name });
  }
  const Snapshot snapshot = recorder.Collect();
  EXPECT_EQ(snapshot.services.size(), 3u);
  EXPECT_EQ(snapshot.folded.services, 48u);
}

// Upstreams are replaced under new names for weeks. Without Forget the labels
// would be used up by the dead and the living would all be "other"; if their
// counts went with them, sums would fall and rates come out negative.
TEST(Recorder, ForgottenUpstreamFreesItsLabelAndKeepsItsCounts)
{
  Recorder recorder({ .upstreamsPerService = 2 });
  for (int life = 0; life < 20; ++life) {
    const std::string name = "upstream-" + std::to_string(life);
    recorder.RecordAttempt({ "board", name, false, 5ms });
    recorder.ForgetUpstream("board", name);
  }
  recorder.RecordAttempt({ "board", "last", true, 5ms });
  const Snapshot snapshot = recorder.Collect();
  ASSERT_EQ(snapshot.services[0].upstreams.size(), 2u);
  EXPECT_EQ(snapshot.services[0].upstreams[0].upstream, "last");
  EXPECT_EQ(snapshot.services[0].upstreams[0].failed, 1u);
  EXPECT_EQ(snapshot.services[0].upstreams[1].attempts, 20u);
  EXPECT_EQ(snapshot.folded.upstreams, 0u);
}

TEST(Recorder, ThreadsLoseNothing)
{
  constexpr int kThreads = 8;
  constexpr int kEach = 2000;
  Recorder recorder;
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int thread = 0; thread < kThreads; ++thread) {
    threads.emplace_back([&recorder] {
      for (int request = 0; request < kEach; ++request) {
        recorder.RecordRequest(
          { .service = "board", .customer = "desk", .latency = 3ms });
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  const Snapshot snapshot = recorder.Collect();
  EXPECT_EQ(snapshot.services[0].objective.total, kThreads * kEach);
  EXPECT_EQ(snapshot.services[0].customers[0].latency.count, kThreads * kEach);
}

TEST(Recorder, ObjectiveCountsFailuresAndSlowAnswersApart)
{
  Recorder recorder;
  const auto record = [&](uint16_t aStatus, Duration aLatency) {
    recorder.RecordRequest({ .service = "board",
                             .customer = "desk",
                             .status = aStatus,
                             .latency = aLatency,
                             .objective = 500ms });
  };
  record(200, 500ms);
  record(200, 501ms);
  record(404, 1ms);
  record(503, 900ms); // failed; not slow as well, it spends the budget once
  record(0, 900ms);   // the caller was gone: says nothing of the service
  const ObjectiveCounts expected{ 4, 1, 1 };
  EXPECT_EQ(recorder.Collect().services[0].objective, expected);
}

TEST(Recorder, PercentileIsWithinABucket)
{
  Recorder recorder;
  for (int request = 1; request <= 1000; ++request) {
    recorder.RecordRequest({ .service = "board",
                             .customer = "desk",
                             .latency = std::chrono::milliseconds(request) });
  }
  const auto snapshot = recorder.Collect();
  const Distribution& latency = snapshot.services[0].customers[0].latency;
  EXPECT_GE(Percentile(latency, 0.99), 990ms);
  EXPECT_LE(Percentile(latency, 0.99), 990ms * 1.6);
  EXPECT_EQ(Percentile(Distribution{}, 0.99), 0ns);
}

// A customer's name comes from a caller's header. With a quote or a line break
// in it, it could end its label and write lines of its own into the page.
TEST(Prometheus, NamesFromCallersCannotForgeLines)
{
  Recorder recorder;
  recorder.RecordRequest(
    { .service = "board", .customer = "a\"} 9\nforged 1\\" });
  const std::string page = ToPrometheus(recorder.Collect());
  EXPECT_EQ(page.find("\nforged"), std::string::npos);
  EXPECT_NE(page.find("customer=\"a\\\"} 9\\nforged 1\\\\\",outcome"),
            std::string::npos);
}

TEST(Prometheus, BucketsAreCumulativeAndEndInTheCount)
{
  Recorder recorder;
  recorder.RecordLeaseMargin(-1ms);
  recorder.RecordLeaseMargin(700ms);
  recorder.RecordLeaseMargin(1h);
  const std::string page = ToPrometheus(recorder.Collect());
  EXPECT_NE(page.find("margin_seconds_bucket{le=\"0.0001\"} 1\n"),
            std::string::npos);
  EXPECT_NE(page.find("margin_seconds_bucket{le=\"100\"} 2\n"),
            std::string::npos);
  EXPECT_NE(page.find("margin_seconds_bucket{le=\"+Inf\"} 3\n"),
            std::string::npos);
  EXPECT_NE(page.find("margin_seconds_count 3\n"), std::string::npos);
}

} // namespace
} // namespace rattandyke::metrics
