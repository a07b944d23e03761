#include "capacity/samples.h"

#include <cstdio>

namespace rattandyke::capacity {
namespace {

/// A log after some weeks: indices of this size take four bytes on the wire.
constexpr uint64_t kIndex = 100'000'000;
constexpr uint64_t kWallMs = 1'764'700'000'000;
constexpr size_t kDataCentres = 28;

std::string
Numbered(const char* aFormat, size_t aNumber)
{
  char text[48];
  std::snprintf(text, sizeof text, aFormat, aNumber);
  return text;
}

std::string
AddressText(size_t aNumber)
{
  constexpr size_t kByte = 256;
  return "10.20." + std::to_string(aNumber / kByte % kByte) + '.' +
         std::to_string(aNumber % kByte) + ":8080";
}

} // namespace

std::string
HostText(size_t aNumber)
{
  return Numbered("entry-%05zu", aNumber);
}

std::string
UpstreamText(size_t aNumber)
{
  return Numbered("limits-%05zu", aNumber);
}

std::string
KeyText(size_t aNumber)
{
  return Numbered("field/%010zu", aNumber);
}

wire::Record
ServiceRecordOf(size_t aSlots)
{
  wire::Record record;
  record.set_kind("service");
  record.set_name(kService);
  record.set_schema_version(1);
  record.set_revision(kIndex);
  record.set_body_json(R"({"prefix":"/limits","key":"path:2","slots":)" +
                       std::to_string(aSlots) + "}");
  record.set_submission_id("0123456789abcdef");
  record.set_submitted_by("operator");
  record.set_submitted_unix_ms(kWallMs);
  return record;
}

wire::Upstream
UpstreamOf(size_t aNumber)
{
  wire::Upstream upstream;
  upstream.set_name(UpstreamText(aNumber));
  upstream.set_service(kService);
  upstream.set_incarnation(0x9e3779b97f4a7c15ULL * (aNumber + 1));
  upstream.set_address(AddressText(aNumber));
  upstream.set_data_centre("dc-" + std::to_string(aNumber % kDataCentres));
  upstream.set_slots(4);
  upstream.set_checks_fences(true);
  upstream.set_state(wire::UPSTREAM_STATE_ACTIVE);
  upstream.set_registered_version(kIndex + aNumber);
  upstream.set_home(HostText(aNumber / 3));
  upstream.set_start_unix_ms(kWallMs);
  return upstream;
}

wire::SlotOwner
SlotOwnerOf(size_t aSlot, size_t aOwner)
{
  wire::SlotOwner owner;
  owner.set_service(kService);
  owner.set_slot(static_cast<uint32_t>(aSlot));
  owner.set_upstream(UpstreamText(aOwner));
  owner.set_fence(kIndex + aSlot);
  owner.set_previous(UpstreamText(aOwner + 1));
  return owner;
}

wire::SlotOwner
HotKeyOwnerOf(size_t aNumber, size_t aOwner)
{
  wire::SlotOwner owner = SlotOwnerOf(0, aOwner);
  owner.set_key(KeyText(aNumber));
  return owner;
}

wire::TableUpdate
FullTable(size_t aUpstreams, size_t aSlotsEach, size_t aHotKeys)
{
  const size_t slots = std::max<size_t>(aUpstreams * aSlotsEach, 1);
  wire::TableUpdate table;
  table.set_to_version(kIndex);
  *table.add_records() = ServiceRecordOf(slots);
  for (size_t upstream = 0; upstream < aUpstreams; ++upstream) {
    *table.add_upstreams() = UpstreamOf(upstream);
  }
  for (size_t slot = 0; slot < aUpstreams * aSlotsEach; ++slot) {
    *table.add_owners() = SlotOwnerOf(slot, slot / aSlotsEach);
  }
  for (size_t key = 0; key < aHotKeys; ++key) {
    *table.add_owners() = HotKeyOwnerOf(key, key % aUpstreams);
  }
  return table;
}

wire::Heartbeat
IdleHeartbeat()
{
  wire::Heartbeat heartbeat;
  heartbeat.set_host(HostText(1));
  heartbeat.set_session(0x9e3779b97f4a7c15ULL);
  heartbeat.set_sequence(kIndex);
  heartbeat.set_data_centre("dc-1");
  heartbeat.set_peer_address("10.20.30.40:7001");
  heartbeat.set_admin_address("10.20.30.40:7002");
  heartbeat.set_table_version(kIndex);
  heartbeat.set_quiesced_version(kIndex);
  heartbeat.set_entry(true);
  return heartbeat;
}

wire::HeartbeatReply
IdleReply()
{
  wire::HeartbeatReply reply;
  reply.set_host(HostText(1));
  reply.set_session(0x9e3779b97f4a7c15ULL);
  reply.set_sequence(kIndex);
  reply.set_term(1000);
  reply.set_leader("control-1");
  reply.set_granted(true);
  reply.set_lease_ms(800);
  reply.set_keeper_version(kIndex);
  return reply;
}

wire::UpstreamReport
ReportOf(size_t aNumber)
{
  wire::UpstreamReport report;
  *report.mutable_announced() = UpstreamOf(aNumber);
  report.set_grants_version(kIndex);
  return report;
}

wire::UpstreamEvidence
EvidenceOf(size_t aNumber)
{
  wire::UpstreamEvidence evidence;
  evidence.set_service(kService);
  evidence.set_upstream(UpstreamText(aNumber));
  evidence.set_succeeded(40);
  evidence.set_mean_latency_us(4000);
  return evidence;
}

wire::SlotLoad
SlotLoadOf(size_t aSlot)
{
  wire::SlotLoad load;
  load.set_service(kService);
  load.set_slot(static_cast<uint32_t>(aSlot));
  load.set_requests(300);
  load.set_interval_ms(1000);
  return load;
}

wire::KeyLoad
KeyLoadOf(size_t aNumber)
{
  wire::KeyLoad load;
  load.set_service(kService);
  load.set_key(KeyText(aNumber));
  load.set_requests(300);
  load.set_interval_ms(1000);
  return load;
}

} // namespace rattandyke::capacity
