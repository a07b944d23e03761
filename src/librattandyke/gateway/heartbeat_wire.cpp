#include "gateway/heartbeat_wire.h"

namespace rattandyke::gateway {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

KeySpan
SpanFrom(uint32_t aFrom, uint32_t aTo)
{
  return KeySpan{ aFrom, aTo };
}

} // namespace

wire::ForwardedHeartbeat
ToWire(const Heartbeat& aHeartbeat, uint64_t aId)
{
  wire::ForwardedHeartbeat heartbeat;
  heartbeat.set_id(aId);
  heartbeat.set_instance(aHeartbeat.instance);
  heartbeat.set_service(aHeartbeat.service);
  heartbeat.set_address(aHeartbeat.address);
  heartbeat.set_data_centre(aHeartbeat.dataCentre);
  heartbeat.set_version(aHeartbeat.version);
  heartbeat.set_slots(aHeartbeat.slots);
  heartbeat.set_draining(aHeartbeat.draining);
  heartbeat.set_life(aHeartbeat.life);
  heartbeat.set_sequence(aHeartbeat.sequence);
  heartbeat.set_cold_ms(static_cast<uint32_t>(
    duration_cast<milliseconds>(aHeartbeat.cold).count()));
  for (const HeldRange& held : aHeartbeat.holds) {
    wire::FencedRange* range = heartbeat.add_holds();
    range->set_from(held.keys.from);
    range->set_to(held.keys.to);
    range->set_fence(held.fence.value);
  }
  for (const ReleasedRange& released : aHeartbeat.released) {
    wire::KeyRange* range = heartbeat.add_released();
    range->set_from(released.keys.from);
    range->set_to(released.keys.to);
    range->set_handover(released.handover);
  }
  return heartbeat;
}

Heartbeat
FromWire(const wire::ForwardedHeartbeat& aHeartbeat)
{
  Heartbeat heartbeat;
  heartbeat.instance = aHeartbeat.instance();
  heartbeat.service = aHeartbeat.service();
  heartbeat.address = aHeartbeat.address();
  heartbeat.dataCentre = aHeartbeat.data_centre();
  heartbeat.version = aHeartbeat.version();
  heartbeat.slots = aHeartbeat.slots();
  heartbeat.draining = aHeartbeat.draining();
  heartbeat.life = aHeartbeat.life();
  heartbeat.sequence = aHeartbeat.sequence();
  heartbeat.cold = milliseconds{ aHeartbeat.cold_ms() };
  for (const wire::FencedRange& range : aHeartbeat.holds()) {
    heartbeat.holds.push_back(
      { SpanFrom(range.from(), range.to()), Fence{ range.fence() } });
  }
  for (const wire::KeyRange& range : aHeartbeat.released()) {
    heartbeat.released.push_back(
      { SpanFrom(range.from(), range.to()), range.handover() });
  }
  return heartbeat;
}

wire::ForwardedHeartbeatAnswer
ToWire(const Result<HeartbeatAnswer>& aAnswer, uint64_t aId)
{
  wire::ForwardedHeartbeatAnswer answer;
  answer.set_id(aId);
  if (!aAnswer) {
    answer.set_code(static_cast<uint32_t>(aAnswer.error().code));
    answer.set_text(aAnswer.error().message);
    return answer;
  }
  if (aAnswer->grants) {
    answer.set_renews(true);
    answer.set_hold_ms(static_cast<uint32_t>(
      duration_cast<milliseconds>(aAnswer->grants->leaseDuration).count()));
    for (const GrantedRange& granted : aAnswer->grants->ranges) {
      wire::FencedRange* range = answer.add_ranges();
      range->set_from(granted.keys.from);
      range->set_to(granted.keys.to);
      range->set_fence(granted.fence.value);
      range->set_handover(granted.handover);
    }
  }
  return answer;
}

Result<HeartbeatAnswer>
FromWire(const wire::ForwardedHeartbeatAnswer& aAnswer)
{
  if (aAnswer.code() != 0) {
    return Fail(static_cast<Code>(aAnswer.code()), aAnswer.text());
  }
  HeartbeatAnswer answer;
  if (aAnswer.renews()) {
    Grants& grants = answer.grants.emplace();
    grants.leaseDuration = milliseconds{ aAnswer.hold_ms() };
    for (const wire::FencedRange& range : aAnswer.ranges()) {
      grants.ranges.push_back({ SpanFrom(range.from(), range.to()),
                                Fence{ range.fence() },
                                range.handover() });
    }
  }
  return answer;
}

} // namespace rattandyke::gateway
