/// Load balancing over upstream instances.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include <rattandyke/types.h>

#include "base/clock.h"
#include "base/named_rate.h"
#include "base/token_bucket.h"
#include "entry/rate_notice.h"
#include "gateway/load_report.h"
#include "gateway/state.h"

namespace rattandyke::gateway {

/// Result of one attempt to send a request to an upstream.
enum class AttemptOutcome
{
  /// The upstream answered the request.
  Answered,
  /// The upstream could not be reached: nothing was sent.
  Unreachable,
  /// The upstream refused the request: it has not run.
  Refused,
  /// The connection broke, or the response was invalid.
  Broken,
  /// No response arrived in time.
  TimedOut,
  /// The attempt was cancelled for reasons unrelated to the upstream.
  Abandoned,
  /// Another process refused the request at the upstream's address: it has not
  /// run.
  Misdirected,
};

/// What an instance said about the request rate that it accepts.
struct RateLimitNotice
{
  std::string instance;
  uint64_t incarnation = 0;
  entry::RateNotice rate;
};

/// The upstream instances known to an entry host, with their load, response
/// times, failures and cold periods, and the load balancer that chooses among
/// them. Does no I/O. Not thread-safe.
class UpstreamSet
{
public:
  /// An instance to send a request to.
  struct Choice
  {
    std::string instance;
    std::string address;
  };

  /// Reason for which no instance can be chosen.
  enum class UnavailableReason
  {
    /// No suitable instance of the service is known.
    NoInstance,
    /// The key has no owner that may be sent requests.
    NoOwner,
    /// All suitable instances have as many requests as they may get.
    Full,
    /// The only suitable instance has failed several times in a row.
    Failing,
  };

  using Outcome = std::variant<Choice, UnavailableReason>;

  struct Options
  {
    /// Time after which a draining instance must get no more requests.
    Duration drainTimeout{};
    /// The same for the instances of an evacuated data centre.
    Duration evacuationTimeout{};
    /// All hosts together may send a cold instance this many requests in one
    /// second: the cold rate of its service times coldFactor, plus coldSlack.
    double coldFactor = 1;
    double coldSlack = 0;
    /// Name of this host.
    std::string host;
    /// Data centre of this host.
    DataCentre dataCentre;
    /// ChooseDirect may choose an instance whose response is expected after the
    /// latency objective. Set if the link's admission has decided on that: then
    /// a refusal makes the caller send its request over the busy link again.
    bool chooseUntilDeadline = false;
  };

  UpstreamSet(uint64_t aSeed, const Options& aOptions);

  /// Applies all instances of the replicated state.
  void Update(const State& aState, Instant aNow);

  /// Applies one instance after a command that adds, changes or removes it. The
  /// cost does not grow with the number of other instances.
  void Update(const State& aState, const std::string& aInstance, Instant aNow);

  /// This host has just become the home entry of these instances and does not
  /// know what the previous one sent them: cold ones get nothing before the
  /// last second is over, and the request rate of the others accrues from now
  /// on.
  void PauseRateLimited(const std::vector<std::string>& aInstances,
                        Instant aNow);

  /// An instance whose limit becomes known, or changes, before that time gets
  /// its request rate only from then on.
  void PauseNewLimits(Instant aUntil) { mNewLimitsPausedUntil = aUntil; }

  /// Removes instances that are no longer limited from the candidates for
  /// RateLimitedInstances. Must be called from time to time.
  void RemoveUnlimited(Instant aNow);

  /// @return the ids of the instances whose request rate is limited: the cold
  /// ones and those that named a limit.
  std::vector<std::string> RateLimitedInstances(Instant aNow) const;

  /// @return the number of instances that RateLimitedInstances examines.
  size_t RateLimitCandidateCount() const { return mRateLimitCandidates.size(); }

  /// @return whether the instance is in its cold period, in which it bears only
  /// a limited request rate.
  bool IsCold(const std::string& aInstance, Instant aNow) const;

  /// @return whether the request rate of the instance is limited.
  bool IsRateLimited(const std::string& aInstance, Instant aNow) const;

