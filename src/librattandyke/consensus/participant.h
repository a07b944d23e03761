/// Everything one control host decides about the group and its log.
#pragma once

#include <vector>

#include "consensus/founding.h"
#include "consensus/repair.h"
#include "consensus/replica.h"

namespace rattandyke::consensus {

/// A Replica together with how the group is founded and repaired. The driver,
/// the tests and the benchmarks run this same code. Does no I/O. Not
/// thread-safe.
class Participant
{
public:
  struct Options
  {
    HostName name;
    HostIdentity identity;
    /// Where peers reach this host.
    Endpoint address;
    /// Every control host of the settings, this one too; with open membership
    /// those that found the group.
    std::vector<Member> controlHosts;
    ReplicaOptions replica;
  };

  Participant(const Options& aOptions,
              Restored aRestored,
              uint64_t aSeed,
              Instant aNow);

  /// Proposals that the participant makes itself have id 0.
  /// @return what to do, in this order.
  std::vector<Effect> Step(const Event& aEvent, Instant aNow);

  /// @return when the next Tick is due.
  Instant NextDeadline() const;

  const Replica& Log() const { return mReplica; }

private:
  Member SenderOf(const wire::ConsensusMessage& aMessage) const;
  void OnHello(const wire::ConsensusMessage& aMessage, Instant aNow);
  void StepReplica(const Event& aEvent, Instant aNow);
  void StepFounding(const Founding::Event& aEvent, Instant aNow);
  void KeepMembership(Instant aNow);

  const HostName mName;
  const std::vector<Member> mControlHosts;
  Replica mReplica;
  Founding mFounding;
  Repair mRepair;
  std::vector<Effect> mEffects;
};

} // namespace rattandyke::consensus
