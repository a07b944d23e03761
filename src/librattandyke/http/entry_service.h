/// The callers' server of a host with the entry role.
#pragma once

#include <functional>
#include <memory>

#include <boost/asio/any_io_executor.hpp>

#include <rattandyke/result.h>
#include <rattandyke/types.h>

#include "base/clock.h"
#include "http/limits.h"

namespace rattandyke::agent {
class AgentService;
}

namespace rattandyke::metrics {
class Recorder;
}

namespace rattandyke::net {
class PeerTransport;
}

namespace rattandyke::wire {
class Envelope;
}

namespace rattandyke::http {

class EntryHost;

/// Accepts callers' connections, serves their requests, and the balancer's
/// health page at GET /-/health: 200 while the table lease holds, 503 without
/// it and during a shutdown. Each connection runs on its own strand of the
/// executor. Methods are thread-safe.
class EntryService
{
public:
  struct Options
  {
    Endpoint listen;
    Limits limits;
    /// How long connections are still accepted after a shutdown began, so that
    /// the balancer notices by the health page before it meets a closed port.
    std::chrono::milliseconds drainNotice{ 1000 };
    /// Requests that still run then are broken off.
    std::chrono::milliseconds drainLimit{ 30000 };
  };

  /// @param aExecutor of the pool of workers; must not be a strand.
  /// @param aAgent, aTransport, aMetrics outlive the service.
  /// @param aSeed     random per process start.
  EntryService(const boost::asio::any_io_executor& aExecutor,
               Options aOptions,
               agent::AgentService& aAgent,
               net::PeerTransport& aTransport,
               metrics::Recorder& aMetrics,
               const Clock& aClock,
               uint64_t aSeed);
  /// @param aHost what it needs of its host.
  EntryService(const boost::asio::any_io_executor& aExecutor,
               Options aOptions,
               std::unique_ptr<EntryHost> aHost,
               const Clock& aClock,
               uint64_t aSeed);
  ~EntryService();

  /// @return Code::AddressInUse if the address is taken.
  Result<void> Start();

  /// Takes a credit_answer; others are ignored. Only posts.
  void Handle(const wire::Envelope& aEnvelope);

  /// Graceful shutdown: the health page says 503 at once; after drainNotice no
  /// connection is accepted any more and idle ones are closed; requests in
  /// flight are finished.
  /// @param aDone called once on the executor, when no connection is left and
  /// every claim is settled, or after drainLimit.
  void Drain(std::function<void()> aDone);

  /// Breaks off everything. The executor must go on running until it has ended
  /// what was pending.
  void Stop();

  /// @return where it listens: the port chosen by the kernel if 0 was asked.
  Endpoint Listening() const;

  /// @return callers' connections that are open.
  size_t Connections() const;

private:
  struct Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace rattandyke::http
