#include "http/entry_service.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include "http/session.h"
#include "log/log.h"
#include "net/listen.h"

namespace rattandyke::http {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// Requests that wait for an owner hear of a new table after so long at most.
constexpr std::chrono::milliseconds kTableInterval{ 5 };
/// Error of the callers' timeouts.
constexpr std::chrono::milliseconds kSweepInterval{ 250 };
constexpr std::chrono::milliseconds kAcceptPause{ 50 };

/// Open connections. Thread-safe; a leaf lock.
class OpenConnections
{
public:
  using Streams = std::unordered_set<std::shared_ptr<CallerStream>>;

  /// @return false if there are too many.
  bool Add(const std::shared_ptr<CallerStream>& aStream, size_t aMost)
  {
    const std::lock_guard lock(mMutex);
    if (mStreams.size() >= aMost) {
      return false;
    }
    mStreams.insert(aStream);
    return true;
  }

  void Remove(const std::shared_ptr<CallerStream>& aStream)
  {
    const std::lock_guard lock(mMutex);
    mStreams.erase(aStream);
  }

  template<typename Each>
  void ForEach(Each&& aEach) const
  {
    const std::lock_guard lock(mMutex);
    for (const auto& stream : mStreams) {
      aEach(*stream);
    }
  }

  size_t Size() const
  {
    const std::lock_guard lock(mMutex);
    return mStreams.size();
  }

private:
  mutable std::mutex mMutex;
  Streams mStreams;
};

} // namespace

/// The acceptor and the timers live on one strand of their own.
struct EntryService::Impl : std::enable_shared_from_this<EntryService::Impl>
{
  Impl(const asio::any_io_executor& aExecutor,
       Options aOptions,
       std::unique_ptr<EntryHost> aHost,
       const Clock& aClock,
       uint64_t aSeed)
    : options(std::move(aOptions))
    , contextOwner(std::make_shared<EntryContext>(aExecutor,
                                                  options.limits,
                                                  std::move(aHost),
                                                  aClock,
                                                  aSeed))
    , context(*contextOwner)
    , strand(asio::make_strand(aExecutor))
    , acceptor(strand)
    , acceptPause(strand)
    , ticker(strand)
    , drainTimer(strand)
  {
  }

  Result<void> Open();
  void Accept();
  void OnAccepted(const error_code& aError, tcp::socket aSocket);
  void Tick();
  void CheckTable();
  void Sweep();
  void Serve(tcp::socket aSocket);
  void StopAccepting();
  void AcceptQueued();
  void CheckDrained();

  const Options options;
  const std::shared_ptr<EntryContext> contextOwner;
  EntryContext& context;
  const asio::any_io_executor strand;
  tcp::acceptor acceptor;
  asio::steady_timer acceptPause;
  asio::steady_timer ticker;
  asio::steady_timer drainTimer;
  OpenConnections connections;
  Endpoint bound;
  std::function<void()> onDrained;
  bool accepting = true;
  bool drainOver = false;
  bool stopped = false;
  TableVersion toldVersion;
  bool toldLease = false;
  Instant nextSweep{};
};

Result<void>
EntryService::Impl::Open()
{
  const auto open = net::Listen(acceptor, options.listen, "callers");
  if (!open) {
    return tl::unexpected(open.error());
  }
  bound = *open;
  return {};
}

void
EntryService::Impl::Accept()
{
  acceptor.async_accept(
    asio::make_strand(context.executor),
    [self = shared_from_this()](const error_code& aError, tcp::socket aSocket) {
      self->OnAccepted(aError, std::move(aSocket));
    });
}

void
EntryService::Impl::OnAccepted(const error_code& aError, tcp::socket aSocket)
{
  if (!acceptor.is_open()) {
    return;
  }
  if (aError) {
    // Out of descriptors, most likely: accepting again at once would spin.
    log::Line(log::Part::Http, log::Severity::Warning)
      << "cannot accept: " << aError.message();
    acceptPause.expires_after(kAcceptPause);
    acceptPause.async_wait([self = shared_from_this()](const error_code& aEnd) {
      if (!aEnd && self->acceptor.is_open()) {
        self->Accept();
      }
    });
    return;
  }
  Serve(std::move(aSocket));
  Accept();
}

void
EntryService::Impl::Serve(tcp::socket aSocket)
{
  const asio::any_io_executor own = aSocket.get_executor();
  const auto stream = std::make_shared<CallerStream>(
    std::move(aSocket), context.limits, context.clock);
  if (!connections.Add(stream, context.limits.maxConnections)) {
    return;
  }
  auto session = std::make_shared<Session>(contextOwner, own, stream);
  asio::co_spawn(
    own,
    session->Run(),
    [self = shared_from_this(), session, stream](const std::exception_ptr&) {
      self->connections.Remove(stream);
    });
}

