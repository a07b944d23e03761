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
    aStatus.members.begin(), aStatus.members.end(), [&](const auto& member) {
      return member.voter && member.member.name == aName;
    });
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
Repair::HeardNewcomer(const HostName& aName,
                      HostIdentity aIdentity,
                      Instant aNow)
{
  mNewcomers[aName] = { aIdentity, aNow };
}

std::optional<MembershipChange>
Repair::Decide(const GroupStatus& aStatus, Instant aNow) const
{
  if (auto change = RemoveReplaced(aStatus, aNow)) {
    return change;
  }
  if (auto change = PromoteNewcomer(aStatus)) {
    return change;
  }
  return AddNewcomer(aStatus, aNow);
}

bool
Repair::IsSilent(const MemberStatus& aMember, Instant aNow) const
{
  return !aMember.active && aNow - aMember.heardAt >= mOptions.replaceAfter;
}

bool
Repair::IsWanted(const HostName& aName) const
{
  return std::any_of(
    mOptions.controlHosts.begin(),
    mOptions.controlHosts.end(),
    [&](const Member& member) { return member.name == aName; });
}

std::optional<MembershipChange>
Repair::RemoveReplaced(const GroupStatus& aStatus, Instant aNow) const
{
  for (const MemberStatus& old : aStatus.members) {
    const bool replaced =
      std::any_of(aStatus.members.begin(),
                  aStatus.members.end(),
                  [&](const MemberStatus& member) {
                    const bool ready = old.voter
                                         ? IsCaughtUp(member, aStatus) ||
                                             (member.voter && member.active)
                                         : member.active;
                    return member.identity != old.identity &&
                           member.member.name == old.member.name && ready;
                  });
    const bool affordable = !old.voter || LeavesMajority(aStatus, old.identity);
    if (replaced && affordable && IsSilent(old, aNow)) {
      return RemoveMember{ old.identity };
    }
  }
  return std::nullopt;
}

std::optional<MembershipChange>
Repair::PromoteNewcomer(const GroupStatus& aStatus) const
{
  for (const MemberStatus& learner : aStatus.members) {
    const HostName& name = learner.member.name;
    if (IsCaughtUp(learner, aStatus) && IsWanted(name) &&
        !HasVoter(aStatus, name) && LeavesMajority(aStatus, learner.identity)) {
      return PromoteLearner{ learner.identity };
    }
  }
  return std::nullopt;
}

std::optional<MembershipChange>
Repair::AddNewcomer(const GroupStatus& aStatus, Instant aNow) const
{
  for (const Member& host : mOptions.controlHosts) {
    const auto newcomer = mNewcomers.find(host.name);
    if (newcomer == mNewcomers.end() ||
        aNow - newcomer->second.heardAt >= kNewcomerForgotten) {
      continue;
    }
    const HostIdentity identity = newcomer->second.identity;
    const bool hindered = std::any_of(
      aStatus.members.begin(), aStatus.members.end(), [&](const auto& member) {
        return member.identity == identity ||
               (member.member.name == host.name && !IsSilent(member, aNow));
      });
    if (!hindered) {
      return AddLearner{ host, identity };
    }
  }
  return std::nullopt;
}

} // namespace rattandyke::consensus
