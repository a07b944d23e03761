/// Acquisition of upstream slots from the hosts that allocate them.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <rattandyke/types.h>

#include "base/clock.h"
#include "gateway/request_context.h"
#include "gateway/resting_upstreams.h"
#include "gateway/slot_broker.h"
#include "gateway/slot_request_limiter.h"
#include "scheduling/allocator_directory.h"
#include "scheduling/dispatch_policy.h"
#include "wire/gateway.pb.h"

namespace rattandyke::gateway {

/// An upstream slot granted to a request.
struct Slot
{
  uint64_t ticket = 0;
  /// Host that allocated the slot; empty: this host.
  std::string home;
  std::string instance;
  std::string address;
  /// Incarnation of the instance.
  uint64_t incarnation = 0;
};

/// Reason for which a request got no slot.
struct SlotUnavailable
{
  UpstreamSet::UnavailableReason reason = UpstreamSet::UnavailableReason::Full;
  Duration retryAfter{};
  /// Set if the request was refused because of its owner's demand.
  std::optional<scheduling::RefuseAtOnce> overCapacity = std::nullopt;
};

using SlotOutcome = std::variant<Slot, SlotUnavailable>;

/// Acquires upstream slots for the requests of this entry host, and allocates
/// slots to other entry hosts for the upstreams of which this host is the home
/// entry.
///
/// The home entry (first allocator) of an upstream allocates all its slots.
/// Every host derives it from the replicated lists of hosts, see
/// AllocatorDirectory. It is an entry host, or a control host, which also runs
/// a coordinator then. A request with a key gets
/// its slot from the home entry of the key's owner; another one from the home
/// entry of a group of its service's upstreams. While a home entry does not
/// answer, this host sends uncoordinated, by what it knows itself: without a
/// home entry, upstreams are loaded less evenly, but requests are served. Runs
/// on one executor that runs one handler at a time.
class SlotCoordinator
{
public:
  using StateAge = std::function<Duration()>;
  using Send =
    std::function<void(const HostName& aTo, const wire::GatewayFrame&)>;

  /// @param aSelf   this host's address for peers.
  /// @param aSession random per process start.
  /// @param aStateAge time since this host's state was known to be up to date.
  /// @param aDispatch decides which requests need a slot of an allocator.
  SlotCoordinator(boost::asio::any_io_executor aExecutor,
                  std::string aSelf,
                  uint64_t aSession,
                  Send aSend,
                  const Clock& aClock,
                  uint64_t aSeed,
                  const UpstreamSet::Options& aOptions,
                  StateAge aStateAge,
                  scheduling::DispatchPolicy aDispatch = {});

  /// The replicated state was replaced by a snapshot.
  void StateChanged(const State& aState);

  /// One command was applied to the state. The cost depends only on what the
  /// command changes: a fleet that starts or is replaced causes a command for
  /// each host and upstream.
  void StateChanged(const State& aState, const wire::GatewayCommand& aCommand);

  /// Handles a slot request of another entry host.
  void OnSlotRequest(const wire::SlotAsk& aRequest);
  /// Handles a home entry's answer to a slot request of this host.
  void OnSlotAnswer(const wire::SlotAnswer& aAnswer);
  /// Handles the release of a slot by another entry host.
  void OnSlotRelease(const wire::SlotDone& aDone);

  /// Acquires a slot, from the home entry or on this host.
  /// @param aRequest the key, group and the flags after dataCentre are set
  /// here.
  boost::asio::awaitable<SlotOutcome> Acquire(
    std::shared_ptr<RequestContext> aContext,
    SlotRequest aRequest);

  /// Returns a slot to the host that allocated it.
  /// @param aElapsed time since the request was sent to the upstream.
  void Release(const Slot& aSlot, AttemptOutcome aOutcome, Duration aElapsed);

  /// Records a load report of an upstream.
  void RecordLoadReport(const std::string& aInstance, const LoadReport& aLoad)
  {
    mBroker.RecordLoadReport(aInstance, aLoad, mClock.Now());
  }

