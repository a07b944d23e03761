/// The list of live hosts as the leader tells it to every host.
#pragma once

#include <set>

#include <rattandyke/types.h>

#include "control/host_leases.h"
#include "wire/peer.pb.h"

namespace rattandyke::control {

/// Keeps the list and its digest, so that a reply to a host that holds the list
/// already costs neither bytes nor work that grow with the number of hosts.
/// Not thread-safe.
class LiveHosts
{
public:
  /// Takes the hosts that are live at aNow and do not leave.
  void Refresh(const HostLeases& aLeases, Instant aNow);

  /// @return whether the list was made with this state of the host.
  bool Covers(const HostLease& aHost) const;

  /// Adds the list to a reply, unless aKnownDigest says that the host holds it.
  void AddTo(wire::HeartbeatReply& aReply, uint64_t aKnownDigest) const;

private:
  std::set<HostSession> mHosts;
  wire::HostList mList;
};

} // namespace rattandyke::control
