/// The leader's decisions on who holds which keys.
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
#include "wire/gateway.pb.h"

namespace rattandyke::gateway {

/// Grants keys to the instances of services whose keys have one owner, and
/// knows until when each instance may hold what it was granted. Does no I/O:
/// it returns commands for the replicated log; what it decides next it takes
/// from the state that results. Not thread-safe.
///
/// Owners and fences are replicated; how long a hold lasts is known to the
/// leader only. A new leader assumes that its predecessor renewed every holder
/// in the instant before it was elected, for the longest time there is, and
/// frees nothing of a silent one earlier. So two instances never hold a key at
/// the same time, whoever leads.
class RangeAssigner
{
public:
  struct Options
  {
    /// Time for which an answer renews what an instance holds.
    Duration leaseDuration{};
    /// How often instances send heartbeats.
    Duration heartbeatInterval{};
    /// Time after the last heartbeat at which an instance that holds no keys is
    /// forgotten.
    Duration forgetAfter{};
  };

  explicit RangeAssigner(Options aOptions);

  /// This host leads from now on.
  void OnElected(const State& aState, Instant aNow);

  /// @return whether a heartbeat is one of an upstream of this deployment:
  /// Code::InvalidRecord if it can't be, Code::UpstreamSuperseded if a later
  /// life under its id is known. What fails here changes nothing.
  Result<void> Check(const Heartbeat& aHeartbeat, const State& aState) const;

  /// @return the command that ends an instance that leaves, or withdraws it
  /// where the call tells no life; Code::UpstreamSuperseded if a later life is
  /// known.
  Result<wire::GatewayCommand> OnDeregistration(const Deregistration& aLeaving,
                                                const State& aState) const;

  /// @param aHeartbeat has passed Check.
  /// @return commands to commit before the heartbeat is answered, in order.
  std::vector<wire::GatewayCommand> OnHeartbeat(const Heartbeat& aHeartbeat,
                                                const State& aState,
                                                Instant aArrived);

  /// @return a grant of free keys to an instance whose heartbeat is to be
  /// answered.
  std::optional<wire::GatewayCommand> PlanGrant(const Heartbeat& aHeartbeat,
                                                const State& aState,
                                                Instant aNow);

  /// @return whether keys are being released that the instance may get: its
  /// answer should wait for them a moment, as its next heartbeat is far.
  bool ShouldDelayAnswer(const Heartbeat& aHeartbeat,
                         const State& aState,
                         Instant aNow);

  /// Renews what an instance holds.
  /// @param aArrived when the heartbeat arrived here: later than it was sent,
  /// from when the instance counts.
  /// @return what it is to hold; none if the answer must renew nothing.
  std::optional<Grants> RenewLease(const Heartbeat& aHeartbeat,
                                   const State& aState,
                                   Instant aArrived);

  /// @return commands that time has made due. Call it every kTick.
  std::vector<wire::GatewayCommand> Tick(const State& aState, Instant aNow);

  /// Notes how busy keys are.
  void AddLoad(const wire::RangeLoad& aLoad);

  /// Notes how long an instance's answers take at the moment, in seconds.
  void RecordLatency(const std::string& aInstance, double aSeconds);

  static constexpr Duration kTick = std::chrono::milliseconds{ 100 };

  /// @return how often holders were summed up, which takes a pass over all
  /// instances and keys of a service.
  uint64_t Sums() const { return mSums; }

  /// @return how many leases, other instances at an address and segments were
  /// looked at so far: the work that may grow with the fleet.
  uint64_t Visits() const { return mVisits; }

private:
  /// What the leader knows of one instance.
  struct Lease
  {
    /// Newest life seen, and its newest sequence.
    uint64_t life = 0;
    uint64_t sequence = 0;
    std::optional<Instant> lastHeartbeat;
    /// First heartbeat that this leader saw, while the instance waits to
    /// replace another at its address.
    std::optional<Instant> firstHeartbeat;
    /// From then on it holds nothing, by any clock that is within the bounds.
    Instant ends{};
    /// First ready heartbeat since it was withdrawn.
    std::optional<Instant> readySince;
    /// When the end of its hold is looked at next, if it may hold keys.
    std::optional<Instant> watchedAt;
    /// Its keys are being freed: nothing may be renewed.
    bool expiring = false;
    /// When commands that free its keys were last planned.
    std::optional<Instant> freedAt;
    std::optional<Instant> releasedAt;
    /// It is cold until then, as it said or as is assumed, and the command of
    /// the state that this follows.
    Instant coldUntil{};
    uint64_t coldIndex = 0;
    /// Average of its reported times in seconds, and the reports that it stands
    /// for.
    double answerSeconds = 0;
    double answerReports = 0;
  };

