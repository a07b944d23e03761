#include "gateway/feed_client.h"

#include <algorithm>
#include <optional>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/endpoint.h"
#include "gateway/control_host_selector.h"
#include "gateway/outgoing_frame.h"
#include "log/log.h"
#include "net/frame_connection.h"

namespace rattandyke::gateway {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;
using ErrorCode = boost::system::error_code;

/// Interval at which the connection is checked.
constexpr milliseconds kCheckInterval{ 150 };
/// A longer time between two checks means that this host was paused. Messages
/// that arrived meanwhile are yet to be read.
constexpr milliseconds kMaxCheckGap{ 300 };
/// A host that sends no ping for this long may be partitioned from the leader.
/// The timeout covers three pings. Together with the time to find another host
/// it stays below one second, so that a change reaches every entry host within
/// two.
constexpr milliseconds kPingTimeout{ 700 };
/// Age of the state at which the client leaves a host although it still sends
/// pings: one that is partitioned from the leader does so until its own state
/// has the age kPingTimeout, and would keep its clients for twice that time.
constexpr milliseconds kMaxStateAge{ 1000 };
constexpr milliseconds kConnectTimeout{ 250 };
/// Delay before the next host is tried after a host closed the connection. It
/// is short, since an entry host without a state can't serve callers: five
/// hosts are tried within 200 ms.
constexpr milliseconds kRetryDelay{ 30 };
/// Delay before the next host is tried if a requested snapshot can't be read
/// either. Each further attempt costs the link a snapshot.
constexpr milliseconds kUnreadableRetryDelay{ 1000 };
/// A message that takes this long to receive or to process is logged, since it
/// delays requests so much that callers notice.
constexpr milliseconds kSlowMessage{ 50 };
log::Line
Info()
{
  return { log::Part::Agent, log::Severity::Info };
}

int64_t
Ms(Duration aTime)
{
  return std::chrono::duration_cast<milliseconds>(aTime).count();
}

} // namespace

struct FeedClient::Impl : std::enable_shared_from_this<FeedClient::Impl>
{
  Impl(asio::any_io_executor aExecutor,
       Options aOptions,
       std::function<void(const wire::GatewayCommand*)> aOnStateChanged,
       const Clock& aClock,
       uint64_t aSeed)
    : executor(std::move(aExecutor))
    , options(std::move(aOptions))
    , onStateChanged(std::move(aOnStateChanged))
    , clock(aClock)
    , selector(state, options.self, aSeed)
    , checkTimer(executor)
    , retryTimer(executor)
  {
    selector.SetSeeds(options.seeds);
  }

  void Start()
  {
    ConnectToNextHost();
    checkedAt = clock.Now();
    ScheduleCheck();
  }

  void ScheduleCheck()
  {
    checkTimer.expires_after(kCheckInterval);
    checkTimer.async_wait([self = weak_from_this()](ErrorCode aError) {
      const auto client = self.lock();
      if (!client || aError || client->stopped) {
        return;
      }
      client->CheckConnection();
      client->ScheduleCheck();
    });
  }

  /// @return whether the check that runs now is late because this host was
  /// paused. False after a check that was late, too, so that a host with too
  /// little of the processor still finds a silent control host.
  bool IsCheckAfterPause()
  {
    const Instant now = clock.Now();
    const bool late =
      now - std::exchange(checkedAt, now) > Duration(kMaxCheckGap);
    return !std::exchange(lastCheckLate, late) && late;
  }

  void CheckConnection()
  {
    const bool afterPause = IsCheckAfterPause();
    if (!connection && !connectingSocket) {
      if (clock.Now() >= retryNotBefore) {
        ConnectToNextHost();
      }
      return;
    }
    if (afterPause) {
      return;
    }
    const Duration silence = clock.Now() - lastHeardAt;
    const Duration timeout =
      connectingSocket ? Duration(kConnectTimeout) : Duration(kPingTimeout);
    const Duration age = clock.Now() - confirmedAt;
    const bool isOutdated =
      connection && confirmed && age >= Duration(kMaxStateAge);
    if (silence < timeout && !isOutdated) {
      return;
    }
    if (connection) {
      Info() << "this entry host leaves control host " << currentHost
             << ", which is silent for " << Ms(silence)
             << " ms; the state is confirmed as of " << Ms(age) << " ms ago";
    }
    selector.OnFailed(currentHost, clock.Now());
    Disconnect();
    ConnectToNextHost();
  }

