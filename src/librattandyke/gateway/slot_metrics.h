/// Metrics of slot allocation, on entry hosts and control hosts.
#pragma once

#include "gateway/metrics.h"
#include "gateway/slot_coordinator.h"

namespace rattandyke::gateway {

inline void
SetSlotMetrics(Metrics& aMetrics, const SlotCoordinator& aSlots)
{
  const SlotBroker::GrantCounts& grants = aSlots.Broker().Grants();
  aMetrics.SetTotal("slot_allocations", "role=\"first\"", grants.first);
  aMetrics.SetTotal("slot_allocations", "role=\"second\"", grants.second);
  using Reason = UpstreamSet::UnavailableReason;
  const auto setRefusals = [&](const char* aLabel, Reason aReason) {
    aMetrics.SetTotal(
      "slot_refusals", aLabel, aSlots.Broker().Refusals(aReason));
  };
  setRefusals("reason=\"full\"", Reason::Full);
  setRefusals("reason=\"failing\"", Reason::Failing);
  setRefusals("reason=\"no_instance\"", Reason::NoInstance);
  setRefusals("reason=\"no_owner\"", Reason::NoOwner);
  aMetrics.SetTotal("slot_requests_second", {}, aSlots.RequestsToSecond());
  const auto unused = aSlots.Broker().Upstreams().UnusedInstances(aSlots.Now());
  aMetrics.Set("upstreams_unused", static_cast<double>(unused.size()));
  aMetrics.SetTotal("rests_restored", {}, aSlots.RestsRestored());
}

} // namespace rattandyke::gateway
