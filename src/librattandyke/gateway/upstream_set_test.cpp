#include "gateway/upstream_set.h"

#include <malloc.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace rattandyke::gateway {
namespace {

constexpr std::chrono::seconds kDrain{ 2 };
constexpr size_t kIds = 40;

std::string
IdOf(size_t aNumber)
{
  return "i-" + std::to_string(aNumber);
}

wire::GatewayCommand
PutInstance(const std::string& aId,
            const std::string& aService,
            uint64_t aIncarnation = 0,
            bool aDraining = false)
{
  wire::GatewayCommand command;
  wire::UpstreamInstance* instance =
    command.mutable_put_instance()->mutable_instance();
  instance->set_id(aId);
  instance->set_service(aService);
  instance->set_address("10.0.0.1:80");
  instance->set_slots(2);
  instance->set_life(aIncarnation);
  instance->set_draining(aDraining);
  return command;
}

wire::GatewayCommand
EndInstance(const std::string& aId, uint64_t aIncarnation)
{
  wire::GatewayCommand command;
  command.mutable_end_instance()->set_id(aId);
  command.mutable_end_instance()->set_life(aIncarnation);
  return command;
}

/// @return a command for one of few upstreams that adds it, replaces it by
/// another incarnation, changes its properties, drains it, or ends it.
wire::GatewayCommand
AnyCommand()
{
  const std::string id = IdOf(*rc::gen::inRange<size_t>(0, kIds));
  const auto incarnation = *rc::gen::inRange<uint64_t>(1, 4);
  if (*rc::gen::inRange(0, 4) == 0) {
    return EndInstance(id, incarnation);
  }
  const bool keyed = *rc::gen::arbitrary<bool>();
  return PutInstance(
    id, keyed ? "board" : "desk", incarnation, *rc::gen::arbitrary<bool>());
}

State
StateWithServices()
{
  State state;
  wire::GatewayCommand command;
  for (const char* name : { "board", "desk" }) {
    wire::ServiceItem* service = command.mutable_change_items()->add_services();
    service->set_name(name);
    service->set_owns_keys(std::string(name) == "board");
    service->set_version(1);
    service->set_source(name);
  }
  static_cast<void>(state.Apply(command, LogIndex{ 1 }));
  return state;
}

// Entries that have applied single commands for hours must choose like one that
// has just received a snapshot: all find the same home entry of an upstream
// only if they assign it to the same group.
RC_GTEST_PROP(UpstreamSet, CommandsAndSnapshotGiveTheSameSet, ())
{
  const Instant now{ std::chrono::hours{ 1 } };
  State state = StateWithServices();
  UpstreamSet fromCommands(1, { kDrain });
  fromCommands.Update(state, now);
  uint64_t index = 1;
  const auto commands = *rc::gen::inRange(1, 120);
  for (int i = 0; i < commands; ++i) {
    const wire::GatewayCommand command = AnyCommand();
    static_cast<void>(state.Apply(command, LogIndex{ ++index }));
    fromCommands.Update(state,
                        command.has_put_instance()
                          ? command.put_instance().instance().id()
                          : command.end_instance().id(),
                        now);
  }
  UpstreamSet fromSnapshot(1, { kDrain });
  fromSnapshot.Update(state, now);
  for (size_t number = 0; number < kIds; ++number) {
    const std::string id = IdOf(number);
    RC_ASSERT(fromCommands.ServiceOf(id) == fromSnapshot.ServiceOf(id));
    RC_ASSERT(fromCommands.GroupOf(id) == fromSnapshot.GroupOf(id));
    RC_ASSERT(fromCommands.IncarnationOf(id) == fromSnapshot.IncarnationOf(id));
    RC_ASSERT(fromCommands.UsableAddress(id, now) ==
              fromSnapshot.UsableAddress(id, now));
  }
  for (const char* service : { "board", "desk" }) {
    RC_ASSERT(fromCommands.HasInstances(service) ==
              fromSnapshot.HasInstances(service));
    for (uint64_t draw = 0; draw < kIds; ++draw) {
      const uint32_t group = fromCommands.PickGroup(service, draw);
      RC_ASSERT(group == fromSnapshot.PickGroup(service, draw));
      RC_ASSERT(fromCommands.CapacityOf(service, group) ==
                fromSnapshot.CapacityOf(service, group));
    }
  }
}

// An upstream is removed while an attempt of this host is in flight there. The
// end of the attempt must not affect the other upstreams.
TEST(UpstreamSet, RemovesUpstreamWithAnAttemptInFlight)
{
  const Instant now{ std::chrono::hours{ 1 } };
  State state = StateWithServices();
  static_cast<void>(state.Apply(PutInstance("a", "desk"), LogIndex{ 2 }));
  static_cast<void>(state.Apply(PutInstance("b", "desk"), LogIndex{ 3 }));
  UpstreamSet set(1, { kDrain });
  set.Update(state, now);
  const UpstreamSet::AttemptStart start = set.BeginAttempt("a", 1, now);
  static_cast<void>(state.Apply(EndInstance("a", 0), LogIndex{ 4 }));
  set.Update(state, "a", now);
  EXPECT_EQ(set.InFlight("a"), 1U);
  const auto outcome = set.Choose("desk", 0, {}, DataCentre{ "" }, 1, now);
  const auto* choice = std::get_if<UpstreamSet::Choice>(&outcome);
  ASSERT_NE(choice, nullptr);
  EXPECT_EQ(choice->instance, "b");
  set.EndAttempt(
    "a", AttemptOutcome::Answered, std::chrono::milliseconds{ 50 }, start, now);
  EXPECT_EQ(set.ServiceOf("a"), "");
  EXPECT_TRUE(set.HasInstances("desk"));
}

// Guards against a scan of all upstreams for each entry host that joins or
// leaves: a starting fleet has a thousand entry hosts and ten thousand
// upstreams.
TEST(UpstreamSet, FindsColdInstancesWithoutScanningAll)
{
  State state;
  for (uint64_t at = 1; at <= 1000; ++at) {
    wire::GatewayCommand command;
    wire::UpstreamInstance* instance =
      command.mutable_put_instance()->mutable_instance();
    instance->set_id("i-" + std::to_string(at));
    instance->set_service("desk");
    instance->set_cold_ms(at <= 3 ? 2000 : 0);
    ASSERT_TRUE(state.Apply(command, LogIndex{ at }));
  }
  UpstreamSet upstreams(1, {});
  const Instant now{ std::chrono::hours{ 1 } };
  upstreams.Update(state, now);
  EXPECT_EQ(upstreams.RateLimitCandidateCount(), 3U);
  EXPECT_EQ(upstreams.RateLimitedInstances(now).size(), 3U);
  upstreams.RemoveUnlimited(now + std::chrono::seconds{ 3 });
  EXPECT_EQ(upstreams.RateLimitCandidateCount(), 0U);
}

/// @return the heap memory that a set uses for each of its instances, in bytes.
double
BytesPerInstance(uint64_t aInstances)
{
  State state;
  for (uint64_t at = 1; at <= aInstances; ++at) {
    wire::GatewayCommand command;
    wire::UpstreamInstance* instance =
      command.mutable_put_instance()->mutable_instance();
    instance->set_id("i-" + std::to_string(at));
    instance->set_service("desk");
    instance->set_address("10.128.127.126:65535");
    static_cast<void>(state.Apply(command, LogIndex{ at }));
  }
  const size_t before = mallinfo2().uordblks;
  UpstreamSet upstreams(1, {});
  upstreams.Update(state, Instant{ std::chrono::hours{ 1 } });
  const size_t after = mallinfo2().uordblks;
  return static_cast<double>(after - before) / static_cast<double>(aInstances);
}

// Guards against memory that each entry host uses for each upstream, most of
// which it never sends a request: buffers that only cold ones need took 600
// bytes.
TEST(UpstreamSet, UnusedUpstreamTakesLittleMemory)
{
  constexpr double kMaxBytes = 600;
  EXPECT_LE(BytesPerInstance(1000), kMaxBytes);
  EXPECT_LE(BytesPerInstance(10000), kMaxBytes);
}

} // namespace
} // namespace rattandyke::gateway