  /// Connects to the next host after a delay. A host that closes the connection
  /// may not be up to date; another one may be.
  void ScheduleRetry(Duration aDelay = kRetryDelay)
  {
    retryNotBefore = clock.Now() + aDelay;
    retryTimer.expires_after(aDelay);
    retryTimer.async_wait([self = weak_from_this()](ErrorCode aError) {
      const auto client = self.lock();
      const bool idle = client && !aError && !client->stopped &&
                        !client->connection && !client->connectingSocket;
      if (idle) {
        client->ConnectToNextHost();
      }
    });
  }

  void Disconnect()
  {
    if (connectingSocket) {
      ErrorCode ignored; // The socket is discarded.
      connectingSocket->close(ignored);
      connectingSocket.reset();
    }
    if (connection) {
      const auto old = std::exchange(connection, nullptr);
      old->Close();
    }
  }

  void ConnectToNextHost()
  {
    lastHeardAt = clock.Now();
    currentHost = selector.Next(clock.Now());
    const Result<Endpoint> address = ParseEndpoint(currentHost);
    if (!address) {
      return;
    }
    auto socket = std::make_shared<tcp::socket>(executor);
    connectingSocket = socket;
    ErrorCode ignored; // ParseEndpoint has checked the address.
    const auto ip = asio::ip::make_address(address->address, ignored);
    socket->async_connect({ ip, address->port },
                          [self = weak_from_this(), socket](ErrorCode aError) {
                            const auto client = self.lock();
                            if (client && !client->stopped &&
                                client->connectingSocket == socket) {
                              client->OnConnected(aError);
                            }
                          });
  }

  void OnConnected(ErrorCode aError)
  {
    const auto socket = std::exchange(connectingSocket, nullptr);
    if (aError) {
      return; // The next CheckConnection tries another host.
    }
    lastHeardAt = clock.Now();
    confirmed = false;
    ++connectionNumber;
    messageStartedAt.reset();
    net::TuneSocket(*socket, net::kUnacknowledgedTimeout);
    auto newConnection =
      std::make_shared<net::FrameConnection>(std::move(*socket));
    connection = newConnection;
    newConnection->Start(
      { [self = weak_from_this(), raw = newConnection.get()](auto aMessage) {
         const auto client = self.lock();
         if (client && client->connection.get() == raw) {
           client->OnMessage(aMessage);
         }
       },
        [self = weak_from_this(), raw = newConnection.get()] {
          const auto client = self.lock();
          if (client && client->connection.get() == raw) {
            client->OnClosed();
          }
        },
        [self = weak_from_this(), raw = newConnection.get()] {
          const auto client = self.lock();
          if (client && client->connection.get() == raw) {
            client->OnBytesReceived();
          }
        } });
    wire::GatewayFrame frame;
    *frame.mutable_feed_open()->mutable_entry() = options.self;
    frame.mutable_feed_open()->set_applied(
      needsSnapshot ? 0 : state.AppliedIndex().value);
    frame.mutable_feed_open()->set_reads_packed(true);
    Send(frame);
  }

  void OnClosed()
  {
    connection.reset();
    selector.OnFailed(currentHost, clock.Now());
    if (confirmed) {
      Info() << "this entry host is sent away by " << currentHost;
    }
    ScheduleRetry();
  }

  void RecordTraffic(scheduling::LinkDirection aDirection, size_t aBytes)
  {
    if (options.linkMeter != nullptr) {
      options.linkMeter->Record(scheduling::LinkUse::Feed, aDirection, aBytes);
    }
  }

  /// Sends a message on the current connection, which must exist.
  void Send(const wire::GatewayFrame& aFrame)
  {
    const std::string bytes = aFrame.SerializeAsString();
    RecordTraffic(scheduling::LinkDirection::Out, bytes.size());
    connection->Send(bytes);
  }

