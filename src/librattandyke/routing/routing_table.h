/// Routing table: maps each key of a service to the upstream that owns it.
#pragma once

#include <memory>
#include <set>
#include <string_view>
#include <vector>

#include "records/records.h"
#include "wire/table.pb.h"

namespace rattandyke::routing {

/// @return the slot of a key in a service of aSlots slots, from the high bits
/// of the key's 64-bit xxHash, so that similar keys spread over the slots.
Slot SlotOf(std::string_view aKey, uint32_t aSlots);

/// Registration data of an upstream, as needed to route requests to it.
struct UpstreamView
{
  UpstreamName name;
  ServiceName service;
  uint64_t incarnation = 0;
  Endpoint address;
  DataCentre dataCentre;
  uint32_t slots = 1;
  bool checksFences = false;
  wire::UpstreamState state = wire::UPSTREAM_STATE_ACTIVE;
  /// Host that manages the lease of this upstream.
  HostName home;
  /// Increases each time the upstream registers again after lease expiry.
  TableVersion registered;
  WallTime started{};
};

/// Result of an owner lookup. The pointer is valid as long as the table.
struct Owner
{
  const UpstreamView* upstream = nullptr;
  Fence fence;
  Slot slot;
  /// True if the key is a hot key, assigned separately from its slot.
  bool hotKey = false;
};

/// Unique identifier of an upstream in a deployment.
struct UpstreamId
{
  ServiceName service;
  UpstreamName name;
  auto operator<=>(const UpstreamId&) const = default; // NOLINT(*-nullptr)
};

/// Upstreams whose grants a table update changed.
struct ChangedGrants
{
  /// The update was a complete table, so all grants may have changed.
  bool all = false;
  std::set<UpstreamId> upstreams;
};

/// Immutable routing table at one version. Threads share it through
/// std::shared_ptr<const RoutingTable>. All methods are thread-safe, and the
/// lookups (Find...) do not allocate.
class RoutingTable
{
public:
  RoutingTable();
  ~RoutingTable();

  /// Builds a newer table. It shares unchanged data with this one, so time and
  /// memory depend on the size of the change, not of the table.
  /// @param aUpdate complete table, or the changes since an earlier version.
  /// @param aChanged if not null, receives the upstreams with changed grants.
  /// @return the table at the version where aUpdate ends; null if that version
  /// is older than this one, or if aUpdate starts after this version.
  std::shared_ptr<const RoutingTable> Apply(
    const wire::TableUpdate& aUpdate,
    ChangedGrants* aChanged = nullptr) const;

  TableVersion Version() const;

  /// @param aPath request path, without the query.
  /// @return the service whose prefix equals the first path segment, or null.
  const records::ServiceRecord* FindServiceByPath(std::string_view aPath) const;
  /// @return the service named aName, or null.
  const records::ServiceRecord* FindServiceByName(std::string_view aName) const;

  /// @return the owner; upstream is null if no upstream may receive the key.
  Owner FindOwner(const records::ServiceRecord& aService,
                  std::string_view aKey) const;

  /// @return the upstream, or null if no update has described it.
  const UpstreamView* FindUpstream(std::string_view aService,
                                   std::string_view aName) const;

  /// @return the limit of a customer, or null if no record sets one.
  const records::LimitRecord* FindLimit(std::string_view aService,
                                        std::string_view aCustomer) const;

  /// @return the ban in force for a request fingerprint, or null.
  const wire::Ban* FindBan(std::string_view aService,
                           std::string_view aFingerprint,
                           WallTime aNow) const;

  /// @return the slots and hot keys that an upstream owns. A hot key in one of
  /// its slots that another upstream owns is listed with fence 0.
  std::vector<wire::SlotOwner> GrantsOf(std::string_view aService,
                                        std::string_view aUpstream) const;

  /// @return the grants of each upstream, in the order of aUpstreams. Scans
  /// the slots only once.
  std::vector<std::vector<wire::SlotOwner>> GrantsOf(
    std::string_view aService,
    const std::vector<UpstreamName>& aUpstreams) const;

  /// All services by name; all upstreams by service, then name.
  std::vector<const records::ServiceRecord*> Services() const;
  std::vector<const UpstreamView*> Upstreams() const;

private:
  struct Impl;
  explicit RoutingTable(std::shared_ptr<const Impl> aImpl);
  std::shared_ptr<const Impl> mImpl;
};

} // namespace rattandyke::routing
