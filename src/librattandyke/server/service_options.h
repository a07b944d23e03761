/// Options of the services of a host, from its settings.
#pragma once

#include "admin/api.h"
#include "admin/server.h"
#include "agent/agent_service.h"
#include "config/settings.h"
#include "control/control_service.h"
#include "http/entry_service.h"
#include "net/peer_transport.h"

namespace rattandyke::server {

/// Where a host's listeners really are: a port 0 in settings is replaced by the
/// one that the kernel gave.
struct Addresses
{
  Endpoint callers;
  Endpoint upstreams;
  Endpoint admin;
  Endpoint peers;
};

/// @return the address as other hosts reach it: a listener on all interfaces
/// is told by the IP of this host's own line in [hosts].
Endpoint Advertised(const config::Settings& aSettings,
                    const Endpoint& aListener);

net::CurveKeys CurveKeysOf(const config::Settings& aSettings);

control::ControlService::Options ControlOptions(
  const config::Settings& aSettings,
  const Endpoint& aPeers);

/// @param aLogIdentity 0 without the control role.
agent::AgentService::Options AgentOptions(const config::Settings& aSettings,
                                          const Addresses& aAddresses,
                                          uint64_t aSession,
                                          uint64_t aLogIdentity);

http::EntryService::Options EntryOptions(const config::Settings& aSettings);

admin::AdminServer::Options AdminServerOptions(
  const config::Settings& aSettings);

admin::AdminApi::Options AdminApiOptions(const config::Settings& aSettings);

} // namespace rattandyke::server
