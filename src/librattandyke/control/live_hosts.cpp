#include "control/live_hosts.h"

#include <algorithm>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace rattandyke::control {

namespace {

/// @return the digest of all texts before aText, and aText.
uint64_t
Extend(uint64_t aDigest, std::string_view aText)
{
  return XXH3_64bits_withSeed(aText.data(), aText.size(), aDigest);
}

uint64_t
DigestOf(const wire::HostList& aList)
{
  uint64_t digest = static_cast<uint64_t>(aList.entries_size());
  for (const std::string& name : aList.entries()) {
    digest = Extend(digest, name);
  }
  for (const std::string& address : aList.upstream_addresses()) {
    digest = Extend(digest, address);
  }
  // 0 says that a host holds no list.
  return std::max<uint64_t>(digest, 1);
}

bool
IsListed(const HostLeases& aLeases, const HostLease& aLease, Instant aNow)
{
  return !aLease.leaving && aLeases.MayLive(aLease, aNow);
}

/// Whether aHosts are just those to be listed. Asked on every tick, so it
/// compares in place.
bool
AreListed(const std::set<HostSession>& aHosts,
          const HostLeases& aLeases,
          Instant aNow)
{
  auto next = aHosts.begin();
  for (const auto& [session, lease] : aLeases.All()) {
    if (!IsListed(aLeases, lease, aNow)) {
      continue;
    }
    if (next == aHosts.end() || *next != session) {
      return false;
    }
    ++next;
  }
  return next == aHosts.end();
}

} // namespace

void
LiveHosts::Refresh(const HostLeases& aLeases, Instant aNow)
{
  if (mList.digest() != 0 && AreListed(mHosts, aLeases, aNow)) {
    return;
  }
  mHosts.clear();
  for (const auto& [session, lease] : aLeases.All()) {
    if (IsListed(aLeases, lease, aNow)) {
      mHosts.insert(mHosts.end(), session);
    }
  }
  mList.Clear();
  for (const HostSession& session : mHosts) {
    const HostLease& lease = *aLeases.Find(session);
    if (lease.entry) {
      mList.add_entries(session.host.value);
    }
    if (!lease.upstreamAddress.empty()) {
      mList.add_upstream_addresses(lease.upstreamAddress);
    }
  }
  mList.set_digest(DigestOf(mList));
}

bool
LiveHosts::Covers(const HostLease& aHost) const
{
  return mList.digest() != 0 &&
         mHosts.contains(aHost.session) == !aHost.leaving;
}

void
LiveHosts::AddTo(wire::HeartbeatReply& aReply, uint64_t aKnownDigest) const
{
  if (mList.digest() != aKnownDigest) {
    *aReply.mutable_hosts() = mList;
  }
}

} // namespace rattandyke::control
