/// Decisions of a host towards the leader: whom to send heartbeats, which
/// replies count, how long the table lease holds. No I/O.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <rattandyke/types.h>

#include "base/clock.h"
#include "routing/routing_table.h"
#include "wire/peer.pb.h"

namespace rattandyke::agent {

/// What HostAgent is told.
struct HeartbeatTimer
{};
struct HeartbeatReplied
{
  HostName from;
  wire::HeartbeatReply reply;
};
struct LeaveRequested
{};
using HostAgentEvent =
  std::variant<HeartbeatTimer, HeartbeatReplied, LeaveRequested>;

/// What HostAgent asks for. The caller adds reports and load to a heartbeat.
struct SendHeartbeat
{
  HostName to;
  uint64_t sequence = 0;
  /// Whether `to` is believed to lead. What is told once only, as evidence,
  /// should wait for such a heartbeat.
  bool toLeader = false;
  /// 0 asks for a complete table.
  TableVersion tableVersion;
  bool leaving = false;
  /// Of the list of hosts that is held; 0 without one.
  uint64_t hostsDigest = 0;
};
struct TableReplaced
{
  std::shared_ptr<const routing::RoutingTable> table;
  routing::ChangedGrants touched;
};
/// The leader answered; the host lease holds until leaseUntil.
struct LeaseExtended
{
  uint64_t sequence = 0;
  Instant leaseUntil;
};
/// The list of live hosts changed.
struct HostsListed
{
  std::vector<HostName> entries;
  /// Where upstreams can announce themselves, this host included.
  std::vector<std::string> upstreamAddresses;
};
/// A control host answered that it does not lead: this host is not cut off.
struct ControlHeard
{};
struct LeaveAcknowledged
{};
using HostAgentEffect = std::variant<SendHeartbeat,
                                     TableReplaced,
                                     LeaseExtended,
                                     HostsListed,
                                     ControlHeard,
                                     LeaveAcknowledged>;

/// State machine; not thread-safe.
class HostAgent
{
public:
  using Effects = std::vector<HostAgentEffect>;

  struct Options
  {
    HostName name;
    uint64_t session = 0;
    std::vector<HostName> controlHosts;
    Duration heartbeatInterval = std::chrono::milliseconds(100);
    Duration leaderTimeout = std::chrono::milliseconds(250);
  };

  /// @param aRandom picks the control host that is tried first.
  HostAgent(Options aOptions, Random aRandom);

  Effects Step(const HostAgentEvent& aEvent, Instant aNow);

  /// @return when HeartbeatTimer is due.
  Instant NextTimer() const { return mNextHeartbeat; }

  /// @return who is believed to lead.
  const std::optional<HostName>& Leader() const { return mLeader; }

  const std::shared_ptr<const routing::RoutingTable>& Table() const
  {
    return mTable;
  }

private:
  void On(const HeartbeatTimer& aEvent, Instant aNow, Effects& aEffects);
  void On(const HeartbeatReplied& aEvent, Instant aNow, Effects& aEffects);
  void On(const LeaveRequested& aEvent, Instant aNow, Effects& aEffects);
  void Granted(const wire::HeartbeatReply& aReply,
               Instant aSent,
               Instant aNow,
               Effects& aEffects);
  void Redirected(const HeartbeatReplied& aEvent,
                  Instant aNow,
                  Effects& aEffects);
  /// Sends outside the regular interval, but not much more often.
  void SendEarly(Instant aNow, Effects& aEffects);
  /// @return whether the table is now at least as new as the leader's.
  bool TakeUpdate(const wire::HeartbeatReply& aReply, Effects& aEffects);
  void TakeHosts(const wire::HeartbeatReply& aReply, Effects& aEffects);
  void Follow(const std::string& aLeader, Instant aNow);
  void Send(Instant aNow, Effects& aEffects);
  HostName NextTarget();

  Options mOptions;
  size_t mNextControlHost;
  std::shared_ptr<const routing::RoutingTable> mTable;
  bool mNeedsCompleteTable = true;
  std::optional<HostName> mLeader;
  /// When mLeader was last granted a heartbeat, or was first believed in.
  Instant mLeaderHeard;
  uint64_t mTerm = 0;
  uint64_t mSequence = 0;
  uint64_t mAnswered = 0;
  /// Sending times of heartbeats that may still be answered.
  std::map<uint64_t, Instant> mSent;
  Instant mNextHeartbeat;
  Instant mNextEarly;
  /// Of the newest list of hosts that was taken.
  uint64_t mHostsDigest = 0;
  bool mLeaving = false;
  uint64_t mLeavingSince = 0;
  bool mLeaveAcknowledged = false;
};

} // namespace rattandyke::agent
