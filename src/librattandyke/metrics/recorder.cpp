#include "metrics/recorder.h"

#include <array>
#include <atomic>
#include <cmath>
#include <mutex>
#include <unordered_map>

#include "metrics/label_table.h"
#include "metrics/time_histogram.h"

namespace rattandyke::metrics {
namespace {

constexpr size_t kShards = 4;
constexpr uint16_t kFirstFailureStatus = 500;

/// Lets a map keyed by strings be searched by a string_view without a copy.
struct StringHash
{
  using is_transparent = void;
  size_t operator()(std::string_view aText) const
  {
    return std::hash<std::string_view>{}(aText);
  }
};

template<typename Value>
using ByName =
  std::unordered_map<std::string, Value, StringHash, std::equal_to<>>;

struct CustomerSeries
{
  std::array<uint64_t, 3> outcomes{};
  TimeHistogram latency;
  TimeHistogram queueTime;
};

struct UpstreamSeries
{
  uint64_t attempts = 0;
  uint64_t failed = 0;
  TimeHistogram latency;

  UpstreamSeries& operator+=(const UpstreamSeries& aOther)
  {
    attempts += aOther.attempts;
    failed += aOther.failed;
    latency += aOther.latency;
    return *this;
  }
};

struct ServiceSeries
{
  ObjectiveCounts objective;
  uint64_t retries = 0;
  uint64_t answeredAgain = 0;
  ByName<CustomerSeries> customers;
  ByName<UpstreamSeries> upstreams;
  std::unordered_map<Code, uint64_t> refusals;
};

struct Shard
{
  mutable std::mutex mutex;
  ByName<ServiceSeries> services;
  TimeHistogram leaseMargin;
  FoldedCounts folded;
};

ObjectiveCounts
CountsOf(const RequestSample& aSample)
{
  if (aSample.status == 0) {
    return {};
  }
  const bool failed = aSample.status >= kFirstFailureStatus;
  const bool slow = !failed && aSample.objective > Duration::zero() &&
                    aSample.latency > aSample.objective;
  return { 1, failed ? 1U : 0U, slow ? 1U : 0U };
}

/// The threads of a pool get the shards in turn, so that few share one.
size_t
ShardOfThisThread()
{
  static std::atomic<size_t> sNext{ 0 };
  thread_local const size_t sMine = sNext.fetch_add(1) % kShards;
  return sMine;
}

/// @return the element of the sorted vector whose key it is, added if missing.
template<typename Figures, typename Key>
Figures&
FiguresOf(std::vector<Figures>& aAll, Key Figures::*aMember, const Key& aKey)
{
  const auto at = std::lower_bound(
    aAll.begin(), aAll.end(), aKey, [&](auto& aOne, auto& aOther) {
      return aOne.*aMember < aOther;
    });
  if (at != aAll.end() && (*at).*aMember == aKey) {
    return *at;
  }
  Figures fresh{};
  fresh.*aMember = aKey;
  return *aAll.insert(at, std::move(fresh));
}

void
AddCustomers(const ServiceSeries& aSeries, ServiceFigures& aInto)
{
  for (const auto& [name, series] : aSeries.customers) {
    CustomerFigures& figures =
      FiguresOf(aInto.customers, &CustomerFigures::customer, name);
    figures.notRun +=
      series.outcomes[static_cast<size_t>(entry::Outcome::NotRun)];
    figures.ran += series.outcomes[static_cast<size_t>(entry::Outcome::Ran)];
    figures.unknown +=
      series.outcomes[static_cast<size_t>(entry::Outcome::Unknown)];
    series.latency.AddTo(figures.latency);
    series.queueTime.AddTo(figures.queueTime);
  }
}

void
AddUpstreams(const ServiceSeries& aSeries, ServiceFigures& aInto)
{
  for (const auto& [name, series] : aSeries.upstreams) {
    UpstreamFigures& figures =
      FiguresOf(aInto.upstreams, &UpstreamFigures::upstream, name);
    figures.attempts += series.attempts;
    figures.failed += series.failed;
    series.latency.AddTo(figures.latency);
  }
}

void
AddService(const ServiceSeries& aSeries, ServiceFigures& aInto)
{
  aInto.objective += aSeries.objective;
  aInto.retries += aSeries.retries;
  aInto.answeredAgain += aSeries.answeredAgain;
  AddCustomers(aSeries, aInto);
  AddUpstreams(aSeries, aInto);
  for (const auto& [code, count] : aSeries.refusals) {
    FiguresOf(aInto.refusals, &RefusalFigures::code, code).count += count;
  }
}

} // namespace

struct Recorder::Impl
{
  explicit Impl(LabelLimits aLimits)
    : labels(aLimits)
  {
  }

  /// The series of a service in a locked shard.
  ServiceSeries& Service(Shard& aShard, std::string_view aService)
  {
    const auto found = aShard.services.find(aService);
    if (found != aShard.services.end()) {
      return found->second;
    }
    if (labels.AdmitService(aService)) {
      return aShard.services[std::string(aService)];
    }
    ++aShard.folded.services;
    return aShard.services[std::string(kOther)];
  }