  /// Processes a message. Logs the times to receive and to process it if one of
  /// them is long.
  void OnMessage(std::string_view aMessage)
  {
    RecordTraffic(scheduling::LinkDirection::In, aMessage.size());
    const Instant receivedAt = clock.Now();
    const Duration receiveTime =
      receivedAt -
      std::exchange(messageStartedAt, std::nullopt).value_or(receivedAt);
    Decode(aMessage);
    const Duration processTime = clock.Now() - receivedAt;
    if (receiveTime >= Duration(kSlowMessage) ||
        processTime >= Duration(kSlowMessage)) {
      Info() << "this entry host took a long message bytes=" << aMessage.size()
             << " index=" << state.AppliedIndex().value
             << " arriving_ms=" << Ms(receiveTime)
             << " taking_ms=" << Ms(processTime);
    }
  }

  void Decode(std::string_view aMessage)
  {
    wire::GatewayFrame frame;
    if (!frame.ParseFromArray(aMessage.data(),
                              static_cast<int>(aMessage.size()))) {
      OnUnreadableMessage(aMessage.size());
      return;
    }
    if (!frame.has_packed()) {
      Dispatch(frame);
    } else if (const auto unpacked = DecompressFrame(frame.packed())) {
      Dispatch(*unpacked);
    } else {
      OnUnreadableMessage(aMessage.size());
    }
  }

  /// Requests a snapshot in place of the commands that can't be read: from the
  /// last index that was applied, every host would send the same bytes again.
  void OnUnreadableMessage(size_t aBytes)
  {
    log::Line(log::Part::Agent, log::Severity::Error)
      << "a message of " << aBytes << " bytes from " << currentHost
      << " can't be read after index " << state.AppliedIndex().value
      << "; this host requests a snapshot";
    if (options.onUnreadable) {
      options.onUnreadable();
    }
    selector.OnFailed(currentHost, clock.Now());
    Disconnect();
    ScheduleRetry(std::exchange(needsSnapshot, true) ? kUnreadableRetryDelay
                                                     : kRetryDelay);
  }

  void Dispatch(const wire::GatewayFrame& aFrame)
  {
    if (aFrame.has_feed_snapshot()) {
      OnSnapshot(aFrame.feed_snapshot());
    } else if (aFrame.has_feed_command()) {
      OnCommand(aFrame.feed_command());
    } else if (aFrame.has_feed_commands()) {
      for (const wire::FeedCommand& command :
           aFrame.feed_commands().commands()) {
        OnCommand(command);
      }
    } else if (aFrame.has_feed_ping()) {
      OnPing(aFrame.feed_ping());
    } else if (aFrame.has_link_probe() && aFrame.link_probe().reply() &&
               options.onProbeReply) {
      options.onProbeReply(aFrame.link_probe().id());
    } else if (aFrame.has_demand_digest() && options.onDemandDigest) {
      options.onDemandDigest(aFrame.demand_digest());
    } else if (aFrame.has_upstream_rests() && options.onRests) {
      options.onRests(aFrame.upstream_rests());
    }
  }

  /// Extends the ping timeout while the first messages of a connection arrive.
  /// A snapshot may take longer than kPingTimeout on a slow link. If the client
  /// gave up, it would request the snapshot again and again and saturate the
  /// link.
  void OnBytesReceived()
  {
    if (!messageStartedAt) {
      messageStartedAt = clock.Now();
    }
    if (!confirmed) {
      lastHeardAt = clock.Now();
    }
  }

  void OnSnapshot(const wire::FeedSnapshot& aSnapshot)
  {
    needsSnapshot = false;
    if (aSnapshot.state().applied() <= state.AppliedIndex().value) {
      return;
    }
    state.Load(aSnapshot.state());
    hasState = true;
    onStateChanged(nullptr);
  }

  void OnCommand(const wire::FeedCommand& aCommand)
  {
    if (aCommand.index() <= state.AppliedIndex().value) {
      return;
    }
    // A command that fails to apply has no effect, here as on control hosts.
    static_cast<void>(
      state.Apply(aCommand.command(), LogIndex{ aCommand.index() }));
    hasState = true;
    onStateChanged(&aCommand.command());
  }

