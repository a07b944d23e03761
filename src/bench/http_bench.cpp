/// Figures of the callers' server, over loopback and in one process: what a
/// request costs, what a connection and a stream hold, and that answers are
/// whole and go to their own callers.
#include <ctime>
#include <fstream>
#include <thread>

#include "bench/bench.h"
#include "testing/entry_fixture.h"
#include "testing/fake_upstream.h"
#include "testing/test_caller.h"

namespace rattandyke::bench {
namespace {

using testing::AnswerText;
using testing::EntryFixture;
using testing::FakeUpstream;
using testing::RequestText;
using testing::TestCaller;
using testing::UpstreamSide;

constexpr double kMaxAllocations = 90;
constexpr double kMaxBytesPerConnection = 8000;
constexpr double kMaxStreamMegabytes = 4;

constexpr size_t kOneWorker = 1;
constexpr std::string_view kHeaders = "User-Agent: bench\r\n"
                                      "Accept: application/json\r\n"
                                      "Accept-Encoding: identity\r\n"
                                      "Customer: desk-17\r\n";

void
AnswerWithTarget(UpstreamSide& aSide)
{
  while (const auto request = aSide.Read()) {
    const std::string target(request->target());
    if (!aSide.Write(AnswerText(target, "Content-Type: text/plain\r\n"))) {
      return;
    }
  }
}

struct WorkerState
{
  allocation::Count heap;
  std::chrono::nanoseconds cpu{};
};

WorkerState
StateOfThisThread()
{
  timespec cpu{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &cpu);
  return { allocation::ThisThread(),
           std::chrono::seconds(cpu.tv_sec) +
             std::chrono::nanoseconds(cpu.tv_nsec) };
}

void
AskMany(TestCaller& aCaller, uint64_t aRequests)
{
  for (uint64_t request = 0; request < aRequests; ++request) {
    if (!aCaller.Ask("GET", "/board/k1", "", kHeaders)) {
      throw std::runtime_error("A request got no answer.");
    }
  }
}

void
RunCost(Reporter& aReporter)
{
  constexpr uint64_t kWarmUp = 500;
  constexpr uint64_t kRequests = 5000;
  FakeUpstream upstream(AnswerWithTarget);
  EntryFixture entry({}, {}, {}, kOneWorker);
  entry.Host().SetOwner(upstream.Address());
  TestCaller caller(entry.Address());
  AskMany(caller, kWarmUp);
  const WorkerState before = entry.OnWorker(StateOfThisThread);
  AskMany(caller, kRequests);
  const WorkerState after = entry.OnWorker(StateOfThisThread);
  const auto each = [&](auto aTotal) {
    return static_cast<double>(aTotal) / kRequests;
  };
  const std::chrono::duration<double> cpu = after.cpu - before.cpu;
  aReporter.AtMost("http_allocations_per_request",
                   each(after.heap.allocations - before.heap.allocations),
                   "count",
                   kMaxAllocations);
  aReporter.Printed(
    "http_bytes_allocated_per_request",
    each(after.heap.bytesAllocated - before.heap.bytesAllocated),
    "bytes");
  aReporter.Printed(
    "http_requests_per_second_per_core", kRequests / cpu.count(), "1/s");
}

void
RunConnections(Reporter& aReporter)
{
  constexpr uint64_t kConnections = 300;
  FakeUpstream upstream(AnswerWithTarget);
  EntryFixture entry({}, {}, {}, kOneWorker);
  entry.Host().SetOwner(upstream.Address());
  TestCaller first(entry.Address());
  AskMany(first, 1);
  const WorkerState before = entry.OnWorker(StateOfThisThread);
  std::vector<std::unique_ptr<TestCaller>> callers;
  for (uint64_t connection = 0; connection < kConnections; ++connection) {
    callers.push_back(std::make_unique<TestCaller>(entry.Address()));
    AskMany(*callers.back(), 1);
  }
  const WorkerState after = entry.OnWorker(StateOfThisThread);
  const auto held = after.heap.bytesHeld - before.heap.bytesHeld;
  aReporter.AtMost("http_bytes_per_idle_connection",
                   static_cast<double>(held) / kConnections,
                   "bytes",
                   kMaxBytesPerConnection);
}

/// One caller asks the upstream itself and through the entry in turn, so that
/// what else the machine does falls on both.
void
RunLatency(Reporter& aReporter)
{
  constexpr uint64_t kRequests = 5000;
  FakeUpstream upstream(AnswerWithTarget);
  EntryFixture entry;
  entry.Host().SetOwner(upstream.Address());
  TestCaller direct(upstream.Address());
  TestCaller through(entry.Address());
  const auto time = [](TestCaller& aCaller) {
    const Instant start = std::chrono::steady_clock::now();
    AskMany(aCaller, 1);
    const std::chrono::duration<double, std::micro> taken =
      std::chrono::steady_clock::now() - start;
    return taken.count();
  };
  std::vector<double> directTimes;
  std::vector<double> throughTimes;
  for (uint64_t request = 0; request < kRequests; ++request) {
    directTimes.push_back(time(direct));
    throughTimes.push_back(time(through));
  }
  for (const auto& [name, share] :
       { std::pair{ "p50", 0.5 }, std::pair{ "p99", 0.99 } }) {
    const double one = Percentile(directTimes, share);
    const double other = Percentile(throughTimes, share);
    aReporter.Printed(std::string("http_direct_") + name, one, "us");
    aReporter.Printed(std::string("http_through_") + name, other, "us");
    aReporter.Printed(
      std::string("http_latency_ratio_") + name, other / one, "ratio");
  }
}

/// @return the largest resident size since ResetPeak, in MB.
double
PeakMegabytes()
{
  std::ifstream status("/proc/self/status");
  std::string word;
  while (status >> word) {
    if (word == "VmHWM:") {
      double kilobytes = 0;
      status >> kilobytes;
      return kilobytes / 1024;
    }
  }
  return std::nan("");
}

void
ResetPeak()
{
  std::ofstream("/proc/self/clear_refs") << "5";
}

constexpr uint64_t kStreamBytes = 1ULL << 30;
constexpr size_t kPieceBytes = size_t{ 64 } * 1024;

void
WriteMany(const std::function<bool(std::string_view)>& aWrite)
{
  const std::string piece(kPieceBytes, 'x');
  for (uint64_t sent = 0; sent < kStreamBytes; sent += piece.size()) {
    if (!aWrite(piece)) {
      throw std::runtime_error("A stream broke off.");
    }
  }
}

void
RunStreams(Reporter& aReporter)
{
  const std::string length =
    "Content-Length: " + std::to_string(kStreamBytes) + "\r\n\r\n";
  std::atomic<uint64_t> uploaded{ 0 };
  FakeUpstream upstream([&](UpstreamSide& aSide) {
    uploaded = aSide.DrainBody();
    aSide.Write("HTTP/1.1 200 OK\r\n" + length);
    WriteMany([&](std::string_view aPiece) { return aSide.Write(aPiece); });
    aSide.AwaitClose();
  });
  EntryFixture entry;
  entry.Host().SetOwner(upstream.Address());
  ResetPeak();
  const double before = PeakMegabytes();
  TestCaller caller(entry.Address());
  caller.Write("POST /board/k1 HTTP/1.1\r\nHost: entry\r\n"
               "Rattandyke-Deadline-Ms: 600000\r\n" +
               length);
  WriteMany([&](std::string_view aPiece) { return caller.Write(aPiece); });
  const uint64_t answered = caller.DrainBody();
  aReporter.AtMost("http_stream_bytes_lost",
                   static_cast<double>(2 * kStreamBytes - uploaded - answered),
                   "bytes",
                   0);
  aReporter.AtMost(
    "http_stream_memory", PeakMegabytes() - before, "MB", kMaxStreamMegabytes);
}

/// Answers carry their request's identity and length; every seventh breaks off
/// in the middle, every eleventh is longer than it says.
void
AnswerBadly(UpstreamSide& aSide, std::atomic<uint64_t>& aAsked)
{
  while (const auto request = aSide.Read()) {
    const std::string answer = AnswerText(std::string(request->target()));
    const uint64_t number = ++aAsked;
    const bool breaks = number % 7 == 0;
    const bool isLong = number % 11 == 0;
    aSide.Write(breaks   ? answer.substr(0, answer.size() - 1)
                : isLong ? answer + answer
                         : answer);
    if (breaks) {
      return;
    }
  }
}

struct AnswerCounts
{
  std::atomic<uint64_t> whole{ 0 };
  std::atomic<uint64_t> failed{ 0 };
  std::atomic<uint64_t> crossed{ 0 };
  std::atomic<uint64_t> truncated{ 0 };
};

void
AskAndCompare(const Endpoint& aEntry, uint64_t aCaller, AnswerCounts& aCounts)
{
  constexpr uint64_t kRequests = 1000;
  auto caller = std::make_unique<TestCaller>(aEntry);
  for (uint64_t request = 0; request < kRequests; ++request) {
    const std::string target =
      "/board/" + std::to_string(aCaller) + "-" + std::to_string(request);
    const auto got = caller->Ask("GET", target);
    if (!got) {
      caller = std::make_unique<TestCaller>(aEntry);
    }
    if (!got || got->result_int() != 200U) {
      ++aCounts.failed;
    } else if (got->body() == target) {
      ++aCounts.whole;
    } else {
      ++(target.starts_with(got->body()) ? aCounts.truncated : aCounts.crossed);
    }
  }
}

void
RunIdentity(Reporter& aReporter)
{
  constexpr uint64_t kCallers = 16;
  std::atomic<uint64_t> asked{ 0 };
  FakeUpstream upstream(
    [&](UpstreamSide& aSide) { AnswerBadly(aSide, asked); });
  EntryFixture entry;
  entry.Host().SetOwner(upstream.Address(), kCallers);
  AnswerCounts counts;
  std::vector<std::thread> threads;
  for (uint64_t caller = 0; caller < kCallers; ++caller) {
    threads.emplace_back(
      [&, caller] { AskAndCompare(entry.Address(), caller, counts); });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  const auto value = [](uint64_t aCount) {
    return static_cast<double>(aCount);
  };
  aReporter.Printed("http_answers_whole", value(counts.whole), "count");
  aReporter.Printed("http_answers_failed", value(counts.failed), "count");
  aReporter.AtMost("answers_crossed", value(counts.crossed), "count", 0);
  aReporter.AtMost(
    "answers_truncated_as_whole", value(counts.truncated), "count", 0);
}

const Registration sCost("http_cost", RunCost);
const Registration sConnections("http_connections", RunConnections);
const Registration sLatency("http_latency", RunLatency);
const Registration sStreams("http_streams", RunStreams);
const Registration sIdentity("http_identity", RunIdentity);

} // namespace
} // namespace rattandyke::bench
