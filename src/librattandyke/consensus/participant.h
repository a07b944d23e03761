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
    /// Every control host of the settings, this one too.
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
  void OnHello(const wire::ConsensusMessage& aMessage, Instant aNow);
  void StepReplica(const Event& aEvent, Instant aNow);
  void StepFounding(const Founding::Event& aEvent, Instant aNow);
  void KeepMembership(Instant aNow);

  const HostName mName;
  Replica mReplica;
  Founding mFounding;
  Repair mRepair;
  std::vector<Effect> mEffects;
};

} // namespace rattandyke::consensus
