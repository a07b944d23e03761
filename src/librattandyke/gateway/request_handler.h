/// Handling of a caller's request on an entry host.
#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <rattandyke/types.h>

#include "base/clock.h"
#include "entry/retry_budget.h"
#include "gateway/caller_request_handler.h"
#include "gateway/crash_reporter.h"
#include "gateway/dialect.h"
#include "gateway/egress_queue.h"
#include "gateway/feed_client.h"
#include "gateway/link_budget.h"
#include "gateway/metrics.h"
#include "gateway/relay_server.h"
#include "gateway/request_context.h"
#include "gateway/request_relay.h"
#include "gateway/route_table.h"
#include "gateway/settings.h"
#include "gateway/slot_coordinator.h"
#include "gateway/upstream_client.h"
#include "gateway/upstream_reach.h"
#include "scheduling/demand_table.h"
#include "scheduling/link_admission.h"
#include "scheduling/link_meter.h"

namespace rattandyke::gateway {

/// Handles callers' requests on an entry host: finds the route, acquires a slot
/// of an upstream, sends the request, retries within the retry budget, and
/// builds the response. Runs on one executor that runs one handler at a time.
class RequestHandler
  : public CallerRequestHandler
  , private RelayServer::Attempts
{
public:
  struct Options
  {
    /// Address of this host, as other hosts know it.
    std::string address;
    DataCentre dataCentre;
    /// Retries per first attempt, for all entry hosts together.
    double retryRatio = 0;
    /// Burst of retries beyond the ratio, for all entry hosts together.
    double retryBurst = 0;
    /// Bandwidth of the host's link; 0 if not configured.
    double linkBytesPerSecond = 0;
    LinkAdmission linkAdmission = LinkAdmission::Queue;
    /// For the spread of retry times.
    uint64_t seed = 0;
    /// TakeLoadReport includes the loads of services without keys.
    bool reportServices = false;
  };

  /// @param aFeed, aSlots, aDialect, aLinkMeter, aBodies and aClock outlive
  /// this object.
  /// @param aBodies limits the memory of all bodies.
  /// @param aSendToHost sends a message to another entry host.
  RequestHandler(const boost::asio::any_io_executor& aExecutor,
                 Options aOptions,
                 const FeedClient& aFeed,
                 SlotCoordinator& aSlots,
                 const Dialect& aDialect,
                 scheduling::LinkMeter& aLinkMeter,
                 MemoryBudget& aBodies,
                 RequestRelay::Send aSendToHost,
                 const Clock& aClock);

  /// Updates the routes and wakes waiting requests after a change of the
  /// replicated state.
  /// @param aCommand the applied command; null if a snapshot replaced the
  /// state.
  void StateChanged(const wire::GatewayCommand* aCommand);

  CallerLimits Limits() const override;

  Duration ResponseTime(
    const boost::beast::http::fields& aFields) const override;
  Duration MaxBodyWait(
    const boost::beast::http::fields& aFields) const override;

  CallerResponse MakeNoRoomResponse(
    const boost::beast::http::fields& aFields) override;

  CallerResponse MakeUnreadableResponse(
    unsigned aStatus,
    const std::string& aReason,
    const boost::beast::http::fields& aFields) override;

  boost::asio::awaitable<CallerResponse> Handle(
    std::shared_ptr<RequestContext> aContext,
    CallerRequest aRequest) override;

  CallerResponse MakeErrorResponse(unsigned aStatus,
                                   const std::string& aText) const override;

  std::string RequestIdOf(
    const boost::beast::http::fields& aFields) const override;

  void CountClosedConnection(std::string_view aReason) override;

  /// @return the requests per key since the last call, and the service times of
  /// upstreams that have changed.
  wire::FeedReport TakeLoadReport();

  /// Closes connections to upstreams that have been idle for too long, and
  /// removes what is outdated. Call it at regular intervals.
  void Sweep();

  /// @return the reports about requests that may crash upstreams since the last
  /// call.
  wire::CrashReports TakeCrashReports();

  /// Probes upstreams that this host could not reach. Call it at regular
  /// intervals.
  void ProbeUpstreams();

  /// The requests that other hosts send through this one, and those that this
  /// host sends through others.
  RelayServer& Relays() { return mRelayServer; }
  RequestRelay& Relayed() { return mRelay; }

  /// Advances the measurement of the link. Call it every SlotBroker::kTick.
  /// @param aConnection the feed's connection for probes, if there is one.
  /// @return the id of a LinkProbe that must be sent now, if any.
  std::optional<uint64_t> Tick(std::optional<uint64_t> aConnection);

  /// Records the return of a LinkProbe.
  void OnProbeReply(uint64_t aId);

  /// Accounts for bytes that were sent to another host.
  void RecordSent(size_t aBytes)
  {
    mEgressQueue.RecordSent(aBytes, mClock.Now());
  }

  /// Counts a message of the relaying of requests.
  /// @param aUse Callers for a host that uses this one as a relay, Upstreams
  /// for a relay that this host uses: they take the places of these on the
  /// link.
  void RecordRelayMessage(scheduling::LinkUse aUse,
                          scheduling::LinkDirection aDirection,
                          size_t aBytes)
  {
    RecordTraffic(aUse, aDirection, aBytes);
  }

  /// @return the metrics of this host as a text page.
  std::string MetricsPage();

private:
  /// Retry-After of a request that no upstream could take.
  static constexpr std::chrono::milliseconds kRetryAfterFull{ 150 };
  /// Time reserved for the response on its way to the caller, not available to
  /// the upstream.
  static constexpr std::chrono::milliseconds kReturnMargin{ 4 };
  /// Approximate size of a request line and of the headers that this host adds.
  static constexpr size_t kRequestLineBytes = 160;

  /// State of one request while it is handled.
  struct RequestProgress
  {
    std::shared_ptr<RequestContext> context;
    std::shared_ptr<Route> route;
    std::shared_ptr<const UpstreamRequest> request;
    std::string service;
    /// Only if the keys of the service have owners.
    std::optional<uint32_t> key;
    Instant arrived{};
    Instant deadline{};
    /// Time that the caller stated for the response.
    Duration statedTime{};
    /// Instances at which an attempt was made.
    std::set<std::string> attempted;
    /// Attempts in which the request was sent.
    uint32_t sentAttempts = 0;
    /// The outcome of an attempt is unknown.
    bool mayHaveRun = false;
    /// AttemptResult::reason of the last attempt.
    std::string lastFailure;
    /// Owner of the key when the last slot was requested.
    std::string owner;
    /// Instance of the last attempt.
    std::string lastUpstream;
    /// Credentials of the caller, empty if it sent none.
    std::string credentials;
    /// See FingerprintOf().
    std::string fingerprint;
    /// This host has lost the service, and no other host relays the request.
    bool noPath = false;
  };

  /// Requests that wait for a change of the replicated state.
  using Waiters = std::list<std::weak_ptr<RequestContext>>;

  /// @return the response to a request whose head this host can't serve,
  /// nullopt if it can.
  std::optional<CallerResponse> RefuseHead(
    const boost::beast::http::fields& aFields,
    const std::string& aId) const;
  /// @return whether the keys of the service have owners.
  bool OwnsKeys(const std::string& aService) const;
  /// @return the time that a caller waits for its response.
  static Duration StatedTime(const boost::beast::http::fields& aFields,
                             const HeaderNames& aHeaders);
  /// @param aRequest its body is moved.
  std::shared_ptr<const UpstreamRequest> MakeUpstreamRequest(
    CallerRequest& aRequest,
    const std::string& aId) const;
  void SetBodyMetrics();
  /// @return the time until which a request waits for an owner or a slot.
  Instant WaitDeadline(const RequestProgress& aProgress) const;
  /// @return whether the key has another owner than at the last slot request,
  /// or none, and there is time to request a slot again.
  bool HasOwnerChanged(const RequestProgress& aProgress) const;
  /// @return whether this host has received the operators' configuration.
  bool HasState() const;
  /// Waits for a change of the replicated state, for a cancellation of the
  /// request, or until aUntil.
  boost::asio::awaitable<void> AwaitStateChange(
    std::shared_ptr<RequestContext> aContext,
    Instant aUntil);
  /// Waits until HasState(), at most until aUntil.
  boost::asio::awaitable<void> AwaitFirstState(
    std::shared_ptr<RequestContext> aContext,
    Instant aUntil);
  /// Waits until the request's key has an owner.
  /// @return the owner's instance id, empty if there is none in time.
  boost::asio::awaitable<std::string> AwaitOwner(RequestProgress& aProgress);
  boost::asio::awaitable<SlotOutcome> AcquireSlot(RequestProgress& aProgress);
  /// Finds the route of a request and runs it.
  boost::asio::awaitable<CallerResponse> RouteRequest(
    std::shared_ptr<RequestContext> aContext,
    CallerRequest aRequest);
  /// Runs a request if the link admits it.
  boost::asio::awaitable<CallerResponse> RunIfLinkAdmits(
    RequestProgress& aProgress);
  boost::asio::awaitable<CallerResponse> RunIfAdmitted(
    LinkBudget& aBudget,
    RequestProgress& aProgress);
  boost::asio::awaitable<CallerResponse> RunIfAdmitted(
    scheduling::LinkAdmission& aAdmission,
    RequestProgress& aProgress);
  CallerResponse LinkRefusedResponse(const RequestProgress& aProgress,
                                     const scheduling::LinkRefusal& aRefusal);
  /// Admission by the link, according to Options::linkAdmission.
  using LinkPolicy = std::variant<LinkBudget, scheduling::LinkAdmission>;
  static LinkPolicy MakeLinkPolicy(const Options& aOptions,
                                   const scheduling::LinkMeter& aLinkMeter);
  /// Accounts for a request that has arrived.
  void RecordRequestBytes(size_t aBytes, Instant aArrived);
  static size_t ApproximateBytes(const UpstreamRequest& aRequest);
  static size_t ApproximateBytes(const CallerResponse& aResponse);
  void SetLinkMetrics();
  void SetLinkAdmissionMetrics(const scheduling::LinkAdmission& aAdmission);
  void SetDispatchMetrics();
  /// @return the response to a request that got no slot.
  CallerResponse UnavailableResponse(const RequestProgress& aProgress,
                                     const SlotUnavailable& aUnavailable) const;
  void RecordTraffic(scheduling::LinkUse aUse,
                     scheduling::LinkDirection aDirection,
                     size_t aBytes)
  {
    mLinkMeter.Record(aUse, aDirection, aBytes);
  }
  /// Acquires slots and makes attempts until one succeeds or the request may
  /// not be retried.
  boost::asio::awaitable<CallerResponse> RunAttempts(
    RequestProgress& aProgress);
  /// Waits until the egress queue lets a response be written, until
  /// aSendAtLatest, or until the request is cancelled.
  boost::asio::awaitable<void> AwaitSendTurn(
    std::shared_ptr<RequestContext> aContext,
    size_t aBytes,
    Instant aSendBy,
    Instant aSendAtLatest);
  /// Starts the timer that wakes the responses at the head of the egress queue.
  void ArmEgressTimer();
  /// Sends the request to the upstream, or through another host if this one
  /// can't reach it.
  /// @return the result; its relay is empty if the request was sent directly.
  boost::asio::awaitable<RelayResult> SendByAnyPath(
    RequestProgress& aProgress,
    UpstreamProcess aProcess,
    std::shared_ptr<AttemptHandle> aHandle);
  boost::asio::awaitable<AttemptResult> SendDirectly(
    RequestProgress& aProgress,
    const UpstreamProcess& aProcess,
    std::shared_ptr<AttemptHandle> aHandle);
  RelayAttempt MakeRelayAttempt(const RequestProgress& aProgress,
                                const UpstreamProcess& aProcess) const;
  /// @return the time left for an upstream's response.
  Duration TimeLeft(const RequestProgress& aProgress) const;
  bool CanReach(const std::string& aService,
                const UpstreamProcess& aProcess) const;
  /// Records what an attempt of this host shows of its path to the upstream.
  /// @param aGivenUp the attempt ended for reasons unrelated to the path.
  void RecordReach(const std::string& aService,
                   const UpstreamProcess& aProcess,
                   const AttemptResult& aResult,
                   bool aGivenUp);
  /// Logs services that were lost or regained.
  void LogReachChanges();
  /// @return the outcome of an attempt for the slot's allocator.
  AttemptOutcome OutcomeOf(const RequestProgress& aProgress,
                           const RelayResult& aResult) const;
  boost::asio::awaitable<void> ProbeUpstream(UpstreamReach::Probe aProbe);
  wire::RelayState RelayStateFor(const std::string& aService,
                                 const std::string& aInstance,
                                 uint64_t aIncarnation) const override;
  boost::asio::awaitable<RelayServer::Result> Relay(
    std::shared_ptr<const wire::RelayedRequest> aRequest,
    std::shared_ptr<AttemptHandle> aHandle) override;
  /// Relays a request if the link admits it.
  boost::asio::awaitable<RelayServer::Result> RelayIfAdmitted(
    LinkBudget& aBudget,
    std::shared_ptr<const wire::RelayedRequest> aRequest,
    std::shared_ptr<AttemptHandle> aHandle);
  boost::asio::awaitable<RelayServer::Result> RelayIfAdmitted(
    scheduling::LinkAdmission& aAdmission,
    std::shared_ptr<const wire::RelayedRequest> aRequest,
    std::shared_ptr<AttemptHandle> aHandle);
  boost::asio::awaitable<RelayServer::Result> RelayAdmitted(
    std::shared_ptr<const wire::RelayedRequest> aRequest,
    std::shared_ptr<AttemptHandle> aHandle);
  /// Sends the request to the upstream of a slot and releases the slot.
  boost::asio::awaitable<AttemptResult> RunAttempt(RequestProgress& aProgress,
                                                   const Slot& aSlot);
  /// @return identifies the request if its caller sends it again.
  const std::string& FingerprintOf(RequestProgress& aProgress) const;
  bool IsSuspected(RequestProgress& aProgress) const;
  /// Tells the crash reporter of which upstreams it is not known whether they
  /// have crashed.
  /// @param aCommand see StateChanged().
  void UpdateUnconfirmedCrashes(const wire::GatewayCommand* aCommand);
  /// @return the response to a request that crashes upstreams, nullopt if it
  /// may be sent.
  std::optional<CallerResponse> RefuseIfQuarantined(RequestProgress& aProgress);
  /// Records what an attempt shows of a request that may crash upstreams.
  void RecordForQuarantine(RequestProgress& aProgress,
                           const UpstreamProcess& aProcess,
                           const RelayResult& aResult);
  void LogFailedAttempt(const RequestProgress& aProgress,
                        const RelayResult& aResult) const;
  /// @return whether another process than the one of the slot refused the
  /// request at its address.
  bool IsMisdirected(const std::string& aService,
                     const std::string& aInstance,
                     const AttemptResult& aResult) const;
  /// @return the process that has responded: that of the slot, or the one that
  /// the response names; nullopt if that one is not known at the address.
  std::optional<Slot> ResponderOf(const Slot& aSlot,
                                  const UpstreamResponse& aResponse) const;
  /// Records what a response tells of the load that its upstream accepts.
  void RecordLoad(const Slot& aSlot, const AttemptResult& aResult);
  /// Records the load report in an upstream's response, if it has one.
  void RecordLoadReport(const std::string& aInstance,
                        const UpstreamResponse& aResponse);
  /// Records the back pressure that an upstream's response signals.
  void RecordBackPressure(const Slot& aSlot, const AttemptResult& aResult);
  /// @return whether the upstream refused the request and wants no further one
  /// for some time.
  static bool HasAskedForRest(const AttemptResult& aResult);
  /// @return whether the request may be sent again. If so, a retry is taken
  /// from the retry budget.
  bool TryTakeRetry(RequestProgress& aProgress, const AttemptResult& aResult);
  /// @return whether a response header is meant for this host only.
  bool IsForThisHost(std::string_view aName) const;
  /// @return the response for the last attempt's result.
  CallerResponse FinalResponse(const RequestProgress& aProgress,
                               AttemptResult aResult) const;
  /// @return a 503 that tells the caller that its request has not run, or a 502
  /// if it may have run.
  CallerResponse NotExecutedResponse(const RequestProgress& aProgress,
                                     Duration aRetryAfter,
                                     const std::string& aReason) const;
  /// @return a plain-text response of this host.
  CallerResponse MakeResponse(unsigned aStatus,
                              const std::string& aId,
                              const std::string& aText,
                              std::optional<Duration> aRetryAfter = {}) const;
  /// @return the service's retry budget, adjusted to the number of entry hosts.
  entry::RetryBudget& RetryBudgetOf(const std::string& aService);
  void WakeWaiters();
  /// Counts a request for a service without keys, for TakeLoadReport().
  void CountServiceRequest(const std::string& aService);
  /// Counts the end of an attempt for a service without keys.
  void CountServiceAttempt(const RequestProgress& aProgress,
                           const AttemptResult& aResult);
  /// Moves the services' loads to a report.
  void TakeServiceLoads(wire::FeedReport& aReport);
  /// Counts a request for a key, for TakeLoadReport().
  void CountKeyRequest(const std::string& aService, uint32_t aKey);

  const boost::asio::any_io_executor mExecutor;
  const Options mOptions;
  const FeedClient& mFeed;
  const Dialect& mDialect;
  const HeaderNames& mHeaders;
  scheduling::LinkMeter& mLinkMeter;
  MemoryBudget& mBodies;
  const Clock& mClock;
  RouteTable mRoutes;
  SlotCoordinator& mSlots;
  UpstreamClient mUpstreamClient;
  UpstreamReach mReach;
  RequestRelay mRelay;
  RelayServer mRelayServer;
  CrashReporter mCrashReporter;
  std::map<std::string, std::unique_ptr<entry::RetryBudget>> mRetryBudgets;
  Waiters mWaiters;
  Metrics mMetrics;
  LinkPolicy mLinkPolicy;
  ResponseSizes mResponseSizes;
  EgressQueue mEgressQueue;
  EgressQueue::Ticket mLastEgressTicket = 0;
  /// Requests whose responses are in mEgressQueue.
  std::map<EgressQueue::Ticket, std::shared_ptr<RequestContext>> mEgressWaiters;
  boost::asio::steady_timer mEgressTimer;
  /// Requests per service and key bucket since the last TakeLoadReport().
  std::map<std::string, std::map<uint32_t, uint32_t>> mKeyRequests;
  /// Loads of services without keys since the last TakeLoadReport().
  std::map<std::string, scheduling::ServiceLoad> mServiceLoads;
};

} // namespace rattandyke::gateway
