/// The implementation class of ControlHost. Included only by control_host*.cpp.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/pause_detector.h"
#include "base/request_ids.h"
#include "consensus/driver.h"
#include "gateway/control_host.h"
#include "gateway/crash_watch.h"
#include "gateway/entry_registry.h"
#include "gateway/feed_server.h"
#include "gateway/heartbeat_queue.h"
#include "gateway/heartbeat_wire.h"
#include "gateway/http_server.h"
#include "gateway/metrics.h"
#include "gateway/pending_rests.h"
#include "gateway/range_assigner.h"
#include "gateway/rest_register.h"
#include "gateway/slot_coordinator.h"
#include "log/log.h"
#include "net/frame_mesh.h"
#include "scheduling/allocator_watch.h"
#include "scheduling/demand_table.h"
#include "scheduling/demand_view.h"
#include "scheduling/state_freshness.h"

namespace rattandyke::gateway {

/// @return a line of severity Info in the control host's log.
inline log::Line
Info()
{
  return { log::Part::Control, log::Severity::Info };
}

/// A value that a callback sets and a coroutine awaits. The coroutine waits for
/// the timer; Complete cancels it. The value is empty after a timeout.
template<typename Value>
struct PendingResult
{
  explicit PendingResult(const boost::asio::any_io_executor& aExecutor)
    : timer(aExecutor, kTimeout)
  {
  }

  void Complete(Value aValue)
  {
    value = std::move(aValue);
    timer.cancel();
  }

  /// Limit of the wait for the log or the leader. Upstreams and operators try
  /// another control host after one second.
  static constexpr std::chrono::milliseconds kTimeout{ 900 };

  boost::asio::steady_timer timer;
  std::optional<Value> value;
};

/// State and message handlers of a control host.
struct ControlHost::Impl : std::enable_shared_from_this<ControlHost::Impl>
{
  // Start, stop and periodic work: control_host.cpp.

  Impl(boost::asio::io_context& aContext,
       const Settings& aSettings,
       const Dialect& aDialect,
       const Clock& aClock,
       uint64_t aSeed);
  Result<void> Start();
  void Stop(std::function<void()> aDone);
  consensus::Driver::Options DriverOptions() const;
  consensus::Driver::Callbacks DriverCallbacks();
  void Tick();
  void OnTick();

  // The replicated log: control_host_log.cpp.

  void Apply(LogIndex aIndex, std::string_view aBytes);
  Result<void> OutcomeOf(LogIndex aIndex) const;
  void OnLeadership(std::optional<uint64_t> aTerm);
  bool HoldsLeaderLease() const;
  boost::asio::awaitable<Result<void>> Propose(
    const wire::GatewayCommand& aCommand);
  void ProposeInBackground(const std::vector<wire::GatewayCommand>& aCommands);
  boost::asio::awaitable<Result<void>> CommitInOrder(
    std::vector<wire::GatewayCommand> aCommands);

  // Messages from other hosts, and the feed: control_host_feed.cpp.

  void OnFrame(const net::FrameMesh::Connection& aConnection,
               std::string_view aMessage);
  bool IsUpToDate() const;
  std::vector<std::string> ControlHosts() const;
  void OnFeedOpen(const net::FrameMesh::Connection& aConnection,
                  const wire::FeedOpen& aOpen);
  void Subscribe(const net::FrameMesh::Connection& aConnection,
                 const wire::FeedOpen& aOpen);
  bool MayBeUpToDateSoon() const;
  void ScheduleDeferredCheck();
  void CheckDeferredOpens();
  void OnFeedReport(const net::FrameMesh::Connection& aConnection,
                    const wire::FeedReport& aReport);
  void OnHostReport(const wire::HostReport& aReport);
  void ProposeControlHost(const wire::ControlMember& aControlHost);
  void ProposeControlHostRemovals();
  void SendHostReport();
  void ScheduleFeedFlush();

  // Allocation of slots: control_host_slots.cpp.

  std::unique_ptr<SlotCoordinator> MakeSlots();
  bool OffersToAllocate() const;
  void ScheduleSlotTick();
  void OnSlotTick();
  void OnConsensusMessage(const std::string& aMessage);
  void WithdrawSilentAllocators();

  // Demand of all entry hosts: control_host_demand.cpp.