void
EntryService::Impl::Tick()
{
  ticker.expires_after(kTableInterval);
  ticker.async_wait([self = shared_from_this()](const error_code& aError) {
    if (aError || self->stopped) {
      return;
    }
    self->CheckTable();
    self->Sweep();
    self->CheckDrained();
    self->Tick();
  });
}

void
EntryService::Impl::CheckTable()
{
  const TableVersion version = context.host.Table()->Version();
  const bool lease = context.host.TableLeaseValid(context.clock.Now());
  if (version != toldVersion || lease != toldLease) {
    toldVersion = version;
    toldLease = lease;
    context.waiting.TellAll();
  }
}

void
EntryService::Impl::Sweep()
{
  const Instant now = context.clock.Now();
  if (now < nextSweep) {
    return;
  }
  nextSweep = now + kSweepInterval;
  connections.ForEach([&](CallerStream& aStream) { aStream.CheckExpiry(now); });
  context.pool.Sweep(now);
  context.slots.Sweep(now);
}

void
EntryService::Impl::StopAccepting()
{
  accepting = false;
  AcceptQueued();
  error_code ignored;
  acceptor.close(ignored);
  connections.ForEach([](CallerStream& aStream) { aStream.Leave(); });
  drainTimer.expires_after(options.drainLimit);
  drainTimer.async_wait([self = shared_from_this()](const error_code& aError) {
    if (!aError) {
      self->drainOver = true;
      self->connections.ForEach([](CallerStream& aStream) { aStream.Kill(); });
    }
  });
}

/// Connections that the kernel has taken already: closing the port would reset
/// them, and with them requests that their callers believe sent.
void
EntryService::Impl::AcceptQueued()
{
  error_code error;
  acceptor.non_blocking(true, error);
  while (!error) {
    tcp::socket socket(asio::make_strand(context.executor));
    acceptor.accept(socket, error);
    if (!error) {
      Serve(std::move(socket));
    }
  }
}

void
EntryService::Impl::CheckDrained()
{
  const bool settled = context.openWork == 0 || drainOver;
  if (!accepting && connections.Size() == 0 && settled && onDrained) {
    drainTimer.cancel();
    std::exchange(onDrained, nullptr)();
  }
}

EntryService::EntryService(const asio::any_io_executor& aExecutor,
                           Options aOptions,
                           agent::AgentService& aAgent,
                           net::PeerTransport& aTransport,
                           metrics::Recorder& aMetrics,
                           const Clock& aClock,
                           uint64_t aSeed)
  : EntryService(aExecutor,
                 std::move(aOptions),
                 MakeEntryHost(aAgent, aTransport, aMetrics),
                 aClock,
                 aSeed)
{
}

EntryService::EntryService(const asio::any_io_executor& aExecutor,
                           Options aOptions,
                           std::unique_ptr<EntryHost> aHost,
                           const Clock& aClock,
                           uint64_t aSeed)
  : mImpl(std::make_shared<Impl>(aExecutor,
                                 std::move(aOptions),
                                 std::move(aHost),
                                 aClock,
                                 aSeed))
{
}

EntryService::~EntryService()
{
  Stop();
}

Result<void>
EntryService::Start()
{
  return mImpl->Open().map([this] {
    asio::post(mImpl->strand, [impl = mImpl] {
      impl->Accept();
      impl->Tick();
    });
  });
}

void
EntryService::Handle(const wire::Envelope& aEnvelope)
{
  if (!aEnvelope.has_credit_answer()) {
    return;
  }
  asio::post(mImpl->context.executor,
             [context = mImpl->contextOwner, aEnvelope] {
               context->slots.Handle(HostName{ aEnvelope.from() },
                                     aEnvelope.credit_answer());
             });
}

void
EntryService::Drain(std::function<void()> aDone)
{
  mImpl->context.draining = true;
  asio::post(mImpl->strand, [impl = mImpl, done = std::move(aDone)]() mutable {
    impl->onDrained = std::move(done);
    impl->drainTimer.expires_after(impl->options.drainNotice);
    impl->drainTimer.async_wait([impl](const error_code& aError) {
      if (!aError) {
        impl->StopAccepting();
      }
    });
  });
}

void
EntryService::Stop()
{
  mImpl->context.stopped = true;
  asio::post(mImpl->strand, [impl = mImpl] {
    error_code ignored;
    impl->stopped = true;
    impl->acceptor.close(ignored);
    impl->acceptPause.cancel();
    impl->ticker.cancel();
    impl->drainTimer.cancel();
    impl->connections.ForEach([](CallerStream& aStream) { aStream.Kill(); });
    impl->context.pool.CloseAll();
  });
}

Endpoint
EntryService::Listening() const
{
  return mImpl->bound;
}

size_t
EntryService::Connections() const
{
  return mImpl->connections.Size();
}

} // namespace rattandyke::http
