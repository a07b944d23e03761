#include "gateway/entry_registry.h"

#include <gtest/gtest.h>

namespace rattandyke::gateway {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTick{ 100 };

wire::EntryMember
Member(size_t aNumber)
{
  wire::EntryMember member;
  member.set_address("10.0.0.1:" + std::to_string(aNumber));
  return member;
}

// Guards against a slow log that repeated commands keep slow: a thousand entry
// hosts subscribe while nothing is committed.
TEST(EntryRegistry, CommandsAreNotRepeatedWhileLogIsSlow)
{
  constexpr size_t kEntries = 1000;
  State state;
  EntryRegistry registry;
  Instant now{ std::chrono::hours{ 1 } };
  registry.OnElected(state, now);
  size_t proposed = 0;
  for (int tick = 0; tick < 9; ++tick) {
    for (size_t at = 0; at < kEntries; ++at) {
      registry.RecordReport(Member(at), now);
    }
    proposed += registry.Tick(state, now).size();
    now += kTick;
  }
  EXPECT_EQ(proposed, kEntries);
  // The commands are lost: all are proposed once more.
  for (size_t at = 0; at < kEntries; ++at) {
    registry.RecordReport(Member(at), now);
  }
  EXPECT_EQ(registry.Tick(state, now + kTick).size(), kEntries);
}

TEST(EntryRegistry, ReturningEntryHostIsAddedAgain)
{
  State state;
  EntryRegistry registry;
  Instant now{ std::chrono::hours{ 1 } };
  uint64_t index = 0;
  const auto tick = [&] {
    for (const wire::GatewayCommand& command : registry.Tick(state, now)) {
      ASSERT_TRUE(state.Apply(command, LogIndex{ ++index }));
    }
    now += kTick;
  };
  registry.OnElected(state, now);
  registry.RecordReport(Member(1), now);
  tick();
  EXPECT_EQ(state.Entries().size(), 1U);
  for (int ticks = 0; ticks < 30; ++ticks) {
    tick();
  }
  EXPECT_TRUE(state.Entries().empty());
  for (int ticks = 0; ticks < 12; ++ticks) {
    registry.RecordReport(Member(1), now);
    tick();
  }
  EXPECT_EQ(state.Entries().size(), 1U);
}

// Guards against allocators that are selected by an old bandwidth: an entry
// host restarts with another one before its removal is due.
TEST(EntryRegistry, ChangedLinkIsProposedOnce)
{
  State state;
  EntryRegistry registry;
  Instant now{ std::chrono::hours{ 1 } };
  registry.OnElected(state, now);
  uint64_t index = 0;
  for (const double link : { 0.0, 1.7, 5.5, 0.0 }) {
    wire::EntryMember member = Member(1);
    member.set_link_mbits(link);
    now += std::chrono::seconds{ 1 };
    registry.RecordReport(member, now);
    const auto commands = registry.Tick(state, now);
    ASSERT_EQ(commands.size(), 1U);
    ASSERT_TRUE(state.Apply(commands.front(), LogIndex{ ++index }));
    EXPECT_EQ(state.Entries().begin()->second.link_mbits(), link);
    EXPECT_TRUE(registry.Tick(state, now + kTick).empty());
  }
}

} // namespace
} // namespace rattandyke::gateway
