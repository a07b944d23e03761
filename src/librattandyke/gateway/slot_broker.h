/// Allocation of upstream slots to requests.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include <rattandyke/types.h>

#include "gateway/state.h"
#include "gateway/upstream_set.h"

namespace rattandyke::gateway {

/// Identifies a slot request: the session of the requesting process, and a
/// ticket that is unique within the session.
struct SlotKey
{
  uint64_t session = 0;
  uint64_t ticket = 0;
  auto operator<=>(const SlotKey&) const = default; // NOLINT(*-nullptr)
};

/// Parameters of a slot request.
struct SlotRequest
{
  SlotKey key;
  std::string service;
  /// The only upstream allowed; empty: any upstream of the service.
  std::string instance;
  /// If instance is empty: the group of the service's upstreams to choose from.
  uint32_t group = 0;
  /// Upstreams that must not be chosen.
  std::set<std::string> excluded;
  /// 0 is the most urgent.
  uint32_t priority = 0;
  /// Longest time to wait for a slot.
  Duration maxWait{};
  /// Remaining time in which a response meets the latency objective; zero: not
  /// specified.
  Duration timeToObjective{};
  /// Longest time to keep the slot.
  Duration maxHold{};
  /// Data centre of the requesting entry host.
  DataCentre dataCentre;
  /// This host is not the home entry of the upstreams, so other hosts may send
  /// requests to them that this host does not know of.
  bool uncoordinated = false;
  /// The request may be sent without an answer of the home entry.
  bool mayBypassHome = true;
  /// Fraction of the request rate of a limited upstream that this host may
  /// allocate: 1 as its home entry, less if its list of entries may be
  /// outdated, 0 if it is not the home entry.
  double rateShare = 1;
  /// This host chooses an instance from load reports, without the home entry.
  bool direct = false;
  /// This host is the second allocator of the upstreams: it may allocate a part
  /// of their slots while the first one does not answer.
  bool second = false;
  /// With direct: the instances report no load and are chosen by response time.
  bool byResponseTime = false;
  /// The request may run twice. Only for the decision of this host.
  bool idempotent = false;
  /// Time that the caller stated for the response. Only for the decision of
  /// this host.
  Duration statedTime{};
  /// What is left of it.
  Duration statedTimeLeft{};
};

/// Deducts time that a request has waited from its times. A stated objective
/// stays stated after it has been missed.
/// @param aTime time that has passed since the request's times were set.
void DeductTime(SlotRequest& aRequest, Duration aTime);

struct SlotGranted
{
  SlotKey key;
  std::string instance;
  std::string address;
};

struct SlotRefused
{
  SlotKey key;
  UpstreamSet::UnavailableReason reason = UpstreamSet::UnavailableReason::Full;
  /// Time after which a slot may be free.
  Duration retryAfter{};
};

/// The request waits for a slot; SlotGranted or SlotRefused follows.
struct SlotQueued
{
  SlotKey key;
};

using SlotAnswer = std::variant<SlotGranted, SlotRefused, SlotQueued>;

/// Allocates the slots of upstreams to the requests of all entry hosts and
/// queues requests by priority. On the home entry of an upstream it knows all
/// requests in flight there, so the upstream never gets more than it has room
/// for. Without central allocation, entries that each send up to the capacity
/// of an upstream overload it together; the upstream then stops answering or
/// resets connections, and requests fail that could have waited or been sent to
/// another upstream. Does no I/O. Not thread-safe.
///
/// Each method that returns answers returns those of all requests that it
/// decides, not only those of the request passed.
class SlotBroker
{
public:
  SlotBroker(uint64_t aSeed, const UpstreamSet::Options& aOptions);

  /// Applies all instances of the replicated state.
  std::vector<SlotAnswer> Update(const State& aState, Instant aNow);

  /// Applies one instance that was added, changed or removed.
  std::vector<SlotAnswer> Update(const State& aState,
                                 const std::string& aInstance,
                                 Instant aNow);

  /// Grants, queues or refuses a slot.
  std::vector<SlotAnswer> Acquire(const SlotRequest& aRequest, Instant aNow);

  /// Frees the slot of a request, or removes the request from the queue.
  /// @param aElapsed time since the request was sent to the upstream.
  std::vector<SlotAnswer> Release(const SlotKey& aKey,
                                  AttemptOutcome aOutcome,
                                  Duration aElapsed,
                                  Instant aNow);

  /// Changes the queued requests, after which this host may allocate for other
  /// upstreams than when they were queued.
  void UpdateQueued(const std::function<void(SlotRequest&)>& aUpdate);

  /// Ends waits and slots that have expired. Must be called every kTick.
  std::vector<SlotAnswer> Tick(Instant aNow);

  const UpstreamSet& Upstreams() const { return mUpstreams; }

  /// See UpstreamSet::RecordLoadReport.
  void RecordLoadReport(const std::string& aInstance,
                        const LoadReport& aLoad,
                        Instant aNow)
  {
    mUpstreams.RecordLoadReport(aInstance, aLoad, aNow);
  }

  /// See UpstreamSet::RecordRateLimit.
  bool RecordRateLimit(const RateLimitNotice& aNotice, Instant aNow)
  {
    return mUpstreams.RecordRateLimit(aNotice, aNow);
  }

