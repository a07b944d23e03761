#include "server/service_options.h"

namespace rattandyke::server {

namespace {

/// Where a control host's peers reach it; the own one is known best by its
/// listener.
Endpoint
PeerAddress(const config::Settings& aSettings,
            const HostName& aName,
            const Endpoint& aOwn)
{
  for (const config::PeerHost& peer : aSettings.peers) {
    if (peer.name == aName) {
      return peer.address;
    }
  }
  return Advertised(aSettings, aOwn);
}

} // namespace

Endpoint
Advertised(const config::Settings& aSettings, const Endpoint& aListener)
{
  if (config::IsAnyAddress(aListener) && aSettings.host.advertised) {
    return { aSettings.host.advertised->address, aListener.port };
  }
  return aListener;
}

net::CurveKeys
CurveKeysOf(const config::Settings& aSettings)
{
  const config::CurveSettings& curve = aSettings.curve;
  return { curve.publicKey, curve.secretKey, curve.peersPublicKey };
}

control::ControlService::Options
ControlOptions(const config::Settings& aSettings, const Endpoint& aPeers)
{
  control::ControlService::Options options;
  options.name = aSettings.host.name;
  options.dataCentre = aSettings.host.dataCentre;
  options.dataFolder = std::filesystem::absolute(aSettings.host.dataFolder);
  for (const HostName& name : aSettings.control.hosts) {
    options.controlHosts.push_back(
      { name, PeerAddress(aSettings, name, aPeers) });
  }
  options.leases.hostLease = aSettings.leases.hostLease;
  options.leases.upstreamLease = aSettings.leases.upstreamLease;
  options.leases.electionTimeoutMin = aSettings.control.electionTimeout;
  return options;
}

agent::AgentService::Options
AgentOptions(const config::Settings& aSettings,
             const Addresses& aAddresses,
             uint64_t aSession,
             uint64_t aLogIdentity)
{
  agent::AgentService::Options options;
  options.name = aSettings.host.name;
  options.session = aSession;
  options.dataCentre = aSettings.host.dataCentre;
  options.peer = Advertised(aSettings, aAddresses.peers);
  options.admin = Advertised(aSettings, aAddresses.admin);
  options.upstreamPort = Advertised(aSettings, aAddresses.upstreams);
  options.entry = aSettings.host.entry;
  options.logIdentity = aLogIdentity;
  for (const HostName& name : aSettings.control.hosts) {
    options.controlHosts.push_back(
      { name, PeerAddress(aSettings, name, aAddresses.peers) });
  }
  const config::LeaseSettings& leases = aSettings.leases;
  options.leases.heartbeatInterval = leases.heartbeat;
  options.leases.hostLease = leases.hostLease;
  options.leases.upstreamLease = leases.upstreamLease;
  options.leases.announceInterval = leases.announceInterval;
  options.leases.leaderTimeout = leases.leaderTimeout;
  return options;
}

http::EntryService::Options
EntryOptions(const config::Settings& aSettings)
{
  const config::LimitSettings& from = aSettings.limits;
  http::EntryService::Options options;
  options.listen = aSettings.listen.callers;
  options.drainNotice = from.drainNotice;
  options.drainLimit = from.shutdownGrace;
  http::Limits& limits = options.limits;
  limits.maxHeaderBytes = static_cast<uint32_t>(from.headerBytes);
  limits.maxBodyBytes = from.bodyBytes;
  limits.maxConnections = static_cast<uint32_t>(from.connections);
  limits.maxReplayBytes = from.replayBytes;
  limits.maxStoredAnswerBytes = from.storedAnswerBytes;
  limits.maxIdlePerUpstream = static_cast<uint32_t>(from.idlePerUpstream);
  limits.headTime = from.readTimeout;
  limits.idleTime = from.idleTimeout;
  limits.callerStall = from.stallTimeout;
  limits.answerStall = from.answerStallTimeout;
  limits.connectTime = from.connectTimeout;
  return options;
}

admin::AdminServer::Options
AdminServerOptions(const config::Settings& aSettings)
{
  const config::LimitSettings& limits = aSettings.limits;
  admin::AdminServer::Options options;
  options.listen = aSettings.listen.admin;
  options.headerBytes = limits.headerBytes;
  options.bodyBytes = limits.adminBodyBytes;
  options.connections = limits.adminConnections;
  options.connectionsPerPeer = limits.adminConnectionsPerPeer;
  options.readTimeout = limits.readTimeout;
  options.writeTimeout = limits.stallTimeout;
  options.idleTimeout = limits.idleTimeout;
  return options;
}

admin::AdminApi::Options
AdminApiOptions(const config::Settings& aSettings)
{
  return { aSettings.tokens, aSettings.limits.callTimeout };
}

} // namespace rattandyke::server
