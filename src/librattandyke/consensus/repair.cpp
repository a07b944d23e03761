#include "consensus/repair.h"

#include <algorithm>

namespace rattandyke::consensus {

namespace {

/// A newcomer repeats its hello several times within this.
constexpr Duration kNewcomerForgotten = std::chrono::seconds{ 1 };

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
  if (auto change = PromoteReplacement(aStatus, aNow)) {
    return change;
  }
  return AddNewcomer(aStatus, aNow);
}

bool
Repair::IsSilent(const MemberStatus& aMember, Instant aNow) const
{
  return aMember.identity.value != 0 && !aMember.active &&
         aNow - aMember.heardAt >= mOptions.replaceAfter;
}

bool
Repair::HasLiveNamesake(const GroupStatus& aStatus,
                        const HostName& aName,
                        HostIdentity aBut,
                        Instant aNow) const
{
  return std::any_of(aStatus.members.begin(),
                     aStatus.members.end(),
                     [&](const MemberStatus& member) {
                       return member.member.name == aName &&
                              member.identity != aBut &&
                              !IsSilent(member, aNow);
                     });
}

std::optional<MembershipChange>
Repair::RemoveReplaced(const GroupStatus& aStatus, Instant aNow) const
{
  for (const MemberStatus& old : aStatus.members) {
    const bool replaced =
      std::any_of(aStatus.members.begin(),
                  aStatus.members.end(),
                  [&](const MemberStatus& member) {
                    // A voter may go once its namesake votes; a learner once
                    // there is one.
                    return member.member.name == old.member.name &&
                           member.identity != old.identity && member.active &&
                           (member.voter || !old.voter);
                  });
    if (replaced && IsSilent(old, aNow)) {
      return RemoveMember{ old.identity };
    }
  }
  return std::nullopt;
}

std::optional<MembershipChange>
Repair::PromoteReplacement(const GroupStatus& aStatus, Instant aNow) const
{
  for (const MemberStatus& learner : aStatus.members) {
    const bool replaces =
      std::any_of(aStatus.members.begin(),
                  aStatus.members.end(),
                  [&](const MemberStatus& member) {
                    return member.voter &&
                           member.member.name == learner.member.name &&
                           IsSilent(member, aNow);
                  });
    const bool caughtUp =
      learner.match.value > 0 && learner.match >= aStatus.commitIndex;
    if (!learner.voter && learner.active && replaces && caughtUp) {
      return PromoteLearner{ learner.identity };
    }
  }
  return std::nullopt;
}

std::optional<MembershipChange>
Repair::AddNewcomer(const GroupStatus& aStatus, Instant aNow) const
{
  for (const auto& [name, newcomer] : mNewcomers) {
    const HostName& wanted = name;
    const auto host =
      std::find_if(mOptions.controlHosts.begin(),
                   mOptions.controlHosts.end(),
                   [&](const Member& member) { return member.name == wanted; });
    const bool member = std::any_of(
      aStatus.members.begin(), aStatus.members.end(), [&](const auto& row) {
        return row.identity == newcomer.identity;
      });
    if (host != mOptions.controlHosts.end() && !member &&
        aNow - newcomer.heardAt < kNewcomerForgotten &&
        !HasLiveNamesake(aStatus, name, newcomer.identity, aNow)) {
      return AddLearner{ *host, newcomer.identity };
    }
  }
  return std::nullopt;
}

} // namespace rattandyke::consensus
