#include "agent/host_agent.h"

#include <algorithm>

namespace rattandyke::agent {

namespace {

/// Heartbeats that are remembered; an answer to an older one is of no use,
/// since its lease would be over.
constexpr size_t kMostUnanswered = 64;

/// Without a known leader heartbeats go out this much more often, since each
/// one asks another host.
constexpr int kSearchRate = 2;

} // namespace

HostAgent::HostAgent(Options aOptions, Random aRandom)
  : mOptions(std::move(aOptions))
  , mNextControlHost(mOptions.controlHosts.empty()
                       ? 0
                       : aRandom() % mOptions.controlHosts.size())
  , mTable(std::make_shared<const routing::RoutingTable>())
{
}

HostAgent::Effects
HostAgent::Step(const HostAgentEvent& aEvent, Instant aNow)
{
  Effects effects;
  std::visit([&](const auto& aKind) { On(aKind, aNow, effects); }, aEvent);
  return effects;
}

void
HostAgent::On(const HeartbeatTimer& /*aEvent*/, Instant aNow, Effects& aEffects)
{
  if (aNow < mNextHeartbeat || mOptions.controlHosts.empty()) {
    return;
  }
  if (mLeader && aNow - mLeaderHeard >= mOptions.leaderTimeout) {
    mLeader.reset();
  }
  Send(aNow, aEffects);
}

void
HostAgent::On(const HeartbeatReplied& aEvent, Instant aNow, Effects& aEffects)
{
  const wire::HeartbeatReply& reply = aEvent.reply;
  const auto sent = mSent.find(reply.sequence());
  // Replies to an earlier life of this host, and late ones: the lease they
  // would give began before one that is already held. The newest one may come
  // again with a newer table, when the leader does not wait for a heartbeat.
  if (reply.host() != mOptions.name.value ||
      reply.session() != mOptions.session || sent == mSent.end() ||
      reply.sequence() < mAnswered) {
    return;
  }
  if (!reply.granted()) {
    aEffects.emplace_back(ControlHeard{});
    Redirected(aEvent, aNow, aEffects);
    return;
  }
  // A leader that was replaced but does not know it yet may still answer. Its
  // table is old; following it would hide the new leader's changes.
  if (reply.term() < mTerm) {
    return;
  }
  Granted(reply, sent->second, aNow, aEffects);
}

void
HostAgent::On(const LeaveRequested& /*aEvent*/, Instant aNow, Effects& aEffects)
{
  if (mLeaving) {
    return;
  }
  mLeaving = true;
  mLeavingSince = mSequence + 1;
  if (!mOptions.controlHosts.empty()) {
    Send(aNow, aEffects);
  }
}

void
HostAgent::Granted(const wire::HeartbeatReply& aReply,
                   Instant aSent,
                   Instant aNow,
                   Effects& aEffects)
{
  mTerm = aReply.term();
  mAnswered = aReply.sequence();
  mSent.erase(mSent.begin(), mSent.lower_bound(mAnswered));
  Follow(aReply.leader(), aNow);
  mLeaderHeard = aNow;

  // A host that was cut off and returns holds an old table. Were its lease
  // extended before the table is replaced, it would renew upstreams that were
  // given up for lost and whose keys belong to others by now.
  if (!TakeUpdate(aReply, aEffects)) {
    SendEarly(aNow, aEffects);
    return;
  }
  LeaseExtended extended;
  extended.sequence = mAnswered;
  extended.leaseUntil = aSent + std::chrono::milliseconds(aReply.lease_ms());
  aEffects.emplace_back(extended);
  TakeHosts(aReply, aEffects);

  if (mLeaving && mAnswered >= mLeavingSince && !mLeaveAcknowledged) {
    mLeaveAcknowledged = true;
    aEffects.emplace_back(LeaveAcknowledged{});
  }
}

void
HostAgent::Redirected(const HeartbeatReplied& aEvent,
                      Instant aNow,
                      Effects& aEffects)
{
  const HostName hint{ aEvent.reply.leader() };
  if (hint.value.empty() && mLeader == aEvent.from) {
    mLeader.reset();
  }
  if (hint.value.empty() || hint == aEvent.from || hint == mLeader ||
      aEvent.reply.term() < mTerm) {
    return;
  }
  Follow(hint.value, aNow);
  SendEarly(aNow, aEffects);
}

void
HostAgent::SendEarly(Instant aNow, Effects& aEffects)
{
  // Two hosts that each take the other for the leader would bounce a heartbeat
  // between them as fast as the network allows.
  if (aNow < mNextEarly) {
    return;
  }
  mNextEarly = aNow + mOptions.heartbeatInterval / kSearchRate;
  Send(aNow, aEffects);
}

bool
HostAgent::TakeUpdate(const wire::HeartbeatReply& aReply, Effects& aEffects)
{
  if (!aReply.has_update()) {
    // An empty deployment has no table to send.
    return !mNeedsCompleteTable || mTable->Version().value == 0;
  }
  const wire::TableUpdate& update = aReply.update();
  const TableVersion to{ update.to_version() };
  if (to <= mTable->Version() && !mNeedsCompleteTable) {
    return true;
  }
  TableReplaced replaced;
  replaced.table = mTable->Apply(update, &replaced.touched);
  if (!replaced.table) {
    mNeedsCompleteTable = true;
    return false;
  }
  mNeedsCompleteTable = false;
  mTable = replaced.table;
  aEffects.emplace_back(std::move(replaced));
  return true;
}

void
HostAgent::TakeHosts(const wire::HeartbeatReply& aReply, Effects& aEffects)
{
  // A reply without a list says that the one held when the heartbeat was sent
  // is right. A newer one may have come since; that one stays.
  if (!aReply.has_hosts() || aReply.hosts().digest() == mHostsDigest) {
    return;
  }
  const wire::HostList& list = aReply.hosts();
  mHostsDigest = list.digest();
  HostsListed listed;
  for (const std::string& name : list.entries()) {
    listed.entries.push_back({ name });
  }
  listed.upstreamAddresses.assign(list.upstream_addresses().begin(),
                                  list.upstream_addresses().end());
  aEffects.emplace_back(std::move(listed));
}

void
HostAgent::Follow(const std::string& aLeader, Instant aNow)
{
  if (mLeader && mLeader->value == aLeader) {
    return;
  }
  mLeader = HostName{ aLeader };
  mLeaderHeard = aNow;
}

void
HostAgent::Send(Instant aNow, Effects& aEffects)
{
  SendHeartbeat heartbeat;
  heartbeat.toLeader = mLeader.has_value();
  heartbeat.to = mLeader ? *mLeader : NextTarget();
  heartbeat.sequence = ++mSequence;
  heartbeat.tableVersion =
    mNeedsCompleteTable ? TableVersion{} : mTable->Version();
  heartbeat.leaving = mLeaving;
  heartbeat.hostsDigest = mHostsDigest;
  mSent.emplace(mSequence, aNow);
  if (mSent.size() > kMostUnanswered) {
    mSent.erase(mSent.begin());
  }
  mNextHeartbeat =
    aNow + mOptions.heartbeatInterval / (mLeader ? 1 : kSearchRate);
  aEffects.emplace_back(std::move(heartbeat));
}

HostName
HostAgent::NextTarget()
{
  const HostName& target =
    mOptions.controlHosts[mNextControlHost % mOptions.controlHosts.size()];
  ++mNextControlHost;
  return target;
}

} // namespace rattandyke::agent
