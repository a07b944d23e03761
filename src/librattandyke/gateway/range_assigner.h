/// Assignment of key ranges to upstream instances by the leading control host.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include <rattandyke/result.h>
#include <rattandyke/types.h>

#include "gateway/dialect.h"
#include "gateway/heartbeat.h"
#include "gateway/key_load_map.h"
#include "gateway/owner_index.h"
#include "gateway/state.h"
#include "scheduling/demand_table.h"
#include "wire/gateway.pb.h"

namespace rattandyke::gateway {

/// Assigns the key ranges of services with exclusive key ownership to upstream
/// instances, renews the instances' leases on heartbeats and moves ranges
/// between instances to balance load. Does no I/O: its methods return commands
/// for the replicated log and read the resulting state. Not thread-safe.
///
/// Owners and fencing tokens are replicated; lease end times are known to the
/// leader only. A new leader assumes that its predecessor renewed every lease
/// immediately before the election, for the full lease duration, and frees no
/// keys of a silent instance earlier. So no two instances hold a key at the
/// same time, even across a change of leader.
class RangeAssigner
{
public:
  struct Options
  {
    /// Time for which an answer to a heartbeat renews the instance's lease.
    Duration leaseDuration{};
    /// Interval at which instances send heartbeats.
    Duration heartbeatInterval{};
    /// Time since its last heartbeat after which an instance is removed from
    /// the state.
    Duration removeAfter{};
  };

  explicit RangeAssigner(Options aOptions);

  /// Resets all unreplicated data, and rebuilds leases from the state. Call it
  /// when this host is elected leader.
  void OnElected(const State& aState, Instant aNow);

  /// Checks that a heartbeat comes from an upstream of this deployment. A
  /// heartbeat that fails the check must change nothing.
  /// @return Code::InvalidRecord if the address, service or incarnation is
  /// invalid; Code::UpstreamSuperseded if a later incarnation of the instance
  /// is known.
  Result<void> Check(const Heartbeat& aHeartbeat, const State& aState) const;

  /// @return the command that ends the instance, or that withdraws it if the
  /// deregistration names no incarnation; Code::UpstreamSuperseded if a later
  /// incarnation is known.
  Result<wire::GatewayCommand> OnDeregistration(
    const Deregistration& aDeregistration,
    const State& aState) const;

  /// Processes a heartbeat: registers the instance, frees the keys that it has
  /// released and plans moves of its keys.
  /// @param aHeartbeat has passed Check.
  /// @return commands to commit, in this order, before the heartbeat is
  /// answered.
  std::vector<wire::GatewayCommand> OnHeartbeat(const Heartbeat& aHeartbeat,
                                                const State& aState,
                                                Instant aArrived);

  /// @return a command that grants free keys to the instance; nothing if it
  /// gets none. Call it before the heartbeat is answered.
  std::optional<wire::GatewayCommand> PlanGrant(const Heartbeat& aHeartbeat,
                                                const State& aState,
                                                Instant aNow);

  /// @return whether the answer to a heartbeat should be delayed, because other
  /// instances are releasing keys that this instance may get: it would get them
  /// only with its next heartbeat.
  bool ShouldDelayAnswer(const Heartbeat& aHeartbeat,
                         const State& aState,
                         Instant aNow);

  /// Renews an instance's lease.
  /// @param aArrived time at which the heartbeat arrived here. The instance
  /// counts its lease from the earlier time at which it sent the heartbeat.
  /// @return all ranges that the instance may hold; std::nullopt if the answer
  /// must not renew the lease.
  std::optional<Grants> RenewLease(const Heartbeat& aHeartbeat,
                                   const State& aState,
                                   Instant aArrived);

  /// Frees keys of expired leases, removes silent instances and updates load
  /// averages. Call it every kTick.
  /// @return commands to commit.
  std::vector<wire::GatewayCommand> Tick(const State& aState, Instant aNow);

