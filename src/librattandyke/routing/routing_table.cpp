#include "routing/routing_table.h"

#include <algorithm>
#include <map>

#include "routing/service_table.h"

namespace rattandyke::routing {

namespace {

using ServicePointer = std::shared_ptr<const ServiceTable>;

/// @return the path's first segment with its slash: "/board" of "/board/7".
std::string_view
FirstSegment(std::string_view aPath)
{
  const size_t end = aPath.find('/', 1);
  return aPath.substr(0, end);
}

/// A limit's record is named "SERVICE/CUSTOMER".
struct LimitName
{
  ServiceName service;
  CustomerName customer;
};

std::optional<LimitName>
SplitLimitName(const std::string& aName)
{
  const size_t slash = aName.find('/');
  if (slash == std::string::npos) {
    return std::nullopt;
  }
  return LimitName{ { aName.substr(0, slash) }, { aName.substr(slash + 1) } };
}

} // namespace

struct RoutingTable::Impl
{
  TableVersion version;
  /// In order of name.
  std::vector<ServicePointer> services;
  /// Those with a record, in order of prefix.
  std::vector<const ServiceTable*> byPrefix;

  const ServiceTable* Find(std::string_view aService) const
  {
    const auto found = std::partition_point(
      services.begin(), services.end(), [&](const ServicePointer& aOther) {
        return aOther->name.value < aService;
      });
    return found != services.end() && (*found)->name.value == aService
             ? found->get()
             : nullptr;
  }

  void IndexPrefixes()
  {
    for (const ServicePointer& service : services) {
      if (service->record) {
        byPrefix.push_back(service.get());
      }
    }
    std::sort(byPrefix.begin(),
              byPrefix.end(),
              [](const ServiceTable* aOne, const ServiceTable* aOther) {
                return aOne->record->prefix < aOther->record->prefix;
              });
  }
};

namespace {

/// Collects the changes of one update, service by service.
class TableEditor
{
public:
  using Find = std::function<const ServiceTable*(const std::string&)>;

  /// @param aFind     gives a service as it was before, or null.
  /// @param aComplete the update replaces everything.
  TableEditor(Find aFind, bool aComplete)
    : mFind(std::move(aFind))
    , mComplete(aComplete)
  {
  }

  void SetRecord(const wire::Record& aRecord)
  {
    if (aRecord.kind() == "service") {
      SetService(aRecord);
    } else if (aRecord.kind() == "limit") {
      SetLimit(aRecord);
    }
  }

  ServiceEditor& Of(const std::string& aService)
  {
    auto found = mEditors.find(aService);
    if (found == mEditors.end()) {
      const ServiceTable* base = mComplete ? nullptr : mFind(aService);
      const ServiceTable fresh({ aService });
      found =
        mEditors.emplace(aService, ServiceEditor(base ? *base : fresh)).first;
    }
    return found->second;
  }

  std::map<std::string, ServiceEditor>& Editors() { return mEditors; }

private:
  void SetService(const wire::Record& aRecord)
  {
    if (aRecord.deleted()) {
      Of(aRecord.name()).SetRecord(nullptr);
      return;
    }
    // A form that is newer than this version of the product has no effect:
    // the newest form that is understood stays in force.
    if (auto parsed = records::ParseService(aRecord)) {
      Of(aRecord.name())
        .SetRecord(
          std::make_shared<const records::ServiceRecord>(std::move(*parsed)));
    } else if (const ServiceTable* before = mFind(aRecord.name())) {
      Of(aRecord.name()).SetRecord(before->record);
    }
  }

  void SetLimit(const wire::Record& aRecord)
  {
    const auto name = SplitLimitName(aRecord.name());
    if (!name) {
      return;
    }
    if (aRecord.deleted()) {
      Of(name->service.value).RemoveLimit(name->customer);
    } else if (auto parsed = records::ParseLimit(aRecord)) {
      Of(name->service.value).SetLimit(std::move(*parsed));
    } else if (const ServiceTable* before = mFind(name->service.value)) {
      KeepLimit(*before, *name);
    }
  }

  void KeepLimit(const ServiceTable& aBefore, const LimitName& aName)
  {
    if (const auto* limit = aBefore.FindLimit(aName.customer.value)) {
      Of(aName.service.value).SetLimit(*limit);
    }
  }

