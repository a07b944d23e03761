/// What the files of ControlHost share; for them only.
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

#include "consensus/driver.h"
#include "gateway/control_host.h"
#include "gateway/entry_registry.h"
#include "gateway/feed_server.h"
#include "gateway/heartbeat_queue.h"
#include "gateway/heartbeat_wire.h"
#include "gateway/http_server.h"
#include "gateway/metrics.h"
#include "gateway/range_assigner.h"
#include "log/log.h"
#include "net/frame_mesh.h"

namespace rattandyke::gateway {

/// A line of a control host's log.
inline log::Line
Info()
{
  return { log::Part::Control, log::Severity::Info };
}

/// Waits in a coroutine for something that a callback brings.
template<typename Value>
struct Awaited
{
  explicit Awaited(const boost::asio::any_io_executor& aExecutor)
    : timer(aExecutor, kTimeout)
  {
  }

  void Set(Value aValue)
  {
    value = std::move(aValue);
    timer.cancel();
  }

  /// Time that a call waits for the log or for the leader. Callers go elsewhere
  /// after a second.
  static constexpr std::chrono::milliseconds kTimeout{ 900 };

  boost::asio::steady_timer timer;
  std::optional<Value> value;
};

/// The state machines of a control host, and what joins them.
struct ControlHost::Impl : std::enable_shared_from_this<ControlHost::Impl>
{
  // Start, stop and time: control_host.cpp.

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

  // The log: control_host_log.cpp.

  void Apply(LogIndex aIndex, std::string_view aBytes);
  Result<void> OutcomeAt(LogIndex aIndex) const;
  void OnLeadership(std::optional<uint64_t> aTerm);
  bool LeadsSurely() const;
  boost::asio::awaitable<Result<void>> Propose(
    const wire::GatewayCommand& aCommand);
  void ProposeAll(const std::vector<wire::GatewayCommand>& aCommands);
  boost::asio::awaitable<Result<void>> Commit(
    std::vector<wire::GatewayCommand> aCommands);

  // Messages of other hosts: control_host_feed.cpp.

  void OnFrame(const net::FrameMesh::Connection& aConnection,
               std::string_view aMessage);
  bool IsFresh() const;
  std::vector<std::string> ControlHosts() const;
  void OnFeedOpen(const net::FrameMesh::Connection& aConnection,
                  const wire::FeedOpen& aOpen);
  bool IsHopeful() const;
  void WatchParked();
  void OnParked();
  void OnFeedReport(const net::FrameMesh::Connection& aConnection,
                    const wire::FeedReport& aReport);
  void OnHostReport(const wire::HostReport& aReport);
  void NoteControl(const wire::ControlMember& aControl);
  void DropControls();
  void Report();
  void FlushFeedSoon();

  // Heartbeats between control hosts: control_host_forward.cpp.

  boost::asio::awaitable<HttpResponse> ForwardHeartbeat(
    HostName aLeader,
    const Heartbeat& aHeartbeat);
  void FlushHeartbeats();
  void OnForwardedHeartbeats(const wire::ForwardedHeartbeats& aBatch);
  void TakeHeartbeats();
  void QueueAnswer(const HostName& aReplyTo,
                   uint64_t aId,
                   const Result<HeartbeatAnswer>& aAnswer);
  static boost::asio::awaitable<void> DecideForwarded(
    std::shared_ptr<Impl> aSelf,
    HostName aReplyTo,
    wire::ForwardedHeartbeat aHeartbeat);
  void FlushAnswers();
  void OnForwardedHeartbeatAnswers(
    const wire::ForwardedHeartbeatAnswers& aBatch);
  HttpResponse Encoded(Result<HeartbeatAnswer> aAnswer) const;

  // Calls: control_host_calls.cpp.

  static boost::asio::awaitable<HttpResponse> HandleWeak(
    std::weak_ptr<Impl> aSelf,
    HttpRequest aCall);
  boost::asio::awaitable<HttpResponse> Handle(HttpRequest aCall);
  void OnForwardedCall(const wire::ForwardedCall& aCall);
  static boost::asio::awaitable<void> AnswerForwarded(
    std::shared_ptr<Impl> aSelf,
    wire::ForwardedCall aCall);
  void OnForwardedAnswer(const wire::ForwardedAnswer& aAnswer);
  boost::asio::awaitable<HttpResponse> HandleAsLeader(const HttpRequest& aCall);
  boost::asio::awaitable<HttpResponse> OnCall(const Heartbeat& aHeartbeat);
  /// The leader's answer to a heartbeat.
  boost::asio::awaitable<Result<HeartbeatAnswer>> Decide(
    const Heartbeat& aHeartbeat);
  boost::asio::awaitable<HttpResponse> OnCall(const Deregistration& aLeaving);
  boost::asio::awaitable<HttpResponse> OnCall(const wire::ChangeItems& aChange);
  boost::asio::awaitable<HttpResponse> OnCall(const Evacuation& aOrder);
  bool IsDataCentre(const DataCentre& aName) const;
  HttpResponse OnRead() const;
  boost::asio::awaitable<void> AwaitKeys(const Heartbeat& aHeartbeat);
  void WakeKeyWaiters();
  void CountNotTaken(const Error& aError);
  HttpResponse NotTaken(std::string_view aCall,
                        const std::string& aInstance,
                        const Error& aError);
  HttpResponse Unread(const HttpRequest& aCall, const Error& aError);
  HttpResponse Refused(const Error& aError) const;
  HttpResponse Unavailable(std::string aText) const;
  static boost::asio::awaitable<HttpResponse> AnswerMetrics(
    std::weak_ptr<Impl> aSelf,
    HttpRequest aCall);
  std::string MetricsPage();

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
  std::unique_ptr<HttpServer> calls;
  std::unique_ptr<HttpServer> metricsServer;
  Metrics metrics;
  std::deque<std::pair<LogIndex, Result<void>>> outcomes;
  std::map<uint64_t, std::shared_ptr<Awaited<HttpResponse>>> forwarded;
  std::map<uint64_t, std::shared_ptr<Awaited<Result<HeartbeatAnswer>>>>
    forwardedHeartbeats;
  uint64_t lastCall = 0;
  /// Heartbeats that are about to be sent to a leader, and answers that are
  /// about to be sent back.
  HostName heartbeatsFor;
  wire::ForwardedHeartbeats waitingHeartbeats;
  boost::asio::steady_timer heartbeatTimer;
  HeartbeatQueue heartbeatQueue;
  boost::asio::steady_timer feedTimer;
  bool feedFlushDue = false;
  std::map<HostName, wire::ForwardedHeartbeatAnswers> waitingAnswers;
  boost::asio::steady_timer answerTimer;
  std::vector<std::weak_ptr<boost::asio::steady_timer>> keyWaiters;
  wire::HostReport waitingReport;
  EntryRegistry entries;
  Instant pingedAt{};
  Instant reportedAt{};
  /// Entries that wait for this host to be sure of its state.
  std::vector<std::pair<net::FrameMesh::Connection, wire::FeedOpen>> parked;
  boost::asio::steady_timer parkedTimer;
  /// When it was last sure of its state, or started.
  Instant freshAt{};
  bool stopping = false;
};

} // namespace rattandyke::gateway