  /// Adds an entry host's request counts per key.
  void AddLoad(const wire::RangeLoad& aLoad);

  /// Adds a sample of an instance's response time, in seconds, to its average.
  void RecordLatency(const std::string& aInstance, double aSeconds);

  /// Adds the requests since the last Tick to the owners' demand. Call it
  /// immediately before Tick.
  void AddDemand(const State& aState, scheduling::DemandTable& aDemand) const;

  /// Applies a command to the state. If the state accepts it and it moves keys,
  /// corrects the owners' demand.
  /// @return the result of State::Apply.
  Result<void> ApplyAndMoveDemand(const wire::GatewayCommand& aCommand,
                                  LogIndex aIndex,
                                  State& aState,
                                  scheduling::DemandTable& aDemand);

  /// @return the capacities of all active owners of keys. The names are valid
  /// until the next call of a method.
  std::vector<scheduling::DemandTable::OwnerCapacity> OwnerCapacities(
    const State& aState,
    Instant aNow);

  /// Interval of calls of Tick.
  static constexpr Duration kTick = std::chrono::milliseconds{ 100 };

  /// @return the number of times that the loads of a service's owners were
  /// computed. Each computation visits all instances, and all segments of the
  /// service.
  uint64_t LoadComputations() const { return mLoadComputations; }

  /// @return the number of instance statuses, instances at the same address and
  /// segments visited so far: a measure of the work that may grow with the
  /// fleet.
  uint64_t Visits() const { return mVisits; }

private:
  /// Keys that their owner is to release, and the time since which this leader
  /// knows that.
  struct Revocation
  {
    KeySpan keys;
    std::string owner;
    /// Of the grant by which the owner holds them.
    uint64_t fence = 0;
    Instant since{};
  };

  /// Unreplicated data on one instance.
  struct InstanceStatus
  {
    /// Newest known incarnation, and the newest sequence number of its
    /// heartbeats.
    uint64_t incarnation = 0;
    uint64_t sequence = 0;
    std::optional<Instant> lastHeartbeatAt;
    /// First heartbeat of this incarnation that this leader received.
    std::optional<Instant> firstHeartbeatAt;
    /// From this time on the instance holds no keys, even if its clock is as
    /// slow as the lease margin allows.
    Instant leaseEnd{};
    /// First ready heartbeat since the instance was withdrawn.
    std::optional<Instant> readySince;
    /// Time of the next check for an expired lease, if one is scheduled.
    std::optional<Instant> leaseCheckAt;
    /// The instance's keys are being freed: its lease must not be renewed.
    bool freeingKeys = false;
    /// Time at which commands that free its keys were last proposed.
    std::optional<Instant> freeProposedAt;
    /// Time of the last heartbeat that reported released keys.
    std::optional<Instant> releasedAt;
    /// End of the instance's cold phase, as reported or assumed, and the log
    /// index of the command that reported or assumed it.
    Instant coldUntil{};
    uint64_t coldIndex = 0;
    /// Average response time, and the number of reports in the average.
    double latencySeconds = 0;
    double latencyReports = 0;
  };

  /// Keys that only one instance may be granted when they become free.
  struct Reservation
  {
    std::string to;
    KeySpan keys;
    Instant createdAt{};
  };

  /// Load and capacity of an instance.
  struct OwnerLoad
  {
    /// Load of its keys, see KeyLoadMap::Of.
    double load = 0;
    /// Throughput relative to the mean of the service's active instances,
    /// within bounds.
    double speed = 1;
    /// Utilization that each request per second adds: response time in seconds
    /// divided by slots.
    double utilizationPerRequest = 0;
    /// Mean fraction of its slots that requests for its keys occupy; above 1
    /// the instance is overloaded.
    double utilization = 0;
    double RelativeLoad() const { return load / speed; }
  };
  using OwnerLoads = std::map<std::string, OwnerLoad>;