  void CollectServiceLoads(const wire::FeedReport& aReport);
  void TakeServiceLoads(wire::HostReport& aReport);
  void RecordServiceLoads(const wire::HostReport& aReport);
  void RecordOwnerDemand();
  Result<void> ApplyToState(const wire::GatewayCommand& aCommand,
                            LogIndex aIndex);
  std::vector<scheduling::DemandTable::ServiceSlots> SlotsOfServices() const;
  void SendDemandDigest();
  void SetDemandMetrics(size_t aListed, size_t aOverloaded);
  void LogOverloads(const scheduling::DemandTable::Round& aRound);
  void OnDemandDigest(const wire::DemandDigest& aMessage);

  // Rests that upstreams asked entry hosts for: control_host_rests.cpp.

  void OnUpstreamRests(const wire::UpstreamRests& aRests);
  void ForwardRests();
  void RecordRests(const wire::RecordRests& aRests);
  void SendRestsTo(const net::FrameMesh::Connection& aConnection,
                   const std::string& aHost);

  // Requests that crash upstreams: control_host_crashes.cpp.

  void OnCrashReports(const wire::CrashReports& aReports);
  void ProposeCrashes();
  void LogBans(const wire::RecordCrashes& aCommand);
  /// @return the response to an operator's call about bans; nullopt if the call
  /// is another one.
  std::optional<HttpResponse> OnBanCall(const HttpRequest& aCall);
  static bool IsLiftOfBan(const HttpRequest& aCall);

  // Forwarding of heartbeats to the leader: control_host_heartbeats.cpp.

  boost::asio::awaitable<HttpResponse> ForwardHeartbeat(
    HostName aLeader,
    const Heartbeat& aHeartbeat);
  void FlushHeartbeats();
  void OnForwardedHeartbeats(const wire::ForwardedHeartbeats& aBatch);
  void ProcessHeartbeatQueue();
  void QueueAnswer(const HostName& aReplyTo,
                   uint64_t aId,
                   const Result<HeartbeatAnswer>& aAnswer);
  static boost::asio::awaitable<void> AnswerForwardedHeartbeat(
    std::shared_ptr<Impl> aSelf,
    HostName aReplyTo,
    wire::ForwardedHeartbeat aHeartbeat);
  void FlushAnswers();
  void OnForwardedHeartbeatAnswers(
    const wire::ForwardedHeartbeatAnswers& aBatch);
  HttpResponse ToResponse(Result<HeartbeatAnswer> aAnswer) const;

  // HTTP calls of upstreams and operators: control_host_calls.cpp.

  static boost::asio::awaitable<HttpResponse> ServeCall(
    std::weak_ptr<Impl> aSelf,
    HttpRequest aCall);
  boost::asio::awaitable<HttpResponse> HandleOrForward(HttpRequest aCall,
                                                       Instant aArrivedAt);
  boost::asio::awaitable<HttpResponse> ForwardCall(HostName aLeader,
                                                   HttpRequest aCall,
                                                   Instant aArrivedAt);
  bool IsUnversionedOrder(const HttpRequest& aCall) const;
  /// @return the response if an order is not to be carried out, since its
  /// sender may have sent it again or given it up.
  boost::asio::awaitable<std::optional<HttpResponse>> RefuseOldOrder(
    const HttpRequest& aCall,
    Instant aArrivedAt);
  HttpResponse RefuseOrder(const HttpRequest& aCall,
                           std::string_view aReason,
                           std::string aText);
  void OnForwardedCall(const wire::ForwardedCall& aCall);
  static boost::asio::awaitable<void> AnswerForwardedCall(
    std::shared_ptr<Impl> aSelf,
    wire::ForwardedCall aCall);
  void OnForwardedAnswer(const wire::ForwardedAnswer& aAnswer);
  Result<ControlCall> DecodeCall(const HttpRequest& aCall) const;
  boost::asio::awaitable<HttpResponse> HandleAsLeader(const HttpRequest& aCall);
  boost::asio::awaitable<HttpResponse> OnCall(const Heartbeat& aHeartbeat);
  /// Processes a heartbeat as the leader.
  boost::asio::awaitable<Result<HeartbeatAnswer>> ProcessHeartbeat(
    const Heartbeat& aHeartbeat);
  boost::asio::awaitable<HttpResponse> OnCall(
    const Deregistration& aDeregistration);
  boost::asio::awaitable<HttpResponse> OnCall(const wire::ChangeItems& aChange);
  boost::asio::awaitable<HttpResponse> OnCall(const Evacuation& aEvacuation);
  bool IsDataCentre(const DataCentre& aName) const;
  HttpResponse OnReadItems() const;
  boost::asio::awaitable<void> AwaitFreedRanges(const Heartbeat& aHeartbeat);
  void WakeRangeWaiters();
  void CountRejected(const Error& aError);
  HttpResponse RejectMessage(std::string_view aCall,
                             const std::string& aInstance,
                             const Error& aError);
  HttpResponse RejectUnreadable(const HttpRequest& aCall, const Error& aError);
  HttpResponse ErrorResponse(const Error& aError) const;
  HttpResponse UnavailableResponse(std::string aText) const;
  static boost::asio::awaitable<HttpResponse> ServeMetrics(
    std::weak_ptr<Impl> aSelf,
    HttpRequest aCall);
  std::string RenderMetrics();