  /// Records what the response to a request in a slot says about the
  /// upstream's request rate limit.
  /// @param aRequestsPerSecond see UpstreamSet::RecordRateLimit.
  void RecordRateLimit(const Slot& aSlot,
                       std::optional<double> aRequestsPerSecond);

  /// Records that an upstream, which refused a request in a slot, wants no
  /// further one from this host for some time.
  void RecordRest(const Slot& aSlot, Duration aRest);

  /// @return the rests of upstreams that were recorded since the last call, or
  /// all; as messages for the control hosts.
  /// @param aAll whether all are returned.
  wire::UpstreamRests TakeRests(bool aAll);

  /// Records the rests that upstreams asked an earlier process of this host
  /// for.
  void RestoreRests(const wire::UpstreamRests& aRests);

  /// @return the number of rests that RestoreRests has recorded.
  uint64_t RestsRestored() const { return mRestsRestored; }

  /// @return the time for which this host must send an upstream nothing.
  Duration RestLeft(const std::string& aInstance) const;

  /// Records that an upstream said, in the response to a request in a slot,
  /// that it leaves.
  void RecordLeaving(const Slot& aSlot);

  /// @return the number of requests by decision of the dispatch policy, by the
  /// labels in metrics. Empty if the policy asks for all requests.
  const std::map<std::string, uint64_t>& DispatchCounts() const
  {
    return mDispatchCounts;
  }

  /// Ends expired waits and slots. Must be called every SlotBroker::kTick.
  void Tick();

  const SlotBroker& Broker() const { return mBroker; }

  /// @return the time of this object's clock.
  Instant Now() const { return mClock.Now(); }

  /// @return the requests of this host that went to the second allocator.
  uint64_t RequestsToSecond() const { return mRequestsToSecond; }

  /// See UpstreamSet::TakeChangedResponseSeconds.
  std::map<std::string, double> TakeChangedResponseSeconds()
  {
    return mBroker.TakeChangedResponseSeconds();
  }

private:
  /// An upstream for which this host had another request within this time may
  /// be in demand on all hosts, and there may be more hosts than the upstream
  /// can queue requests.
  static constexpr std::chrono::milliseconds kBypassInterval{ 1000 };

  /// A request of this host that waits for a slot.
  struct Pending
  {
    std::shared_ptr<RequestContext> context;
    /// The only upstream allowed; empty: any.
    std::string instance;
    /// The home entry, or this host's broker, has queued the request.
    bool queued = false;
    /// The home entry does not know such upstreams.
    bool declined = false;
    /// The request was sent to the home entry.
    bool sentToHome = false;
    /// The host that queued the request is no longer an allocator for it.
    bool replaced = false;
    /// Host that the request was sent to, which may be this host; empty: none,
    /// or this host without coordination.
    std::string home;
    /// Whether that host was asked as the second allocator, and by which rule.
    bool second = false;
    scheduling::AllocatorRule rule = scheduling::AllocatorRule::EntriesAlike;
    /// What the request is for.
    std::string service;
    uint32_t group = 0;
    /// See SlotRequest::mayBypassHome.
    bool mayBypassHome = false;
    /// The limiter's decision on the request after it was queued there.
    std::optional<SlotRequestLimiter::Decision> decision;
    std::optional<SlotOutcome> outcome;
  };