  /// Unreplicated planning data on one service.
  struct ServicePlan
  {
    KeyLoadMap load;
    OwnerIndex index;
    /// First time at which an active instance could have been granted keys.
    std::optional<Instant> firstCandidateAt;
    /// Time since which the service has had free keys, if it has any.
    std::optional<Instant> freeSince;
    std::vector<Reservation> reservations;
    /// Free keys whose grants are being committed: last key by first key.
    std::map<uint32_t, uint32_t> pendingGrants;
    /// Time of each pending grant and its first key, oldest first.
    std::deque<std::pair<Instant, uint32_t>> pendingGrantOrder;
    /// Time at which each hot key was last moved.
    std::map<uint32_t, Instant> hotKeyMoves;
    /// By first key.
    std::map<uint32_t, Revocation> revocations;
    /// Cached result of ComputeOwnerLoads for the state at loadsIndex, the sum
    /// of its speeds, and whether it must be computed again; see OwnerLoadsOf.
    OwnerLoads ownerLoads;
    double totalSpeed = 0;
    std::optional<LogIndex> loadsIndex;
    bool loadsStale = false;
    /// Recomputations since the last tick that returning instances forced.
    uint32_t forcedUpdates = 0;
    Instant loadsComputedAt{};
  };

  /// Interval of lease checks for an instance without keys: a pending grant may
  /// give it some.
  static constexpr Duration kIdleCheckInterval = std::chrono::seconds{ 1 };

