/// The part of a routing table that belongs to one service.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "records/records.h"
#include "routing/chunked_vector.h"
#include "routing/routing_table.h"
#include "wire/table.pb.h"

namespace rattandyke::routing {

/// @return the 64-bit xxHash of a key, seed 0; its high part is the slot.
uint64_t HashKey(std::string_view aKey);

/// @return a number in which each bit depends on all bits of the other one
/// (the finalizer of SplitMix64).
uint64_t MixBits(uint64_t aNumber);

/// @return the slot of a key whose hash is known.
Slot SlotOfHash(uint64_t aHash, uint32_t aSlots);

/// Position of an upstream in ServiceTable::upstreams.
using UpstreamIndex = uint32_t;
constexpr UpstreamIndex kNoUpstream = UINT32_MAX;

/// Who owns a slot. The fence is in two halves because 12 bytes a slot in place
/// of 16 save a megabyte at full size.
struct SlotEntry
{
  UpstreamIndex upstream = kNoUpstream;
  uint32_t fenceHigh = 0;
  uint32_t fenceLow = 0;

  Fence OwnFence() const { return { uint64_t{ fenceHigh } << 32 | fenceLow }; }
  void SetFence(Fence aFence)
  {
    fenceHigh = static_cast<uint32_t>(aFence.value >> 32);
    fenceLow = static_cast<uint32_t>(aFence.value);
  }
};

/// A key that has an owner of its own.
struct HotKey
{
  uint64_t hash = 0;
  std::string key;
  UpstreamIndex upstream = kNoUpstream;
  Fence fence;
};

/// Immutable once built. Parts that change seldom are shared whole, the long
/// ones by chunks.
struct ServiceTable
{
  static constexpr size_t kUpstreamChunk = 64;
  static constexpr size_t kSlotChunk = 512;
  using Upstreams = ChunkedVector<UpstreamView, kUpstreamChunk>;
  using Slots = ChunkedVector<SlotEntry, kSlotChunk>;
  template<typename T>
  using Shared = std::shared_ptr<const std::vector<T>>;

  ServiceName name;
  /// Newest form that is understood here; null if there is none.
  std::shared_ptr<const records::ServiceRecord> record;
  Upstreams upstreams;
  /// Indexes of upstreams, in order of their names.
  Shared<UpstreamIndex> byName;
  Slots slots;
  /// In order of hash, then key.
  Shared<HotKey> hotKeys;
  /// In order of customer.
  Shared<records::LimitRecord> limits;
  /// In order of fingerprint.
  Shared<wire::Ban> bans;

  explicit ServiceTable(ServiceName aName);

  std::optional<UpstreamIndex> IndexOf(std::string_view aUpstream) const;
  const HotKey* FindHotKey(uint64_t aHash, std::string_view aKey) const;
  Owner FindOwner(std::string_view aKey, uint32_t aSlots) const;
  const records::LimitRecord* FindLimit(std::string_view aCustomer) const;
  const wire::Ban* FindBan(std::string_view aFingerprint, WallTime aNow) const;

  /// See RoutingTable::GrantsOf; one pass over the slots for all of them.
  std::vector<std::vector<wire::SlotOwner>> GrantsOf(
    const std::vector<UpstreamName>& aUpstreams) const;

private:
  const UpstreamView* Reachable(UpstreamIndex aIndex) const;
};

/// Applies changes to a copy of a service's part.
class ServiceEditor
{
public:
  /// @param aBase the part as it was; shared, not copied.
  explicit ServiceEditor(const ServiceTable& aBase);

  void SetRecord(std::shared_ptr<const records::ServiceRecord> aRecord);
  void SetLimit(records::LimitRecord aLimit);
  void RemoveLimit(const CustomerName& aCustomer);
  void SetUpstream(const wire::Upstream& aUpstream);
  void SetOwner(const wire::SlotOwner& aOwner);
  void SetBan(const wire::Ban& aBan);

  /// Upstreams whose grants changed so far.
  const std::vector<UpstreamIndex>& Touched() const { return mTouched; }
  const UpstreamName& NameOf(UpstreamIndex aIndex) const;

  std::shared_ptr<const ServiceTable> Finish();

private:
  std::optional<UpstreamIndex> Find(std::string_view aName) const;
  UpstreamIndex Intern(std::string_view aName);
  void SetSlotOwner(const wire::SlotOwner& aOwner);
  void SetKeyOwner(const wire::SlotOwner& aOwner);
  void Touch(UpstreamIndex aIndex);
  void TouchOwnerOfSlot(uint64_t aHash);

  ServiceTable mResult;
  ServiceTable::Upstreams::Editor mUpstreams;
  ServiceTable::Slots::Editor mSlots;
  /// Private copies, made on the first change.
  std::optional<std::vector<UpstreamIndex>> mByName;
  std::optional<std::vector<HotKey>> mHotKeys;
  std::optional<std::vector<records::LimitRecord>> mLimits;
  std::optional<std::vector<wire::Ban>> mBans;
  std::vector<UpstreamIndex> mTouched;
};

} // namespace rattandyke::routing
