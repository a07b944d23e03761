/// Parts of ReplicaGroup: its simulated hosts, and what is done to them.
#pragma once

#include <queue>
#include <set>

#include "testing/disk_model.h"
#include "testing/invariants.h"
#include "testing/replica_group.h"

namespace rattandyke::testing {

struct ReplicaGroup::Impl
{
  /// An event that reaches a host at some time.
  struct Occurrence
  {
    Instant time;
    uint64_t sequence = 0;
    size_t host = 0;
    uint64_t life = 0;
    std::shared_ptr<consensus::Event> event;
    bool operator<(const Occurrence& aOther) const
    {
      return std::tie(aOther.time, aOther.sequence) < std::tie(time, sequence);
    }
  };

  struct SimulatedHost
  {
    HostName name;
    uint64_t identity = 0;
    std::unique_ptr<consensus::Participant> participant;
    DiskModel disk;
    Duration clock{};
    /// Rises with each start, so that events of an earlier life are dropped.
    uint64_t life = 0;
    bool paused = false;
    bool syncing = false;
    bool full = false;
    bool toldFull = false;
    std::vector<std::shared_ptr<consensus::Event>> waiting;
    std::optional<consensus::SnapshotTaken> taken;
    size_t applied = 0;
    wire::Configuration members;
  };

  explicit Impl(Options aOptions);

  // Simulated hosts: replica_group_hosts.cpp.

  size_t IndexOf(const SimulatedHost& aHost) const;
  /// @return a random time from aMin to aMax.
  Duration Between(Duration aMin, Duration aMax);
  /// @return true with a chance of so many percent.
  bool Percent(int aChance);
  void Start(SimulatedHost& aHost);
  void Crash(SimulatedHost& aHost);
  void Schedule(size_t aHost,
                Duration aDelay,
                std::shared_ptr<consensus::Event> aEvent);
  void Deliver(SimulatedHost& aHost, std::shared_ptr<consensus::Event> aEvent);
  void Step(SimulatedHost& aHost, const consensus::Event& aEvent);
  void StartSync(SimulatedHost& aHost);
  static std::shared_ptr<consensus::Event> NewStorageChanged(bool aWritable);
  void On(SimulatedHost& aHost, const consensus::Send& aEffect);
  void On(SimulatedHost& aHost, const consensus::Persist& aEffect);
  void On(SimulatedHost& aHost, const consensus::Apply& aEffect);
  void On(SimulatedHost& aHost, const consensus::LoadSnapshot& aEffect);
  void On(SimulatedHost& aHost, const consensus::TakeSnapshot& aEffect);
  void On(SimulatedHost& aHost, const consensus::ProposalDone& aEffect);
  void On(SimulatedHost& aHost, const consensus::LeadershipLost& aEffect);
  template<typename Other>
  void On(SimulatedHost&, const Other&)
  {
  }
  static void Load(SimulatedHost& aHost, const std::string& aData);
  void RunFor(Duration aTime);
  /// Runs what is next, if it is due by aEnd.
  /// @return whether there was anything.
  bool RunNext(Instant aEnd);
  void RunOccurrence();

  // Faults, and what must hold after them: replica_group.cpp.

  void Execute(const FaultStep& aStep);
  void CrashAll();
  void LoseDisk(SimulatedHost& aHost);
  /// @return whether every group that some host believes in could afford this
  /// loss.
  bool MayLose(const SimulatedHost& aHost) const;
  static bool Affordable(const wire::Configuration& aMembers,
                         const std::set<uint64_t>& aLeft);
  /// The same of the group with any one spare made a voter: that change may be
  /// under way before the loss is known.
  static bool AffordableWithSpares(const wire::Configuration& aMembers,
                                   const std::set<uint64_t>& aLeft);
  void FreeDisks();
  void Resume();
  void Restart();
  bool Propose(size_t aCount);
  consensus::Propose NewProposals(size_t aCount);
  void Transfer();
  bool IsWhole() const;
  bool Settle();
  std::string Describe() const;
  uint64_t LostAnywhere() const;

  const Options mOptions;
  Random mRandom;
  LogInvariants mInvariants;
  Instant mNow{ std::chrono::seconds{ 1 } };
  std::vector<SimulatedHost> mHosts;
  std::vector<consensus::Member> mMembers;
  std::priority_queue<Occurrence> mQueue;
  std::set<std::pair<size_t, size_t>> mCuts;
  bool mLossy = false;
  uint64_t mSequence = 0;
  uint64_t mLastIdentity = 0;
  uint64_t mLastProposal = 0;
  Instant mAcknowledgedAt{};
  GroupReport mReport;
};

} // namespace rattandyke::testing
