#include "gateway/feed_client.h"

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/endpoint.h"
#include "gateway/outgoing_frame.h"
#include "log/log.h"
#include "net/frame_connection.h"

namespace rattandyke::gateway {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;
using ErrorCode = boost::system::error_code;

constexpr milliseconds kCheckInterval{ 150 };
/// Without a ping for so long the control host may be cut off from the group.
/// Three pings fit in it. With the time of finding another host it stays below
/// a second, so that a change reaches every entry within two.
constexpr milliseconds kSilence{ 700 };
constexpr milliseconds kConnectTimeout{ 250 };
/// Pause before the next host is asked after one has sent this one away: an
/// entry that has no state serves nobody. Five hosts are asked within 200 ms.
constexpr milliseconds kNextHost{ 30 };
/// A message that keeps the link or the thread busy for longer than this holds
/// up requests so that callers notice; it is logged.
constexpr milliseconds kHeldUp{ 50 };
/// Pause before a host in another data centre is left for one nearby, and
/// before that is tried again. Drawn between one and two of these, so that not
/// all entries move at once.
constexpr milliseconds kMoveNearer{ 1000 };
constexpr milliseconds kMoveAgain{ 10000 };

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
       std::function<void(const wire::GatewayCommand*)> aChanged,
       const Clock& aClock,
       uint64_t aSeed)
    : executor(std::move(aExecutor))
    , options(std::move(aOptions))
    , changed(std::move(aChanged))
    , clock(aClock)
    , random(aSeed)
    , timer(executor)
    , soon(executor)
  {
  }

  void Start()
  {
    TryNext();
    Check();
  }

  void Check()
  {
    timer.expires_after(kCheckInterval);
    timer.async_wait([self = weak_from_this()](ErrorCode aError) {
      const auto client = self.lock();
      if (!client || aError || client->stopped) {
        return;
      }
      client->OnCheck();
      client->Check();
    });
  }

  void OnCheck()
  {
    if (!connection && !connecting) {
      TryNext();
      return;
    }
    const Duration quiet = clock.Now() - heardAt;
    const Duration allowed =
      connecting ? Duration(kConnectTimeout) : Duration(kSilence);
    if (quiet < allowed) {
      return;
    }
    if (connection) {
      Info() << "leaves control host " << current << ", silent for "
             << Ms(quiet) << " ms";
    }
    Drop();
    TryNext();
  }

  /// A host that sends this one away is not sure of its state; another may be.
  void TrySoon()
  {
    soon.expires_after(kNextHost);
    soon.async_wait([self = weak_from_this()](ErrorCode aError) {
      const auto client = self.lock();
      const bool idle = client && !aError && !client->stopped &&
                        !client->connection && !client->connecting;
      if (idle) {
        client->TryNext();
      }
    });
  }

  void Drop()
  {
    if (connecting) {
      ErrorCode ignored; // Given up.
      connecting->close(ignored);
      connecting.reset();
    }
    if (connection) {
      const auto old = std::exchange(connection, nullptr);
      old->Close();
    }
  }

  /// @return whether a control host is known to be in this data centre.
  bool IsNear(const std::string& aHost) const
  {
    const auto known = state.ControlHosts().find(aHost);
    return known != state.ControlHosts().end() &&
           known->second.data_centre() == options.self.data_centre();
  }

  /// Safeguard: fed from another data centre, each entry would have every
  /// change sent to it over the links between them, once for each entry. So one
  /// that was fed from afar while it knew no better moves to a host nearby.
  void ConsiderNearer()
  {
    const Instant now = clock.Now();
    const bool better = !IsNear(current) && std::any_of(controlHosts.begin(),
                                                        controlHosts.end(),
                                                        [&](const auto& aHost) {
                                                          return IsNear(aHost);
                                                        });
    if (!better) {
      moveAt.reset();
      return;
    }
    const auto drawn = [&](milliseconds aPause) {
      return aPause + milliseconds(random() % aPause.count());
    };
    if (!moveAt) {
      moveAt = std::max(now + drawn(kMoveNearer), movedAt + drawn(kMoveAgain));
    } else if (now >= *moveAt) {
      moveAt.reset();
      movedAt = now;
      Drop();
      TryNext();
    }
  }

  /// All hosts known, each once before any is tried again; those nearby first.
  std::string NextHost()
  {
    std::set<std::string> hosts(controlHosts.begin(), controlHosts.end());
    for (const Endpoint& seed : options.seeds) {
      hosts.insert(ToString(seed));
    }
    std::vector<std::string> fresh;
    for (const std::string& host : hosts) {
      if (!tried.contains(host)) {
        fresh.push_back(host);
      }
    }
    const auto far =
      std::stable_partition(fresh.begin(), fresh.end(), [&](const auto& aHost) {
        return IsNear(aHost);
      });
    if (far != fresh.begin()) {
      fresh.erase(far, fresh.end());
    }
    if (fresh.empty()) {
      tried.clear();
      fresh = EntriesToAsk();
    }
    if (fresh.empty()) {
      fresh.assign(hosts.begin(), hosts.end());
    }
    if (fresh.empty()) {
      return {};
    }
    std::string host = fresh[random() % fresh.size()];
    tried.insert(host);
    return host;
  }

  /// @return an entry host, drawn at random, to ask once all control hosts have
  /// been tried in vain.
  std::vector<std::string> EntriesToAsk()
  {
    std::vector<std::string> entries;
    for (const auto& [address, member] : state.Entries()) {
      if (address != options.self.address()) {
        entries.push_back(address);
      }
    }
    if (entries.empty()) {
      return {};
    }
    return { entries[random() % entries.size()] };
  }

  void TryNext()
  {
    heardAt = clock.Now();
    current = NextHost();
    const Result<Endpoint> address = ParseEndpoint(current);
    if (!address) {
      return;
    }
    auto socket = std::make_shared<tcp::socket>(executor);
    connecting = socket;
    ErrorCode ignored; // ParseEndpoint has checked the address.
    const auto ip = asio::ip::make_address(address->address, ignored);
    socket->async_connect({ ip, address->port },
                          [self = weak_from_this(), socket](ErrorCode aError) {
                            const auto client = self.lock();
                            if (client && !client->stopped &&
                                client->connecting == socket) {
                              client->OnConnected(aError);
                            }
                          });
  }

  void OnConnected(ErrorCode aError)
  {
    const auto socket = std::exchange(connecting, nullptr);
    if (aError) {
      return; // The next check tries another.
    }
    heardAt = clock.Now();
    assured = false;
    arrivingSince.reset();
    net::TuneSocket(*socket, net::kUnacknowledgedTimeout);
    auto made = std::make_shared<net::FrameConnection>(std::move(*socket));
    connection = made;
    made->Start({ [self = weak_from_this(), raw = made.get()](auto aMessage) {
                   const auto client = self.lock();
                   if (client && client->connection.get() == raw) {
                     client->OnMessage(aMessage);
                   }
                 },
                  [self = weak_from_this(), raw = made.get()] {
                    const auto client = self.lock();
                    if (client && client->connection.get() == raw) {
                      client->OnClosed();
                    }
                  },
                  [self = weak_from_this(), raw = made.get()] {
                    const auto client = self.lock();
                    if (client && client->connection.get() == raw) {
                      client->OnProgress();
                    }
                  } });
    wire::GatewayFrame frame;
    *frame.mutable_feed_open()->mutable_entry() = options.self;
    frame.mutable_feed_open()->set_applied(state.AppliedIndex().value);
    frame.mutable_feed_open()->set_reads_packed(true);
    made->Send(frame.SerializeAsString());
  }

  void OnClosed()
  {
    connection.reset();
    if (assured) {
      Info() << "is sent away by " << current;
    }
    TrySoon();
  }

  /// Takes a message and tells, if it held requests up, for how long each of
  /// the link and this thread was busy with it.
  void OnMessage(std::string_view aMessage)
  {
    const Instant arrived = clock.Now();
    const Duration arriving =
      arrived - std::exchange(arrivingSince, std::nullopt).value_or(arrived);
    Take(aMessage);
    const Duration taking = clock.Now() - arrived;
    if (arriving >= Duration(kHeldUp) || taking >= Duration(kHeldUp)) {
      Info() << "took a long message bytes=" << aMessage.size()
             << " index=" << state.AppliedIndex().value
             << " arriving_ms=" << Ms(arriving) << " taking_ms=" << Ms(taking);
    }
  }

  void Take(std::string_view aMessage)
  {
    wire::GatewayFrame frame;
    if (!frame.ParseFromArray(aMessage.data(),
                              static_cast<int>(aMessage.size()))) {
      OnUnreadable();
      return;
    }
    if (!frame.has_packed()) {
      Dispatch(frame);
    } else if (const auto unpacked = DecompressFrame(frame.packed())) {
      Dispatch(*unpacked);
    } else {
      OnUnreadable();
    }
  }

  void OnUnreadable()
  {
    Info() << "a message of " << current << " can't be read";
    Drop();
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
    }
  }

  /// Safeguard: a whole state takes longer than the allowed silence on a slow
  /// link. Given up in the middle it would be asked for again and again, and
  /// nothing else would get through the link.
  void OnProgress()
  {
    if (!arrivingSince) {
      arrivingSince = clock.Now();
    }
    if (!assured) {
      heardAt = clock.Now();
    }
  }

  void OnSnapshot(const wire::FeedSnapshot& aSnapshot)
  {
    if (aSnapshot.state().applied() <= state.AppliedIndex().value) {
      return;
    }
    state.Load(aSnapshot.state());
    hasState = true;
    changed(nullptr);
  }

  void OnCommand(const wire::FeedCommand& aCommand)
  {
    if (aCommand.index() <= state.AppliedIndex().value) {
      return;
    }
    // What the state refuses changes nothing here, as at the control hosts.
    static_cast<void>(
      state.Apply(aCommand.command(), LogIndex{ aCommand.index() }));
    hasState = true;
    changed(&aCommand.command());
  }

  void OnPing(const wire::FeedPing& aPing)
  {
    const Duration age = milliseconds{ aPing.age_ms() };
    if (aPing.applied() < state.AppliedIndex().value || age >= kSilence) {
      return; // It is behind, or cut off itself: no assurance.
    }
    heardAt = clock.Now();
    if (!assured) {
      Info() << "follows " << current << " at index "
             << state.AppliedIndex().value;
    }
    // Safeguard: the age adds up from host to host, so that two that are cut
    // off together can't assure each other.
    assuredAt = std::max(assuredAt, heardAt - age);
    assured = true;
    tried.clear();
    if (aPing.control_hosts_size() > 0) {
      controlHosts.assign(aPing.control_hosts().begin(),
                          aPing.control_hosts().end());
    }
    ConsiderNearer();
  }

  const asio::any_io_executor executor;
  Options options;
  const std::function<void(const wire::GatewayCommand*)> changed;
  const Clock& clock;
  Random random;
  asio::steady_timer timer;
  asio::steady_timer soon;
  State state;
  bool hasState = false;
  bool stopped = false;
  /// By a ping of this connection.
  bool assured = false;
  Instant heardAt{};
  /// When the first bytes of the message that is arriving came.
  std::optional<Instant> arrivingSince;
  Instant assuredAt{};
  std::string current;
  std::vector<std::string> controlHosts;
  std::set<std::string> tried;
  /// When a host nearby is to be tried, and when one was last.
  std::optional<Instant> moveAt;
  Instant movedAt{};
  std::shared_ptr<tcp::socket> connecting;
  std::shared_ptr<net::FrameConnection> connection;
};

FeedClient::FeedClient(
  asio::any_io_executor aExecutor,
  Options aOptions,
  std::function<void(const wire::GatewayCommand*)> aChanged,
  const Clock& aClock,
  uint64_t aSeed)
  : mImpl(std::make_shared<Impl>(std::move(aExecutor),
                                 std::move(aOptions),
                                 std::move(aChanged),
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
  mImpl->timer.cancel();
  mImpl->soon.cancel();
  mImpl->Drop();
}

void
FeedClient::SetSeeds(std::vector<Endpoint> aSeeds)
{
  mImpl->options.seeds = std::move(aSeeds);
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
  return mImpl->controlHosts;
}

Duration
FeedClient::StateAge() const
{
  return mImpl->clock.Now() - mImpl->assuredAt;
}

void
FeedClient::Report(const wire::FeedReport& aReport)
{
  if (mImpl->connection) {
    wire::GatewayFrame frame;
    *frame.mutable_feed_report() = aReport;
    mImpl->connection->Send(frame.SerializeAsString());
  }
}

} // namespace rattandyke::gateway
