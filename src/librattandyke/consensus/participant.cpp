#include "consensus/participant.h"

#include <algorithm>

namespace rattandyke::consensus {

namespace {

constexpr ProposalId kOwnProposal{ 0 };

} // namespace

Participant::Participant(const Options& aOptions,
                         Restored aRestored,
                         uint64_t aSeed,
                         Instant aNow)
  : mName(aOptions.name)
  , mControlHosts(aOptions.controlHosts)
  , mReplica(aOptions.identity,
             aOptions.name,
             aOptions.replica,
             std::move(aRestored),
             aSeed,
             aNow)
  , mFounding({ aOptions.name,
                aOptions.identity,
                aOptions.controlHosts,
                aOptions.replica.voters,
                aOptions.address,
                aOptions.replica.openMembership,
                aOptions.replica.mayFound })
  , mRepair({ aOptions.controlHosts,
              aOptions.replica.replaceAfter,
              aOptions.replica.voters,
              aOptions.replica.spareAfter,
              aOptions.replica.openMembership })
{
}

std::vector<Effect>
Participant::Step(const Event& aEvent, Instant aNow)
{
  if (std::holds_alternative<Tick>(aEvent)) {
    StepFounding(Founding::Tick{}, aNow);
    StepReplica(aEvent, aNow);
    KeepMembership(aNow);
    return std::exchange(mEffects, {});
  }
  const auto* received = std::get_if<MessageReceived>(&aEvent);
  if (received != nullptr && received->message.has_hello()) {
    OnHello(received->message, aNow);
  } else {
    StepReplica(aEvent, aNow);
  }
  return std::exchange(mEffects, {});
}

Instant
Participant::NextDeadline() const
{
  return std::min(mReplica.NextDeadline(), mFounding.NextDeadline());
}

Member
Participant::SenderOf(const wire::ConsensusMessage& aMessage) const
{
  const HostName name{ aMessage.from_name() };
  for (const Member& member : mControlHosts) {
    if (member.name == name) {
      return member;
    }
  }
  const wire::Hello& hello = aMessage.hello();
  return { name,
           Endpoint{ hello.address(), static_cast<uint16_t>(hello.port()) } };
}

void
Participant::OnHello(const wire::ConsensusMessage& aMessage, Instant aNow)
{
  const uint64_t group = mReplica.Members().group();
  if (aMessage.group() != 0 && group != 0 && aMessage.group() != group) {
    return;
  }
  const HostName from{ aMessage.from_name() };
  const HostIdentity identity{ aMessage.from() };
  if (aMessage.hello().answers() == 0) {
    mRepair.HeardNewcomer(SenderOf(aMessage), identity, aNow);
  }
  StepFounding(Founding::HelloReceived{ from, identity, aMessage.hello() },
               aNow);
}

void
Participant::StepReplica(const Event& aEvent, Instant aNow)
{
  std::vector<Effect> effects = mReplica.Step(aEvent, aNow);
  std::move(effects.begin(), effects.end(), std::back_inserter(mEffects));
}

void
Participant::StepFounding(const Founding::Event& aEvent, Instant aNow)
{
  const Founding::Own own{ mReplica.IsEmpty(),
                           mReplica.Members(),
                           mReplica.Leader().has_value() };
  for (Founding::Effect& effect : mFounding.Step(aEvent, own, aNow)) {
    if (auto* found = std::get_if<Founding::Found>(&effect)) {
      StepReplica(FoundGroup{ std::move(found->configuration) }, aNow);
      continue;
    }
    auto& hello = std::get<Founding::SendHello>(effect);
    wire::ConsensusMessage message;
    message.set_from(mReplica.Identity().value);
    message.set_from_name(mName.value);
    message.set_group(mReplica.Members().group());
    *message.mutable_hello() = std::move(hello.hello);
    mEffects.push_back(Send{ std::move(hello.to), std::move(message) });
  }
}

void
Participant::KeepMembership(Instant aNow)
{
  if (!mReplica.IsReadyLeader()) {
    return;
  }
  if (auto change = mRepair.Decide(mReplica.Status(aNow), aNow)) {
    StepReplica(ChangeMembership{ kOwnProposal, std::move(*change) }, aNow);
  }
}

} // namespace rattandyke::consensus