  Find mFind;
  bool mComplete;
  std::map<std::string, ServiceEditor> mEditors;
};

void
EditAll(TableEditor& aEditor, const wire::TableUpdate& aUpdate)
{
  for (const wire::Record& record : aUpdate.records()) {
    aEditor.SetRecord(record);
  }
  for (const wire::Upstream& upstream : aUpdate.upstreams()) {
    aEditor.Of(upstream.service()).SetUpstream(upstream);
  }
  for (const wire::SlotOwner& owner : aUpdate.owners()) {
    aEditor.Of(owner.service()).SetOwner(owner);
  }
  for (const wire::Ban& ban : aUpdate.bans()) {
    aEditor.Of(ban.service()).SetBan(ban);
  }
}

void
CollectTouched(TableEditor& aEditor, ChangedGrants& aTouched)
{
  for (auto& [service, editor] : aEditor.Editors()) {
    for (const UpstreamIndex index : editor.Touched()) {
      aTouched.upstreams.insert({ { service }, editor.NameOf(index) });
    }
  }
}

/// @return aBase with the edited services put in their places.
std::vector<ServicePointer>
Merge(std::vector<ServicePointer> aBase, TableEditor& aEditor)
{
  for (auto& edit : aEditor.Editors()) {
    const std::string& service = edit.first;
    const auto place = std::partition_point(
      aBase.begin(), aBase.end(), [&](const ServicePointer& aOther) {
        return aOther->name.value < service;
      });
    ServicePointer edited = edit.second.Finish();
    if (place != aBase.end() && (*place)->name.value == service) {
      *place = std::move(edited);
    } else {
      aBase.insert(place, std::move(edited));
    }
  }
  return aBase;
}

} // namespace

RoutingTable::RoutingTable()
  : mImpl(std::make_shared<const Impl>())
{
}

RoutingTable::RoutingTable(std::shared_ptr<const Impl> aImpl)
  : mImpl(std::move(aImpl))
{
}

RoutingTable::~RoutingTable() = default;

std::shared_ptr<const RoutingTable>
RoutingTable::Apply(const wire::TableUpdate& aUpdate,
                    ChangedGrants* aTouched) const
{
  const TableVersion from{ aUpdate.from_version() };
  const TableVersion to{ aUpdate.to_version() };
  const bool isComplete = from.value == 0;
  // Messages are repeated and reordered: an update may be older than the table,
  // and applying it would bring back owners and records that were replaced.
  // Updates hold final states, so one that begins earlier but ends later may be
  // applied; one that begins later would leave a gap.
  if (to < Version() || (!isComplete && from > Version())) {
    return nullptr;
  }
  if (to == Version()) {
    return std::shared_ptr<const RoutingTable>(new RoutingTable(mImpl));
  }

  TableEditor editor(
    [&](const std::string& aService) { return mImpl->Find(aService); },
    isComplete);
  EditAll(editor, aUpdate);
  if (aTouched != nullptr) {
    aTouched->all = aTouched->all || isComplete;
    CollectTouched(editor, *aTouched);
  }
  auto impl = std::make_shared<Impl>();
  impl->version = to;
  impl->services =
    Merge(isComplete ? std::vector<ServicePointer>{} : mImpl->services, editor);
  impl->IndexPrefixes();
  return std::shared_ptr<const RoutingTable>(new RoutingTable(std::move(impl)));
}

TableVersion
RoutingTable::Version() const
{
  return mImpl->version;
}

const records::ServiceRecord*
RoutingTable::FindServiceByPath(std::string_view aPath) const
{
  const std::string_view prefix = FirstSegment(aPath);
  const auto& services = mImpl->byPrefix;
  const auto found = std::partition_point(
    services.begin(), services.end(), [&](const ServiceTable* aOther) {
      return aOther->record->prefix < prefix;
    });
  return found != services.end() && (*found)->record->prefix == prefix
           ? (*found)->record.get()
           : nullptr;
}

const records::ServiceRecord*
RoutingTable::FindServiceByName(std::string_view aName) const
{
  const ServiceTable* service = mImpl->Find(aName);
  return service != nullptr ? service->record.get() : nullptr;
}

Owner
RoutingTable::FindOwner(const records::ServiceRecord& aService,
                        std::string_view aKey) const
{
  const ServiceTable* service = mImpl->Find(aService.name.value);
  return service != nullptr ? service->FindOwner(aKey, aService.slots)
                            : Owner{};
}

const UpstreamView*
RoutingTable::FindUpstream(std::string_view aService,
                           std::string_view aName) const
{
  const ServiceTable* service = mImpl->Find(aService);
  if (service == nullptr) {
    return nullptr;
  }
  const auto index = service->IndexOf(aName);
  if (!index ||
      service->upstreams[*index].state == wire::UPSTREAM_STATE_UNSPECIFIED) {
    return nullptr;
  }
  return &service->upstreams[*index];
}

const records::LimitRecord*
RoutingTable::FindLimit(std::string_view aService,
                        std::string_view aCustomer) const
{
  const ServiceTable* service = mImpl->Find(aService);
  return service != nullptr ? service->FindLimit(aCustomer) : nullptr;
}

const wire::Ban*
RoutingTable::FindBan(std::string_view aService,
                      std::string_view aFingerprint,
                      WallTime aNow) const
{
  const ServiceTable* service = mImpl->Find(aService);
  return service != nullptr ? service->FindBan(aFingerprint, aNow) : nullptr;
}

std::vector<wire::SlotOwner>
RoutingTable::GrantsOf(std::string_view aService,
                       std::string_view aUpstream) const
{
  return std::move(
    GrantsOf(aService, { UpstreamName{ std::string(aUpstream) } }).front());
}

std::vector<std::vector<wire::SlotOwner>>
RoutingTable::GrantsOf(std::string_view aService,
                       const std::vector<UpstreamName>& aUpstreams) const
{
  const ServiceTable* service = mImpl->Find(aService);
  if (service == nullptr) {
    return std::vector<std::vector<wire::SlotOwner>>(aUpstreams.size());
  }
  return service->GrantsOf(aUpstreams);
}

std::vector<const records::ServiceRecord*>
RoutingTable::Services() const
{
  std::vector<const records::ServiceRecord*> services;
  for (const ServicePointer& service : mImpl->services) {
    if (service->record) {
      services.push_back(service->record.get());
    }
  }
  return services;
}

std::vector<const UpstreamView*>
RoutingTable::Upstreams() const
{
  std::vector<const UpstreamView*> upstreams;
  for (const ServicePointer& service : mImpl->services) {
    for (const UpstreamIndex index : *service->byName) {
      const UpstreamView& view = service->upstreams[index];
      if (view.state != wire::UPSTREAM_STATE_UNSPECIFIED) {
        upstreams.push_back(&view);
      }
    }
  }
  return upstreams;
}

} // namespace rattandyke::routing
