/// Shares out the slots of the upstreams whose home this host is.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include <boost/asio/any_io_executor.hpp>

#include "base/clock.h"
#include "routing/routing_table.h"
#include "wire/peer.pb.h"

namespace rattandyke::http {

/// Runs one entry::CreditBroker for each upstream whose home this host is by
/// its routing table, and answers the entries' credit requests. Others' it
/// leaves without an answer: the entry then goes by its own limit until its
/// table names the home. All state lives on one strand; methods are
/// thread-safe.
class CreditHome
{
public:
  /// What it needs of its host; each thread-safe.
  struct Sources
  {
    std::function<std::shared_ptr<const routing::RoutingTable>()> table;
    /// As agent::AgentService::LiveHosts.
    std::function<std::vector<HostName>()> liveHosts;
    /// As net::PeerTransport::Send.
    std::function<void(const HostName&, wire::Envelope)> send;
  };

  CreditHome(const boost::asio::any_io_executor& aExecutor,
             HostName aName,
             Sources aSources,
             const Clock& aClock);
  ~CreditHome();

  /// Begins to look for entries that are gone.
  void Start();

  /// Ends the timers, on the strand.
  void Stop();

  /// Takes a credit_request; others are ignored. Only posts.
  void Handle(const wire::Envelope& aEnvelope);

private:
  struct Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace rattandyke::http
