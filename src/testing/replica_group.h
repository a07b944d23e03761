/// Control hosts under a fake clock, with faults at the interfaces.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "consensus/participant.h"

namespace rattandyke::testing {

/// One step of a fault schedule. Hosts are numbered from 0; numbers that are
/// out of range wrap around.
struct FaultStep
{
  enum class Kind
  {
    Run,       // let time pass
    Propose,   // to every host that believes it leads
    Cut,       // nothing from host reaches other
    Heal,      // all cuts end
    Pause,     // host runs no code; its messages wait
    Resume,    // all paused hosts go on
    Crash,     // host loses what it did not sync
    Restart,   // all crashed hosts start again
    LoseDisk,  // host crashes and starts empty; skipped if that could lose data
    Transfer,  // leaders hand over
    Lossy,     // from now on messages are lost, repeated and delayed
    Reliable,  // no more
    FillDisk,  // host's disk takes no writes
    FreeDisks, // all disks take writes again
    PowerLoss  // all hosts crash and start again
  };
  static constexpr int kKinds = 15;
  Kind kind = Kind::Run;
  uint8_t host = 0;
  uint8_t other = 0;
  std::chrono::milliseconds time{ 0 };
};

/// What a run of a group showed.
struct GroupReport
{
  /// The first breach of what must always hold; empty if there was none.
  std::string violation;
  uint64_t acknowledged = 0;
  uint64_t acknowledgedLost = 0;
  /// Most leaders that any one term had.
  uint64_t leadersPerTermMax = 0;
  uint64_t elections = 0;
  uint64_t committed = 0;
  uint64_t messages = 0;
  uint64_t bytes = 0;
  uint64_t syncs = 0;
};

/// A group whose every run repeats exactly from its seed. Each host has its own
/// clock offset, so that an instant of one host used at another shows.
class ReplicaGroup
{
public:
  struct Options
  {
    size_t hosts = 3;
    uint64_t seed = 1;
    consensus::ReplicaOptions replica;
    /// Count bytes of messages; costs time.
    bool countBytes = false;
    size_t payloadBytes = 0;
    Duration delayMin = std::chrono::microseconds{ 300 };
    Duration delayMax = std::chrono::microseconds{ 700 };
    Duration syncMin = std::chrono::milliseconds{ 1 };
    Duration syncMax = std::chrono::milliseconds{ 4 };
  };

  explicit ReplicaGroup(Options aOptions);
  ~ReplicaGroup();

  void Execute(const FaultStep& aStep);
  void RunFor(Duration aTime);

  /// Ends all faults and runs until every host holds every acknowledged
  /// proposal, and until the group is at its full number.
  /// @return false, with a violation noted, if it does not get there.
  bool Settle();

  /// Proposes to every host that believes it leads.
  /// @param aCount proposals that arrive together.
  /// @return whether there was one.
  bool Propose(size_t aCount = 1);

  /// Forgets the counts of messages, bytes and syncs.
  void ResetCounts();

  /// @return the host that is ready to lead with the newest term.
  std::optional<size_t> Leader() const;

  const consensus::Participant& Host(size_t aHost) const;

  /// @return virtual time since the start.
  Duration Elapsed() const;

  /// @return when the newest proposal was acknowledged.
  Duration LastAcknowledgement() const;

  GroupReport Report() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace rattandyke::testing
