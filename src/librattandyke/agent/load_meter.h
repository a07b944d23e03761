/// What a host's requests show of load and of upstreams' health, collected for
/// its heartbeats.
#pragma once

#include <array>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <rattandyke/types.h>

#include "agent/evidence.h"
#include "routing/hot_keys.h"
#include "wire/peer.pb.h"

namespace rattandyke::agent {

/// Counts requests by slot and key, and evidence by upstream. Thread-safe; the
/// memory is bounded by slots and upstreams, never by keys.
class LoadMeter
{
public:
  explicit LoadMeter(Instant aNow);

  void CountRequest(std::string_view aService,
                    Slot aSlot,
                    std::string_view aKey);
  void AddEvidence(const Evidence& aEvidence);

  /// Moves what is due into a heartbeat. Loads are told once for each interval
  /// of at least a second, in parts that keep a heartbeat small.
  void MoveInto(wire::Heartbeat& aHeartbeat, Instant aNow);

private:
  struct SlotCounts
  {
    std::unordered_map<uint32_t, uint32_t> bySlot;
  };
  /// A key always falls into the same shard; shards keep workers from waiting
  /// for each other.
  struct Shard
  {
    std::mutex mutex;
    routing::HotKeys keys{ kCountersOfShard };
    std::map<std::string, SlotCounts, std::less<>> slots;
  };
  struct Totals
  {
    uint32_t succeeded = 0;
    uint32_t failed = 0;
    uint32_t unreachable = 0;
    uint32_t shed = 0;
    uint64_t latencySumUs = 0;
    uint32_t latencies = 0;
  };
  struct UpstreamKey
  {
    std::string service;
    std::string upstream;
    auto operator<=>(const UpstreamKey&) const = default; // NOLINT(*-nullptr)
  };

  static constexpr size_t kShards = 8;
  static constexpr size_t kCountersOfShard = 256;

  void EndInterval(wire::Heartbeat& aHeartbeat, Instant aNow);
  void MoveEvidence(wire::Heartbeat& aHeartbeat);
  void MoveSlotLoads(wire::Heartbeat& aHeartbeat);

  std::array<Shard, kShards> mShards;
  std::mutex mEvidenceMutex;
  std::map<UpstreamKey, Totals> mEvidence;
  /// Used by the caller of MoveInto only.
  Instant mIntervalStart;
  std::vector<wire::SlotLoad> mSlotLoads;
};

} // namespace rattandyke::agent
