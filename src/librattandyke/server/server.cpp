#include "server/server.h"

#include <atomic>
#include <csignal>
#include <random>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>

#include "agent/announce_server.h"
#include "base/endpoint.h"
#include "http/credit_home.h"
#include "log/log.h"
#include "server/host_status.h"
#include "server/metrics_service.h"
#include "server/ports.h"
#include "server/worker_pool.h"

namespace rattandyke::server {

namespace {

namespace asio = boost::asio;
using ErrorCode = boost::system::error_code;

/// Threads of agent, control, announcements and operators.
constexpr size_t kCoreThreads = 2;
/// For what is pending when all services have stopped.
constexpr std::chrono::seconds kFinishTime{ 3 };
constexpr int kStoppedAtOnce = 1;

uint64_t
RandomNumber()
{
  std::random_device device;
  const uint64_t number = (uint64_t{ device() } << 32U) | device();
  return number == 0 ? 1 : number;
}

log::Line
Info()
{
  return { log::Part::Server, log::Severity::Info };
}

log::Line
Warning()
{
  return { log::Part::Server, log::Severity::Warning };
}

std::string
Joined(const std::vector<std::string>& aWords)
{
  std::string joined;
  for (const std::string& word : aWords) {
    joined += (joined.empty() ? "" : ", ") + word;
  }
  return joined;
}

} // namespace

struct Server::Impl
{
  Impl(config::Settings aSettings, std::filesystem::path aSettingsFile)
    : settings(std::move(aSettings))
    , settingsFile(std::move(aSettingsFile))
    , session(RandomNumber())
    , core(kCoreThreads)
    , workers(settings.limits.workers)
    , signals(main)
  {
  }

  void Dispatch(const wire::Envelope& aEnvelope)
  {
    switch (aEnvelope.body_case()) {
      case wire::Envelope::kHeartbeat:
      case wire::Envelope::kCallRequest:
      case wire::Envelope::kConsensus:
        if (auto* receiver = controlReceiver.load()) {
          receiver->Handle(aEnvelope);
        }
        return;
      case wire::Envelope::kHeartbeatReply:
      case wire::Envelope::kCallReply:
        if (auto* receiver = agentReceiver.load()) {
          receiver->Handle(aEnvelope);
        }
        return;
      case wire::Envelope::kCreditRequest:
        if (auto* receiver = creditReceiver.load()) {
          receiver->Handle(aEnvelope);
        }
        return;
      case wire::Envelope::kCreditAnswer:
        if (auto* receiver = entryReceiver.load()) {
          receiver->Handle(aEnvelope);
        }
        return;
      default:
        return;
    }
  }

  Result<void> MakeDataFolder() const
  {
    std::error_code error;
    std::filesystem::create_directories(settings.host.dataFolder, error);
    if (error && settings.host.control) {
      return Fail(Code::StorageFailed,
                  settings.host.dataFolder.string() + ": " + error.message());
    }
    return {};
  }

  Result<void> StartTransport()
  {
    transport = std::make_unique<net::PeerTransport>(
      settings.listen.peers,
      settings.host.name,
      session,
      CurveKeysOf(settings),
      [this](const wire::Envelope& aEnvelope) { Dispatch(aEnvelope); });
    Result<void> started = transport->Start();
    if (started) {
      addresses.peers = transport->Listening();
    }
    return started;
  }

  Result<void> StartControl()
  {
    if (!settings.host.control) {
      return {};
    }
    control = std::make_unique<control::ControlService>(
      core.Executor(),
      ControlOptions(settings, addresses.peers),
      *transport,
      clock,
      RandomNumber());
    Result<void> started = control->Start();
    if (started) {
      controlReceiver = control.get();
    }
    return started;
  }

  /// Listeners take their addresses first, since the agent tells them to the
  /// leader.
  Result<void> Listen()
  {
    adminServer = std::make_unique<admin::AdminServer>(
      core.Executor(), AdminServerOptions(settings));
    const Result<Endpoint> bound = adminServer->Bind();
    if (!bound) {
      return tl::unexpected(bound.error());
    }
    addresses.admin = *bound;
    addresses.upstreams = WithPort(settings.listen.upstreams);
    return {};
  }