  /// Keys that are kept for one instance when they are free.
  struct Move
  {
    std::string to;
    KeySpan keys;
    Instant startedAt{};
  };

  /// What an instance can take, and what it has, in the same unit: the load
  /// of keys per unit of speed.
  struct Holder
  {
    double load = 0;
    double speed = 1;
    /// Time of its answers by its slots, in seconds: what each request of a
    /// second adds to busy.
    double perRequest = 0;
    /// Part of its slots that its requests keep busy.
    double busy = 0;
    double Level() const { return load / speed; }
  };
  using Holders = std::map<std::string, Holder>;

  /// What is known of a service.
  struct Group
  {
    KeyLoadMap load;
    HolderIndex index;
    std::optional<Instant> firstInstance;
    std::optional<Instant> freeSince;
    std::vector<Move> moves;
    /// Free keys whose grants are being committed: the last key by the first;
    /// and the first ones, oldest grant first.
    std::map<uint32_t, uint32_t> planned;
    std::deque<std::pair<Instant, uint32_t>> plannedOrder;
    /// When keys that alone are too much for their holder were last moved.
    std::map<uint32_t, Instant> movedAlone;
    /// Of the state at an index and of the loads since a tick, unless stale.
    Holders holders;
    double speeds = 0;
    std::optional<LogIndex> holdersAt;
    bool holdersStale = false;
    /// Times since the last tick that one came back that was not counted.
    uint32_t sumsAgain = 0;
    Instant summedAt{};
  };

  /// How soon an instance is looked at that holds no keys: it may get some by a
  /// grant that is on its way.
  static constexpr Duration kIdleWatch = std::chrono::seconds{ 1 };

