#include "testing/invariants.h"

#include <algorithm>

namespace rattandyke::testing {

void
LogInvariants::Violate(const std::string& aWhat)
{
  if (mViolation.empty()) {
    mViolation = aWhat;
  }
}

void
LogInvariants::Observe(const consensus::Replica& aReplica,
                       Instant aNow,
                       Duration aHostClock)
{
  if (aReplica.CurrentRole() == consensus::Role::Leader) {
    ObserveLeader(aReplica, aNow, aHostClock);
  }
  ObserveCommitted(aReplica);
}

void
LogInvariants::ObserveLeader(const consensus::Replica& aReplica,
                             Instant aNow,
                             Duration aHostClock)
{
  const uint64_t term = aReplica.CurrentTerm().value;
  const uint64_t identity = aReplica.Identity().value;
  TermRecord& record = mLeaders[term];
  if (record.identities.empty()) {
    record.electedAt = aNow;
    for (const auto& [earlier, leader] : mLeaders) {
      if (earlier < term && leader.contact + mLease > aNow) {
        Violate("a later term began within the lease of an earlier one");
      }
    }
  }
  auto& identities = record.identities;
  if (std::find(identities.begin(), identities.end(), identity) ==
      identities.end()) {
    identities.push_back(identity);
  }
  if (identities.size() > 1) {
    Violate("term " + std::to_string(term) + " has two leaders");
  }
  if (const auto contact = aReplica.QuorumContact(aNow + aHostClock)) {
    ObserveContact(term, *contact - aHostClock);
  }
}

void
LogInvariants::ObserveContact(uint64_t aTerm, Instant aContact)
{
  TermRecord& record = mLeaders[aTerm];
  if (aContact <= record.contact) {
    return;
  }
  record.contact = aContact;
  for (auto later = mLeaders.upper_bound(aTerm); later != mLeaders.end();
       ++later) {
    if (later->second.electedAt < aContact + mLease) {
      Violate("term " + std::to_string(aTerm) +
              " claims a lease that reaches past the start of term " +
              std::to_string(later->first) + " began");
    }
  }
}

void
LogInvariants::ObserveCommitted(const consensus::Replica& aReplica)
{
  uint64_t& checked = mChecked[aReplica.Identity().value];
  const consensus::MemoryLog& log = aReplica.Log();
  // A host that restarted is checked again from its snapshot on.
  checked = std::min(checked, aReplica.CommitIndex().value);
  checked = std::max(checked, log.BaseIndex());
  while (checked < aReplica.CommitIndex().value) {
    ++checked;
    CheckCommitted(log.At(checked));
  }
}

void
LogInvariants::CheckCommitted(const wire::LogEntry& aEntry)
{
  const uint64_t index = aEntry.index();
  if (index > mCommitted.size() + 1) {
    Violate("entry " + std::to_string(index) + " follows a gap");
    return;
  }
  if (index <= mCommitted.size()) {
    const wire::LogEntry& known = mCommitted[index - 1];
    if (known.term() != aEntry.term() || known.payload() != aEntry.payload()) {
      Violate("committed entry " + std::to_string(index) + " changed");
    }
    return;
  }
  mCommitted.push_back(aEntry);
  if (aEntry.kind() == wire::ENTRY_KIND_CONFIGURATION) {
    mMembers.ParseFromString(aEntry.payload());
  }
}

void
LogInvariants::Applied(size_t aPosition,
                       LogIndex aIndex,
                       const std::string& aPayload)
{
  if (aPosition > mApplied.size()) {
    Violate("a host applied a command that nobody committed");
  } else if (aPosition == mApplied.size()) {
    mApplied.push_back({ aIndex, aPayload });
  } else if (mApplied[aPosition].index != aIndex ||
             mApplied[aPosition].payload != aPayload) {
    Violate("hosts applied different commands as number " +
            std::to_string(aPosition));
  }
}

void
LogInvariants::Acknowledged(LogIndex aIndex)
{
  mAcknowledged.push_back(aIndex);
}

void
LogInvariants::StoodDown(HostIdentity aIdentity)
{
  for (auto& [term, record] : mLeaders) {
    if (record.identities.front() == aIdentity.value) {
      record.contact = Instant{};
    }
  }
}

uint64_t
LogInvariants::LostIfOnly(size_t aCount) const
{
  const auto kept = mApplied.begin() + std::min(aCount, mApplied.size());
  return std::count_if(
    mAcknowledged.begin(), mAcknowledged.end(), [&](LogIndex aIndex) {
      return std::none_of(mApplied.begin(), kept, [&](const Command& aCommand) {
        return aCommand.index == aIndex;
      });
    });
}

uint64_t
LogInvariants::LeadersPerTermMax() const
{
  uint64_t most = 0;
  for (const auto& [term, record] : mLeaders) {
    most = std::max<uint64_t>(most, record.identities.size());
  }
  return most;
}

} // namespace rattandyke::testing
