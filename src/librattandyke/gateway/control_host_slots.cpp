// Allocation of the slots of upstreams by a control host.
#include "gateway/control_host_impl.h"
#include "gateway/upstream_options.h"

namespace rattandyke::gateway {

/// @return the coordinator, or null if this host's setting is not that it
/// allocates slots.
std::unique_ptr<SlotCoordinator>
ControlHost::Impl::MakeSlots()
{
  if (settings.slotAllocators != SlotAllocators::Capacity) {
    return nullptr;
  }
  return std::make_unique<SlotCoordinator>(
    executor,
    self.value,
    seed,
    [this](const HostName& aTo, const wire::GatewayFrame& aFrame) {
      mesh->Send(aTo, aFrame.SerializeAsString());
    },
    clock,
    seed,
    UpstreamOptions(settings),
    [this] { return freshness.AgeAt(clock.Now()); });
}

/// @return whether this host states that it allocates slots.
bool
ControlHost::Impl::OffersToAllocate() const
{
  if (!slots || stopping) {
    return false;
  }
  std::vector<double> links;
  for (const auto& [address, entry] : state.Entries()) {
    links.push_back(entry.link_mbits());
  }
  return scheduling::AllocatorDirectory::HasUnevenLinks(links);
}

void
ControlHost::Impl::ScheduleSlotTick()
{
  slotTimer.expires_after(SlotBroker::kTick);
  slotTimer.async_wait([self = weak_from_this()](auto aError) {
    const auto host = self.lock();
    if (host && !aError) {
      host->OnSlotTick();
      host->ScheduleSlotTick();
    }
  });
}

void
ControlHost::Impl::OnSlotTick()
{
  freshness.OnTick(clock.Now());
  if (HoldsLeaderLease()) {
    freshness.OnConfirmed(clock.Now());
  }
  slots->Tick();
}

/// Proposes, as the leader, that control hosts which no longer report do not
/// allocate. They do again when they report.
void
ControlHost::Impl::WithdrawSilentAllocators()
{
  std::vector<wire::GatewayCommand> commands;
  for (const auto& [address, control] : state.ControlHosts()) {
    if (control.allocates_slots() &&
        allocatorWatch.ShouldWithdraw(address, clock.Now())) {
      wire::ControlMember* member =
        commands.emplace_back().mutable_put_control()->mutable_control();
      *member = control;
      member->set_allocates_slots(false);
    }
  }
  ProposeInBackground(commands);
}

/// Passes a message on to the replicated log. An append request of the leader
/// that this host follows confirms its state. Other messages do not: a peer may
/// ask for votes because the leader is gone.
void
ControlHost::Impl::OnConsensusMessage(const std::string& aMessage)
{
  const uint64_t appendsBefore = driver->AppendsHeard();
  driver->Receive({}, aMessage);
  if (slots && driver->AppendsHeard() != appendsBefore && IsUpToDate()) {
    freshness.OnConfirmed(clock.Now());
  }
}

} // namespace rattandyke::gateway
