#include "bench/bench.h"
#include "metrics/prometheus.h"
#include "metrics/recorder.h"

namespace rattandyke::bench {
namespace {

using namespace std::chrono_literals;

metrics::RequestSample
SampleOf(std::string_view aCustomer)
{
  return { .service = "board",
           .customer = aCustomer,
           .latency = 7ms,
           .queueTime = 1ms,
           .objective = 500ms };
}

void
MeasureRecording(Reporter& aReporter)
{
  constexpr uint64_t kCalls = 100000;
  metrics::Recorder recorder;
  recorder.RecordRequest(SampleOf("desk"));
  const auto count = allocation::During([&] {
    for (uint64_t call = 0; call < kCalls; ++call) {
      recorder.RecordRequest(SampleOf("desk"));
    }
  });
  aReporter.AtMost("metrics_record_allocations",
                   static_cast<double>(count.allocations),
                   "count",
                   0);
  aReporter.Printed(
    "metrics_record_time",
    NanosecondsPerCall(kCalls,
                       [&] { recorder.RecordRequest(SampleOf("desk")); }),
    "ns");
}

/// A hundred times more names than the limits allow, on one thread.
void
MeasureBounds(Reporter& aReporter)
{
  constexpr size_t kNames = 6400;
  constexpr size_t kServices = 32;
  const auto count = allocation::During([&] {
    auto* recorder = new metrics::Recorder();
    for (size_t name = 0; name < kNames; ++name) {
      const std::string label = "name-" + std::to_string(name);
      const std::string service = "s" + std::to_string(name % kServices);
      metrics::RequestSample sample = SampleOf(label);
      sample.service = service;
      recorder->RecordRequest(sample);
      recorder->RecordAttempt({ service, label, false, 5ms });
    }
    // Left on the heap, so that the count is of what it holds.
    KeepAlive(recorder);
  });
  constexpr double kMegabyte = 1e6;
  aReporter.AtMost("metrics_bytes_at_limits",
                   static_cast<double>(count.bytesHeld) / kMegabyte,
                   "MB",
                   2);
}

const Registration sMetrics("metrics", [](Reporter& aReporter) {
  MeasureRecording(aReporter);
  MeasureBounds(aReporter);
});

} // namespace
} // namespace rattandyke::bench
