/// Figures of what the coordination of slots costs as entry hosts get more,
/// with the upstreams of the first customer of docs/SCHEDULING.md.
#include <array>
#include <string>
#include <utility>

#include <boost/asio/io_context.hpp>

#include "allocation/allocation_counter.h"
#include "base/clock.h"
#include "bench/bench.h"
#include "gateway/slot_coordinator.h"
#include "testing/entry_group.h"

namespace rattandyke::bench {
namespace {

using gateway::testing::EntryGroup;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::array<size_t, 3> kEntryHosts{ 30, 300, 1000 };
/// A quarter of the first customer's upstreams, so that 1,000 entry hosts are
/// simulated in seconds.
constexpr size_t kUpstreams = 40;
constexpr seconds kWarmUp{ 2 };
constexpr seconds kMeasured{ 4 };

/// Upstreams of one kind.
struct Pool
{
  const char* name;
  bool ownsKeys;
  milliseconds serviceTime;
};

constexpr std::array kPools{
  Pool{ "owners", true, milliseconds{ 160 } },
  Pool{ "shared", false, milliseconds{ 210 } },
};

/// Requests as a share of what the upstreams can run.
struct Demand
{
  const char* name;
  double ofCapacity;
};

/// 0.44 is the use of the customers' owners on an ordinary day. A home entry
/// grants three requests at an upstream with two slots, and simulated upstreams
/// run all of them in the service time: they are full from 1.5 on.
constexpr std::array kDemands{ Demand{ "below", 0.44 },
                               Demand{ "saturated", 1.8 } };

/// What one run has cost.
struct Cost
{
  double messages = 0;
  double bytes = 0;
  double served = 0;
};

/// @return the cost for each request that callers have sent.
Cost
CostOf(size_t aEntryHosts, const Pool& aPool, const Demand& aDemand)
{
  EntryGroup group(aEntryHosts, kUpstreams, aPool.ownsKeys);
  double capacity = 0;
  for (size_t number = 0; number < kUpstreams; ++number) {
    auto& upstream = group.Upstream(number);
    upstream.serviceTime = aPool.serviceTime;
    capacity +=
      upstream.slots / std::chrono::duration<double>(aPool.serviceTime).count();
  }
  const double rate = aDemand.ofCapacity * capacity;
  group.RunFor(kWarmUp, rate);
  static_cast<void>(group.TakeSlotMessages());
  group.ResetCounts();
  group.RunFor(kMeasured, rate);
  const auto sent = group.TakeSlotMessages();
  const double requests = rate * static_cast<double>(kMeasured.count());
  return { static_cast<double>(sent.messages) / requests,
           static_cast<double>(sent.bytes) / requests,
           static_cast<double>(group.Served()) / requests };
}

void
RunCoordination(Reporter& aReporter)
{
  for (const Pool& pool : kPools) {
    for (const Demand& demand : kDemands) {
      for (const size_t entryHosts : kEntryHosts) {
        const Cost cost = CostOf(entryHosts, pool, demand);
        const std::string name = std::string("scheduling_coordinated_") +
                                 pool.name + '_' + demand.name + '_' +
                                 std::to_string(entryHosts);
        aReporter.Printed(
          name + "_messages_per_request", cost.messages, "count");
        aReporter.Printed(name + "_bytes_per_request", cost.bytes, "bytes");
        aReporter.Printed(name + "_served_share", cost.served, "share");
      }
    }
  }
}

/// An entry host that allocates the slots of all upstreams to the others, each
/// of which requests one in turn and returns it.
class Allocator
{
public:
  explicit Allocator(size_t aEntryHosts)
    : mEntryHosts(aEntryHosts)
  {
    wire::GatewayCommand put;
    wire::ServiceItem* service = put.mutable_change_items()->add_services();
    service->set_name(kService);
    service->set_owns_keys(true);
    service->set_version(1);
    Apply(put);
    for (size_t number = 0; number < kUpstreams; ++number) {
      wire::UpstreamInstance* instance =
        put.mutable_put_instance()->mutable_instance();
      instance->set_id(InstanceId(number));
      instance->set_service(kService);
      instance->set_address("10.9.0.1:" + std::to_string(number + 1));
      instance->set_slots(2);
      instance->set_life(1);
      Apply(put);
    }
    for (size_t number = 0; number < aEntryHosts; ++number) {
      put.mutable_put_entry()->mutable_entry()->set_address(AddressOf(number));
      Apply(put);
    }
    mSlots.StateChanged(mState);
  }

