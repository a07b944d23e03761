#include "consensus/repair.h"

#include <algorithm>

namespace rattandyke::consensus {

namespace {

/// A newcomer repeats its hello several times within this.
constexpr Duration kNewcomerForgotten = std::chrono::seconds{ 1 };

bool
IsCaughtUp(const MemberStatus& aLearner, const GroupStatus& aStatus)
{
  return !aLearner.voter && aLearner.active && aLearner.match.value > 0 &&
         aLearner.match >= aStatus.commitIndex;
}

bool
HasVoter(const GroupStatus& aStatus, const HostName& aName)
{
  return std::any_of(
    aStatus.members.begin(), aStatus.members.end(), [&](const auto& aMember) {
      return aMember.voter && aMember.member.name == aName;
    });
}

/// Whether a replacement of the host's old identity is under way.
bool
HasLearner(const GroupStatus& aStatus, const HostName& aName)
{
  return std::any_of(
    aStatus.members.begin(), aStatus.members.end(), [&](const auto& aMember) {
      return !aMember.voter && aMember.active && aMember.member.name == aName;
    });
}

size_t
CountVoters(const GroupStatus& aStatus)
{
  return std::count_if(aStatus.members.begin(),
                       aStatus.members.end(),
                       [](const auto& aMember) { return aMember.voter; });
}

/// Whether the voters that answer now would be a majority if aChanged voted, or
/// did not vote any more. A change that they could not commit would take effect
/// all the same and stop the group.
bool
LeavesMajority(const GroupStatus& aStatus, HostIdentity aChanged)
{
  size_t voters = 0;
  size_t active = 0;
  for (const MemberStatus& member : aStatus.members) {
    const bool votes = member.voter != (member.identity == aChanged);
    voters += votes ? 1 : 0;
    active += votes && member.active ? 1 : 0;
  }
  return active > voters / 2;
}

} // namespace

Repair::Repair(Options aOptions)
  : mOptions(std::move(aOptions))
{
}

void
Repair::HeardNewcomer(const Member& aMember,
                      HostIdentity aIdentity,
                      Instant aNow)
{
  mNewcomers[aMember.name] = { aMember, aIdentity, aNow };
}

std::optional<MembershipChange>
Repair::Decide(const GroupStatus& aStatus, Instant aNow) const
{
  if (auto change = RemoveReplaced(aStatus, aNow)) {
    return change;
  }
  if (auto change = RemoveExcess(aStatus, aNow)) {
    return change;
  }
  if (auto change = PromoteIfWanted(aStatus, aNow)) {
    return change;
  }
  return AddNewcomer(aStatus, aNow);
}

bool
Repair::IsSilent(const MemberStatus& aMember,
                 Duration aTime,
                 Instant aNow) const
{
  return !aMember.active && aNow - aMember.heardAt >= aTime;
}

size_t
Repair::VotersWanted() const
{
  if (mOptions.openMembership) {
    return mOptions.voters;
  }
  const size_t hosts = mOptions.controlHosts.size();
  return mOptions.voters == 0 ? hosts : std::min(hosts, mOptions.voters);
}

bool
Repair::IsSpare(const MemberStatus& aMember, const GroupStatus& aStatus) const
{
  const HostName& name = aMember.member.name;
  return IsCaughtUp(aMember, aStatus) && IsWanted(name) &&
         !HasVoter(aStatus, name);
}

bool
Repair::IsWanted(const HostName& aName) const
{
  return mOptions.openMembership || std::any_of(mOptions.controlHosts.begin(),
                                                mOptions.controlHosts.end(),
                                                [&](const Member& aMember) {
                                                  return aMember.name == aName;
                                                });
}

std::optional<MembershipChange>
Repair::RemoveReplaced(const GroupStatus& aStatus, Instant aNow) const
{
  for (const MemberStatus& old : aStatus.members) {
    const bool replaced =
      std::any_of(aStatus.members.begin(),
                  aStatus.members.end(),
                  [&](const MemberStatus& aMember) {
                    const bool ready = old.voter
                                         ? IsCaughtUp(aMember, aStatus) ||
                                             (aMember.voter && aMember.active)
                                         : aMember.active;
                    return aMember.identity != old.identity &&
                           aMember.member.name == old.member.name && ready;
                  });
    const bool affordable = !old.voter || LeavesMajority(aStatus, old.identity);
    if (replaced && affordable && IsSilent(old, mOptions.replaceAfter, aNow)) {
      return RemoveMember{ old.identity };
    }
  }
  return std::nullopt;
}

std::optional<MembershipChange>
Repair::RemoveExcess(const GroupStatus& aStatus, Instant aNow) const
{
  if (mOptions.voters == 0 || CountVoters(aStatus) <= VotersWanted()) {
    return std::nullopt;
  }
  const MemberStatus* excess = nullptr;
  for (const MemberStatus& member : aStatus.members) {
    const bool mayGo = member.voter && member.identity != aStatus.identity &&
                       LeavesMajority(aStatus, member.identity);
    if (mayGo && IsSilent(member, mOptions.spareAfter, aNow)) {
      return RemoveMember{ member.identity };
    }
    excess = mayGo ? &member : excess;
  }
  // The silent one came back meanwhile: any other may be a spare again.
  if (excess == nullptr) {
    return std::nullopt;
  }
  return RemoveMember{ excess->identity };
}

std::optional<MembershipChange>
Repair::PromoteIfWanted(const GroupStatus& aStatus, Instant aNow) const
{
  const size_t voters = CountVoters(aStatus);
  const bool silent = std::any_of(
    aStatus.members.begin(), aStatus.members.end(), [&](const auto& aMember) {
      return aMember.voter && IsSilent(aMember, mOptions.spareAfter, aNow) &&
             !HasLearner(aStatus, aMember.member.name);
    });
  if (voters > VotersWanted() || (voters == VotersWanted() && !silent)) {
    return std::nullopt;
  }
  for (const MemberStatus& learner : aStatus.members) {
    if (IsSpare(learner, aStatus) &&
        LeavesMajority(aStatus, learner.identity)) {
      return PromoteLearner{ learner.identity };
    }
  }
  return std::nullopt;
}

std::optional<MembershipChange>
Repair::AddNewcomer(const GroupStatus& aStatus, Instant aNow) const
{
  for (const auto& [name, newcomer] : mNewcomers) {
    const Member& host = newcomer.member;
    if (!IsWanted(name) || aNow - newcomer.heardAt >= kNewcomerForgotten) {
      continue;
    }
    const HostIdentity identity = newcomer.identity;
    const bool hindered = std::any_of(
      aStatus.members.begin(), aStatus.members.end(), [&](const auto& aMember) {
        return aMember.identity == identity ||
               (aMember.member.name == host.name &&
                !IsSilent(aMember, mOptions.replaceAfter, aNow));
      });
    if (!hindered) {
      return AddLearner{ host, identity };
    }
  }
  return std::nullopt;
}

} // namespace rattandyke::consensus
