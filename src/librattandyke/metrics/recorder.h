/// What a host counts and times about requests, upstreams and ownership.
///
/// Recording is cheap enough for every request: one lock that is hardly ever
/// contended, no allocation once a label is known. The labels are bounded: what
/// comes after the bound is counted under "other", and how much was folded so
/// is counted too.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <rattandyke/result.h>
#include <rattandyke/types.h>

#include "entry/outcome.h"

namespace rattandyke::metrics {

/// Largest numbers of labels of their own.
struct LabelLimits
{
  size_t services = 16;
  size_t customersPerService = 16;
  size_t upstreamsPerService = 64;
};

/// One request of a caller, recorded when its answer ended.
struct RequestSample
{
  std::string_view service;
  /// Customer class: the customer's name if a limit record names it, otherwise
  /// a name that many share, such as "unlisted".
  std::string_view customer;
  entry::Outcome outcome = entry::Outcome::Ran;
  /// Ok if an upstream answered; otherwise why rattandyke answered itself.
  Code code = Code::Ok;
  /// HTTP status that the caller got; 0 if the caller was gone.
  uint16_t status = 200;
  /// From the request's header to the end of the answer.
  Duration latency{};
  /// Part of the latency spent waiting for one of the upstream's slots.
  Duration queueTime{};
  uint32_t retries = 0;
  /// The answer is that of an earlier sending with the same Idempotency-Key.
  bool answeredAgain = false;
  /// The service's latency objective; zero: none.
  Duration objective{};
};

/// One request sent to an upstream, whether or not it was a retry.
struct AttemptSample
{
  std::string_view service;
  std::string_view upstream;
  bool failed = false;
  /// From the first byte sent to the last byte received.
  Duration latency{};
};

/// Times of one kind, in buckets of equal width on a logarithmic scale.
struct Distribution
{
  /// Counts by bucket; as long as BucketBounds() + 1: the last bucket has no
  /// upper bound.
  std::vector<uint64_t> counts;
  std::chrono::nanoseconds sum{};
  uint64_t count = 0;
};

/// @return the upper bounds of the buckets, rising.
const std::vector<std::chrono::nanoseconds>& BucketBounds();

/// @param aShare from 0 to 1.
/// @return the upper bound of the bucket that holds the percentile; zero if
/// there are no values. Its error is the bucket's width, a factor of 1.58.
std::chrono::nanoseconds Percentile(const Distribution& aDistribution,
                                    double aShare);

struct CustomerFigures
{
  std::string customer;
  uint64_t notRun = 0;
  uint64_t ran = 0;
  uint64_t unknown = 0;
  Distribution latency;
  Distribution queueTime;
};

struct UpstreamFigures
{
  std::string upstream;
  uint64_t attempts = 0;
  uint64_t failed = 0;
  Distribution latency;
};

struct RefusalFigures
{
  Code code = Code::Ok;
  uint64_t count = 0;
};

/// Requests that count towards the service's objective. Those whose caller was
/// gone do not.
struct ObjectiveCounts
{
  uint64_t total = 0;
  /// Answered with a status of 500 or above, by the upstream or by rattandyke.
  uint64_t failed = 0;
  /// Answered, but later than the latency objective.
  uint64_t slow = 0;

  ObjectiveCounts& operator+=(const ObjectiveCounts& aOther);
  bool operator==(const ObjectiveCounts&) const = default;
};

struct ServiceFigures
{
  std::string service;
  ObjectiveCounts objective;
  uint64_t retries = 0;
  uint64_t answeredAgain = 0;
  std::vector<CustomerFigures> customers;
  std::vector<UpstreamFigures> upstreams;
  std::vector<RefusalFigures> refusals;
};

/// Samples that were counted under "other".
struct FoldedCounts
{
  uint64_t services = 0;
  uint64_t customers = 0;
  uint64_t upstreams = 0;
};

/// All that a host has recorded since it started. Services, customers and
/// upstreams are sorted by name.
struct Snapshot
{
  std::vector<ServiceFigures> services;
  /// What was left of the table lease whenever it was renewed.
  Distribution leaseMargin;
  FoldedCounts folded;
};

/// Label of what is past the limits.
inline constexpr std::string_view kOther = "other";

/// Records samples from any thread. Thread-safe.
///
/// Samples go to one of a few shards, chosen by thread, each under its own
/// lock; Collect adds the shards up. Lock order: a shard, then the labels.
class Recorder
{
public:
  explicit Recorder(LabelLimits aLimits = {});
  ~Recorder();

  void RecordRequest(const RequestSample& aSample);
  void RecordAttempt(const AttemptSample& aSample);

  /// @param aMargin what was left of the table lease when it was renewed; a
  /// negative margin, of a lease that was over, counts as zero.
  void RecordLeaseMargin(Duration aMargin);

  /// An upstream has left: its label is free for another, and what it counted
  /// is kept under "other", so that no sum ever falls.
  void ForgetUpstream(std::string_view aService, std::string_view aUpstream);

  Snapshot Collect() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace rattandyke::metrics