  /// Acquires a slot as the dispatch policy decides. It may be of an upstream
  /// that rests or has left.
  boost::asio::awaitable<SlotOutcome> AcquireByPolicy(
    std::shared_ptr<RequestContext> aContext,
    SlotRequest aRequest);
  /// Acquires a slot by this host's own knowledge, without a message.
  /// @return nothing if no upstream may be chosen in this way.
  boost::asio::awaitable<std::optional<Slot>> AcquireDirect(
    std::shared_ptr<RequestContext> aContext,
    SlotRequest aRequest);
  scheduling::DispatchDecision Decide(const SlotRequest& aRequest);
  /// Excludes upstreams that a direct choice must not use: those that rest or
  /// have lately failed. An upstream with a limited request rate is sent
  /// requests by its allocator only; a choice by response time knows that.
  void ExcludeFromDirect(SlotRequest& aRequest) const;
  void CountDecision(std::string_view aDecision,
                     scheduling::DispatchReason aReason);
  void RecordResult(const std::string& aInstance, AttemptOutcome aOutcome);
  /// Acquires a slot, which may be of an upstream that rests or has left.
  boost::asio::awaitable<SlotOutcome> AcquireOfAny(
    std::shared_ptr<RequestContext> aContext,
    SlotRequest aRequest);
  /// Excludes the upstreams that rest from a request.
  void ExcludeResting(SlotRequest& aRequest) const;
  /// @return that no slot is available because of a rest.
  SlotUnavailable Resting(Duration aLeft);
  /// Acquires a slot from one host.
  /// @param aHome home entry; empty: this host.
  /// @return the outcome; nothing if the home entry did not answer.
  boost::asio::awaitable<std::optional<SlotOutcome>> AcquireFrom(
    std::string aHome,
    std::shared_ptr<RequestContext> aContext,
    SlotRequest aRequest);
  /// Acquires a slot from another allocator than one that has not answered.
  /// @param aTried that allocator.
  /// @param aSince time since which the request has waited.
  /// @return the outcome; nothing if no allocator answered.
  boost::asio::awaitable<std::optional<SlotOutcome>> AcquireFromNext(
    std::string aTried,
    std::shared_ptr<RequestContext> aContext,
    SlotRequest aRequest,
    Instant aSince);
  void ReplaceMembers(const State& aState);
  void ApplyMembership(const State& aState,
                       const wire::GatewayCommand& aCommand);
  void OnAllocatorsChanged(bool aByCapacity,
                           const std::vector<std::string>& aLimitedBefore);
  void PauseNewLimits();
  void LogAllocators();
  void LogUnusedUpstreams();
  /// Records to which host a request goes.
  void SetHome(Pending& aPending,
               const std::string& aHome,
               const SlotRequest& aRequest) const;
  /// @return whether the host that a request was sent to no longer allocates
  /// for it: it may have left, or grants from a part of the slots only.
  bool IsReplaced(const Pending& aPending) const;
  void WakeReplaced();
  void UpdateQueuedRequests();
  void CheckStateAge();
  /// @return whether this host would allocate as a control host by a state that
  /// is too old.
  bool IsOutdatedControlHost() const;
  bool HasRecentState() const;
  bool MayAllocate(const SlotRequest& aRequest) const;
  void SetAllocation(SlotRequest& aRequest) const;
  void OnEntryCountChanged();
  void RemoveStaleRequesters(const State& aState);
  scheduling::AllocatorDirectory::Allocators AllocatorsOf(
    const std::string& aService,
    uint32_t aGroup) const
  {
    return mAllocators.Select(aService, aGroup);
  }
  std::string HomeOf(const std::string& aService, uint32_t aGroup) const;
  /// @return whether to choose an upstream from load reports, without its home
  /// entry.
  bool ShouldChooseDirect(const SlotRequest& aRequest);
  void RecordHomeLatency(Duration aTime);
  /// Records a request for a slot of one upstream.
  /// @return whether this host may send it without the home entry.
  bool RecordRequest(const std::string& aInstance);
  bool IsHomeOf(const std::string& aInstance) const;
  std::vector<std::string> RateLimitedHomedHere() const;
  /// @param aExtra time for which the previous home entry may not know that it
  /// has been replaced.
  void PauseNewlyHomed(const std::vector<std::string>& aBefore,
                       Duration aExtra = {});
  /// @return see SlotRequest::rateShare.
  double RateShareOf(const std::string& aService, uint32_t aGroup) const;
  /// Records a notice that another host sent.
  void ApplyNotice(const wire::UpstreamNotice& aNotice);
  void RecordLeaving(const std::string& aInstance,
                     uint64_t aIncarnation,
                     std::string_view aSource);
  /// @param aSource sender of the notice, for the log.
  void Record(const RateLimitNotice& aNotice, std::string_view aSource);
  wire::UpstreamNotice ToWire(const RateLimitNotice& aNotice) const;
  /// @return what this host knows from an upstream's responses, std::nullopt if
  /// that is nothing.
  std::optional<wire::UpstreamNotice> NoticeOf(
    const std::string& aInstance) const;
  bool IsUnresponsive(const std::string& aHome) const;
  boost::asio::awaitable<void> AwaitFirstReply(
    std::shared_ptr<Pending> aPending,
    Instant aUntil);
  /// @return the rate limits that this host knows of the upstreams that a
  /// request may get. A home entry that has just taken over knows none.
  std::vector<RateLimitNotice> LimitsFor(const SlotRequest& aRequest) const;
  boost::asio::awaitable<void> RequestFromHome(
    std::shared_ptr<Pending> aPending,
    std::string aHome,
    const SlotRequest& aRequest);
  /// Waits until the limiter admits or rejects the request.
  /// @return whether the request may be sent to the home entry; if not, its
  /// outcome is set.
  boost::asio::awaitable<bool> AwaitAdmission(std::shared_ptr<Pending> aPending,
                                              const SlotRequest& aRequest);
  boost::asio::awaitable<void> RequestFromHomeLimited(
    std::shared_ptr<Pending> aPending,
    std::string aHome,
    SlotRequest aRequest);
  void ReportToLimiter(const Pending& aPending, const SlotRequest& aRequest);
  void ApplyDecisions(
    const std::vector<SlotRequestLimiter::QueuedDecision>& aDecisions);
  boost::asio::awaitable<void> RequestLocally(std::shared_ptr<Pending> aPending,
                                              const SlotRequest& aRequest);
  boost::asio::awaitable<void> WaitUntil(std::shared_ptr<Pending> aPending,
                                         Instant aUntil);
  void Deliver(const std::vector<SlotAnswer>& aAnswers);
  void Deliver(const SlotAnswer& aAnswer);
  void Decline(const wire::SlotAsk& aRequest);
  void OnDeclined(uint64_t aTicket);
  void ApplyAnswer(uint64_t aTicket, const SlotAnswer& aAnswer);
  void SendRelease(const Slot& aSlot,
                   AttemptOutcome aOutcome,
                   Duration aElapsed);