  CustomerSeries& Customer(Shard& aShard,
                           ServiceSeries& aSeries,
                           const RequestSample& aSample)
  {
    const auto found = aSeries.customers.find(aSample.customer);
    if (found != aSeries.customers.end()) {
      return found->second;
    }
    if (labels.AdmitCustomer(aSample.service, aSample.customer)) {
      return aSeries.customers[std::string(aSample.customer)];
    }
    ++aShard.folded.customers;
    return aSeries.customers[std::string(kOther)];
  }

  UpstreamSeries& Upstream(Shard& aShard,
                           ServiceSeries& aSeries,
                           const AttemptSample& aSample)
  {
    const auto found = aSeries.upstreams.find(aSample.upstream);
    if (found != aSeries.upstreams.end()) {
      return found->second;
    }
    if (labels.AdmitUpstream(aSample.service, aSample.upstream)) {
      return aSeries.upstreams[std::string(aSample.upstream)];
    }
    ++aShard.folded.upstreams;
    return aSeries.upstreams[std::string(kOther)];
  }

  Shard& MyShard() { return shards[ShardOfThisThread()]; }

  LabelTable labels;
  std::array<Shard, kShards> shards;
};

Recorder::Recorder(LabelLimits aLimits)
  : mImpl(std::make_unique<Impl>(aLimits))
{
}

Recorder::~Recorder() = default;

void
Recorder::RecordRequest(const RequestSample& aSample)
{
  Shard& shard = mImpl->MyShard();
  const std::lock_guard lock(shard.mutex);
  ServiceSeries& service = mImpl->Service(shard, aSample.service);
  service.objective += CountsOf(aSample);
  service.retries += aSample.retries;
  service.answeredAgain += aSample.answeredAgain ? 1 : 0;
  if (aSample.code != Code::Ok) {
    ++service.refusals[aSample.code];
  }
  CustomerSeries& customer = mImpl->Customer(shard, service, aSample);
  ++customer.outcomes[static_cast<size_t>(aSample.outcome)];
  customer.latency.Add(aSample.latency);
  customer.queueTime.Add(aSample.queueTime);
}

void
Recorder::RecordAttempt(const AttemptSample& aSample)
{
  Shard& shard = mImpl->MyShard();
  const std::lock_guard lock(shard.mutex);
  ServiceSeries& service = mImpl->Service(shard, aSample.service);
  UpstreamSeries& upstream = mImpl->Upstream(shard, service, aSample);
  ++upstream.attempts;
  upstream.failed += aSample.failed ? 1 : 0;
  upstream.latency.Add(aSample.latency);
}

void
Recorder::RecordLeaseMargin(Duration aMargin)
{
  Shard& shard = mImpl->MyShard();
  const std::lock_guard lock(shard.mutex);
  shard.leaseMargin.Add(aMargin);
}

void
Recorder::ForgetUpstream(std::string_view aService, std::string_view aUpstream)
{
  for (Shard& shard : mImpl->shards) {
    const std::lock_guard lock(shard.mutex);
    const auto service = shard.services.find(aService);
    if (service == shard.services.end()) {
      continue;
    }
    auto node = service->second.upstreams.extract(std::string(aUpstream));
    if (!node.empty() && aUpstream != kOther) {
      service->second.upstreams[std::string(kOther)] += node.mapped();
    }
  }
  mImpl->labels.ForgetUpstream(aService, aUpstream);
}

Snapshot
Recorder::Collect() const
{
  Snapshot snapshot;
  for (const Shard& shard : mImpl->shards) {
    const std::lock_guard lock(shard.mutex);
    shard.leaseMargin.AddTo(snapshot.leaseMargin);
    snapshot.folded.services += shard.folded.services;
    snapshot.folded.customers += shard.folded.customers;
    snapshot.folded.upstreams += shard.folded.upstreams;
    for (const auto& [name, series] : shard.services) {
      AddService(series,
                 FiguresOf(snapshot.services, &ServiceFigures::service, name));
    }
  }
  return snapshot;
}

ObjectiveCounts&
ObjectiveCounts::operator+=(const ObjectiveCounts& aOther)
{
  total += aOther.total;
  failed += aOther.failed;
  slow += aOther.slow;
  return *this;
}

const std::vector<std::chrono::nanoseconds>&
BucketBounds()
{
  static const auto sBounds = TimeHistogram::UpperBounds();
  return sBounds;
}

std::chrono::nanoseconds
Percentile(const Distribution& aDistribution, double aShare)
{
  const auto rank = static_cast<uint64_t>(
    std::ceil(aShare * static_cast<double>(aDistribution.count)));
  uint64_t seen = 0;
  for (size_t bucket = 0; bucket < aDistribution.counts.size(); ++bucket) {
    seen += aDistribution.counts[bucket];
    if (seen >= rank && seen > 0) {
      return BucketBounds()[std::min(bucket, BucketBounds().size() - 1)];
    }
  }
  return {};
}

} // namespace rattandyke::metrics