  /// Chooses an instance of a group of a service.
  /// @param aExcluded instances that must not be chosen.
  /// @param aDataCentre data centre that the request comes from.
  /// @param aRateShare see SlotRequest::rateShare.
  Outcome Choose(const std::string& aService,
                 uint32_t aGroup,
                 const std::set<std::string>& aExcluded,
                 const DataCentre& aDataCentre,
                 double aRateShare,
                 Instant aNow);

  /// Chooses an instance of a service from load reports, without a home entry.
  /// Each host chooses from a small subset of the instances, so that it gets
  /// reports of each often enough to know its response time and load.
  /// @param aMaxResponseTime instances with a longer expected response time are
  /// not chosen.
  Outcome ChooseDirect(const std::string& aService,
                       const std::set<std::string>& aExcluded,
                       Duration aMaxResponseTime,
                       Instant aNow);

  /// @return Options::chooseUntilDeadline.
  bool ChoosesUntilDeadline() const { return mOptions.chooseUntilDeadline; }

  /// Chooses an instance of a service whose instances report no load, without a
  /// home entry, from the same subset as ChooseDirect. The choice is by the
  /// expected completion: the average response time, times one plus the
  /// requests in flight from this host by slot.
  /// @param aMaxResponseTime instances that are expected to complete later are
  /// not chosen.
  Outcome ChooseByResponseTime(const std::string& aService,
                               const std::set<std::string>& aExcluded,
                               Duration aMaxResponseTime,
                               Instant aNow);

  /// @return whether an instance may get requests that its home entry does not
  /// know of: it is not limited in its rate, is not leaving, draining or
  /// evacuated, and has not just failed.
  bool AcceptsDirect(const std::string& aInstance, Instant aNow) const;

  /// @return the expected time until ChooseDirect finds an instance with room.
  Duration ExpectedDirectWait(const std::string& aService, Instant aNow);

  /// Records a load report of an instance.
  void RecordLoadReport(const std::string& aInstance,
                        const LoadReport& aLoad,
                        Instant aNow);

  /// Records what an instance said about its request rate limit, to this host
  /// or to another one. Older notices and those of other incarnations are
  /// ignored.
  /// @return whether the limit changed.
  bool RecordRateLimit(const RateLimitNotice& aNotice, Instant aNow);

  /// Records that an instance said that it leaves. What another incarnation
  /// said is ignored.
  /// @return whether that was not known.
  bool RecordLeaving(const std::string& aInstance,
                     uint64_t aIncarnation,
                     Instant aNow);

  /// @return whether the instance said that it leaves.
  bool IsLeaving(const std::string& aInstance) const;

  /// @return the newest notice of an instance, std::nullopt if its incarnation
  /// has never named a limit.
  std::optional<RateLimitNotice> RateLimitOf(
    const std::string& aInstance) const;

  /// @return the limits of the instances of a group that have one.
  std::vector<RateLimitNotice> RateLimitsOf(const std::string& aService,
                                            uint32_t aGroup) const;

  /// @return the time until the limit of an instance admits a request behind
  /// aQueuedAhead others; zero without a limit.
  Duration RateLimitWait(const std::string& aInstance,
                         size_t aQueuedAhead,
                         Instant aNow) const;

  /// Sets the number of entry hosts, for sending without a home entry.
  void SetEntryCount(size_t aCount) { mEntryCount = aCount; }

  /// @return whether instances of the service report their load.
  bool ReportsLoad(const std::string& aService, Instant aNow) const;

  /// @return the fraction of the service's usable instances whose request rate
  /// is limited.
  double RateLimitedFraction(const std::string& aService, Instant aNow) const;

  /// Chooses the given instance if it has room. If it seems to be down, only an
  /// occasional request is let through as a probe.
  /// @param aRateShare see SlotRequest::rateShare.
  Outcome ChooseOne(const std::string& aInstance,
                    double aRateShare,
                    Instant aNow);

  /// Chooses the given instance while other hosts may send requests to it that
  /// this host does not know of: uses only some of its slots, and none shortly
  /// after it failed or refused a request.
  Outcome ChooseOneUncoordinated(const std::string& aInstance,
                                 Instant aNow) const;