  const boost::asio::any_io_executor mExecutor;
  const std::string mSelf;
  const uint64_t mSession;
  const Send mSend;
  const Clock& mClock;
  const StateAge mStateAge;
  Random mRandom;
  SlotBroker mBroker;
  scheduling::AllocatorDirectory mAllocators;
  /// Fingerprint of the allocators, and of those that were logged last.
  uint64_t mAllocatorsFingerprint = 0;
  uint64_t mLoggedAllocators = 0;
  Instant mLoggedAllocatorsAt{};
  Instant mUnusedCheckedAt{};
  /// The state was recent enough at the last check; see CheckStateAge.
  bool mStateIsRecent = false;
  uint64_t mRequestsToSecond = 0;
  /// By ticket.
  std::map<uint64_t, std::shared_ptr<Pending>> mPending;
  /// Addresses of the entries that request slots here, by session.
  std::map<uint64_t, std::string> mReplyAddresses;
  /// Home entries that get no slot requests for now, by address.
  std::map<std::string, Instant> mUnresponsiveUntil;
  RestingUpstreams mResting;
  uint64_t mRestsRestored = 0;
  SlotRequestLimiter mLimiter;
  /// Moving average of the time until a home entry's first reply.
  Duration mHomeLatency{};
  /// Slot requests take so long that this host avoids them where it can.
  bool mHomesAreSlow = false;
  /// Time of the last request for a slot of an upstream, by instance.
  std::map<std::string, Instant> mLastRequestAt;
  uint64_t mLastTicket = 0;
  scheduling::DispatchPolicy mDispatch;
  std::map<std::string, uint64_t> mDispatchCounts;
};

} // namespace rattandyke::gateway