  void OnPing(const wire::FeedPing& aPing)
  {
    const Duration age = milliseconds{ aPing.age_ms() };
    if (aPing.applied() < state.AppliedIndex().value || age >= kPingTimeout) {
      return; // The host is behind or partitioned, so it confirms nothing.
    }
    lastHeardAt = clock.Now();
    if (!confirmed) {
      Info() << "this entry host follows " << currentHost << " at index "
             << state.AppliedIndex().value;
    }
    // The age includes that of the sender's state. Otherwise two entry hosts
    // that are partitioned together could confirm each other's state forever.
    confirmedAt = std::max(confirmedAt, clock.Now() - age);
    confirmed = true;
    selector.OnConfirmed(currentHost);
    if (aPing.control_hosts_size() > 0) {
      selector.SetControlHosts(
        { aPing.control_hosts().begin(), aPing.control_hosts().end() });
    }
    if (selector.ShouldMove(currentHost, clock.Now())) {
      Disconnect();
      ConnectToNextHost();
    }
  }

  const asio::any_io_executor executor;
  Options options;
  const std::function<void(const wire::GatewayCommand*)> onStateChanged;
  const Clock& clock;
  State state;
  ControlHostSelector selector;
  asio::steady_timer checkTimer;
  asio::steady_timer retryTimer;
  bool hasState = false;
  bool stopped = false;
  /// A message could not be read; the next connection begins with a snapshot.
  bool needsSnapshot = false;
  /// Earliest time of the next connection.
  Instant retryNotBefore{};
  /// A ping on this connection has confirmed that the state is up to date.
  bool confirmed = false;
  /// Number of connections established so far.
  uint64_t connectionNumber = 0;
  Instant lastHeardAt{};
  /// Time of the last check of the connection, and whether it was late.
  Instant checkedAt{};
  bool lastCheckLate = false;
  /// When the first bytes of the incoming message arrived.
  std::optional<Instant> messageStartedAt;
  Instant confirmedAt{};
  std::string currentHost;
  std::shared_ptr<tcp::socket> connectingSocket;
  std::shared_ptr<net::FrameConnection> connection;
};

FeedClient::FeedClient(
  asio::any_io_executor aExecutor,
  Options aOptions,
  std::function<void(const wire::GatewayCommand*)> aOnStateChanged,
  const Clock& aClock,
  uint64_t aSeed)
  : mImpl(std::make_shared<Impl>(std::move(aExecutor),
                                 std::move(aOptions),
                                 std::move(aOnStateChanged),
                                 aClock,
                                 aSeed))
{
}

FeedClient::~FeedClient()
{
  Stop();
}

void
FeedClient::Start()
{
  mImpl->Start();
}

void
FeedClient::Stop()
{
  mImpl->stopped = true;
  mImpl->checkTimer.cancel();
  mImpl->retryTimer.cancel();
  mImpl->Disconnect();
}

void
FeedClient::SetSeeds(std::vector<Endpoint> aSeeds)
{
  mImpl->selector.SetSeeds(aSeeds);
}

const State&
FeedClient::CurrentState() const
{
  return mImpl->state;
}

bool
FeedClient::HasState() const
{
  return mImpl->hasState;
}

const std::vector<std::string>&
FeedClient::ControlHosts() const
{
  return mImpl->selector.ControlHosts();
}

Duration
FeedClient::StateAge() const
{
  return mImpl->clock.Now() - mImpl->confirmedAt;
}

void
FeedClient::Report(const wire::FeedReport& aReport)
{
  if (mImpl->connection) {
    wire::GatewayFrame frame;
    *frame.mutable_feed_report() = aReport;
    mImpl->Send(frame);
  }
}

void
FeedClient::ReportRests(const wire::UpstreamRests& aRests)
{
  if (mImpl->connection) {
    wire::GatewayFrame frame;
    *frame.mutable_upstream_rests() = aRests;
    mImpl->Send(frame);
  }
}

void
FeedClient::ReportCrashes(const wire::CrashReports& aReports)
{
  if (mImpl->connection) {
    wire::GatewayFrame frame;
    *frame.mutable_crash_reports() = aReports;
    mImpl->Send(frame);
  }
}

std::optional<uint64_t>
FeedClient::ConfirmedConnection() const
{
  if (!mImpl->connection || !mImpl->confirmed) {
    return std::nullopt;
  }
  return mImpl->connectionNumber;
}

void
FeedClient::SendProbe(uint64_t aId)
{
  if (mImpl->connection) {
    wire::GatewayFrame frame;
    frame.mutable_link_probe()->set_id(aId);
    mImpl->Send(frame);
  }
}

} // namespace rattandyke::gateway