  /// @return whether the instances of a service own keys exclusively.
  static bool OwnsKeys(const State& aState, const std::string& aService);
  /// @return Code::InvalidRecord if the incarnation is missing,
  /// Code::UpstreamSuperseded if a later one is known.
  Result<void> CheckIncarnation(const std::string& aInstance,
                                uint64_t aIncarnation,
                                const State& aState) const;
  /// Resets an instance's status for a later incarnation.
  void StartIncarnation(const std::string& aInstance, uint64_t aIncarnation);
  /// @return whether a withdrawn instance has shown that it runs and is ready.
  bool HasReturned(const Heartbeat& aHeartbeat,
                   const wire::UpstreamInstance* aKnown,
                   Instant aNow);
  /// @return whether a heartbeat is the newest of the instance's newest
  /// incarnation.
  bool IsNewest(const Heartbeat& aHeartbeat) const;
  /// Marks the owner loads as stale, as they lack an instance that has sent a
  /// heartbeat.
  /// @param aReturning the instance is registered and was silent.
  static void InvalidateLoads(ServicePlan& aPlan, bool aReturning);
  /// @return the longest time for which an instance holds keys after the
  /// arrival of the heartbeat that renewed its lease.
  Duration MaxLeaseTime() const;
  /// Sets the time of an instance's next check for an expired lease.
  void ScheduleLeaseCheck(const std::string& aId,
                          InstanceStatus& aStatus,
                          Instant aTime);
  void CancelLeaseCheck(const std::string& aId, InstanceStatus& aStatus);
  /// @return the up-to-date index of a service's segments.
  const OwnerIndex& IndexOf(const std::string& aService,
                            const RangeTable& aRanges);
  bool HoldsKeys(const std::string& aId, const State& aState);
  /// Appends a command that frees the keys that the heartbeat reports released.
  void FreeReleasedKeys(const Heartbeat& aHeartbeat,
                        const State& aState,
                        std::vector<wire::GatewayCommand>& aCommands);
  /// Appends commands that end the instances that the sender has replaced at
  /// its address.
  void EndReplacedInstances(const Heartbeat& aHeartbeat,
                            const State& aState,
                            Instant aNow,
                            std::vector<wire::GatewayCommand>& aCommands);
  /// @return whether an instance certainly holds no keys any more, given that
  /// another one sends heartbeats from its address.
  bool IsSafeToEnd(const wire::UpstreamInstance& aOld,
                   const Heartbeat& aOther,
                   Instant aNow) const;
  /// Appends commands that free the keys of expired leases.
  void FreeExpiredLeases(const State& aState,
                         Instant aNow,
                         std::vector<wire::GatewayCommand>& aCommands);
  /// Appends commands that free revoked keys which their owner does not report
  /// as released, once its lease on them has ended.
  void FreeUnreportedKeys(const State& aState,
                          Instant aNow,
                          std::vector<wire::GatewayCommand>& aCommands);
  /// Appends commands that remove silent instances from the state, and erases
  /// statuses that are no longer needed. Each call visits a part of the
  /// statuses.
  void RemoveSilentInstances(const State& aState,
                             Instant aNow,
                             std::vector<wire::GatewayCommand>& aCommands);
  /// @return the other instances that are registered at a heartbeat's address.
  std::vector<std::string> OthersAtAddress(const Heartbeat& aHeartbeat,
                                           const State& aState);
  /// Appends commands that free all keys of an instance.
  void FreeAllKeys(const std::string& aId,
                   const State& aState,
                   std::vector<wire::GatewayCommand>& aCommands);
  /// Appends a command that revokes keys of an overloaded instance.
  void PlanMoves(const Heartbeat& aHeartbeat,
                 const State& aState,
                 Instant aNow,
                 std::vector<wire::GatewayCommand>& aCommands);
  /// Appends a command that revokes keys of the heartbeat's instance.
  static void AppendRevocation(const Heartbeat& aHeartbeat,
                               const std::vector<KeySpan>& aSpans,
                               std::vector<wire::GatewayCommand>& aCommands);
  static double MeanUtilizationPerRequest(const OwnerLoads& aOwners);
  /// @return the instance's hot keys, least busy first: each would alone exceed
  /// the capacity of an instance with the given utilization per request.
  static std::vector<KeySpan> HotKeys(const std::string& aId,
                                      double aUtilizationPerRequest,
                                      const RangeTable& aRanges,
                                      const ServicePlan& aPlan);
  /// Plans the move of one hot key if another instance serves it better.
  void MoveHotKey(const Heartbeat& aHeartbeat,
                  const RangeTable& aRanges,
                  OwnerLoads& aOwners,
                  Instant aNow,
                  std::vector<KeySpan>& aRevoked);
  /// @return the instance that a hot key should move to; end if there is none.
  OwnerLoads::iterator FindHotKeyTarget(const std::string& aFrom,
                                        const RangeTable& aRanges,
                                        const ServicePlan& aPlan,
                                        OwnerLoads& aOwners,
                                        Instant aNow) const;
  /// @return whether the next heartbeat of an instance is due about when
  /// revoked keys are released.
  bool IsHeartbeatDue(const std::string& aInstance, Instant aNow) const;
  /// Erases old reservations and records of hot key moves.
  static void ExpireReservations(ServicePlan& aPlan, Instant aNow);
  /// @return the parts of free keys that no pending grant takes.
  static std::vector<KeySpan> ExcludePendingGrants(ServicePlan& aPlan,
                                                   KeySpan aFree,
                                                   Instant aNow);
  /// @return a current reservation that overlaps the keys, or nullptr.
  static const Reservation* FindReservation(const ServicePlan& aPlan,
                                            KeySpan aKeys,
                                            Instant aNow);
  /// @return whether an instance may be granted keys: it sends heartbeats, is
  /// not draining, and its data centre is not evacuated.
  bool IsActive(const wire::UpstreamInstance& aInstance,
                const State& aState,
                Instant aNow) const;
  bool IsActive(const wire::UpstreamInstance& aInstance,
                const InstanceStatus& aStatus,
                const State& aState,
                Instant aNow) const;
  /// Updates the end of an instance's cold phase.
  /// @return whether the new end must be written to the state.
  bool UpdateColdTime(const Heartbeat& aHeartbeat,
                      const State& aState,
                      Instant aNow);
  /// Appends a command that revokes all keys of an instance in an evacuated
  /// data centre.
  void RevokeEvacuated(const Heartbeat& aHeartbeat,
                       const State& aState,
                       Instant aNow,
                       std::vector<wire::GatewayCommand>& aCommands) const;
  /// @return the cached loads of a service's active instances.
  const OwnerLoads& OwnerLoadsOf(const std::string& aService,
                                 const State& aState,
                                 Instant aNow);
  /// @return the active instances of a service with their speeds and no load.
  OwnerLoads SpeedsOf(const std::string& aService,
                      const State& aState,
                      Instant aNow) const;
  /// @return the active instances of a service with their speeds and loads.
  OwnerLoads ComputeOwnerLoads(const std::string& aService,
                               const State& aState,
                               Instant aNow);
  /// @return the request rate of those of the keys that a holder has and is not
  /// about to release. An empty name stands for no holder.
  static double RateOfHeldKeys(const std::string& aHolder,
                               KeySpan aKeys,
                               const RangeTable& aRanges,
                               const KeyLoadMap& aLoad);
  /// Change of an owner's demand by a command that moves keys.
  struct DemandChange
  {
    /// Part of the owner's requests that it loses.
    double lostShare = 0;
    /// Requests per second that it gains.
    double gained = 0;
  };

