/// Routing table of one service, and the editor that derives new versions.
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

/// @return the 64-bit xxHash (seed 0) of a key. Its high bits select the slot.
uint64_t HashKey(std::string_view aKey);

/// @return aNumber mixed by the finalizer of SplitMix64: each bit of the result
/// depends on all bits of aNumber.
uint64_t MixBits(uint64_t aNumber);

/// @return the slot of a key with hash aHash in a service of aSlots slots.
Slot SlotOfHash(uint64_t aHash, uint32_t aSlots);

/// Index of an upstream in ServiceTable::upstreams.
using UpstreamIndex = uint32_t;
constexpr UpstreamIndex kNoUpstream = UINT32_MAX;

/// Owner and fence of a slot. The fence is stored as two halves, so that an
/// entry takes 12 bytes instead of 16; this saves 1 MB in a table of full size.
struct SlotEntry
{
  UpstreamIndex upstream = kNoUpstream;
  uint32_t fenceHigh = 0;
  uint32_t fenceLow = 0;

  Fence OwnerFence() const
  {
    return { uint64_t{ fenceHigh } << 32 | fenceLow };
  }
  void SetFence(Fence aFence)
  {
    fenceHigh = static_cast<uint32_t>(aFence.value >> 32);
    fenceLow = static_cast<uint32_t>(aFence.value);
  }
};

/// A key that is assigned to an upstream separately from its slot.
struct HotKey
{
  uint64_t hash = 0;
  std::string key;
  UpstreamIndex upstream = kNoUpstream;
  Fence fence;
};

/// Routing table of one service, immutable after construction. Versions share
/// unchanged data: upstreams and slots by chunk, the other members as a whole.
struct ServiceTable
{
  static constexpr size_t kUpstreamChunk = 64;
  static constexpr size_t kSlotChunk = 512;
  using Upstreams = ChunkedVector<UpstreamView, kUpstreamChunk>;
  using Slots = ChunkedVector<SlotEntry, kSlotChunk>;
  template<typename T>
  using Shared = std::shared_ptr<const std::vector<T>>;

  ServiceName name;
  /// Newest record whose schema this version supports; null if there is none.
  std::shared_ptr<const records::ServiceRecord> record;
  Upstreams upstreams;
  /// Indexes of upstreams, sorted by upstream name.
  Shared<UpstreamIndex> byName;
  Slots slots;
  /// Sorted by hash, then key.
  Shared<HotKey> hotKeys;
  /// Sorted by customer.
  Shared<records::LimitRecord> limits;
  /// Sorted by fingerprint.
  Shared<wire::Ban> bans;

  explicit ServiceTable(ServiceName aName);

  std::optional<UpstreamIndex> IndexOf(std::string_view aUpstream) const;
  const HotKey* FindHotKey(uint64_t aHash, std::string_view aKey) const;
  Owner FindOwner(std::string_view aKey, uint32_t aSlots) const;
  const records::LimitRecord* FindLimit(std::string_view aCustomer) const;
  const wire::Ban* FindBan(std::string_view aFingerprint, WallTime aNow) const;

  /// See RoutingTable::GrantsOf. Scans the slots once for all upstreams.
  std::vector<std::vector<wire::SlotOwner>> GrantsOf(
    const std::vector<UpstreamName>& aUpstreams) const;

private:
  const UpstreamView* FindRoutable(UpstreamIndex aIndex) const;
};

/// Builds a changed version of a ServiceTable.
class ServiceEditor
{
public:
  /// @param aBase previous version; its unchanged data is shared, not copied.
  explicit ServiceEditor(const ServiceTable& aBase);

  void SetRecord(std::shared_ptr<const records::ServiceRecord> aRecord);
  void SetLimit(records::LimitRecord aLimit);
  void RemoveLimit(const CustomerName& aCustomer);
  void SetUpstream(const wire::Upstream& aUpstream);
  void SetOwner(const wire::SlotOwner& aOwner);
  void SetBan(const wire::Ban& aBan);

  /// Upstreams whose grants have changed so far; may contain duplicates.
  const std::vector<UpstreamIndex>& UpstreamsWithChangedGrants() const
  {
    return mUpstreamsWithChangedGrants;
  }
  const UpstreamName& NameOf(UpstreamIndex aIndex) const;

  std::shared_ptr<const ServiceTable> Finish();

private:
  std::optional<UpstreamIndex> FindUpstream(std::string_view aName) const;
  UpstreamIndex FindOrAddUpstream(std::string_view aName);
  void SetSlotOwner(const wire::SlotOwner& aOwner);
  void SetKeyOwner(const wire::SlotOwner& aOwner);
  void MarkGrantsChanged(UpstreamIndex aIndex);
  void MarkSlotOwnerChanged(uint64_t aHash);

  ServiceTable mResult;
  ServiceTable::Upstreams::Editor mUpstreams;
  ServiceTable::Slots::Editor mSlots;
  /// Mutable copies of the members of mResult, made on the first change.
  std::optional<std::vector<UpstreamIndex>> mByName;
  std::optional<std::vector<HotKey>> mHotKeys;
  std::optional<std::vector<records::LimitRecord>> mLimits;
  std::optional<std::vector<wire::Ban>> mBans;
  std::vector<UpstreamIndex> mUpstreamsWithChangedGrants;
};

} // namespace rattandyke::routing
