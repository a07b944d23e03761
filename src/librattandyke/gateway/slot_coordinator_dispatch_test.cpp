// Requests that are sent or refused without a message, by the demand of all
// entry hosts. Another entry host allocates the slots of all upstreams.
#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include "gateway/slot_coordinator.h"

namespace rattandyke::gateway {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::seconds;

class SetClock final : public Clock
{
public:
  Instant Now() const override { return now; }
  WallTime Wall() const override { return {}; }
  Instant now{ seconds{ 1000 } };
};

class SlotDispatchTest : public ::testing::Test
{
protected:
  SlotDispatchTest()
  {
    wire::GatewayCommand entry;
    entry.mutable_put_entry()->mutable_entry()->set_address("10.0.0.9:1");
    Apply(entry);
    for (const std::string& id : { "owner", "a", "b" }) {
      PutInstance(id);
    }
    coordinator.StateChanged(state);
    ApplyDigest({});
  }

  void Apply(const wire::GatewayCommand& aCommand)
  {
    static_cast<void>(state.Apply(aCommand, LogIndex{ ++index }));
    coordinator.StateChanged(state, aCommand);
  }

  void PutInstance(const std::string& aId,
                   uint32_t aColdMs = 0,
                   bool aDraining = false)
  {
    wire::GatewayCommand put;
    wire::UpstreamInstance* instance =
      put.mutable_put_instance()->mutable_instance();
    instance->set_id(aId);
    instance->set_service(aId == "owner" ? "board" : "desk");
    instance->set_address("10.0.0.1:80");
    instance->set_slots(3);
    instance->set_data_centre("dc");
    instance->set_life(1);
    instance->set_cold_ms(aColdMs);
    instance->set_draining(aDraining);
    Apply(put);
  }

  void ApplyDigest(std::vector<scheduling::OwnerDemand> aOwners,
                   double aUtilization = 0.43)
  {
    demand.Apply({ 1,
                   ++sequence,
                   {},
                   std::move(aOwners),
                   { { "desk", aUtilization, 0 } } },
                 clock.now);
  }

  /// Acquires a slot; without a message, the outcome is there at once.
  std::optional<SlotOutcome> Acquire(const std::string& aOwner = "owner",
                                     bool aIdempotent = true)
  {
    clock.now += seconds{ 1 } / 2;
    auto outcome = std::make_shared<std::optional<SlotOutcome>>();
    SlotRequest request;
    request.service = aOwner.empty() ? "desk" : "board";
    request.instance = aOwner;
    request.idempotent = aIdempotent;
    request.maxWait = request.maxHold = request.timeToObjective = seconds{ 2 };
    request.statedTime = request.statedTimeLeft = seconds{ 6 };
    auto requestContext =
      std::make_shared<RequestContext>(context.get_executor());
    asio::co_spawn(context,
                   coordinator.Acquire(requestContext, request),
                   [outcome](const std::exception_ptr&, SlotOutcome aOutcome) {
                     *outcome = std::move(aOutcome);
                   });
    context.restart();
    context.poll();
    return *outcome;
  }

  std::optional<Slot> AcquireDirect(const std::string& aOwner = "owner")
  {
    const size_t before = sent.size();
    const auto outcome = Acquire(aOwner);
    const auto* slot = outcome ? std::get_if<Slot>(&*outcome) : nullptr;
    return slot != nullptr && sent.size() == before ? std::optional(*slot)
                                                    : std::nullopt;
  }

