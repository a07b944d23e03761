/// Upstreams of each service and who owns which slot and hot key.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include <rattandyke/types.h>

#include "control/change_index.h"
#include "control/claim_table.h"
#include "wire/control.pb.h"

namespace rattandyke::control {

/// Position of an upstream in its service; kept while anything refers to it.
using UpstreamId = Strong<struct UpstreamIdTag, uint32_t>;
inline constexpr UpstreamId kNobody{ UINT32_MAX };

/// One back end that announced itself.
struct UpstreamEntry
{
  /// As in the routing table; its name is empty once it is forgotten.
  wire::Upstream view;
  uint64_t homeSession = 0;
  /// Since it registered, its lease was kept by more than one home process.
  bool movedHome = false;
  bool drainedByOperator = false;
  bool drainingAnnounced = false;
  /// Incarnations that a newer one replaced; refused for good.
  std::vector<uint64_t> superseded;
  /// What it owns.
  std::vector<uint32_t> slots;
  std::set<std::string> hotKeys;
  WallTime lostAt{};
  uint64_t changed = 0;

  bool IsActive() const { return view.state() == wire::UPSTREAM_STATE_ACTIVE; }
  bool IsLost() const { return view.state() == wire::UPSTREAM_STATE_LOST; }
  bool IsForgotten() const { return view.name().empty(); }
};

/// Who owns one slot or hot key.
struct Holding
{
  UpstreamId owner = kNobody;
  /// Log index of the grant, or of the release if there is no owner.
  uint64_t fence = 0;
  /// Last owner that was released, and the incarnation it had.
  UpstreamId previous = kNobody;
  uint64_t previousIncarnation = 0;
  wire::MoveReason reason = wire::MOVE_REASON_UNSPECIFIED;
  WallTime since{};
  uint64_t changed = 0;
  /// Hot keys only: the exception was taken back.
  bool removed = false;
};

/// Assignments of one service. Read-only to all but Assignments.
struct ServiceAssignments
{
  std::string name;
  std::vector<UpstreamEntry> upstreams;
  std::unordered_map<std::string, UpstreamId> idByName;
  std::vector<Holding> slots;
  std::map<std::string, Holding> hotKeys;
  /// Slots and hot keys without an owner.
  std::set<uint32_t> freeSlots;
  std::set<std::string> freeHotKeys;
  /// Positions of forgotten upstreams, to be used again.
  std::set<uint32_t> forgotten;
  /// Newest change that placement may have to answer.
  uint64_t changed = 0;

  /// @return the upstream, or null.
  const UpstreamEntry* Find(const std::string& aUpstream) const;
  const UpstreamEntry* At(UpstreamId aId) const;
};

/// What Assignments::Forget did.
struct Forgotten
{
  /// Tables may still hold a forgotten upstream and have to be replaced.
  bool upstreams = false;
  /// Newest change of a hot key that is forgotten; tables older than that have
  /// to be replaced.
  uint64_t newestHotKey = 0;
};

/// Part of State: deterministic. A command that no longer fits what is in
/// force has no effect: it was decided on an older state. Not thread-safe.
class Assignments
{
public:
  /// Told of each item that changed.
  using Mark = std::function<void(ChangedItem)>;

  explicit Assignments(Mark aMark);

  /// Makes the service's slots, without owners. They are made once.
  void EnsureSlots(const std::string& aService, uint32_t aSlots);

  /// A new incarnation replaces the older one, whose slots are released.
  void Register(LogIndex aIndex,
                const wire::UpstreamRegistration& aRegistration,
                WallTime aNow);
  /// @return whether it is lost by this command.
  bool SetLost(LogIndex aIndex, const wire::UpstreamRef& aRef, WallTime aNow);
  void Drain(LogIndex aIndex, const wire::DrainUpstream& aDrain);
  void Release(LogIndex aIndex,
               const wire::ReleaseSlots& aRelease,
               WallTime aNow);
  void Grant(LogIndex aIndex, const wire::GrantSlots& aGrant, WallTime aNow);
  void RemoveHotKeys(LogIndex aIndex, const wire::RemoveHotKeys& aRemove);
  /// Releases everything of a service whose record was deleted.
  void ReleaseAll(LogIndex aIndex, const std::string& aService, WallTime aNow);

  /// Forgets upstreams that were lost before aLostBefore. One that was the last
  /// owner of a free slot stays: whoever grants the slot has to know whom to
  /// wait for, and a wall clock that jumped must not hide it.
  Forgotten Forget(WallTime aLostBefore);

  /// @return the service's assignments, or null.
  const ServiceAssignments* Find(const std::string& aService) const;
  const UpstreamEntry* FindUpstream(const std::string& aService,
                                    const std::string& aUpstream) const;
  const std::map<std::string, ServiceAssignments>& All() const
  {
    return mServices;
  }

  wire::SlotOwner SlotOwnerOf(const ServiceAssignments& aService,
                              uint32_t aSlot) const;
  wire::SlotOwner KeyOwnerOf(const ServiceAssignments& aService,
                             const std::string& aKey) const;

  void Save(wire::StateSnapshot& aSnapshot) const;
  void Load(const wire::StateSnapshot& aSnapshot);

private:
  ServiceAssignments& Service(const std::string& aName);
  ServiceAssignments* FindMutable(const std::string& aName);
  UpstreamId NewId(ServiceAssignments& aService);
  UpstreamEntry* FindCurrent(const wire::UpstreamRef& aRef);
  void MarkUpstream(LogIndex aIndex,
                    ServiceAssignments& aService,
                    UpstreamEntry& aEntry);
  void FreeSlot(LogIndex aIndex,
                ServiceAssignments& aService,
                uint32_t aSlot,
                wire::MoveReason aReason,
                WallTime aNow);
  void FreeHotKey(LogIndex aIndex,
                  ServiceAssignments& aService,
                  const std::string& aKey,
                  wire::MoveReason aReason,
                  WallTime aNow);
  void FreeAllOf(LogIndex aIndex,
                 ServiceAssignments& aService,
                 UpstreamId aOwner,
                 WallTime aNow);
  void ReleaseHotKey(LogIndex aIndex,
                     ServiceAssignments& aService,
                     const wire::SlotFence& aKey,
                     wire::MoveReason aReason,
                     WallTime aNow);
  void GrantOne(LogIndex aIndex,
                ServiceAssignments& aService,
                const wire::SlotGrant& aGrant,
                WallTime aNow);

  Mark mMark;
  std::map<std::string, ServiceAssignments> mServices;
};

} // namespace rattandyke::control