  Result<void> StartAgent()
  {
    const uint64_t identity = control ? control->Identity().value : 0;
    agent::AgentService::Options options =
      AgentOptions(settings, addresses, session, identity);
    options.onRenewed = [this](Duration aMargin) {
      recorder.RecordLeaseMargin(aMargin);
    };
    agent = std::make_unique<agent::AgentService>(
      core.Executor(), std::move(options), *transport, clock, RandomNumber());
    agentReceiver = agent.get();
    agent->Start();
    metrics = std::make_unique<MetricsService>(core.Executor(),
                                               settings.host.name,
                                               settings.host.control
                                                 ? settings.host.dataFolder
                                                 : std::filesystem::path(),
                                               recorder,
                                               *agent,
                                               clock);
    metrics->Start();
    announceServer = std::make_unique<agent::AnnounceServer>(
      core.Executor(), addresses.upstreams, *agent);
    return announceServer->Start();
  }

  /// Every host, also one without the entry role, can be an upstream's home.
  Result<void> StartCredits()
  {
    for (const config::PeerHost& peer : settings.peers) {
      transport->SetPeer(peer.name, peer.address);
    }
    credits = std::make_unique<http::CreditHome>(
      core.Executor(),
      settings.host.name,
      http::CreditHome::Sources{
        [this] { return agent->Table(); },
        [this] { return agent->LiveHosts(); },
        [this](const HostName& aTo, wire::Envelope aEnvelope) {
          transport->Send(aTo, std::move(aEnvelope));
        } },
      clock);
    credits->Start();
    creditReceiver = credits.get();
    return {};
  }

  Result<void> StartEntry()
  {
    if (!settings.host.entry) {
      return {};
    }
    entry = std::make_unique<http::EntryService>(workers.Executor(),
                                                 EntryOptions(settings),
                                                 *agent,
                                                 *transport,
                                                 recorder,
                                                 clock,
                                                 RandomNumber());
    Result<void> started = entry->Start();
    if (started) {
      entryReceiver = entry.get();
      addresses.callers = entry->Listening();
    }
    return started;
  }

  Result<void> StartAdmin()
  {
    status = std::make_unique<HostStatus>(
      settings,
      addresses,
      StatusSources{ agent.get(), control.get(), entry.get(), metrics.get() },
      clock);
    api = std::make_unique<admin::AdminApi>(
      AdminApiOptions(settings), *agent, *status, clock);
    adminServer->Start(*api);
    return {};
  }

  Result<void> Start()
  {
    Result<void> done = MakeDataFolder();
    for (const auto step : { &Impl::StartTransport,
                             &Impl::StartControl,
                             &Impl::Listen,
                             &Impl::StartAgent,
                             &Impl::StartCredits,
                             &Impl::StartEntry,
                             &Impl::StartAdmin }) {
      if (done) {
        done = (this->*step)();
      }
    }
    if (!done) {
      return done;
    }
    WatchSignals();
    core.Start();
    workers.Start();
    Tell();
    return {};
  }

  void Tell()
  {
    if (!WritePorts(settings.host.dataFolder, addresses)) {
      Warning() << "cannot write ports.json into the data folder";
    }
    Info() << "serves callers on " << ToString(addresses.callers)
           << ", upstreams on " << ToString(addresses.upstreams)
           << ", operators on " << ToString(addresses.admin) << ", hosts on "
           << ToString(addresses.peers);
    if (settings.tokens.empty()) {
      Warning() << "no [tokens]: every operator's call from loopback is "
                   "allowed";
    }
    if (settings.curve.publicKey.empty()) {
      Warning() << "no [curve]: messages between hosts are neither encrypted "
                   "nor authenticated; loopback only";
    }
  }

  void WatchSignals()
  {
    std::signal(SIGPIPE, SIG_IGN);
    for (const int number : { SIGTERM, SIGINT, SIGHUP }) {
      signals.add(number);
    }
    AwaitSignal();
  }

  void AwaitSignal()
  {
    signals.async_wait([this](const ErrorCode& aError, int aNumber) {
      if (aError) {
        return;
      }
      if (aNumber == SIGHUP) {
        Reload();
      } else if (!leaving) {
        BeginShutdown();
      } else {
        StopAtOnce();
      }
      AwaitSignal();
    });
  }

