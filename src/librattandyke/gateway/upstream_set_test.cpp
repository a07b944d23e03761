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
Put(const std::string& aId,
    const std::string& aService,
    uint64_t aLife = 0,
    bool aDraining = false)
{
  wire::GatewayCommand command;
  wire::UpstreamInstance* instance =
    command.mutable_put_instance()->mutable_instance();
  instance->set_id(aId);
  instance->set_service(aService);
  instance->set_address("10.0.0.1:80");
  instance->set_slots(2);
  instance->set_life(aLife);
  instance->set_draining(aDraining);
  return command;
}

wire::GatewayCommand
End(const std::string& aId, uint64_t aLife)
{
  wire::GatewayCommand command;
  command.mutable_end_instance()->set_id(aId);
  command.mutable_end_instance()->set_life(aLife);
  return command;
}

/// A command for one of few upstreams: it comes, comes again as a later
/// process or with other properties, leaves, or ends.
wire::GatewayCommand
AnyCommand()
{
  const std::string id = IdOf(*rc::gen::inRange<size_t>(0, kIds));
  const auto life = *rc::gen::inRange<uint64_t>(1, 4);
  if (*rc::gen::inRange(0, 4) == 0) {
    return End(id, life);
  }
  const bool keyed = *rc::gen::arbitrary<bool>();
  return Put(id, keyed ? "board" : "desk", life, *rc::gen::arbitrary<bool>());
}

State
WithServices()
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

// Entries that have followed the log for hours choose like one that has just
// got the whole state: all of them find the same home for an upstream's slots
// only if they put it into the same group.
RC_GTEST_PROP(UpstreamSet, CommandByCommandIsAsTheWholeState, ())
{
  const Instant now{ std::chrono::hours{ 1 } };
  State state = WithServices();
  UpstreamSet followed(1, { kDrain });
  followed.Update(state, now);
  uint64_t index = 1;
  const auto commands = *rc::gen::inRange(1, 120);
  for (int i = 0; i < commands; ++i) {
    const wire::GatewayCommand command = AnyCommand();
    static_cast<void>(state.Apply(command, LogIndex{ ++index }));
    followed.Update(state,
                    command.has_put_instance()
                      ? command.put_instance().instance().id()
                      : command.end_instance().id(),
                    now);
  }
  UpstreamSet whole(1, { kDrain });
  whole.Update(state, now);
  for (size_t number = 0; number < kIds; ++number) {
    const std::string id = IdOf(number);
    RC_ASSERT(followed.ServiceOf(id) == whole.ServiceOf(id));
    RC_ASSERT(followed.GroupOf(id) == whole.GroupOf(id));
    RC_ASSERT(followed.IncarnationOf(id) == whole.IncarnationOf(id));
    RC_ASSERT(followed.UsableAddress(id, now) == whole.UsableAddress(id, now));
  }
  for (const char* service : { "board", "desk" }) {
    RC_ASSERT(followed.HasInstances(service) == whole.HasInstances(service));
    for (uint64_t draw = 0; draw < kIds; ++draw) {
      const uint32_t group = followed.DrawGroup(service, draw);
      RC_ASSERT(group == whole.DrawGroup(service, draw));
      RC_ASSERT(followed.RateOf(service, group) ==
                whole.RateOf(service, group));
    }
  }
}

// An upstream ends while it runs a request for this host. The request's end
// must not disturb what is known of the others.
TEST(UpstreamSet, EndOfAnUpstreamWithARequest)
{
  const Instant now{ std::chrono::hours{ 1 } };
  State state = WithServices();
  static_cast<void>(state.Apply(Put("a", "desk"), LogIndex{ 2 }));
  static_cast<void>(state.Apply(Put("b", "desk"), LogIndex{ 3 }));
  UpstreamSet set(1, { kDrain });
  set.Update(state, now);
  const UpstreamSet::Begun begun = set.Begin("a", now);
  static_cast<void>(state.Apply(End("a", 0), LogIndex{ 4 }));
  set.Update(state, "a", now);
  EXPECT_EQ(set.Running("a"), 1U);
  const auto outcome = set.Choose("desk", 0, {}, DataCentre{ "" }, true, now);
  const auto* choice = std::get_if<UpstreamSet::Choice>(&outcome);
  ASSERT_NE(choice, nullptr);
  EXPECT_EQ(choice->instance, "b");
  set.End(
    "a", AttemptOutcome::Answered, std::chrono::milliseconds{ 50 }, begun, now);
  EXPECT_EQ(set.ServiceOf("a"), "");
  EXPECT_TRUE(set.HasInstances("desk"));
}

// Guards against a pass over all upstreams for each entry host that comes or
// goes: a fleet that starts has a thousand of one and ten thousand of the
// other.
TEST(UpstreamSet, ColdOnesAreFoundWithoutAPassOverAll)
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
  EXPECT_EQ(upstreams.ColdLately(), 3U);
  EXPECT_EQ(upstreams.ColdInstances(now).size(), 3U);
  upstreams.ForgetWarm(now + std::chrono::seconds{ 3 });
  EXPECT_EQ(upstreams.ColdLately(), 0U);
}

/// @return bytes of the heap that a set keeps for each of its instances.
double
BytesEach(uint64_t aInstances)
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

// Guards against memory that each entry host spends on each upstream, most of
// which it never meets: buffers for what only cold ones need took 600 bytes.
TEST(UpstreamSet, UpstreamThatIsNeverMetTakesLittleMemory)
{
  constexpr double kMostBytes = 600;
  EXPECT_LE(BytesEach(1000), kMostBytes);
  EXPECT_LE(BytesEach(10000), kMostBytes);
}

} // namespace
} // namespace rattandyke::gateway
