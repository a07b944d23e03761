/// The leader's decisions: leases, losses, grants.
#pragma once

#include <memory>
#include <string>
#include <variant>
#include <vector>

#include <rattandyke/types.h>

#include "control/host_leases.h"
#include "control/lease_options.h"
#include "control/proposals.h"
#include "control/state.h"
#include "wire/peer.pb.h"

namespace rattandyke::control {

/// Event: this host leads, and State holds all that was committed before.
struct BecameLeader
{
  uint64_t term = 0;
  /// Any instant after the election: earlier leaders gave no lease later.
  Instant elected{};
};

/// Event: this host no longer leads, or is about to hand leadership over.
struct SteppedDown
{};

/// Event: a heartbeat came in.
struct HeartbeatReceived
{
  wire::Heartbeat heartbeat;
};

/// Event: a command was applied to State.
struct Applied
{
  bool tableChanged = false;
};

/// Event: a proposal was applied, or given up.
struct ProposalDone
{
  uint64_t id = 0;
};

/// Event: a majority has answered a message that was sent at that instant.
struct QuorumConfirmed
{
  Instant sentAt{};
};

/// Event: time has passed; expected about every 10 ms.
struct Tick
{
  WallTime wall{};
};

using Event = std::variant<BecameLeader,
                           SteppedDown,
                           HeartbeatReceived,
                           Applied,
                           ProposalDone,
                           QuorumConfirmed,
                           Tick>;

/// Effect: send a reply to its host.
struct Reply
{
  wire::HeartbeatReply reply;
};

/// Effect: tell the operator.
struct Note
{
  std::string text;
};

using Effect = std::variant<Reply, Propose, Note>;

/// State machine without I/O; steps on a host that does not lead have no
/// effect. Not thread-safe.
class Coordinator
{
public:
  /// @param aName this host.
  /// @param aState outlives it; changed between steps only, each change
  /// followed by an Applied event.
  Coordinator(HostName aName, LeaseOptions aOptions, const State& aState);
  ~Coordinator();

  std::vector<Effect> Step(const Event& aEvent, Instant aNow);

  bool IsLeader() const;

  /// Whether leases may be given at aNow.
  bool IsQuorumFresh(Instant aNow) const;

  /// For listings: the hosts heard.
  const HostLeases& Hosts() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace rattandyke::control
