/// Moves slots and hot keys between upstreams: release, wait, grant.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>

#include <rattandyke/placement.h>
#include <rattandyke/types.h>

#include "control/host_leases.h"
#include "control/proposals.h"
#include "control/registrar.h"
#include "control/state.h"
#include "control/upstream_leases.h"

namespace rattandyke::control {

/// Not thread-safe.
class Mover
{
public:
  /// @param aState, aHosts, aLeases, aRegistrar, aProposals outlive it.
  Mover(LeaseOptions aOptions,
        const State& aState,
        const HostLeases& aHosts,
        const UpstreamLeases& aLeases,
        Registrar& aRegistrar,
        Proposals& aProposals);

  void Begin(Instant aElected);

  /// An upstream of the service was lost.
  void NoteLost(const std::string& aService, Instant aNow);

  /// The wall clock, for the age of upstreams only.
  void SetWall(WallTime aWall) { mWall = aWall; }

  /// Proposes releases and grants.
  void Step(Instant aNow);

private:
  /// What is kept of a service between steps.
  struct Service
  {
    uint64_t recordsChanged = 0;
    std::optional<records::ServiceRecord> record;
    std::unique_ptr<placement::Policy> policy;
    uint64_t plannedChange = 0;
    Instant plannedAt{};
    /// When an upstream was first there while no slot had had an owner.
    std::optional<Instant> firstUpstreamAt;
    /// When releases, and registrations of those who have to let go, were
    /// seen, by their log indices.
    std::map<uint64_t, Instant> seenAt;
    /// Losses a short while ago.
    std::vector<Instant> losses;
    Instant holdUntil{};
    /// Upstreams that did not let go of a slot: none is asked of them until.
    std::map<std::string, Instant> restUntil;
  };

  struct Free
  {
    const Holding* holding = nullptr;
    wire::SlotFence fence;
  };

  /// What is decided for one service in one step.
  struct Decision
  {
    wire::GrantSlots grants;
    std::map<wire::MoveReason, wire::ReleaseSlots> releases;
    wire::RemoveHotKeys removals;
  };

  void StepService(const ServiceAssignments& aOwners,
                   Service& aService,
                   Instant aNow);
  void Refresh(const ServiceAssignments& aOwners, Service& aService);
  void NoteReleases(const ServiceAssignments& aOwners,
                    const std::vector<Free>& aFree,
                    Service& aService,
                    Instant aNow);
  /// @return when the change was seen; long ago if it is forgotten.
  static Instant SeenAt(const Service& aService, uint64_t aChange);
  std::vector<Free> FreeOf(const ServiceAssignments& aOwners) const;
  bool IsSettling(const ServiceAssignments& aOwners,
                  Service& aService,
                  Instant aNow) const;
  bool HasLetGo(const ServiceAssignments& aOwners,
                const Holding& aHolding,
                Instant aNow);
  void HandleOverdue(const ServiceAssignments& aOwners,
                     Service& aService,
                     const std::vector<Free>& aFree,
                     Instant aNow,
                     Decision& aDecision);
  void Propose(const std::string& aService, Decision aDecision);

  placement::Input MakeInput(const ServiceAssignments& aOwners,
                             const Service& aService,
                             Instant aNow) const;
  bool IsPlanDue(const ServiceAssignments& aOwners,
                 const Service& aService,
                 bool aCanGrant,
                 Instant aNow) const;
  void Decide(const ServiceAssignments& aOwners,
              Service& aService,
              const std::vector<Free>& aFree,
              Instant aNow,
              Decision& aDecision);

  LeaseOptions mOptions;
  const State& mState;
  const HostLeases& mHosts;
  const UpstreamLeases& mLeases;
  Registrar& mRegistrar;
  Proposals& mProposals;
  Instant mElected{};
  WallTime mWall{};
  std::map<std::string, Service> mServices;
  /// Of this step: whether a life's lease is over.
  std::map<UpstreamLife, bool> mOver;
  TableVersion mQuiesced;
};

} // namespace rattandyke::control
