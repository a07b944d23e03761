/// What must hold of a replicated log, checked against every host's view.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "consensus/replica.h"

namespace rattandyke::testing {

/// Remembers what all hosts of a group showed so far, and notes the first
/// contradiction.
class LogInvariants
{
public:
  /// @param aLease how long after a leader's contact with a majority no other
  /// may be elected: the control part's leases rest on it.
  explicit LogInvariants(Duration aLease)
    : mLease(aLease)
  {
  }

  /// Checks a host after a step: leaders of a term, committed entries, and the
  /// leader's claim of a majority's contact.
  /// @param aNow       time of the group's clock.
  /// @param aHostClock what the host's own clock is ahead by.
  void Observe(const consensus::Replica& aReplica,
               Instant aNow,
               Duration aHostClock);

  /// Checks the command that a host applies as its aPosition-th.
  void Applied(size_t aPosition, LogIndex aIndex, const std::string& aPayload);

  void Acknowledged(LogIndex aIndex);

  /// A leader's owner was told that it leads no more.
  void StoodDown(HostIdentity aIdentity);

  /// @return acknowledged commands that are not among the first aCount applied.
  uint64_t LostIfOnly(size_t aCount) const;

  void Violate(const std::string& aWhat);
  const std::string& Violation() const { return mViolation; }
  uint64_t AcknowledgedCount() const { return mAcknowledged.size(); }
  uint64_t AppliedCount() const { return mApplied.size(); }
  uint64_t LeadersPerTermMax() const;
  uint64_t Elections() const { return mLeaders.size(); }

  /// @return the newest configuration that some host knows to be committed.
  const wire::Configuration& CommittedMembers() const { return mMembers; }

private:
  struct TermRecord
  {
    std::vector<uint64_t> identities;
    Instant electedAt{};
    Instant contact{};
  };

  struct Command
  {
    LogIndex index;
    std::string payload;
  };

  void ObserveLeader(const consensus::Replica& aReplica,
                     Instant aNow,
                     Duration aHostClock);
  void ObserveContact(uint64_t aTerm, Instant aContact);
  void ObserveCommitted(const consensus::Replica& aReplica);
  void CheckCommitted(const wire::LogEntry& aEntry);

  const Duration mLease;
  std::map<uint64_t, TermRecord> mLeaders;
  std::vector<wire::LogEntry> mCommitted;
  std::map<uint64_t, uint64_t> mChecked;
  std::vector<Command> mApplied;
  std::vector<LogIndex> mAcknowledged;
  wire::Configuration mMembers;
  std::string mViolation;
};

} // namespace rattandyke::testing
