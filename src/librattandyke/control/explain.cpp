#include "control/explain.h"

#include "routing/routing_table.h"

namespace rattandyke::control {

namespace {

/// Slots owned for each request that can run at once, of the owner and on
/// average.
struct Use
{
  double own = 0;
  double mean = 0;
};

Use
UseOf(const ServiceAssignments& aService, const UpstreamEntry& aOwner)
{
  double slots = 0;
  double capacity = 0;
  for (const UpstreamEntry& entry : aService.upstreams) {
    if (!entry.IsForgotten() && entry.IsActive()) {
      slots += static_cast<double>(entry.slots.size());
      capacity += entry.view.slots();
    }
  }
  Use use;
  use.own = static_cast<double>(aOwner.slots.size()) /
            std::max(1U, aOwner.view.slots());
  use.mean = capacity > 0 ? slots / capacity : 0;
  return use;
}

std::string_view
Sentence(wire::MoveReason aReason)
{
  switch (aReason) {
    case wire::MOVE_REASON_FIRST_OWNER:
      return "It is the first owner of the key.";
    case wire::MOVE_REASON_OWNER_LOST:
      return "The owner before was lost.";
    case wire::MOVE_REASON_OWNER_DRAINING:
      return "The owner before was drained.";
    case wire::MOVE_REASON_BALANCE:
      return "Upstreams joined or left, and this evened out the slots.";
    case wire::MOVE_REASON_LOAD:
      return "The owner before was loaded more than others for long.";
    case wire::MOVE_REASON_HOT_KEY:
      return "The key is hot and has an owner of its own.";
    case wire::MOVE_REASON_TAKEN_BACK:
      return "A move was given up: the owner did not let go in time.";
    default:
      return "Nobody has owned the key yet.";
  }
}

boost::json::array
WouldMove(const records::ServiceRecord& aRecord,
          const Holding& aHolding,
          bool aIsHotKey)
{
  boost::json::array would;
  if (aHolding.owner == kNobody) {
    would.push_back("It goes to the least used active upstream as soon as its "
                    "last owner is known to run nothing more for it.");
    return would;
  }
  would.push_back("The owner is lost, or lets its lease end.");
  would.push_back("The owner drains.");
  if (aRecord.deadlineWindow) {
    would.push_back("The owner refuses much of its load; nothing else in this "
                    "deadline window.");
    return would;
  }
  would.push_back("Another upstream is used so much less that moving this slot "
                  "lowers the highest use.");
  would.push_back(aIsHotKey ? "The key is no longer hot."
                            : "The key becomes hot: it then moves alone.");
  return would;
}

} // namespace

std::string_view
NameOf(wire::UpstreamState aState)
{
  switch (aState) {
    case wire::UPSTREAM_STATE_ACTIVE:
      return "active";
    case wire::UPSTREAM_STATE_DRAINING:
      return "draining";
    default:
      return "lost";
  }
}

std::string_view
NameOf(wire::MoveReason aReason)
{
  switch (aReason) {
    case wire::MOVE_REASON_FIRST_OWNER:
      return "first-owner";
    case wire::MOVE_REASON_OWNER_LOST:
      return "owner-lost";
    case wire::MOVE_REASON_OWNER_DRAINING:
      return "owner-draining";
    case wire::MOVE_REASON_BALANCE:
      return "balance";
    case wire::MOVE_REASON_LOAD:
      return "load";
    case wire::MOVE_REASON_HOT_KEY:
      return "hot-key";
    case wire::MOVE_REASON_TAKEN_BACK:
      return "taken-back";
    default:
      return "none";
  }
}

Result<boost::json::value>
ExplainOwner(const State& aState,
             const std::string& aService,
             const std::string& aKey)
{
  const auto record = aState.ServiceInForce(aService);
  const ServiceAssignments* service = aState.Owners().Find(aService);
  if (!record || service == nullptr || service->slots.empty()) {
    return Fail(Code::UnknownService,
                "There is no service '" + aService + "'.");
  }
  const Slot slot =
    routing::SlotOf(aKey, static_cast<uint32_t>(service->slots.size()));
  const auto hotKey = service->hotKeys.find(aKey);
  const bool isHotKey =
    hotKey != service->hotKeys.end() && !hotKey->second.removed;
  const Holding& holding =
    isHotKey ? hotKey->second : service->slots[slot.value];
  boost::json::object answer;
  answer["service"] = aService;
  answer["key"] = aKey;
  answer["slot"] = slot.value;
  answer["hot_key"] = isHotKey;
  answer["fence"] = holding.fence;
  answer["since_unix_ms"] = holding.since.time_since_epoch().count();
  answer["reason"] = NameOf(holding.reason);
  answer["why"] = Sentence(holding.reason);
  const UpstreamEntry* previous = service->At(holding.previous);
  answer["previous"] = previous == nullptr ? "" : previous->view.name();
  const UpstreamEntry* owner = service->At(holding.owner);
  answer["upstream"] = owner == nullptr ? "" : owner->view.name();
  if (owner != nullptr) {
    const Use use = UseOf(*service, *owner);
    answer["state"] = NameOf(owner->view.state());
    answer["slots_per_capacity"] = use.own;
    answer["mean_slots_per_capacity"] = use.mean;
  }
  answer["placement"] = record->placementPolicy;
  answer["would_move"] = WouldMove(*record, holding, isHotKey);
  return answer;
}

} // namespace rattandyke::control
