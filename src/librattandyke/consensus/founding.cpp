#include "consensus/founding.h"

#include <algorithm>

#include "consensus/configuration.h"

namespace rattandyke::consensus {

Founding::Founding(Options aOptions)
  : mOptions(std::move(aOptions))
{
}

std::vector<Founding::Effect>
Founding::Step(const Event& aEvent, const Own& aOwn, Instant aNow)
{
  std::visit([&](const auto& aEvent) { On(aEvent, aOwn, aNow); }, aEvent);
  return std::exchange(mEffects, {});
}

void
Founding::On(const Tick&, const Own& aOwn, Instant aNow)
{
  if (aNow < mHelloDue) {
    return;
  }
  mHelloDue = aNow + mOptions.helloInterval;
  if (aOwn.hearsLeader) {
    return;
  }
  for (const HostName& host : HostsToGreet(aOwn)) {
    mEffects.push_back(SendHello{ host, MakeHello(aOwn) });
  }
  if (aOwn.empty) {
    FoundIfComplete();
  }
}

std::set<HostName>
Founding::HostsToGreet(const Own& aOwn) const
{
  std::set<HostName> hosts = mLearned;
  for (const Member& member : mOptions.controlHosts) {
    hosts.insert(member.name);
  }
  if (mOptions.openMembership) {
    for (const wire::GroupMember& member : aOwn.configuration.members()) {
      hosts.insert(HostName{ member.name() });
    }
  }
  hosts.erase(mOptions.self);
  return hosts;
}

wire::Hello
Founding::MakeHello(const Own& aOwn) const
{
  wire::Hello hello;
  hello.set_empty(aOwn.empty);
  hello.set_address(mOptions.address.address);
  hello.set_port(mOptions.address.port);
  return hello;
}

void
Founding::Learn(const wire::Configuration& aConfiguration)
{
  if (!mOptions.openMembership) {
    return;
  }
  for (const wire::GroupMember& member : aConfiguration.members()) {
    mLearned.insert(HostName{ member.name() });
  }
}

void
Founding::On(const HelloReceived& aEvent, const Own& aOwn, Instant aNow)
{
  const wire::Hello& hello = aEvent.hello;
  if (hello.answers() == 0) {
    wire::Hello answer = MakeHello(aOwn);
    answer.set_answers(aEvent.identity.value);
    *answer.mutable_configuration() = aOwn.configuration;
    mEffects.push_back(SendHello{ aEvent.from, std::move(answer) });
    return;
  }
  // An answer to an earlier identity of this host may be old: the one who gave
  // it may have joined a group since.
  if (hello.answers() != mOptions.identity.value) {
    return;
  }
  if (!hello.empty()) {
    Learn(hello.configuration());
    mEmpty.erase(aEvent.from);
    return;
  }
  mEmpty[aEvent.from] = aEvent.identity;
  if (aOwn.empty) {
    FoundIfComplete();
  }
}

bool
Founding::MayFound() const
{
  const auto& hosts = mOptions.controlHosts;
  const bool named =
    std::any_of(hosts.begin(), hosts.end(), [&](const Member& aMember) {
      return aMember.name == mOptions.self;
    });
  return !mFounded && mOptions.mayFound && named &&
         std::all_of(hosts.begin(), hosts.end(), [&](const Member& aMember) {
           return aMember.name >= mOptions.self &&
                  (aMember.name == mOptions.self ||
                   mEmpty.contains(aMember.name));
         });
}

void
Founding::FoundIfComplete()
{
  if (!MayFound()) {
    return;
  }
  mFounded = true;
  wire::Configuration configuration;
  configuration.set_group(mOptions.identity.value);
  std::vector<Member> hosts = mOptions.controlHosts;
  std::sort(
    hosts.begin(), hosts.end(), [](const auto& aOne, const auto& aOther) {
      return aOne.name < aOther.name;
    });
  const size_t voters = mOptions.voters == 0 ? hosts.size() : mOptions.voters;
  for (const Member& host : hosts) {
    wire::GroupMember* member = configuration.add_members();
    const bool self = host.name == mOptions.self;
    member->set_identity(
      (self ? mOptions.identity : mEmpty.at(host.name)).value);
    member->set_name(host.name.value);
    member->set_address(host.address.address);
    member->set_port(host.address.port);
    member->set_voter(VoterCount(configuration) < voters);
  }
  mEffects.push_back(Found{ std::move(configuration) });
}

} // namespace rattandyke::consensus
