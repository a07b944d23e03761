#include "agent/load_meter.h"

#include <algorithm>

#include "routing/service_table.h"

namespace rattandyke::agent {

namespace {

constexpr std::chrono::seconds kInterval{ 1 };
/// Keys told for an interval, and the fewest requests that make one worth it.
constexpr size_t kMostKeys = 16;
constexpr uint64_t kFewestRequests = 10;
/// Slots told in one heartbeat; the rest waits for the next ones.
constexpr size_t kMostSlotLoads = 512;

uint32_t
Milliseconds(Duration aDuration)
{
  return static_cast<uint32_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count());
}

} // namespace

LoadMeter::LoadMeter(Instant aNow)
  : mIntervalStart(aNow)
{
}

void
LoadMeter::CountRequest(std::string_view aService,
                        Slot aSlot,
                        std::string_view aKey)
{
  Shard& shard = mShards[routing::HashKey(aKey) % kShards];
  const std::lock_guard lock(shard.mutex);
  shard.keys.Count(aService, aKey);
  auto found = shard.slots.find(aService);
  if (found == shard.slots.end()) {
    found = shard.slots.emplace(std::string(aService), SlotCounts{}).first;
  }
  ++found->second.bySlot[aSlot.value];
}

void
LoadMeter::AddEvidence(const Evidence& aEvidence)
{
  const std::lock_guard lock(mEvidenceMutex);
  Totals& totals = mEvidence[{ std::string(aEvidence.service),
                               std::string(aEvidence.upstream) }];
  switch (aEvidence.kind) {
    case EvidenceKind::Succeeded:
      ++totals.succeeded;
      break;
    case EvidenceKind::Failed:
      ++totals.failed;
      break;
    case EvidenceKind::Unreachable:
      ++totals.unreachable;
      return;
    case EvidenceKind::Shed:
      ++totals.shed;
      return;
  }
  const auto latency =
    std::chrono::duration_cast<std::chrono::microseconds>(aEvidence.latency);
  totals.latencySumUs += static_cast<uint64_t>(latency.count());
  ++totals.latencies;
}

void
LoadMeter::MoveInto(wire::Heartbeat& aHeartbeat, Instant aNow)
{
  MoveEvidence(aHeartbeat);
  if (mSlotLoads.empty() && aNow - mIntervalStart >= kInterval) {
    EndInterval(aHeartbeat, aNow);
  }
  MoveSlotLoads(aHeartbeat);
}

void
LoadMeter::EndInterval(wire::Heartbeat& aHeartbeat, Instant aNow)
{
  const uint32_t interval = Milliseconds(aNow - mIntervalStart);
  mIntervalStart = aNow;
  std::vector<routing::KeyCount> keys;
  std::map<std::string, SlotCounts> slots;
  for (Shard& shard : mShards) {
    const std::lock_guard lock(shard.mutex);
    for (auto& key : shard.keys.Top(kMostKeys, kFewestRequests)) {
      keys.push_back(std::move(key));
    }
    shard.keys.Reset();
    for (auto& [service, counts] : shard.slots) {
      for (const auto& [slot, count] : counts.bySlot) {
        slots[service].bySlot[slot] += count;
      }
    }
    shard.slots.clear();
  }
  std::sort(keys.begin(), keys.end(), [](const auto& aOne, const auto& aOther) {
    return aOne.count > aOther.count;
  });
  keys.resize(std::min(keys.size(), kMostKeys));
  for (const routing::KeyCount& key : keys) {
    wire::KeyLoad& load = *aHeartbeat.add_hot_keys();
    load.set_service(key.service);
    load.set_key(key.key);
    load.set_requests(static_cast<uint32_t>(key.count - key.error));
    load.set_interval_ms(interval);
  }
  for (const auto& [service, counts] : slots) {
    for (const auto& [slot, count] : counts.bySlot) {
      wire::SlotLoad& load = mSlotLoads.emplace_back();
      load.set_service(service);
      load.set_slot(slot);
      load.set_requests(count);
      load.set_interval_ms(interval);
    }
  }
}

void
LoadMeter::MoveEvidence(wire::Heartbeat& aHeartbeat)
{
  const std::lock_guard lock(mEvidenceMutex);
  for (const auto& [key, totals] : mEvidence) {
    wire::UpstreamEvidence& evidence = *aHeartbeat.add_evidence();
    evidence.set_service(key.service);
    evidence.set_upstream(key.upstream);
    evidence.set_succeeded(totals.succeeded);
    evidence.set_failed(totals.failed);
    evidence.set_unreachable(totals.unreachable);
    evidence.set_shed(totals.shed);
    if (totals.latencies > 0) {
      evidence.set_mean_latency_us(
        static_cast<uint32_t>(totals.latencySumUs / totals.latencies));
    }
  }
  mEvidence.clear();
}

void
LoadMeter::MoveSlotLoads(wire::Heartbeat& aHeartbeat)
{
  const size_t count = std::min(mSlotLoads.size(), kMostSlotLoads);
  for (size_t i = 0; i < count; ++i) {
    *aHeartbeat.add_slot_loads() = std::move(mSlotLoads.back());
    mSlotLoads.pop_back();
  }
}

} // namespace rattandyke::agent