  /// Chooses an instance of a group for the second allocator: only instances
  /// without a limited request rate, and at most half of the slots of each. The
  /// first allocator may allocate the others meanwhile.
  /// @param aExcluded instances that must not be chosen.
  /// @param aDataCentre data centre that the request comes from.
  Outcome ChooseAsSecond(const std::string& aService,
                         uint32_t aGroup,
                         const std::set<std::string>& aExcluded,
                         const DataCentre& aDataCentre,
                         Instant aNow);

  /// The same for the given instance.
  Outcome ChooseOneAsSecond(const std::string& aInstance, Instant aNow);

  /// @return the owner of a key if it may be sent requests, or an empty string.
  std::string OwnerOf(const State& aState,
                      const std::string& aService,
                      uint32_t aKey,
                      Instant aNow) const;

  /// The instances of a service are divided into groups, and each group has one
  /// home entry that allocates its slots. A group has about kGroupSize
  /// instances, of which the least loaded is chosen; if keys have owners, most
  /// groups have one instance.
  /// @return the group of an instance.
  uint32_t GroupOf(const std::string& aInstance) const;

  /// @return a group, chosen with a probability proportional to its number of
  /// usable instances.
  uint32_t PickGroup(const std::string& aService, uint64_t aRandom) const;

  /// Target number of instances per group if keys have no owners.
  static constexpr uint32_t kGroupSize = 16;

  /// @return the capacity of a group, or of an instance, in requests per
  /// second.
  double CapacityOf(const std::string& aService, uint32_t aGroup) const;
  double CapacityOfInstance(const std::string& aInstance) const;

  /// @return the average response time of a group, or of an instance, in
  /// seconds.
  double ResponseSecondsOf(const std::string& aService, uint32_t aGroup) const;
  double ResponseSecondsOfInstance(const std::string& aInstance) const;

  /// @return the service of a known instance, or an empty string.
  std::string ServiceOf(const std::string& aInstance) const;

  /// @return the address of an instance if it may be sent requests, or an empty
  /// string.
  std::string UsableAddress(const std::string& aInstance, Instant aNow) const;

  /// @return whether the service has an instance that is neither draining nor
  /// evacuated.
  bool CanServe(const std::string& aService) const;

  /// @return whether any instance of the service is known.
  bool HasInstances(const std::string& aService) const;

  /// @return the incarnation of an instance; 0 if it is unknown.
  uint64_t IncarnationOf(const std::string& aInstance) const;

  /// @return the average response times that changed since the last call, by
  /// instance, in seconds. Unchanged ones are left out: many hosts have sent an
  /// instance a request at some time, and their old averages would hide those
  /// of the hosts that send it requests now.
  std::map<std::string, double> TakeChangedResponseSeconds();

  /// @return the instances that get no requests although they could be sent
  /// some: they lost the last choices, over some seconds.
  std::vector<std::string> UnusedInstances(Instant aNow) const;

  /// State of an instance when an attempt starts.
  struct AttemptStart
  {
    /// The request has to wait at the upstream for a slot.
    bool queued = false;
    /// Incarnation of the instance.
    uint64_t incarnation = 0;
    /// What is known of the response time is old.
    bool outdated = false;
  };

  /// Records the start of an attempt at an instance.
  /// @param aRateShare see SlotRequest::rateShare.
  AttemptStart BeginAttempt(const std::string& aInstance,
                            double aRateShare,
                            Instant aNow);

  /// Records the end of an attempt. Has no effect if the attempt was at an
  /// earlier incarnation of the instance.
  /// @param aElapsed time since the request was sent.
  /// @param aStart result of BeginAttempt.
  void EndAttempt(const std::string& aInstance,
                  AttemptOutcome aOutcome,
                  Duration aElapsed,
                  const AttemptStart& aStart,
                  Instant aNow);

  /// @return the number of attempts at the instance that this set knows to be
  /// in flight.
  uint32_t InFlight(const std::string& aInstance) const;

private:
  /// Response time assumed for an upstream that has not answered yet.
  static constexpr double kDefaultResponseSeconds = 0.1;

  /// Limit of an instance's request rate, as the instance named it.
  struct RateLimit
  {
    NamedRate named;
    /// Requests that this host may allocate as the home entry.
    TokenBucket bucket;
    /// Before this time, the instance gets no requests without its home entry.
    Instant uncoordinatedFrom{};
  };