  const boost::asio::any_io_executor executor;
  const Settings settings;
  const Dialect& dialect;
  const Clock& clock;
  const uint64_t seed;
  const HostName self;
  State state;
  RangeAssigner rangeAssigner;
  FeedServer feed;
  boost::asio::steady_timer ticker;
  std::unique_ptr<net::FrameMesh> mesh;
  std::unique_ptr<consensus::Driver> driver;
  std::unique_ptr<HttpServer> callServer;
  std::unique_ptr<HttpServer> metricsServer;
  Metrics metrics;
  /// Results of the last applied commands, oldest first.
  std::deque<std::pair<LogIndex, Result<void>>> outcomes;
  /// Forwarded calls and heartbeats that await the leader's answer, by id.
  std::map<uint64_t, std::shared_ptr<PendingResult<HttpResponse>>> pendingCalls;
  std::map<uint64_t, std::shared_ptr<PendingResult<Result<HeartbeatAnswer>>>>
    pendingHeartbeats;
  RequestIds requestIds;
  /// Receiver of heartbeatBatch.
  HostName heartbeatBatchLeader;
  /// Heartbeats that the next FlushHeartbeats sends.
  wire::ForwardedHeartbeats heartbeatBatch;
  boost::asio::steady_timer heartbeatBatchTimer;
  HeartbeatQueue heartbeatQueue;
  boost::asio::steady_timer feedTimer;
  bool feedFlushScheduled = false;
  /// Answers that the next FlushAnswers sends, by receiver.
  std::map<HostName, wire::ForwardedHeartbeatAnswers> answerBatches;
  boost::asio::steady_timer answerBatchTimer;
  /// Heartbeats that wait in AwaitFreedRanges.
  std::vector<std::weak_ptr<boost::asio::steady_timer>> rangeWaiters;
  /// Collected for the next SendHostReport.
  wire::HostReport pendingReport;
  EntryRegistry entryRegistry;
  /// Services' loads for the next SendHostReport.
  std::map<std::string, scheduling::ServiceLoad> pendingServices;
  /// Used while this host leads.
  scheduling::DemandTable demandTable;
  /// The newest digest that this host has sent to its subscribers.
  scheduling::DemandView demandView;
  Instant lastPingAt{};
  Instant lastReportAt{};
  /// Subscriptions that wait until this host is up to date.
  std::vector<std::pair<net::FrameMesh::Connection, wire::FeedOpen>>
    deferredOpens;
  boost::asio::steady_timer deferredTimer;
  /// When this host was last known to be up to date; before that, its start.
  Instant upToDateAt{};
  bool stopping = false;
  PauseDetector pauses;
  /// This host was up to date at the last ping interval.
  bool isCaughtUp = false;
  RestRegister rests;
  PendingRests pendingRests{ rests };
  CrashWatch crashWatch;
  /// Bans that have been logged, with their ends.
  std::map<std::string, WallTime> loggedBans;
  scheduling::AllocatorWatch allocatorWatch;
  scheduling::StateFreshness freshness;
  /// Null unless this host's setting is that it allocates slots.
  std::unique_ptr<SlotCoordinator> slots;
  boost::asio::steady_timer slotTimer;
};

} // namespace rattandyke::gateway
