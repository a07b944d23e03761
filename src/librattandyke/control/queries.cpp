#include "control/queries.h"

#include "control/explain.h"
#include "records/record_json.h"

namespace rattandyke::control {

namespace {

// Longer lists of slots are given as one line for each upstream: an answer has
// to fit one message between hosts.
constexpr size_t kMostSlotLines = 65'536;

boost::json::array
ListRecords(const State& aState)
{
  boost::json::array list;
  for (const auto& [key, stored] : aState.Records().All()) {
    if (stored.newest.deleted()) {
      continue;
    }
    boost::json::object line = records::ToJson(stored.newest);
    line["understood"] = records::IsUnderstood(stored.newest);
    const wire::Record* inForce = stored.InForce();
    line["in_force_revision"] = inForce == nullptr ? 0 : inForce->revision();
    list.push_back(std::move(line));
  }
  return list;
}

boost::json::object
UpstreamLine(const UpstreamEntry& aEntry)
{
  const wire::Upstream& view = aEntry.view;
  return { { "service", view.service() },
           { "name", view.name() },
           { "state", NameOf(view.state()) },
           { "address", view.address() },
           { "data_centre", view.data_centre() },
           { "slots", view.slots() },
           { "checks_fences", view.checks_fences() },
           { "incarnation", std::to_string(view.incarnation()) },
           { "home", view.home() },
           { "registered_version", view.registered_version() },
           { "start_unix_ms", view.start_unix_ms() },
           { "owned_slots", aEntry.slots.size() },
           { "owned_hot_keys", aEntry.hotKeys.size() } };
}

boost::json::array
ListUpstreams(const State& aState)
{
  boost::json::array list;
  for (const auto& [name, service] : aState.Owners().All()) {
    for (const UpstreamEntry& entry : service.upstreams) {
      if (!entry.IsForgotten()) {
        list.push_back(UpstreamLine(entry));
      }
    }
  }
  return list;
}

boost::json::object
HoldingLine(const ServiceAssignments& aService, const Holding& aHolding)
{
  boost::json::object line;
  line["service"] = aService.name;
  const UpstreamEntry* owner = aService.At(aHolding.owner);
  line["upstream"] = owner == nullptr ? "" : owner->view.name();
  line["fence"] = aHolding.fence;
  line["since_unix_ms"] = aHolding.since.time_since_epoch().count();
  line["reason"] = NameOf(aHolding.reason);
  return line;
}

boost::json::array
ListOwners(const State& aState, const std::string& aService)
{
  boost::json::array list;
  for (const auto& [name, service] : aState.Owners().All()) {
    if (!aService.empty() && name != aService) {
      continue;
    }
    if (service.slots.size() > kMostSlotLines) {
      for (const UpstreamEntry& entry : service.upstreams) {
        list.push_back(UpstreamLine(entry));
      }
      continue;
    }
    for (size_t slot = 0; slot < service.slots.size(); ++slot) {
      boost::json::object line = HoldingLine(service, service.slots[slot]);
      line["slot"] = slot;
      list.push_back(std::move(line));
    }
    for (const auto& [key, holding] : service.hotKeys) {
      if (!holding.removed) {
        boost::json::object line = HoldingLine(service, holding);
        line["key"] = key;
        list.push_back(std::move(line));
      }
    }
  }
  return list;
}

boost::json::array
ListHosts(const State& aState, const HostLeases& aHosts, Instant aNow)
{
  boost::json::array list;
  for (const auto& [session, lease] : aHosts.All()) {
    const auto silent = std::chrono::duration_cast<std::chrono::milliseconds>(
      aNow - lease.lastSeen);
    list.push_back({ { "name", session.host.value },
                     { "session", std::to_string(session.session) },
                     { "data_centre", lease.dataCentre.value },
                     { "peer_address", lease.peerAddress },
                     { "admin_address", lease.adminAddress },
                     { "entry", lease.entry },
                     { "leaving", lease.leaving },
                     { "live", aHosts.MayLive(lease, aNow) },
                     { "silent_ms", silent.count() },
                     { "table_version", lease.table.value },
                     { "quiesced_version", lease.quiesced.value },
                     { "newest_version", aState.Version().value } });
  }
  return list;
}

boost::json::array
ListBans(const State& aState)
{
  boost::json::array list;
  const auto now =
    static_cast<uint64_t>(aState.Now().time_since_epoch().count());
  for (const auto& [key, entry] : aState.Bans().All()) {
    const wire::Ban& ban = entry.ban;
    if (ban.lifted() || ban.expires_unix_ms() <= now) {
      continue;
    }
    list.push_back({ { "service", ban.service() },
                     { "fingerprint", ban.fingerprint() },
                     { "expires_unix_ms", ban.expires_unix_ms() },
                     { "reason", ban.reason() } });
  }
  return list;
}

boost::json::object
CountClaims(const State& aState)
{
  const ClaimTable::Counts counts = aState.Claims().Count();
  return { { "running", counts.running },
           { "done", counts.done },
           { "unknown", counts.unknown } };
}

} // namespace

Result<boost::json::value>
AnswerQuery(const wire::QueryCall& aQuery,
            const State& aState,
            const HostLeases& aHosts,
            Instant aNow)
{
  const std::string& what = aQuery.what();
  if (what == "records") {
    return ListRecords(aState);
  }
  if (what == "owners" && !aQuery.key().empty()) {
    return ExplainOwner(aState, aQuery.service(), aQuery.key());
  }
  if (what == "owners") {
    return ListOwners(aState, aQuery.service());
  }
  if (what == "upstreams") {
    return ListUpstreams(aState);
  }
  if (what == "hosts" || what == "in-force") {
    return ListHosts(aState, aHosts, aNow);
  }
  if (what == "claims") {
    return CountClaims(aState);
  }
  if (what == "bans") {
    return ListBans(aState);
  }
  return Fail(Code::UsageError, "The query '" + what + "' is not known.");
}

} // namespace rattandyke::control