  /// @return the part of a holder's requests that a command takes from it.
  template<typename Command>
  double LostShare(const Command& aCommand, const State& aState);
  /// @param aState the state before the command.
  DemandChange DemandChangeOf(const wire::GatewayCommand& aCommand,
                              const State& aState);
  void PlanMove(const std::string& aService, const State& aState, Instant aNow);
  /// @return consecutive keys of an owner, outside aExcluded, with a load of at
  /// most aTargetLoad and near it; nothing if no keys fit.
  static std::optional<KeySpan> ChooseKeysToMove(
    const std::string& aOwner,
    const RangeTable& aRanges,
    const ServicePlan& aPlan,
    const std::vector<KeySpan>& aExcluded,
    double aTargetLoad);
  bool IsWithheld(const InstanceStatus& aStatus, uint32_t aKey) const;
  /// Updates the time since which the service has free keys.
  void UpdateFreeSince(const std::string& aService,
                       const State& aState,
                       Instant aNow);
  /// @return the relative load that all instances have when the load is
  /// balanced.
  static double BalancedLoad(const ServicePlan& aPlan);
  /// Records that a grant of keys is being committed.
  static void AddPendingGrant(ServicePlan& aPlan, KeySpan aKeys, Instant aNow);
  /// @return the part of a free range that an instance is granted; nothing if
  /// the range should wait for other instances.
  /// @param aShare      load of the instance when the load is balanced.
  /// @param aFreeFor    time for which the service has had free keys.
  /// @param aFirstGrant no key of the service has been granted before.
  static std::optional<KeySpan> ChooseFreeKeys(KeySpan aFree,
                                               const ServicePlan& aPlan,
                                               const OwnerLoad& aCandidate,
                                               double aShare,
                                               Duration aFreeFor,
                                               bool aFirstGrant);

  const Options mOptions;
  std::map<std::string, InstanceStatus> mStatuses;
  std::map<std::string, ServicePlan> mPlans;
  /// The deployment's instances report incarnations.
  bool mIncarnationsReported = false;
  uint64_t mLoadComputations = 0;
  uint64_t mVisits = 0;
  /// Scheduled lease checks by time.
  std::set<std::pair<Instant, std::string>> mLeaseChecks;
  /// Instances by address. OthersAtAddress removes outdated ones.
  std::unordered_map<std::string, std::set<std::string>> mInstancesByAddress;
  /// Last instance that RemoveSilentInstances visited.
  std::string mRemovalCursor;
};

} // namespace rattandyke::gateway
