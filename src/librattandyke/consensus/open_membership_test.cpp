#include <gtest/gtest.h>

#include "consensus/founding.h"
#include "consensus/repair.h"

namespace rattandyke::consensus {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

Member
Host(int aNumber)
{
  const std::string address = "10.0.0." + std::to_string(aNumber);
  return { HostName{ address + ":7000" }, Endpoint{ address, 7000 } };
}

Founding
MakeFounding(int aSelf, bool aMayFound)
{
  Founding::Options options;
  options.self = Host(aSelf).name;
  options.identity = HostIdentity{ static_cast<uint64_t>(aSelf) };
  options.controlHosts = { Host(1), Host(2), Host(3) };
  options.voters = 5;
  options.address = Host(aSelf).address;
  options.openMembership = true;
  options.mayFound = aMayFound;
  return Founding(options);
}

/// @return whether the host founds a group once hosts 1 to 3 say that they are
/// empty.
bool
Founds(Founding& aFounding, int aSelf)
{
  bool founds = false;
  Instant now{ seconds{ 1 } };
  for (int other = 1; other <= 3; ++other) {
    if (other == aSelf) {
      continue;
    }
    wire::Hello hello;
    hello.set_empty(true);
    hello.set_answers(aSelf);
    const auto effects = aFounding.Step(
      Founding::HelloReceived{
        Host(other).name, HostIdentity{ uint64_t(other) }, hello },
      {},
      now);
    for (const auto& effect : effects) {
      founds |= std::holds_alternative<Founding::Found>(effect);
    }
  }
  return founds;
}

TEST(OpenMembership, FirstSeedFounds)
{
  Founding founding = MakeFounding(1, true);
  EXPECT_TRUE(Founds(founding, 1));
}

// The deployment runs already. A seed comes back with an empty disk and hears
// from two others that lost theirs, too. Founding a second group would serve an
// empty configuration beside the one that was acknowledged.
TEST(OpenMembership, HostThatLostItsDiskNeverFounds)
{
  Founding founding = MakeFounding(1, false);
  EXPECT_FALSE(Founds(founding, 1));
}

// Host 0 sorts before all seeds but is none: the seeds do not wait for it.
TEST(OpenMembership, HostThatIsNoSeedNeverFounds)
{
  Founding founding = MakeFounding(0, true);
  EXPECT_FALSE(Founds(founding, 0));
}

// The settings' seeds have been replaced by other hosts. A host that hears of
// the group's members from one of them must greet these from then on.
TEST(OpenMembership, GreetsMembersItHasHeardOf)
{
  Founding founding = MakeFounding(4, false);
  wire::Hello answer;
  answer.set_answers(4);
  wire::GroupMember* member = answer.mutable_configuration()->add_members();
  member->set_name(Host(9).name.value);
  const Instant now{ seconds{ 1 } };
  founding.Step(
    Founding::HelloReceived{ Host(1).name, HostIdentity{ 1 }, answer },
    {},
    now);
  bool greeted = false;
  for (const auto& effect : founding.Step(Founding::Tick{}, {}, now)) {
    const auto* hello = std::get_if<Founding::SendHello>(&effect);
    greeted |= hello != nullptr && hello->to == Host(9).name;
  }
  EXPECT_TRUE(greeted);
}

MemberStatus
Voter(int aNumber, bool aActive, Instant aHeardAt)
{
  return { Host(aNumber), HostIdentity{ static_cast<uint64_t>(aNumber) },
           true,          LogIndex{ 10 },
           aActive,       aHeardAt };
}

Repair
MakeRepair()
{
  Repair::Options options;
  options.controlHosts = { Host(1), Host(2), Host(3) };
  options.replaceAfter = milliseconds{ 900 };
  options.voters = 5;
  options.spareAfter = milliseconds{ 1200 };
  options.openMembership = true;
  return Repair(options);
}

GroupStatus
StatusOf(std::vector<MemberStatus> aMembers)
{
  GroupStatus status;
  status.identity = HostIdentity{ 1 };
  status.role = Role::Leader;
  status.commitIndex = LogIndex{ 10 };
  status.members = std::move(aMembers);
  return status;
}

TEST(OpenMembership, HostOutsideTheSettingsJoins)
{
  Repair repair = MakeRepair();
  const Instant now{ seconds{ 10 } };
  repair.HeardNewcomer(Host(7), HostIdentity{ 7 }, now);
  const auto change = repair.Decide(
    StatusOf({ Voter(1, true, now), Voter(2, true, now), Voter(3, true, now) }),
    now);
  ASSERT_TRUE(change);
  const auto& joins = std::get<AddLearner>(*change);
  EXPECT_EQ(joins.member, Host(7));
}

// Three seeds found the group; a fourth and a fifth host must become voters, or
// the loss of two would stop it.
TEST(OpenMembership, LearnersVoteUntilTheWantedNumberDoes)
{
  Repair repair = MakeRepair();
  const Instant now{ seconds{ 10 } };
  MemberStatus learner = Voter(7, true, now);
  learner.voter = false;
  const auto change = repair.Decide(StatusOf({ Voter(1, true, now),
                                               Voter(2, true, now),
                                               Voter(3, true, now),
                                               learner }),
                                    now);
  ASSERT_TRUE(change);
  EXPECT_TRUE(std::holds_alternative<PromoteLearner>(*change));
}

// A control host is gone for good, and another was added at a new address. The
// newcomer must vote within the few seconds after which two more may be lost.
TEST(OpenMembership, NewcomerTakesThePlaceOfASilentVoter)
{
  Repair repair = MakeRepair();
  const Instant now{ seconds{ 10 } };
  std::vector<MemberStatus> members;
  for (int host = 1; host <= 4; ++host) {
    members.push_back(Voter(host, true, now));
  }
  members.push_back(Voter(5, false, now - milliseconds{ 1300 }));
  MemberStatus learner = Voter(7, true, now);
  learner.voter = false;
  members.push_back(learner);
  const auto promoted = repair.Decide(StatusOf(members), now);
  ASSERT_TRUE(promoted);
  ASSERT_TRUE(std::holds_alternative<PromoteLearner>(*promoted));
  members.back().voter = true;
  const auto removed = repair.Decide(StatusOf(members), now);
  ASSERT_TRUE(removed);
  EXPECT_EQ(std::get<RemoveMember>(*removed).identity, HostIdentity{ 5 });
}

} // namespace
} // namespace rattandyke::consensus
