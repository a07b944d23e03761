// Start and stop of a control host, and what time makes due.
#include "gateway/control_host.h"

#include "base/endpoint.h"
#include "gateway/control_host_impl.h"

namespace rattandyke::gateway {

namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

/// Pings tell entries that they are up to date; they go elsewhere after 700 ms
/// of silence.
constexpr milliseconds kPingInterval{ 200 };
constexpr milliseconds kReportInterval{ 100 };
/// Instances that hold no keys and have been silent so long are forgotten;
/// entries would find out by themselves, but try them again and again.
constexpr std::chrono::seconds kForgetAfter{ 30 };
/// A lost identity is replaced, and a spare made a voter, after this long: with
/// the time of joining well below the few seconds after which more hosts may
/// be lost.
constexpr milliseconds kReplaceAfter{ 900 };
constexpr milliseconds kSpareAfter{ 1200 };
/// A host with a part of a core is held up for so long while many upstreams
/// call.
constexpr milliseconds kHeldUpAfter{ 30 };
/// A host that starts applies what came after its last snapshot before it can
/// serve: at some 30 us an entry, 1,024 take 50 ms of a host with 0.6 of a
/// core, about as long as an election. Some 300 upstreams make 150 entries a
/// second, so that a snapshot of 100 KB is taken every 7 s.
constexpr uint64_t kEntriesPerSnapshot = 1024;

} // namespace

ControlHost::Impl::Impl(asio::io_context& aContext,
                        const Settings& aSettings,
                        const Dialect& aDialect,
                        const Clock& aClock,
                        uint64_t aSeed)
  : executor(aContext.get_executor())
  , settings(aSettings)
  , dialect(aDialect)
  , clock(aClock)
  , seed(aSeed)
  , self{ ToString(aSettings.AdvertisedAddress()) }
  , rangeAssigner({ aSettings.hold, aSettings.heartbeatInterval, kForgetAfter })
  , feed(state)
  , ticker(executor)
  , heartbeatTimer(executor)
  , feedTimer(executor)
  , answerTimer(executor)
  , parkedTimer(executor)
  , freshAt(aClock.Now())
{
}

Result<void>
ControlHost::Impl::Start()
{
  mesh = std::make_unique<net::FrameMesh>(
    executor,
    settings.peers,
    net::FrameMesh::Handlers{
      [this](const auto& aConnection, std::string_view aMessage) {
        OnFrame(aConnection, aMessage);
      },
      [this](const auto& aConnection) {
        feed.Close(aConnection);
        std::erase_if(parked, [&](const auto& aOpen) {
          return aOpen.first == aConnection;
        });
      } });
  if (Result<void> started = mesh->Start(); !started) {
    return started;
  }
  driver = std::make_unique<consensus::Driver>(
    executor, DriverOptions(), DriverCallbacks(), clock, seed);
  if (Result<void> started = driver->Start(); !started) {
    return started;
  }
  calls =
    std::make_unique<HttpServer>(executor,
                                 *settings.calls,
                                 settings.MaxCallConnections(),
                                 [self = weak_from_this()](HttpRequest aCall) {
                                   return HandleWeak(self, std::move(aCall));
                                 });
  if (Result<void> started = calls->Start(); !started) {
    return started;
  }
  if (settings.metrics) {
    metricsServer = std::make_unique<HttpServer>(
      executor,
      *settings.metrics,
      settings.MaxCallConnections(),
      [self = weak_from_this()](HttpRequest aCall) {
        return AnswerMetrics(self, std::move(aCall));
      });
    if (Result<void> started = metricsServer->Start(); !started) {
      return started;
    }
  }
  Tick();
  return {};
}

void
ControlHost::Impl::Stop(std::function<void()> aDone)
{
  stopping = true;
  calls->Stop();
  if (metricsServer) {
    metricsServer->Stop();
  }
  driver->TransferLeadership(
    [self = shared_from_this(), done = std::move(aDone)] {
      self->driver->Stop();
      self->mesh->Stop();
      self->ticker.cancel();
      done();
    });
}

consensus::Driver::Options
ControlHost::Impl::DriverOptions() const
{
  consensus::Driver::Options options;
  options.name = self;
  options.address = settings.AdvertisedAddress();
  options.dataFolder = settings.dataFolder;
  for (const Endpoint& host : settings.seeds) {
    options.controlHosts.push_back({ HostName{ ToString(host) }, host });
  }
  options.replica.openMembership = true;
  options.replica.mayFound = settings.firstStart;
  options.replica.voters = 2 * settings.tolerated + 1;
  options.replica.replaceAfter = kReplaceAfter;
  options.replica.spareAfter = kSpareAfter;
  options.replica.heldUpAfter = kHeldUpAfter;
  options.replica.entriesPerSnapshot = kEntriesPerSnapshot;
  return options;
}

consensus::Driver::Callbacks
ControlHost::Impl::DriverCallbacks()
{
  consensus::Driver::Callbacks callbacks;
  callbacks.send = [this](const HostName& aTo, std::string aBytes) {
    wire::GatewayFrame frame;
    frame.set_consensus(std::move(aBytes));
    if (aTo == self) {
      driver->Receive(self, frame.consensus());
      return;
    }
    mesh->Send(aTo, frame.SerializeAsString());
  };
  callbacks.apply = [this](LogIndex aIndex, std::string_view aBytes) {
    Apply(aIndex, aBytes);
  };
  callbacks.makeSnapshot = [this] { return state.Save().SerializeAsString(); };
  callbacks.loadSnapshot = [this](std::string_view aBytes) {
    wire::GatewayState loaded;
    loaded.ParseFromArray(aBytes.data(), static_cast<int>(aBytes.size()));
    state.Load(loaded);
    feed.Reset();
  };
  callbacks.leadership = [this](std::optional<uint64_t> aTerm) {
    OnLeadership(aTerm);
  };
  return callbacks;
}

void
ControlHost::Impl::Tick()
{
  if (stopping) {
    return;
  }
  ticker.expires_after(RangeAssigner::kTick);
  ticker.async_wait([self = weak_from_this()](auto aError) {
    const auto host = self.lock();
    if (host && !aError) {
      host->OnTick();
      host->Tick();
    }
  });
}

void
ControlHost::Impl::OnTick()
{
  if (LeadsSurely()) {
    ProposeAll(rangeAssigner.Tick(state, clock.Now()));
    ProposeAll(entries.Tick(state, clock.Now()));
    DropControls();
  }
  const Instant now = clock.Now();
  if (now - pingedAt < kPingInterval) {
    return;
  }
  pingedAt = now;
  if (IsFresh()) {
    freshAt = now;
    feed.Ping(ControlHosts(), Duration::zero());
  } else {
    // Told by a close, subscribers go elsewhere at once; by silence alone,
    // each host that is cut off would cost them 700 ms.
    feed.CloseAll();
  }
  if (now - reportedAt >= kReportInterval) {
    reportedAt = now;
    Report();
  }
}

ControlHost::ControlHost(asio::io_context& aContext,
                         const Settings& aSettings,
                         const Dialect& aDialect,
                         const Clock& aClock,
                         uint64_t aSeed)
  : mImpl(std::make_shared<Impl>(aContext, aSettings, aDialect, aClock, aSeed))
{
}

ControlHost::~ControlHost() = default;

Result<void>
ControlHost::Start()
{
  return mImpl->Start();
}

void
ControlHost::Stop(std::function<void()> aDone)
{
  mImpl->Stop(std::move(aDone));
}

} // namespace rattandyke::gateway
