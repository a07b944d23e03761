#include "capacity/table_slopes.h"

#include <stdexcept>

#include <rattandyke/admission.h>

#include "agent/load_meter.h"
#include "allocation/allocation_counter.h"
#include "capacity/samples.h"
#include "capacity/stopwatch.h"
#include "metrics/recorder.h"
#include "routing/routing_table.h"

namespace rattandyke::capacity {
namespace {

using Table = std::shared_ptr<const routing::RoutingTable>;

constexpr int kRounds = 3;
constexpr size_t kSlotsEach = 16;

Table
Build(const wire::TableUpdate& aUpdate)
{
  Table table = routing::RoutingTable().Apply(aUpdate);
  if (table == nullptr) {
    throw std::runtime_error("A complete table was not taken.");
  }
  return table;
}

double
HeapOf(const wire::TableUpdate& aUpdate)
{
  Table table;
  const auto count = allocation::During([&] { table = Build(aUpdate); });
  return static_cast<double>(count.bytesHeld);
}

wire::TableUpdate
TableOfSlots(size_t aSlots)
{
  return FullTable(aSlots / kSlotsEach, kSlotsEach, 0);
}

/// Slots that change their owners and fences, spread over the table.
wire::TableUpdate
ChangeOf(const Table& aTable, size_t aChanged, size_t aSlots)
{
  wire::TableUpdate change;
  change.set_from_version(aTable->Version().value);
  change.set_to_version(aTable->Version().value + 1);
  for (size_t one = 0; one < aChanged; ++one) {
    wire::SlotOwner owner = SlotOwnerOf(one * (aSlots / aChanged), 0);
    owner.set_fence(change.to_version());
    *change.add_owners() = std::move(owner);
  }
  return change;
}

double
SecondsToApply(const Table& aTable, const wire::TableUpdate& aChange)
{
  constexpr int kRepeats = 20;
  return LeastThreadSeconds(kRounds,
                            [&] {
                              for (int one = 0; one < kRepeats; ++one) {
                                if (aTable->Apply(aChange) == nullptr) {
                                  throw std::runtime_error("Not applied.");
                                }
                              }
                            }) /
         kRepeats;
}

void
MeasureBytes(TableSlopes& aSlopes)
{
  std::vector<Point> upstreams;
  std::vector<Point> slots;
  std::vector<Point> keys;
  for (const size_t size : { 100U, 400U, 1600U }) {
    upstreams.push_back(
      { static_cast<double>(size), HeapOf(FullTable(size, 0, 0)) });
    keys.push_back(
      { static_cast<double>(size), HeapOf(FullTable(10, 1, size)) });
  }
  for (const size_t size : { 4000U, 16000U, 64000U }) {
    wire::TableUpdate table = FullTable(10, size / 10, 0);
    slots.push_back({ static_cast<double>(size), HeapOf(table) });
  }
  aSlopes.bytesPerUpstream = FitLine(std::move(upstreams));
  aSlopes.bytesPerSlot = FitLine(std::move(slots));
  aSlopes.bytesPerHotKey = FitLine(std::move(keys));
}

void
MeasureChanges(TableSlopes& aSlopes)
{
  constexpr size_t kTableSlots = 16000;
  std::vector<Point> builds;
  std::vector<Point> ones;
  for (const size_t size : { 4000U, 16000U, 64000U }) {
    const wire::TableUpdate update = TableOfSlots(size);
    const Table table = Build(update);
    const auto slots = static_cast<double>(size);
    builds.push_back(
      { slots, LeastThreadSeconds(kRounds, [&] { (void)Build(update); }) });
    ones.push_back({ slots, SecondsToApply(table, ChangeOf(table, 1, size)) });
  }
  std::vector<Point> changes;
  const Table table = Build(TableOfSlots(kTableSlots));
  for (const size_t size : { 10U, 100U, 1000U }) {
    changes.push_back(
      { static_cast<double>(size),
        SecondsToApply(table, ChangeOf(table, size, kTableSlots)) });
  }
  aSlopes.buildCpu = FitLine(std::move(builds));
  aSlopes.applyOne = FitLine(std::move(ones));
  aSlopes.applyPerSlot = FitLine(std::move(changes));
}

void
MeasureLookups(TableSlopes& aSlopes)
{
  constexpr size_t kLookups = 100'000;
  std::vector<std::string> keys;
  for (size_t key = 0; key < kLookups; ++key) {
    keys.push_back(KeyText(key));
  }
  std::vector<Point> points;
  for (const size_t size : { 4000U, 16000U, 64000U }) {
    const Table table = Build(TableOfSlots(size));
    const auto look = [&] {
      uint64_t found = 0;
      for (const std::string& key : keys) {
        const auto* service = table->FindServiceByPath("/limits/x");
        found += table->FindOwner(*service, key).upstream != nullptr ? 1 : 0;
      }
      if (found != kLookups) {
        throw std::runtime_error("A key has no owner.");
      }
    };
    const auto count = allocation::During(look);
    aSlopes.lookupAllocations += static_cast<double>(count.allocations);
    points.push_back({ static_cast<double>(size),
                       LeastThreadSeconds(kRounds, look) / kLookups });
  }
  aSlopes.lookupCpu = FitLine(std::move(points));
}

/// Customers in turn offer, all wait; each that finishes lets the next in.
double
SecondsOfAdmission(size_t aCustomers)
{
  constexpr size_t kRequests = 20'000;
  const auto made = admission::AdmissionRegistry::Make("fair", {});
  admission::Admission& queue = **made;
  const Instant now{ std::chrono::hours(1) };
  const auto offer = [&](uint64_t aTicket) {
    admission::Offer one;
    one.ticket = { aTicket };
    one.customer = { "customer-" + std::to_string(aTicket % aCustomers) };
    one.admitBy = now + std::chrono::seconds(1);
    one.deadline = now + std::chrono::seconds(10);
    return queue.Step(one, now);
  };
  admission::Ticket running;
  const auto take = [&](const std::vector<admission::Effect>& aEffects) {
    for (const admission::Effect& effect : aEffects) {
      if (const auto* admit = std::get_if<admission::Admit>(&effect)) {
        running = admit->ticket;
      }
    }
  };
  uint64_t ticket = 0;
  for (size_t one = 0; one <= aCustomers; ++one) {
    take(offer(++ticket));
  }
  const double start = CpuSeconds(CLOCK_THREAD_CPUTIME_ID);
  for (size_t one = 0; one < kRequests; ++one) {
    take(offer(++ticket));
    take(queue.Step(admission::Finished{ running }, now));
  }
  return (CpuSeconds(CLOCK_THREAD_CPUTIME_ID) - start) / kRequests;
}

double
SecondsOfCounting(size_t aKeys)
{
  constexpr size_t kRequests = 100'000;
  std::vector<std::string> keys;
  for (size_t key = 0; key < aKeys; ++key) {
    keys.push_back(KeyText(key));
  }
  agent::LoadMeter meter{ Instant{} };
  return LeastThreadSeconds(
           kRounds,
           [&] {
             for (size_t one = 0; one < kRequests; ++one) {
               const size_t key = one % aKeys;
               meter.CountRequest(
                 kService, Slot{ static_cast<uint32_t>(key) }, keys[key]);
             }
           }) /
         kRequests;
}

double
SecondsOfRecording(size_t aCustomers)
{
  constexpr size_t kRequests = 100'000;
  std::vector<std::string> customers;
  for (size_t one = 0; one < aCustomers; ++one) {
    customers.push_back("customer-" + std::to_string(one));
  }
  metrics::Recorder recorder;
  return LeastThreadSeconds(kRounds,
                            [&] {
                              for (size_t one = 0; one < kRequests; ++one) {
                                metrics::RequestSample sample;
                                sample.service = kService;
                                sample.customer = customers[one % aCustomers];
                                sample.latency = std::chrono::milliseconds(3);
                                recorder.RecordRequest(sample);
                              }
                            }) /
         kRequests;
}

template<typename Measure>
Fit
FitOver(std::initializer_list<size_t> aSizes, Measure aMeasure)
{
  std::vector<Point> points;
  for (const size_t size : aSizes) {
    points.push_back({ static_cast<double>(size), aMeasure(size) });
  }
  return FitLine(std::move(points));
}

} // namespace

TableSlopes
MeasureTable(Printer& aPrinter)
{
  aPrinter.Heading("entry: routing table and one request's decisions");
  TableSlopes slopes;
  MeasureBytes(slopes);
  aPrinter.Slope(
    "table_upstream_bytes", "bytes", "upstream", slopes.bytesPerUpstream);
  aPrinter.Slope("table_slot_bytes", "bytes", "slot", slopes.bytesPerSlot);
  aPrinter.Slope("table_hot_key_bytes", "bytes", "key", slopes.bytesPerHotKey);
  MeasureChanges(slopes);
  aPrinter.Slope("table_build_cpu", "s", "slot", slopes.buildCpu);
  aPrinter.Slope("table_apply_cpu", "s", "changed_slot", slopes.applyPerSlot);
  aPrinter.Slope("table_apply_one_cpu", "s", "slot", slopes.applyOne);
  MeasureLookups(slopes);
  aPrinter.Slope("lookup_cpu", "s", "slot", slopes.lookupCpu);
  aPrinter.Value(
    "lookup_allocations", slopes.lookupAllocations, "count", "all lookups");
  slopes.admissionCpu = FitOver({ 4, 16, 64 }, SecondsOfAdmission);
  aPrinter.Slope("admission_cpu", "s", "customer", slopes.admissionCpu);
  slopes.countingCpu = FitOver({ 100, 1000, 10000 }, SecondsOfCounting);
  aPrinter.Slope("load_counting_cpu", "s", "key", slopes.countingCpu);
  slopes.recordingCpu = FitOver({ 1, 4, 16 }, SecondsOfRecording);
  aPrinter.Slope("metrics_cpu", "s", "customer", slopes.recordingCpu);
  return slopes;
}

} // namespace rattandyke::capacity