  SetClock clock;
  Duration stateAge{};
  asio::io_context context;
  State state;
  uint64_t index = 0;
  uint64_t sequence = 0;
  std::vector<wire::GatewayFrame> sent;
  scheduling::DemandView demand;
  SlotCoordinator coordinator{
    context.get_executor(),
    "10.0.0.1:1",
    77,
    [this](const HostName&, const wire::GatewayFrame& aFrame) {
      sent.push_back(aFrame);
    },
    clock,
    7,
    { seconds{ 4 }, seconds{ 4 }, 1, 0, "e", DataCentre{ "dc" } },
    [this] { return stateAge; },
    scheduling::DemandDispatch(demand, 7)
  };
};

// A direct request needs no message, also not when it ends, and is in the
// accounts of this host meanwhile.
TEST_F(SlotDispatchTest, DirectRequestIsCountedHereAndSendsNothing)
{
  for (const std::string& owner : { "owner", "" }) {
    ApplyDigest({});
    const auto slot = AcquireDirect(owner);
    ASSERT_TRUE(slot) << owner;
    const UpstreamSet& upstreams = coordinator.Broker().Upstreams();
    EXPECT_EQ(upstreams.InFlight(slot->instance), 1U);
    coordinator.Release(*slot, AttemptOutcome::Answered, milliseconds{ 20 });
    EXPECT_EQ(upstreams.InFlight(slot->instance), 0U);
  }
  EXPECT_TRUE(sent.empty());
  const auto& counts = coordinator.DispatchCounts();
  EXPECT_EQ(counts.at("decision=\"direct\",reason=\"low_demand\""), 2U);
}

// Guards against direct requests to upstreams of which only the allocator knows
// how many requests they may get, and to those that leave.
TEST_F(SlotDispatchTest, RestrictedUpstreamsGetNoDirectRequests)
{
  PutInstance("owner", 60'000);
  PutInstance("a", 60'000);
  PutInstance("b", 0, true);
  EXPECT_FALSE(AcquireDirect("owner"));
  ApplyDigest({});
  EXPECT_FALSE(AcquireDirect(""));
  const auto& counts = coordinator.DispatchCounts();
  EXPECT_EQ(counts.at("decision=\"ask\",reason=\"restricted\""), 1U);
  EXPECT_EQ(counts.at("decision=\"ask\",reason=\"no_room\""), 1U);
}

TEST_F(SlotDispatchTest, LimitedAndLeavingUpstreamsGetNoDirectRequests)
{
  auto slot = AcquireDirect("");
  ASSERT_TRUE(slot);
  coordinator.RecordRateLimit(*slot, 50);
  const std::string limited = slot->instance;
  ApplyDigest({});
  slot = AcquireDirect("");
  ASSERT_TRUE(slot);
  EXPECT_NE(slot->instance, limited);
  coordinator.RecordLeaving(*slot);
  ApplyDigest({});
  EXPECT_FALSE(AcquireDirect(""));
}

TEST_F(SlotDispatchTest, EvacuatedUpstreamsGetNoDirectRequests)
{
  wire::GatewayCommand evacuate;
  evacuate.mutable_evacuate_data_centre()->set_data_centre("dc");
  Apply(evacuate);
  EXPECT_FALSE(AcquireDirect("owner"));
  EXPECT_FALSE(AcquireDirect(""));
}

// Failure: a direct request is refused or fails, or the upstream asks for rest.
// Another upstream is chosen for 2 s, and an owner's allocator is asked.
TEST_F(SlotDispatchTest, FailedUpstreamIsNotChosenDirectly)
{
  auto slot = AcquireDirect("");
  ASSERT_TRUE(slot);
  coordinator.Release(*slot, AttemptOutcome::Refused, {});
  for (int request = 0; request < 3; ++request) {
    ApplyDigest({});
    const auto other = AcquireDirect("");
    ASSERT_TRUE(other);
    EXPECT_NE(other->instance, slot->instance);
    coordinator.Release(*other, AttemptOutcome::Answered, milliseconds{ 20 });
  }
  slot = AcquireDirect("owner");
  ASSERT_TRUE(slot);
  coordinator.Release(*slot, AttemptOutcome::Broken, {});
  ApplyDigest({});
  EXPECT_FALSE(AcquireDirect("owner"));
  coordinator.RecordRest(*slot, seconds{ 5 });
  EXPECT_TRUE(std::holds_alternative<SlotUnavailable>(*Acquire("owner")));
}

// A request that may run only once is not sent directly to an owner that is not
// known to refuse with proof.
TEST_F(SlotDispatchTest, NotIdempotentRequestAsksUntilAProofIsSeen)
{
  static_cast<void>(Acquire("owner", false));
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_TRUE(sent.front().has_slot_ask());
}

// Failure: there is no fresh digest. Requests ask, as they do without demand.
TEST_F(SlotDispatchTest, AsksWithoutAFreshDigest)
{
  clock.now += seconds{ 1 };
  EXPECT_FALSE(AcquireDirect("owner"));
  EXPECT_FALSE(AcquireDirect(""));
  EXPECT_EQ(sent.size(), 2U);
}

// Failure: the connection to the control host confirms no state any more, but
// digests arrive. The upstream may have been drained or lost its keys.
TEST_F(SlotDispatchTest, AsksWithAFreshDigestAndAnOldState)
{
  stateAge = milliseconds{ 499 };
  EXPECT_TRUE(AcquireDirect("owner"));
  EXPECT_TRUE(sent.empty());
  stateAge = milliseconds{ 500 };
  for (const std::string& owner : { "owner", "" }) {
    ApplyDigest({});
    EXPECT_FALSE(AcquireDirect(owner)) << owner;
  }
  // The key may have a new owner with room, so it is not refused either.
  ApplyDigest({ { "owner", 1000, 0.001 } });
  EXPECT_FALSE(Acquire("owner"));
  EXPECT_EQ(sent.size(), 3U);
  const auto& counts = coordinator.DispatchCounts();
  EXPECT_EQ(counts.at("decision=\"ask\",reason=\"no_digest\""), 3U);
}

TEST_F(SlotDispatchTest, RefusesWithoutAMessageOverCapacity)
{
  size_t refused = 0;
  for (int request = 0; request < 40; ++request) {
    ApplyDigest({ { "owner", 1000, 14 } });
    const auto outcome = Acquire("owner");
    const auto* none =
      outcome ? std::get_if<SlotUnavailable>(&*outcome) : nullptr;
    if (none != nullptr) {
      ASSERT_TRUE(none->overCapacity);
      EXPECT_LE(none->retryAfter, seconds{ 2 });
      ++refused;
    }
  }
  EXPECT_GE(refused, 38U);
  EXPECT_EQ(sent.size(), 40 - refused);
}

} // namespace
} // namespace rattandyke::gateway
