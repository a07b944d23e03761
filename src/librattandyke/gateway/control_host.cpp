// Start, stop and periodic work of a control host.
#include "gateway/control_host.h"

#include "base/endpoint.h"
#include "gateway/control_host_impl.h"

namespace rattandyke::gateway {

namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

/// Interval of pings, which confirm to entry hosts that they are up to date. An
/// entry host turns to another host after 700 ms without a ping.
constexpr milliseconds kPingInterval{ 200 };
/// Shortest time between two reports to the leader. Checked at each ping.
constexpr milliseconds kReportInterval{ 100 };
/// An instance that owns no keys is removed after this time without a
/// heartbeat. Otherwise entry hosts would keep trying to send requests to it.
constexpr std::chrono::seconds kForgetAfter{ 30 };
/// Time until a lost voter is replaced, and until a spare becomes a voter.
/// Together with the time that a host needs to join, both stay well below the
/// few seconds after which more hosts may be lost.
constexpr milliseconds kReplaceAfter{ 900 };
constexpr milliseconds kSpareAfter{ 1200 };
/// Time without a tick after which calls that arrived meanwhile may be old:
/// their senders turn to another host after a second.
constexpr milliseconds kLongPause{ 500 };
/// Time to read what arrived during a pause.
constexpr milliseconds kDoubtAfterPause{ 500 };
/// A host whose election timer fires late by this much was delayed itself. A
/// host with a fraction of a core is delayed that long while many upstreams
/// call.
constexpr milliseconds kHeldUpAfter{ 30 };
/// Number of log entries after which a snapshot is taken. A host that starts
/// must apply the entries after its last snapshot before it can serve. At about
/// 30 us per entry, 1,024 entries take 50 ms on a host with 0.6 of a core,
/// about as long as an election. About 300 upstreams cause 150 entries per
/// second, so a snapshot of 100 KB is taken every 7 s.
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
  , requestIds(aSeed)
  , heartbeatBatchTimer(executor)
  , feedTimer(executor)
  , answerBatchTimer(executor)
  , deferredTimer(executor)
  , upToDateAt(aClock.Now())
  , pauses(kLongPause, kDoubtAfterPause)
  , crashWatch(aSettings.heartbeatInterval)
  , freshness(aClock.Now())
  , slots(MakeSlots())
  , slotTimer(executor)
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
        feed.Unsubscribe(aConnection);
        std::erase_if(deferredOpens, [&](const auto& aOpen) {
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
  callServer =
    std::make_unique<HttpServer>(executor,
                                 *settings.calls,
                                 settings.MaxCallConnections(),
                                 [self = weak_from_this()](HttpRequest aCall) {
                                   return ServeCall(self, std::move(aCall));
                                 });
  if (Result<void> started = callServer->Start(); !started) {
    return started;
  }
  if (settings.metrics) {
    metricsServer = std::make_unique<HttpServer>(
      executor,
      *settings.metrics,
      settings.MaxCallConnections(),
      [self = weak_from_this()](HttpRequest aCall) {
        return ServeMetrics(self, std::move(aCall));
      });
    if (Result<void> started = metricsServer->Start(); !started) {
      return started;
    }
  }
  Tick();
  if (slots) {
    ScheduleSlotTick();
  }
  return {};
}

void
ControlHost::Impl::Stop(std::function<void()> aDone)
{
  stopping = true;
  if (slots) {
    SendHostReport(); // It states that this host allocates no longer.
  }
  callServer->Stop();
  if (metricsServer) {
    metricsServer->Stop();
  }
  driver->TransferLeadership(
    [self = shared_from_this(), done = std::move(aDone)] {
      self->driver->Stop();
      self->mesh->Stop();
      self->ticker.cancel();
      self->slotTimer.cancel();
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
  callbacks.makeSnapshot = [this] {
    wire::GatewayState saved = state.Save();
    *saved.mutable_rests() = rests.Save(clock.Now(), clock.Wall());
    return saved.SerializeAsString();
  };
  callbacks.loadSnapshot = [this](std::string_view aBytes) -> Result<void> {
    wire::GatewayState loaded;
    if (!loaded.ParseFromArray(aBytes.data(),
                               static_cast<int>(aBytes.size()))) {
      metrics.Increment("unreadable", "what=\"snapshot\"");
      return Fail(Code::StorageCorrupt,
                  "A snapshot of " + std::to_string(aBytes.size()) +
                    " bytes can't be read.");
    }
    state.Load(loaded);
    RecordRests(loaded.rests());
    feed.OnStateReplaced();
    if (slots) {
      slots->StateChanged(state);
    }
    return {};
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
  pauses.Tick(clock.Now());
  if (HoldsLeaderLease()) {
    RecordOwnerDemand();
    ProposeInBackground(rangeAssigner.Tick(state, clock.Now()));
    ProposeInBackground(entryRegistry.Tick(state, clock.Now()));
    ProposeControlHostRemovals();
    WithdrawSilentAllocators();
    ProposeCrashes();
  }
  ForwardRests();
  const Instant now = clock.Now();
  if (now - lastPingAt < kPingInterval) {
    return;
  }
  lastPingAt = now;
  rests.RemoveEnded(now);
  isCaughtUp = IsUpToDate();
  if (isCaughtUp) {
    upToDateAt = now;
    feed.Ping(ControlHosts(), Duration::zero());
  } else {
    // Closed connections make subscribers turn to another host at once.
    // Waiting for the ping timeout would cost them 700 ms for each partitioned
    // host that they try.
    feed.CloseAll();
  }
  if (now - lastReportAt >= kReportInterval) {
    lastReportAt = now;
    SendHostReport();
  }
  SendDemandDigest();
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