  /// See UpstreamSet::RecordLeaving.
  bool RecordLeaving(const std::string& aInstance,
                     uint64_t aIncarnation,
                     Instant aNow)
  {
    return mUpstreams.RecordLeaving(aInstance, aIncarnation, aNow);
  }

  /// See UpstreamSet::SetEntryCount.
  void SetEntryCount(size_t aCount) { mUpstreams.SetEntryCount(aCount); }

  /// See UpstreamSet::PauseNewLimits.
  void PauseNewLimits(Instant aUntil) { mUpstreams.PauseNewLimits(aUntil); }

  /// See UpstreamSet::PauseRateLimited.
  void PauseRateLimited(const std::vector<std::string>& aInstances,
                        Instant aNow)
  {
    mUpstreams.PauseRateLimited(aInstances, aNow);
  }

  /// @return whether a request of the session waits or has a slot here.
  bool HasRequestsOf(uint64_t aSession) const;

  /// @return the number of requests that wait for a slot.
  size_t QueuedCount() const;

  /// Slots granted since the start, without those that this host granted to its
  /// own requests for upstreams of which it is not an allocator.
  struct GrantCounts
  {
    uint64_t first = 0;
    uint64_t second = 0;
  };
  const GrantCounts& Grants() const { return mGrants; }

  /// @return the requests that were refused for a reason since the start.
  uint64_t Refusals(UpstreamSet::UnavailableReason aReason) const
  {
    const auto found = mRefusals.find(aReason);
    return found == mRefusals.end() ? 0 : found->second;
  }

  /// See UpstreamSet::TakeChangedResponseSeconds.
  std::map<std::string, double> TakeChangedResponseSeconds()
  {
    return mUpstreams.TakeChangedResponseSeconds();
  }

  static constexpr Duration kTick = std::chrono::milliseconds{ 20 };

private:
  /// A request that waits for a slot.
  struct QueuedRequest
  {
    SlotRequest request;
    /// End of the current wait.
    Instant waitUntil{};
    /// Latest start at which the response is expected before the caller's
    /// deadline.
    Instant lateWaitUntil{};
  };

  /// A slot in use.
  struct GrantedSlot
  {
    std::string instance;
    /// Time at which the slot is freed even if it has not been released.
    Instant expiresAt{};
    UpstreamSet::AttemptStart start;
  };

  /// Orders the queue by priority, then requests that may still meet their
  /// latency objective before late ones, then by arrival.
  struct QueuePosition
  {
    uint32_t priority = 0;
    bool late = false;
    uint64_t arrival = 0;
    auto operator<=>(const QueuePosition&) const = default; // NOLINT(*-nullptr)
  };
  using Queue = std::map<QueuePosition, QueuedRequest>;

  /// The upstreams that a request may use: one instance, or a group.
  struct Target
  {
    std::string service;
    std::string instance;
    uint32_t group = 0;
    auto operator<=>(const Target&) const = default; // NOLINT(*-nullptr)
  };

  /// Requests for a target, as an exponentially decayed sum.
  struct Demand
  {
    double requests = 0;
    Instant updatedAt{};
    double RequestsAt(Instant aNow) const;
  };

  UpstreamSet::Outcome Choose(const SlotRequest& aRequest, Instant aNow);
  void Grant(const SlotRequest& aRequest,
             const UpstreamSet::Choice& aChoice,
             Instant aNow);
  void Refuse(const SlotRequest& aRequest,
              UpstreamSet::UnavailableReason aReason,
              Duration aRetryAfter);
  void RefuseFull(const SlotRequest& aRequest, Duration aWait);
  static Target TargetOf(const SlotRequest& aRequest);
  Duration ExpectedResponseTime(const SlotRequest& aRequest) const;
  Duration MaxOnTimeWait(const SlotRequest& aRequest) const;
  Duration MaxLateWait(const SlotRequest& aRequest) const;
  double CapacityFor(const SlotRequest& aRequest) const;
  size_t QueuedAhead(const SlotRequest& aRequest, bool aLate) const;
  Duration ExpectedWait(const SlotRequest& aRequest, Instant aNow) const;
  Duration RetryAfter(const SlotRequest& aRequest,
                      Duration aWait,
                      Instant aNow) const;
  Duration ExpectedLateWait(const SlotRequest& aRequest, Instant aNow) const;
  void RecordDemand(const SlotRequest& aRequest, Instant aNow);
  double DemandRate(const SlotRequest& aRequest, Instant aNow) const;
  void Enqueue(const SlotRequest& aRequest, bool aLate, Instant aNow);
  void ExpireWaits(Queue& aQueue, Instant aNow);
  void GrantQueued(const std::string& aService, Instant aNow);
  void GrantQueuedForRateLimited(Instant aNow);
  std::vector<SlotAnswer> TakePendingAnswers();

  UpstreamSet mUpstreams;
  std::map<std::string, Queue> mQueues;
  std::map<SlotKey, GrantedSlot> mGranted;
  std::map<Target, Demand> mDemand;
  uint64_t mArrivals = 0;
  GrantCounts mGrants;
  std::map<UpstreamSet::UnavailableReason, uint64_t> mRefusals;
  std::vector<SlotAnswer> mPendingAnswers;
};

} // namespace rattandyke::gateway