  void Reload()
  {
    if (settingsFile.empty()) {
      Warning() << "SIGHUP: there is no settings file to read";
      return;
    }
    const Result<config::Settings> fresh = config::LoadSettings(settingsFile);
    if (!fresh) {
      Warning() << "SIGHUP: the settings stay as they are: "
                << fresh.error().message;
      return;
    }
    const config::SettingChanges changes = config::Compare(settings, *fresh);
    log::Options options = fresh->LogOptions();
    options.host = settings.host.name;
    options.dataCentre = settings.host.dataCentre;
    log::Configure(options);
    api->ReplaceTokens(fresh->tokens);
    settings.log = fresh->log;
    settings.tokens = fresh->tokens;
    Info() << "SIGHUP: taken over: "
           << (changes.atOnce.empty() ? "nothing" : Joined(changes.atOnce));
    if (!changes.restart.empty()) {
      Warning() << "SIGHUP: in force only after a restart: "
                << Joined(changes.restart);
    }
  }

  /// Runs the next step on the main thread, whichever thread calls.
  std::function<void()> Next(void (Impl::*aStep)())
  {
    return
      [this, aStep] { asio::post(main, [this, aStep] { (this->*aStep)(); }); };
  }

  // The order matters. Requests in flight need the table's lease, so the agent
  // leaves after the last of them; the leader must hear of the leaving, so
  // control goes last.
  void BeginShutdown()
  {
    leaving = true;
    status->SetLeaving();
    Info() << "begins a graceful shutdown";
    if (entry) {
      entry->Drain(Next(&Impl::LeaveGroup));
    } else {
      LeaveGroup();
    }
  }

  void LeaveGroup()
  {
    Info() << "no request in flight, leaves";
    agent->Leave(Next(&Impl::HandOver));
  }

  void HandOver()
  {
    if (control) {
      control->Shutdown(Next(&Impl::EndRun));
    } else {
      EndRun();
    }
  }

  void EndRun() { main.stop(); }

  /// The data folder needs no farewell: what was acknowledged is synced.
  [[noreturn]] static void StopAtOnce()
  {
    Warning() << "second signal, stops at once";
    log::Flush();
    std::_Exit(kStoppedAtOnce);
  }

  void StopServices()
  {
    if (entry) {
      entry->Stop();
    }
    if (adminServer) {
      adminServer->Stop();
    }
    if (announceServer) {
      announceServer->Stop();
    }
    if (metrics) {
      metrics->Stop();
    }
    if (credits) {
      credits->Stop();
    }
    if (agent) {
      agent->Stop();
    }
    // Requests in flight refer to the agent, so the callers' pool ends first.
    const bool callersDone = workers.Finish(kFinishTime);
    const bool coreDone = core.Finish(kFinishTime);
    if (!callersDone || !coreDone) {
      Warning() << "dropped what had not ended in time";
    }
    if (transport) {
      transport->Stop();
    }
  }

  config::Settings settings;
  const std::filesystem::path settingsFile;
  const uint64_t session;
  const SystemClock clock;
  metrics::Recorder recorder;
  Addresses addresses;
  std::atomic<control::ControlService*> controlReceiver{ nullptr };
  std::atomic<agent::AgentService*> agentReceiver{ nullptr };
  std::atomic<http::CreditHome*> creditReceiver{ nullptr };
  std::atomic<http::EntryService*> entryReceiver{ nullptr };

  // Declared before what runs on them, so destroyed after it.
  asio::io_context main;
  WorkerPool core;
  WorkerPool workers;

  std::unique_ptr<net::PeerTransport> transport;
  std::unique_ptr<control::ControlService> control;
  std::unique_ptr<agent::AgentService> agent;
  std::unique_ptr<agent::AnnounceServer> announceServer;
  std::unique_ptr<MetricsService> metrics;
  std::unique_ptr<http::CreditHome> credits;
  std::unique_ptr<http::EntryService> entry;
  std::unique_ptr<HostStatus> status;
  std::unique_ptr<admin::AdminApi> api;
  std::unique_ptr<admin::AdminServer> adminServer;

  asio::signal_set signals;
  bool leaving = false;
};

Server::Server(config::Settings aSettings, std::filesystem::path aSettingsFile)
  : mImpl(
      std::make_unique<Impl>(std::move(aSettings), std::move(aSettingsFile)))
{
}

Server::~Server()
{
  mImpl->StopServices();
}

Result<void>
Server::Start()
{
  return mImpl->Start();
}

void
Server::Run()
{
  const auto guard = asio::make_work_guard(mImpl->main);
  mImpl->main.run();
  Info() << "has shut down";
}

} // namespace rattandyke::server
