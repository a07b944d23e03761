/// The routing table at the size of the capacity page, and the hot-key sketch.
#include <optional>

#include "agent/load_meter.h"
#include "bench/bench.h"
#include "routing/routing_table.h"

namespace rattandyke::bench {
namespace {

constexpr uint32_t kUpstreams = 18000;
constexpr uint32_t kSlotsEach = 16;
constexpr uint32_t kHotKeys = 500;
constexpr double kMegabyte = 1e6;

std::string
UpstreamNameOf(uint32_t aNumber)
{
  return "upstream-" + std::to_string(aNumber);
}

std::string
KeyOf(uint64_t aNumber)
{
  return "generator-" + std::to_string(aNumber);
}

wire::Upstream
UpstreamOf(uint32_t aNumber)
{
  wire::Upstream upstream;
  upstream.set_service("board");
  upstream.set_name(UpstreamNameOf(aNumber));
  upstream.set_incarnation(aNumber + 1);
  upstream.set_address("10." + std::to_string(aNumber % 200) + ".40.17:8080");
  upstream.set_data_centre("kolkata-1");
  upstream.set_slots(2);
  upstream.set_state(wire::UPSTREAM_STATE_ACTIVE);
  upstream.set_home("entry-" + std::to_string(aNumber % 11));
  return upstream;
}

wire::SlotOwner
OwnerOf(uint32_t aSlot, uint32_t aUpstream, uint64_t aFence)
{
  wire::SlotOwner owner;
  owner.set_service("board");
  owner.set_slot(aSlot);
  owner.set_upstream(UpstreamNameOf(aUpstream));
  owner.set_fence(aFence);
  return owner;
}

/// @return a complete table, version 2, of so many upstreams.
wire::TableUpdate
CompleteUpdate(uint32_t aUpstreams)
{
  wire::TableUpdate update;
  update.set_to_version(2);
  wire::Record& record = *update.add_records();
  record.set_kind("service");
  record.set_name("board");
  record.set_schema_version(1);
  record.set_body_json(R"({"prefix": "/board", "slots": )" +
                       std::to_string(aUpstreams * kSlotsEach) + "}");
  for (uint32_t number = 0; number < aUpstreams; ++number) {
    *update.add_upstreams() = UpstreamOf(number);
  }
  for (uint32_t slot = 0; slot < aUpstreams * kSlotsEach; ++slot) {
    *update.add_owners() = OwnerOf(slot, slot % aUpstreams, 2);
  }
  for (uint32_t hot = 0; hot < kHotKeys; ++hot) {
    wire::SlotOwner owner = OwnerOf(0, hot, 2);
    owner.set_key(KeyOf(hot));
    *update.add_owners() = owner;
  }
  return update;
}

using TablePointer = std::shared_ptr<const routing::RoutingTable>;

TablePointer
TableOf(uint32_t aUpstreams)
{
  return routing::RoutingTable().Apply(CompleteUpdate(aUpstreams));
}

void
MeasureSize(Reporter& aReporter)
{
  const wire::TableUpdate update = CompleteUpdate(kUpstreams);
  TablePointer table;
  const auto count =
    allocation::During([&] { table = routing::RoutingTable().Apply(update); });
  aReporter.AtMost("table_bytes_at_full_size",
                   static_cast<double>(count.bytesHeld) / kMegabyte,
                   "MB",
                   8);
}

void
MeasureLookup(Reporter& aReporter)
{
  constexpr uint64_t kCalls = 100000;
  const TablePointer table = TableOf(kUpstreams);
  std::vector<std::string> keys;
  for (uint64_t number = 0; number < kCalls; ++number) {
    keys.push_back(KeyOf(number * 7));
  }
  size_t next = 0;
  const auto lookup = [&] {
    const auto* service = table->FindServiceByPath("/board/generator-7/hire");
    KeepAlive(table->FindOwner(*service, keys[next++ % keys.size()]));
    KeepAlive(table->FindLimit("board", "desk"));
    KeepAlive(table->FindBan("board", "ab12", {}));
  };
  const auto count = allocation::During([&] {
    for (uint64_t call = 0; call < kCalls; ++call) {
      lookup();
    }
  });
  aReporter.AtMost(
    "lookup_allocations", static_cast<double>(count.allocations), "count", 0);
  aReporter.Printed("lookup_time", NanosecondsPerCall(kCalls, lookup), "ns");
}

/// Applies updates that each move one slot, and keeps only the newest table.
class DeltaPlayer
{
public:
  explicit DeltaPlayer(uint32_t aUpstreams)
    : mTable(TableOf(aUpstreams))
    , mUpstreams(aUpstreams)
    , mSlots(uint64_t{ aUpstreams } * kSlotsEach)
  {
  }

  void ApplyOne()
  {
    const uint64_t version = mTable->Version().value;
    wire::TableUpdate update;
    update.set_from_version(version);
    update.set_to_version(version + 1);
    *update.add_owners() =
      OwnerOf(static_cast<uint32_t>(version * 7919 % mSlots),
              static_cast<uint32_t>(version % mUpstreams),
              version + 1);
    mTable = mTable->Apply(update);
  }

private:
  TablePointer mTable;
  uint32_t mUpstreams;
  uint64_t mSlots;
};

double
BytesOfOneDelta(uint32_t aUpstreams)
{
  constexpr uint64_t kDeltas = 200;
  DeltaPlayer player(aUpstreams);
  const auto count = allocation::During([&] {
    for (uint64_t delta = 0; delta < kDeltas; ++delta) {
      player.ApplyOne();
    }
  });
  return static_cast<double>(count.bytesAllocated) / kDeltas;
}

double
TimeOfOneDelta(uint32_t aUpstreams)
{
  constexpr uint64_t kDeltas = 500;
  DeltaPlayer player(aUpstreams);
  return NanosecondsPerCall(kDeltas, [&] { player.ApplyOne(); });
}

void
MeasureDelta(Reporter& aReporter)
{
  const double full = BytesOfOneDelta(kUpstreams);
  const double tenth = BytesOfOneDelta(kUpstreams / 10);
  aReporter.Printed("table_delta_bytes_at_full_size", full, "bytes");
  // Ten times the table; a copy of it would cost ten times as much.
  aReporter.AtMost("table_delta_bytes_over_tenth", full / tenth, "ratio", 4);
  aReporter.Printed("table_delta_time", TimeOfOneDelta(kUpstreams), "ns");
}

void
MeasureLoadMeter(Reporter& aReporter)
{
  constexpr uint64_t kCalls = 100000;
  agent::LoadMeter meter(Instant{});
  uint64_t number = 0;
  const auto countOne = [&] {
    const std::string key = KeyOf(number * number % 100003);
    meter.CountRequest("board", { static_cast<uint32_t>(number % 256) }, key);
    ++number;
  };
  aReporter.Printed(
    "count_request_time", NanosecondsPerCall(kCalls, countOne), "ns");
}

const Registration sSize("routing_size", MeasureSize);
const Registration sLookup("routing_lookup", MeasureLookup);
const Registration sDelta("routing_delta", MeasureDelta);
const Registration sLoad("routing_load_meter", MeasureLoadMeter);

} // namespace
} // namespace rattandyke::bench