  /// One request of the next entry host for the next upstream.
  void Next()
  {
    ++mTicket;
    const size_t entry = 1 + mTicket % (mEntryHosts - 1);
    wire::SlotAsk ask;
    ask.set_reply_to(AddressOf(entry));
    ask.set_session(kSession + entry);
    ask.set_ticket(mTicket);
    ask.set_service(kService);
    ask.set_instance(InstanceId(mTicket % kUpstreams));
    ask.set_patience_ms(300);
    ask.set_held_ms(1000);
    ask.set_aim_ms(500);
    mSlots.OnSlotRequest(ask);
    wire::SlotDone done;
    done.set_from(AddressOf(entry));
    done.set_session(kSession + entry);
    done.set_ticket(mTicket);
    done.set_took_us(160'000);
    mSlots.OnSlotRelease(done);
  }

  uint64_t Granted() const { return mGranted; }
  uint64_t Requested() const { return mTicket; }

private:
  static constexpr const char* kService = "desk";
  /// Session of the allocator; those of other entry hosts follow it.
  static constexpr uint64_t kSession = 1;

  static std::string InstanceId(size_t aUpstream)
  {
    return "i-" + std::to_string(aUpstream);
  }

  static std::string AddressOf(size_t aEntry)
  {
    return "10.0." + std::to_string(aEntry / 250) + "." +
           std::to_string(aEntry % 250) + ":1";
  }

  void Apply(const wire::GatewayCommand& aCommand)
  {
    static_cast<void>(mState.Apply(aCommand, LogIndex{ ++mIndex }));
  }

  const size_t mEntryHosts;
  boost::asio::io_context mContext;
  SystemClock mClock;
  gateway::State mState;
  uint64_t mIndex = 0;
  uint64_t mTicket = 0;
  uint64_t mGranted = 0;
  gateway::SlotCoordinator mSlots{
    mContext.get_executor(),
    AddressOf(0),
    kSession,
    [this](const HostName&, const wire::GatewayFrame& aFrame) {
      mGranted += aFrame.slot_answer().state() == wire::SLOT_STATE_GRANTED;
    },
    mClock,
    kSeed,
    { EntryGroup::kDrainTimeout, seconds{ 5 }, 1, 0, {}, {} },
    [] { return Duration::zero(); }
  };
};

void
RunAllocator(Reporter& aReporter)
{
  constexpr uint64_t kCalls = 5000;
  for (const size_t entryHosts : kEntryHosts) {
    Allocator allocator(entryHosts);
    const std::string name =
      "scheduling_allocator_" + std::to_string(entryHosts);
    aReporter.Printed(name + "_per_request",
                      NanosecondsPerCall(kCalls, [&] { allocator.Next(); }),
                      "ns");
    const auto count = allocation::During([&] { allocator.Next(); });
    aReporter.Printed(name + "_allocations_per_request",
                      static_cast<double>(count.allocations),
                      "count");
    // Otherwise the figure above would be of refusals.
    aReporter.AtLeast(name + "_granted_share",
                      static_cast<double>(allocator.Granted()) /
                        static_cast<double>(allocator.Requested()),
                      "share",
                      1);
  }
}

const Registration sAllocator("scheduling_allocator", RunAllocator);
const Registration sCoordination("scheduling_coordination", RunCoordination);

} // namespace
} // namespace rattandyke::bench