  static bool OwnsKeys(const State& aState, const std::string& aService);
  Result<void> CheckLife(const std::string& aInstance,
                         uint64_t aLife,
                         const State& aState) const;
  void BeginLife(const std::string& aInstance, uint64_t aLife);
  /// @return whether a withdrawn instance is alive and ready.
  bool Returns(const Heartbeat& aHeartbeat,
               const wire::UpstreamInstance* aKnown,
               Instant aNow);
  /// @return whether a heartbeat is the newest of the instance's newest life.
  bool IsNewest(const Heartbeat& aHeartbeat) const;
  /// An instance has sent a heartbeat that is not among the sums.
  /// @param aComesBack it was registered, and silent.
  static void NoteUncounted(Group& aGroup, bool aComesBack);
  /// Looks at the end of an instance's hold at a time.
  void Watch(const std::string& aId, Lease& aLease, Instant aAt);
  void Unwatch(const std::string& aId, Lease& aLease);
  /// @return the index of a service's segments, up to date.
  const HolderIndex& IndexOf(const std::string& aService,
                             const RangeTable& aRanges);
  bool HoldsKeys(const std::string& aId, const State& aState);
  void NoteReleased(const Heartbeat& aHeartbeat,
                    const State& aState,
                    std::vector<wire::GatewayCommand>& aCommands);
  void NoteReplaced(const Heartbeat& aHeartbeat,
                    const State& aState,
                    Instant aNow,
                    std::vector<wire::GatewayCommand>& aCommands);
  /// @return whether an instance is certain to be over, or to hold nothing any
  /// more, when heartbeats of another come from its address.
  bool IsOver(const wire::UpstreamInstance& aOld,
              const Heartbeat& aOther,
              Instant aNow) const;
  void FreeExpired(const State& aState,
                   Instant aNow,
                   std::vector<wire::GatewayCommand>& aCommands);
  /// Forgets instances and leases that are over, a part of them in each call.
  void Forget(const State& aState,
              Instant aNow,
              std::vector<wire::GatewayCommand>& aCommands);
  /// @return the other instances that are registered at a heartbeat's address.
  std::vector<std::string> OthersAtAddress(const Heartbeat& aHeartbeat,
                                           const State& aState);
  void FreeAll(const std::string& aId,
               const State& aState,
               std::vector<wire::GatewayCommand>& aCommands);
  void PlanMoves(const Heartbeat& aHeartbeat,
                 const State& aState,
                 Instant aNow,
                 std::vector<wire::GatewayCommand>& aCommands);
  static void HoldBack(const Heartbeat& aHeartbeat,
                       const std::vector<KeySpan>& aSpans,
                       std::vector<wire::GatewayCommand>& aCommands);
  /// @return the mean of what a request adds to the time of an instance.
  static double UsualTime(const Holders& aHolders);
  /// @return the keys of an instance that each alone are more than one can take
  /// to whose time a request adds so much, the least busy first.
  static std::vector<KeySpan> KeysTooMuch(const std::string& aId,
                                          double aPerRequest,
                                          const RangeTable& aRanges,
                                          const Group& aGroup);
  /// Plans the move of a key that is too much for its holder, if another one is
  /// better for it.
  void MoveKeyAlone(const Heartbeat& aHeartbeat,
                    const RangeTable& aRanges,
                    Holders& aHolders,
                    Instant aNow,
                    std::vector<KeySpan>& aGiven);
  Holders::iterator TakerAlone(const std::string& aFrom,
                               const RangeTable& aRanges,
                               const Group& aGroup,
                               Holders& aHolders,
                               Instant aNow) const;
  bool TakesSoon(const std::string& aInstance, Instant aNow) const;
  static void EndReservations(Group& aGroup, Instant aNow);
  /// @return the parts of free keys that no grant under way takes.
  static std::vector<KeySpan> NotPlanned(Group& aGroup,
                                         KeySpan aFree,
                                         Instant aNow);
  static const Move* MoveOf(const Group& aGroup, KeySpan aKeys, Instant aNow);
  /// @return whether an instance may be given keys.
  bool IsActive(const wire::UpstreamInstance& aInstance,
                const State& aState,
                Instant aNow) const;
  bool IsActive(const wire::UpstreamInstance& aInstance,
                const Lease& aLease,
                const State& aState,
                Instant aNow) const;
  /// @return whether the state must be told anew for how long an instance is
  /// cold.
  bool NoteCold(const Heartbeat& aHeartbeat, const State& aState, Instant aNow);
  /// Lets all keys of an instance in an evacuated data centre be released.
  void GiveUpAll(const Heartbeat& aHeartbeat,
                 const State& aState,
                 Instant aNow,
                 std::vector<wire::GatewayCommand>& aCommands) const;
  const Holders& HoldersOf(const std::string& aService,
                           const State& aState,
                           Instant aNow);
  /// @return the active instances of a service with their speeds.
  Holders SpeedsOf(const std::string& aService,
                   const State& aState,
                   Instant aNow) const;
  Holders SumUpHolders(const std::string& aService,
                       const State& aState,
                       Instant aNow);
  void PlanMove(const std::string& aService, const State& aState, Instant aNow);
  static std::optional<KeySpan> SliceOf(const std::string& aHolder,
                                        const RangeTable& aRanges,
                                        const Group& aGroup,
                                        const std::vector<KeySpan>& aExcept,
                                        double aWanted);
  bool IsWithheld(const Lease& aLease, uint32_t aKey) const;
  void UpdatePool(const std::string& aService,
                  const State& aState,
                  Instant aNow);
  static double EvenLevel(const Group& aGroup);
  /// Notes that a grant of keys is being committed.
  static void NotePlanned(Group& aGroup, KeySpan aKeys, Instant aNow);
  /// @return the part of free keys that an instance gets; nothing if others
  /// should.
  /// @param aShare an even share for it.
  /// @param aAge   time for which keys have been free.
  /// @param aFirst no key has had an owner yet.
  static std::optional<KeySpan> PieceFor(KeySpan aFree,
                                         const Group& aGroup,
                                         const Holder& aTaker,
                                         double aShare,
                                         Duration aAge,
                                         bool aFirst);

  const Options mOptions;
  std::map<std::string, Lease> mLeases;
  std::map<std::string, Group> mGroups;
  /// Instances of this deployment tell their lives apart.
  bool mLivesTold = false;
  uint64_t mSums = 0;
  uint64_t mVisits = 0;
  /// Leases by when the ends of their holds are looked at.
  std::set<std::pair<Instant, std::string>> mWatched;
  /// Instances by address. Ones that are registered no more are taken out when
  /// their address is looked at.
  std::unordered_map<std::string, std::set<std::string>> mAtAddress;
  /// The lease after which Forget goes on.
  std::string mForgottenUpTo;
};

} // namespace rattandyke::gateway
