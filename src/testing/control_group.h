/// A control group whose agreement is a model, and whose State and Coordinator
/// are the product's.
#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <vector>

#include "control/coordinator.h"
#include "control/state.h"
#include "testing/control_network.h"

namespace rattandyke::testing {

/// Agreement as the replicated log promises it: one order of commands; a vote
/// only by a host that heard no leader for the least election timeout; a
/// leader's command commits while a majority answers it, and may commit or
/// vanish when it does not. Not thread-safe.
class ControlGroup
{
public:
  struct Member
  {
    Node* node = nullptr;
    std::unique_ptr<control::State> state;
    std::unique_ptr<control::Coordinator> coordinator;
    /// Commands of the log that are on its disk, and applied.
    size_t stored = 0;
    size_t applied = 0;
    /// By its own clock.
    Instant heardLeader{};
    Duration patience{};
    /// The term in which it believes to lead.
    std::optional<uint64_t> leads;
    std::optional<Instant> contact;
  };

  using SendReply = std::function<void(Member&, wire::HeartbeatReply)>;

  ControlGroup(ControlNetwork& aNetwork,
               control::LeaseOptions aOptions,
               std::vector<Node*> aNodes,
               SendReply aSend);

  /// Begins its timers.
  void Start();

  /// A member's process starts again with what is on its disk.
  void Restart(size_t aMember);

  /// A heartbeat comes in at a member.
  void Receive(size_t aMember, const wire::Heartbeat& aHeartbeat);

  /// Appends a command as a leader would; lost if there is none.
  void Submit(const wire::Command& aCommand);

  /// @return the member that leads, or nothing.
  std::optional<size_t> Leader() const { return mLeader; }
  Member& At(size_t aMember) { return mMembers[aMember]; }
  size_t Size() const { return mMembers.size(); }
  size_t LogSize() const { return mLog.size(); }

private:
  struct Pending
  {
    uint64_t term = 0;
    size_t proposer = 0;
    uint64_t id = 0;
    wire::Command command;
    /// Members that may have it on disk.
    std::vector<bool> sent;
    Instant due{};
  };

  void Beat();
  void BeatLeader(Member& aLeader, size_t aIndex);
  void Commit();
  void Append(Pending aPending);
  void CatchUp(size_t aMember);
  void Elect();
  bool CanWin(size_t aMember) const;
  void Win(size_t aMember);
  void StepDown(Member& aMember);
  void ArmTick(size_t aMember);
  void Step(size_t aMember, const control::Event& aEvent);
  size_t Majority() const { return mMembers.size() / 2 + 1; }
  WallTime Wall() const;

  ControlNetwork& mNetwork;
  control::LeaseOptions mOptions;
  SendReply mSend;
  std::vector<Member> mMembers;
  std::vector<wire::Command> mLog;
  std::deque<Pending> mPending;
  std::optional<size_t> mLeader;
  uint64_t mTerm = 0;
};

} // namespace rattandyke::testing