  /// An instance, as known to this host.
  struct Upstream
  {
    std::string service;
    std::string address;
    std::string dataCentre;
    uint32_t slots = 1;
    /// Incarnation of the process; the fields below belong to it.
    uint64_t incarnation = 0;
    std::optional<Instant> drainingSince;
    /// Time since which this host knows that it leaves, by its responses.
    std::optional<Instant> leavingSince;
    /// Start of the evacuation of its data centre.
    std::optional<Instant> evacuatedSince;
    /// Log index of the command that last set the cold period.
    uint64_t coldIndex = 0;
    Instant coldUntil{};
    /// While the instance is cold, it gets no requests before this time.
    Instant coldPausedUntil{};
    /// Start times of the newest attempts, oldest first: at most as many as a
    /// cold instance may get in a second. Nearly all instances have none, and
    /// then this allocates no memory.
    std::vector<Instant> recentStarts;
    /// Set once the instance has named a limit of its request rate. Few have,
    /// so the others pay for a pointer only.
    std::unique_ptr<RateLimit> rateLimit;
    std::optional<LoadReport> report;
    Instant reportedAt{};
    /// Attempts of this host that started since the last load report, and the
    /// start of the newest.
    uint32_t startsSinceReport = 0;
    Instant lastStartAt{};
    uint32_t inFlight = 0;
    /// Choices since lastStartAt in which it had room and lost to another.
    mutable uint32_t timesPassedOver = 0;
    /// Moving average of response times, in seconds; 0: none yet.
    double meanSeconds = 0;
    /// Number of response times in the average so far.
    uint32_t timedResponses = 0;
    /// Failures since the last response.
    uint32_t failures = 0;
    Instant avoidUntil{};
    /// While the instance seems to be down: time of the next probe.
    Instant nextProbeAt{};
    /// Another process has answered at the address. Until then the instance
    /// gets no requests, and then one at a time until it answers itself.
    std::optional<Instant> replacedUntil;
    /// The instance has left the state, but has attempts in flight.
    bool removed = false;
    uint32_t group = 0;
    /// The instance is counted in its Service.
    bool inService = false;
  };
  using Item = std::pair<const std::string, Upstream>;

  /// Index of a service's instances. With it, the cost of a request depends on
  /// the size of its group only, and the cost of a changed instance not on the
  /// number of instances.
  struct Service
  {
    bool ownsKeys = false;
    /// Maximum requests to a cold instance per second; none: no limit.
    std::optional<size_t> coldLimit;
    uint32_t instances = 0;
    uint32_t groups = 1;
    /// Instances by group, without draining, evacuated and removed ones.
    std::map<uint32_t, std::vector<const Item*>> members;
    /// Number of instances in members.
    size_t usable = 0;
    /// Instances that ChooseDirect chooses from; none: not computed yet.
    std::optional<std::vector<const Item*>> subset;
    /// Time of the last load report of any instance.
    std::optional<Instant> reportedAt;
  };

  using HasRoom = std::function<bool(const Upstream&)>;

  /// @return whether an instance had room in many choices and has got no
  /// request for some time, so that its average response time is outdated.
  static bool IsOutdated(const Upstream& aUpstream, Instant aNow);

  /// @return a random factor near 1. Hosts that know the same of instances must
  /// not all choose the same one.
  double Spread();

  /// Cost of an instance if its average response time is the given one, in
  /// seconds.
  using CostAt = std::function<double(const Upstream&, double)>;

  /// Chooses an outdated instance in place of the best one if it would cost no
  /// more with the best one's response time. Counts those that are passed over.
  /// @param aItems the instances that have room.
  /// @param aBest the best of them; null if none is good enough.
  /// @return aBest, or another one.
  static const Item* PreferOutdated(const std::vector<const Item*>& aItems,
                                    const Item* aBest,
                                    const CostAt& aCost,
                                    Instant aNow);

