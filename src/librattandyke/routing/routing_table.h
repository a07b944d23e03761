/// The table by which a host finds the owner of a key.
#pragma once

#include <memory>
#include <set>
#include <string_view>
#include <vector>

#include "records/records.h"
#include "wire/table.pb.h"

namespace rattandyke::routing {

/// @return the slot of a key in a service of aSlots slots: the high part of
/// its 64-bit xxHash, so that neighbouring keys spread.
Slot SlotOf(std::string_view aKey, uint32_t aSlots);

/// Everything about an upstream that a request needs.
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
  /// Host that keeps its lease.
  HostName home;
  /// Rises each time it is registered anew after its lease was over.
  TableVersion registered;
  WallTime started{};
};

/// Answer of a lookup. Pointers live as long as the table they came from.
struct Owner
{
  const UpstreamView* upstream = nullptr;
  Fence fence;
  Slot slot;
  /// The key has an owner of its own, beside its slot.
  bool hotKey = false;
};

/// An upstream by the two names that make it unique in a deployment.
struct UpstreamId
{
  ServiceName service;
  UpstreamName name;
  auto operator<=>(const UpstreamId&) const = default; // NOLINT(*-nullptr)
};

/// Whose grants an update changed, so that nobody has to compare whole tables.
struct ChangedGrants
{
  /// A complete table came: anyone's may have changed.
  bool all = false;
  std::set<UpstreamId> upstreams;
};

/// An immutable table at one version. Shared between threads by
/// std::shared_ptr<const RoutingTable>; every method is thread-safe and does
/// not allocate.
class RoutingTable
{
public:
  RoutingTable();
  ~RoutingTable();

  /// @param aUpdate a complete table, or the changes after this version.
  /// @return the newer table, or null if aUpdate does not follow on this
  /// version or is older: a table never goes back. Costs memory and time by
  /// what changed, not by the size of the table.
  /// @param aTouched if not null, whose grants changed is added to it.
  std::shared_ptr<const RoutingTable> Apply(
    const wire::TableUpdate& aUpdate,
    ChangedGrants* aTouched = nullptr) const;

  TableVersion Version() const;

  /// @param aPath request path, without the query.
  /// @return the service whose prefix is the path's first segment, or null.
  const records::ServiceRecord* FindServiceByPath(std::string_view aPath) const;
  const records::ServiceRecord* FindServiceByName(std::string_view aName) const;

  /// @return the owner; its upstream is null if nobody may be sent the key.
  Owner FindOwner(const records::ServiceRecord& aService,
                  std::string_view aKey) const;

  const UpstreamView* FindUpstream(std::string_view aService,
                                   std::string_view aName) const;

  /// Limit of a customer, or null if no record sets one.
  const records::LimitRecord* FindLimit(std::string_view aService,
                                        std::string_view aCustomer) const;

  /// @return the ban in force for a request fingerprint, or null.
  const wire::Ban* FindBan(std::string_view aService,
                           std::string_view aFingerprint,
                           WallTime aNow) const;

  /// Slots and hot keys that an upstream owns now, for its grants. A hot key
  /// that lies in one of its slots but is not its own is listed with fence 0.
  std::vector<wire::SlotOwner> GrantsOf(std::string_view aService,
                                        std::string_view aUpstream) const;

  /// @return GrantsOf for each of several upstreams, in their order, at the
  /// cost of one.
  std::vector<std::vector<wire::SlotOwner>> GrantsOf(
    std::string_view aService,
    const std::vector<UpstreamName>& aUpstreams) const;

  /// For listings: all parts, sorted by name.
  std::vector<const records::ServiceRecord*> Services() const;
  std::vector<const UpstreamView*> Upstreams() const;

private:
  struct Impl;
  explicit RoutingTable(std::shared_ptr<const Impl> aImpl);
  std::shared_ptr<const Impl> mImpl;
};

} // namespace rattandyke::routing
