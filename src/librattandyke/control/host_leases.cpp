#include "control/host_leases.h"

#include <algorithm>

namespace rattandyke::control {

HostLeases::HostLeases(LeaseOptions aOptions)
  : mOptions(aOptions)
{
}

void
HostLeases::Begin(Instant aElected)
{
  mElected = aElected;
  mLeases.clear();
}

bool
HostLeases::Note(const wire::Heartbeat& aHeartbeat, Instant aReceived)
{
  const HostSession session{ HostName{ aHeartbeat.host() },
                             aHeartbeat.session() };
  HostLease& lease = mLeases[session];
  if (lease.sequence >= aHeartbeat.sequence() && lease.sequence != 0) {
    return false;
  }
  lease.session = session;
  lease.sequence = aHeartbeat.sequence();
  lease.dataCentre = DataCentre{ aHeartbeat.data_centre() };
  lease.peerAddress = aHeartbeat.peer_address();
  lease.adminAddress = aHeartbeat.admin_address();
  lease.upstreamAddress = aHeartbeat.upstream_address();
  lease.entry = aHeartbeat.entry();
  lease.leaving = aHeartbeat.leaving();
  lease.logIdentity = aHeartbeat.log_identity();
  lease.hostsDigest = aHeartbeat.hosts_digest();
  lease.lastSeen = aReceived;
  lease.updateFrom = { aHeartbeat.table_version() };
  // Versions never go back, whatever a confused host says.
  lease.table = std::max(lease.table, { aHeartbeat.table_version() });
  lease.quiesced = std::max(lease.quiesced, { aHeartbeat.quiesced_version() });
  return true;
}

void
HostLeases::Renew(const HostSession& aSession, Instant aReceived)
{
  HostLease& lease = mLeases.at(aSession);
  lease.heard = std::max(lease.heard, aReceived);
}

const HostLease*
HostLeases::Find(const HostSession& aSession) const
{
  const auto found = mLeases.find(aSession);
  return found == mLeases.end() ? nullptr : &found->second;
}

bool
HostLeases::MayLive(const HostLease& aLease, Instant aNow) const
{
  // The leader before may have heard it until the election.
  const Instant heard = std::max(aLease.heard, mElected);
  return aNow < heard + Lengthened(mOptions.hostLease, mOptions);
}

bool
HostLeases::MayLive(const HostSession& aSession, Instant aNow) const
{
  const HostLease* lease = Find(aSession);
  return lease != nullptr ? MayLive(*lease, aNow) : MayHaveUnknown(aNow);
}

bool
HostLeases::MayHaveUnknown(Instant aNow) const
{
  return aNow < mElected + Lengthened(mOptions.hostLease, mOptions);
}

TableVersion
HostLeases::QuiescedEverywhere(Instant aNow) const
{
  if (MayHaveUnknown(aNow)) {
    return {};
  }
  TableVersion quiesced{ UINT64_MAX };
  for (const auto& [session, lease] : mLeases) {
    if (lease.entry && MayLive(lease, aNow)) {
      quiesced = std::min(quiesced, lease.quiesced);
    }
  }
  return quiesced;
}

void
HostLeases::Forget(Instant aNow, Duration aAge)
{
  std::erase_if(mLeases, [&](const auto& aItem) {
    const HostLease& lease = aItem.second;
    return !MayLive(lease, aNow) && aNow - lease.lastSeen > aAge;
  });
}

} // namespace rattandyke::control
