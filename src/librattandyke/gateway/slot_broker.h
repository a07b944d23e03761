/// Shares upstreams' slots out to requests.
#pragma once

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

/// One request of one process that wants a slot.
struct SlotKey
{
  uint64_t session = 0;
  uint64_t ticket = 0;
  auto operator<=>(const SlotKey&) const = default; // NOLINT(*-nullptr)
};

/// A request wants a slot.
struct SlotRequest
{
  SlotKey key;
  std::string service;
  /// The one upstream that will do; empty: any of the service's.
  std::string instance;
  /// Without an instance: the group of the service's upstreams.
  uint32_t group = 0;
  /// Upstreams that will not do.
  std::set<std::string> excluded;
  /// 0 goes first.
  uint32_t priority = 0;
  /// Time for which it waits.
  Duration maxWait{};
  /// Time left in which its answer is still in time; zero: not said.
  Duration timeToObjective{};
  /// Longest time for which it keeps the slot.
  Duration maxHold{};
  DataCentre dataCentre;
  /// Other hosts, unknown to this one, send requests to the same upstreams.
  bool alone = false;
  /// Its one upstream is seldom wanted, as far as this host knows.
  bool calm = true;
  /// This host is certain to keep the slots of cold upstreams.
  bool cold = true;
  /// This host chooses an instance by itself, by what they have told.
  bool direct = false;
};

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
  /// When a slot may be free.
  Duration retryAfter{};
};

/// It waits its turn.
struct SlotQueued
{
  SlotKey key;
};

using SlotAnswer = std::variant<SlotGranted, SlotRefused, SlotQueued>;

/// Keeps the slots of the upstreams that it is asked for: all requests that run
/// there for any entry host are known to it, so that no upstream gets more than
/// it has room for. Without that, entries that each send what an upstream can
/// run overrun it together; it then keeps silent or resets connections, and a
/// request that could have waited or gone elsewhere fails. Does no I/O. Not
/// thread-safe.
class SlotBroker
{
public:
  SlotBroker(uint64_t aSeed, const UpstreamSet::Options& aOptions);

  /// Takes over all instances of the replicated state.
  std::vector<SlotAnswer> Update(const State& aState, Instant aNow);

  /// Takes over one instance that was put or ended.
  std::vector<SlotAnswer> Update(const State& aState,
                                 const std::string& aInstance,
                                 Instant aNow);

  std::vector<SlotAnswer> Ask(const SlotRequest& aRequest, Instant aNow);

  /// A request ended, or wants no slot any more.
  std::vector<SlotAnswer> Done(const SlotKey& aKey,
                               AttemptOutcome aEnd,
                               Duration aTook,
                               Instant aNow);

  /// Time has passed. Call it every kTick.
  std::vector<SlotAnswer> Tick(Instant aNow);

  const UpstreamSet& Upstreams() const { return mUpstreams; }

  /// UpstreamSet::RecordLoadReport.
  void RecordLoadReport(const std::string& aInstance,
                        const LoadReport& aLoad,
                        Instant aNow)
  {
    mUpstreams.RecordLoadReport(aInstance, aLoad, aNow);
  }

  /// UpstreamSet::HoldOffCold.
  void HoldOffCold(const std::vector<std::string>& aInstances, Instant aNow)
  {
    mUpstreams.HoldOffCold(aInstances, aNow);
  }

  /// @return whether a request of a process waits or has a slot here.
  bool HasRequestOf(uint64_t aSession) const;

  /// @return requests that wait for a slot.
  size_t Waiting() const;

  /// UpstreamSet::TakeChangedResponseSeconds.
  std::map<std::string, double> TakeChangedResponseSeconds()
  {
    return mUpstreams.TakeChangedResponseSeconds();
  }

  static constexpr Duration kTick = std::chrono::milliseconds{ 20 };

private:
  struct QueuedRequest
  {
    SlotRequest request;
    Instant until{};
    /// Until then an answer may come before its caller's deadline.
    Instant lateUntil{};
  };

  struct Running
  {
    std::string instance;
    Instant ends{};
    UpstreamSet::Begun begun;
  };

  /// By priority; then those whose answers may still be in time, and those that
  /// are late; then in the order of arrival.
  struct Place
  {
    uint32_t priority = 0;
    bool late = false;
    uint64_t arrival = 0;
    auto operator<=>(const Place&) const = default; // NOLINT(*-nullptr)
  };
  using Queue = std::map<Place, QueuedRequest>;

  /// Requests for the same upstreams: one, or a group.
  struct Target
  {
    std::string service;
    std::string instance;
    uint32_t group = 0;
    auto operator<=>(const Target&) const = default; // NOLINT(*-nullptr)
  };

  /// How many requests come for a target, as a moving sum.
  struct Demand
  {
    double requests = 0;
    Instant at{};
    double RequestsAt(Instant aNow) const;
  };

  UpstreamSet::Outcome Choose(const SlotRequest& aRequest, Instant aNow);
  void Grant(const SlotRequest& aRequest,
             const UpstreamSet::Choice& aChoice,
             Instant aNow);
  void Refuse(const SlotRequest& aRequest,
              UpstreamSet::UnavailableReason aHindrance,
              Duration aRetryAfter);
  void RefuseAsFull(const SlotRequest& aRequest, Duration aWait);
  static Target TargetOf(const SlotRequest& aRequest);
  Duration AnswerTime(const SlotRequest& aRequest) const;
  Duration PatienceOf(const SlotRequest& aRequest) const;
  Duration LatestStart(const SlotRequest& aRequest) const;
  double RateFor(const SlotRequest& aRequest) const;
  size_t Ahead(const SlotRequest& aRequest, bool aLate) const;
  Duration ExpectedWait(const SlotRequest& aRequest) const;
  Duration ExpectedLateWait(const SlotRequest& aRequest, Instant aNow) const;
  void NoteDemand(const SlotRequest& aRequest, Instant aNow);
  double DemandFor(const SlotRequest& aRequest, Instant aNow) const;
  void Enqueue(const SlotRequest& aRequest, bool aLate, Instant aNow);
  void EndWaits(Queue& aQueue, Instant aNow);
  void Serve(const std::string& aService, Instant aNow);
  void ServeCold(Instant aNow);
  std::vector<SlotAnswer> TakeAnswers();

  UpstreamSet mUpstreams;
  std::map<std::string, Queue> mQueues;
  std::map<SlotKey, Running> mRunning;
  std::map<Target, Demand> mDemand;
  uint64_t mArrivals = 0;
  std::vector<SlotAnswer> mAnswers;
};

} // namespace rattandyke::gateway