  /// Chooses the cheapest instance of a group that has room.
  Outcome ChooseWithRoom(const std::string& aService,
                         uint32_t aGroup,
                         const std::set<std::string>& aExcluded,
                         const DataCentre& aDataCentre,
                         const HasRoom& aHasRoom,
                         Instant aNow);
  /// Chooses the given instance if it has room and is not being probed.
  Outcome ChooseOneWithRoom(const std::string& aInstance,
                            const HasRoom& aHasRoom,
                            Instant aNow);
  static bool HasRoomForSecond(const Upstream& aUpstream, Instant aNow);
  static bool IsReplaced(const Upstream& aUpstream, Instant aNow)
  {
    return aUpstream.replacedUntil && aNow < *aUpstream.replacedUntil;
  }
  static uint32_t GroupCountFor(const Service& aService);
  static bool IsMember(const Upstream& aUpstream);
  const std::vector<const Item*>& MembersOf(const std::string& aService,
                                            uint32_t aGroup) const;
  /// Adds an upstream to the index of its service, or removes it.
  void AddToService(Item& aItem);
  void RemoveFromService(Item& aItem);
  void PutInstance(const wire::UpstreamInstance& aInstance,
                   bool aEvacuated,
                   Instant aNow);
  void UpdateCold(const wire::UpstreamInstance& aInstance,
                  Upstream& aUpstream,
                  Instant aNow);
  std::optional<size_t> ColdLimit(const wire::ServiceItem& aService) const;
  /// @return whether the instance is cold and may get no request at present.
  bool IsColdLimitReached(const Upstream& aUpstream, Instant aNow) const;
  static bool HasNamedLimit(const Upstream& aUpstream);
  static bool IsRateLimited(const Upstream& aUpstream, Instant aNow);
  /// @return whether the limits of the instance's request rate admit a request
  /// that its home entry allocates.
  bool HasRateRoom(const Upstream& aUpstream,
                   double aRateShare,
                   Instant aNow) const;
  /// @return the same for a request that is sent without the home entry.
  static bool HasUncoordinatedRateRoom(const Upstream& aUpstream, Instant aNow);
  /// @return when this host may send the instance a request without its home
  /// entry although it named a limit.
  Instant NextUncoordinated(const std::string& aInstance, Instant aNow) const;
  void Remove(const std::string& aInstance);
  void Regroup(const std::string& aName);
  bool IsUsable(const Upstream& aUpstream, Instant aNow) const;
  static uint32_t MaxInFlight(const Upstream& aUpstream);
  static double Cost(const Upstream& aUpstream,
                     double aResponseSeconds,
                     const DataCentre& aDataCentre);
  const std::vector<const Item*>& SubsetOf(const std::string& aService);
  /// @return whether an instance has a load report that is recent enough to be
  /// used.
  static bool HasFreshReport(const Upstream& aUpstream, Instant aNow);
  /// @return whether an instance was full in its last load report, that report
  /// is outdated, and this host has recently sent it another request.
  static bool IsAwaitingProbe(const Upstream& aUpstream, Instant aNow);
  /// @return the estimated number of requests at an instance, from all hosts.
  static double EstimatedLoad(const Upstream& aUpstream, Instant aNow);
  /// @return the estimated response time of one more request.
  /// @param aDefaultSeconds response time of an instance without an average.
  double EstimatedResponseSeconds(const Upstream& aUpstream,
                                  double aMeanSeconds,
                                  Instant aNow) const;
  /// @return the average response time of the instances that have one.
  static double MeanSecondsOf(const std::vector<const Item*>& aItems);
  static bool AcceptsDirect(const Upstream& aUpstream, Instant aNow);
  static double ResponseSecondsOf(const Upstream& aUpstream);
  static double Capacity(const Upstream& aUpstream);

  Random mRandom;
  const Options mOptions;
  std::map<std::string, Upstream> mUpstreams;
  std::map<std::string, Service> mServices;
  /// Instances that got a cold period or named a limit and were not removed by
  /// RemoveUnlimited.
  std::set<std::string> mRateLimitCandidates;
  Instant mNewLimitsPausedUntil{};
  size_t mEntryCount = 1;
  /// Instances whose averages changed since TakeChangedResponseSeconds.
  std::set<std::string> mChangedResponseSeconds;
};

} // namespace rattandyke::gateway
