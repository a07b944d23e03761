// Demand of all entry hosts: measured by the leader and sent to entry hosts
// through all control hosts.
#include "gateway/control_host_impl.h"

#include "gateway/demand_wire.h"

namespace rattandyke::gateway {

using scheduling::DemandTable;

/// Adds the services' loads in an entry host's report to the next report to the
/// leader.
void
ControlHost::Impl::CollectServiceLoads(const wire::FeedReport& aReport)
{
  if (!settings.sharedDemand) {
    return;
  }
  for (const wire::ServiceLoad& load : aReport.services()) {
    pendingServices[load.service()] += ToServiceLoad(load);
  }
}

/// Moves the collected loads to a report to the leader.
void
ControlHost::Impl::TakeServiceLoads(wire::HostReport& aReport)
{
  for (const auto& [service, load] : std::exchange(pendingServices, {})) {
    *aReport.add_services() = ToMessage(service, load);
  }
}

/// Records the services' loads in a control host's report. Services that are
/// not configured are left out, as their number would have no limit.
void
ControlHost::Impl::RecordServiceLoads(const wire::HostReport& aReport)
{
  if (!settings.sharedDemand) {
    return;
  }
  for (const wire::ServiceLoad& load : aReport.services()) {
    if (state.Items().Services().contains(load.service())) {
      demandTable.AddServiceLoad(load.service(), ToServiceLoad(load));
    }
  }
}

/// Records the requests for keys since the last tick. Call it before
/// RangeAssigner::Tick.
void
ControlHost::Impl::RecordOwnerDemand()
{
  if (settings.sharedDemand) {
    rangeAssigner.AddDemand(state, demandTable);
  }
}

/// Applies a command, and corrects the demand that it moves.
/// @return the result of State::Apply.
Result<void>
ControlHost::Impl::ApplyToState(const wire::GatewayCommand& aCommand,
                                LogIndex aIndex)
{
  if (settings.sharedDemand && driver->IsLeader()) {
    return rangeAssigner.ApplyAndMoveDemand(
      aCommand, aIndex, state, demandTable);
  }
  return state.Apply(aCommand, aIndex);
}

/// @return the services without keys, with the slots of their upstreams that
/// may get requests.
std::vector<DemandTable::ServiceSlots>
ControlHost::Impl::SlotsOfServices() const
{
  std::map<std::string_view, uint64_t> slots;
  for (const auto& [name, service] : state.Items().Services()) {
    if (!service.owns_keys()) {
      slots.emplace(name, 0);
    }
  }
  for (const auto& [id, instance] : state.Instances()) {
    const auto found = slots.find(instance.service());
    if (found != slots.end() && !instance.draining() &&
        !state.IsEvacuated(instance.data_centre())) {
      found->second += std::max(instance.slots(), 1U);
    }
  }
  std::vector<DemandTable::ServiceSlots> services;
  for (const auto& [name, count] : slots) {
    services.push_back({ name, count });
  }
  return services;
}

/// Sends a digest as the leader. A leader without a lease may have been
/// replaced and sends none.
void
ControlHost::Impl::SendDemandDigest()
{
  if (!settings.sharedDemand) {
    return;
  }
  if (!HoldsLeaderLease()) {
    SetDemandMetrics(0, 0);
    return;
  }
  const Instant now = clock.Now();
  const auto round = demandTable.MakeRound(
    rangeAssigner.OwnerCapacities(state, now), SlotsOfServices(), now);
  if (!round) {
    return;
  }
  LogOverloads(*round);
  SetDemandMetrics(round->digest.owners.size(), round->overloadedOwners);
  metrics.Increment("demand_digests", "event=\"made\"");
  wire::GatewayFrame frame;
  *frame.mutable_demand_digest() = ToMessage(round->digest);
  const std::string bytes = frame.SerializeAsString();
  for (const std::string& host : ControlHosts()) {
    if (host != self.value) {
      mesh->Send(HostName{ host }, bytes);
    }
  }
  demandView.Apply(round->digest, now);
  feed.SendDemandDigest(frame.demand_digest());
}

void
ControlHost::Impl::SetDemandMetrics(size_t aListed, size_t aOverloaded)
{
  metrics.Set("demand_owners_listed", static_cast<double>(aListed));
  metrics.Set("demand_owners_overloaded", static_cast<double>(aOverloaded));
}

void
ControlHost::Impl::LogOverloads(const DemandTable::Round& aRound)
{
  for (const DemandTable::OverloadChange& change : aRound.changes) {
    Info() << "owner of keys is "
           << (change.overloaded ? "overloaded" : "no longer overloaded")
           << " instance=" << change.owner.instance
           << " demand=" << change.owner.demand
           << " capacity=" << change.owner.capacity
           << " overloaded_owners=" << aRound.overloadedOwners
           << " digest=" << aRound.digest.term << '/' << aRound.digest.sequence;
  }
  for (size_t omitted = 0; omitted < aRound.omittedChanges; ++omitted) {
    metrics.Increment("demand_lines_omitted");
  }
}

/// Sends the leader's digest to this host's subscribers, unless a newer one has
/// been sent, or this host's state is not up to date. Subscribers combine the
/// digest with the state that they have from this host.
void
ControlHost::Impl::OnDemandDigest(const wire::DemandDigest& aMessage)
{
  if (!settings.sharedDemand) {
    return;
  }
  scheduling::DemandDigest digest = ToDemandDigest(aMessage);
  if (!demandView.IsNewer(digest)) {
    metrics.Increment("demand_digests", "event=\"ignored\"");
    return;
  }
  if (!IsUpToDate()) {
    metrics.Increment("demand_digests", "event=\"not_up_to_date\"");
    return;
  }
  demandView.Apply(digest, clock.Now());
  digest.age = *demandView.Age(clock.Now());
  metrics.Increment("demand_digests", "event=\"forwarded\"");
  feed.SendDemandDigest(ToMessage(digest));
}

} // namespace rattandyke::gateway
