#include "gateway/slot_coordinator.h"

#include <algorithm>
#include <deque>

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

namespace rattandyke::gateway {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

/// The system's clock, set forward by the test.
class ShiftedClock final : public Clock
{
public:
  Instant Now() const override { return mSystem.Now() + mAhead; }
  WallTime Wall() const override { return mSystem.Wall(); }
  void Advance(Duration aTime) { mAhead += aTime; }

private:
  SystemClock mSystem;
  Duration mAhead{};
};

/// One desk, whose upstreams' home is another host that the test plays.
class SlotCoordinatorTest : public ::testing::Test
{
protected:
  void Know(bool aDraining = false)
  {
    wire::GatewayCommand put;
    wire::UpstreamInstance* instance =
      put.mutable_put_instance()->mutable_instance();
    instance->set_id("i-1");
    instance->set_service("desk");
    instance->set_address("10.0.0.1:80");
    instance->set_slots(4);
    instance->set_draining(aDraining);
    Apply(put);
    wire::GatewayCommand entry;
    entry.mutable_put_entry()->mutable_entry()->set_address(kHome);
    Apply(entry);
    desk.StateChanged(state);
  }

  void Apply(const wire::GatewayCommand& aCommand)
  {
    static_cast<void>(state.Apply(aCommand, LogIndex{ ++index }));
  }

  void Acquire(size_t aCount = 1)
  {
    for (size_t number = 0; number < aCount; ++number) {
      SlotRequest request;
      request.service = "desk";
      request.instance = "i-1";
      request.maxWait = milliseconds{ 2000 };
      request.maxHold = milliseconds{ 2000 };
      asio::co_spawn(
        context,
        desk.Acquire(std::make_shared<RequestContext>(context.get_executor()),
                     request),
        [this](const std::exception_ptr&, SlotOutcome aOutcome) {
          outcomes.push_back(std::move(aOutcome));
        });
    }
  }

  /// The home's answer to the oldest ask.
  void Answer(wire::SlotState aState)
  {
    wire::SlotAnswer answer;
    answer.set_session(asks.front().session());
    answer.set_ticket(asks.front().ticket());
    answer.set_state(aState);
    answer.set_instance("i-1");
    answer.set_retry_after_ms(200);
    asks.pop_front();
    asio::post(context, [this, answer] { desk.OnSlotAnswer(answer); });
  }

  size_t Slots() const
  {
    return static_cast<size_t>(
      std::count_if(outcomes.begin(), outcomes.end(), [](const auto& aOutcome) {
        return std::holds_alternative<Slot>(aOutcome);
      }));
  }

  void Sent(const wire::GatewayFrame& aFrame)
  {
    if (aFrame.has_slot_ask()) {
      asks.push_back(aFrame.slot_ask());
      ++asked;
      if (answers) {
        Answer(*answers);
      }
    } else if (aFrame.has_slot_done()) {
      ends.push_back(aFrame.slot_done());
    } else if (aFrame.has_slot_answer()) {
      answered.push_back(aFrame.slot_answer());
    }
  }

  static constexpr const char* kHome = "10.0.0.9:1";
  static constexpr size_t kMostAtOnce = 64;
  ShiftedClock clock;
  asio::io_context context;
  State state;
  uint64_t index = 0;
  std::deque<wire::SlotAsk> asks;
  size_t asked = 0;
  /// What the home answers by itself.
  std::optional<wire::SlotState> answers;
  std::vector<wire::SlotDone> ends;
  /// What this entry answers as a home.
  std::vector<wire::SlotAnswer> answered;
  std::vector<SlotOutcome> outcomes;
  SlotCoordinator desk{
    context.get_executor(),
    "10.0.0.1:1",
    77,
    [this](const HostName&, const wire::GatewayFrame& aFrame) { Sent(aFrame); },
    clock,
    7,
    { std::chrono::seconds{ 2 } },
    [] { return Duration::zero(); }
  };
};

/// @return the home that a desk asks for a slot of an upstream.
template<typename Tell>
std::string
HomeAsked(Tell aTell)
{
  SystemClock clock;
  asio::io_context context;
  std::string home;
  SlotCoordinator desk{ context.get_executor(),
                        "10.0.0.1:1",
                        77,
                        [&](const HostName& aTo, const wire::GatewayFrame&) {
                          home = aTo.value;
                        },
                        clock,
                        7,
                        { std::chrono::seconds{ 2 } },
                        [] { return Duration::zero(); } };
  aTell(desk);
  SlotRequest request;
  request.service = "desk";
  request.instance = "i-1";
  asio::co_spawn(
    context,
    desk.Acquire(std::make_shared<RequestContext>(context.get_executor()),
                 request),
    [](const std::exception_ptr&, const SlotOutcome&) {});
  context.poll();
  return home;
}

// Entries come and go, and each hears of it command by command or, if it has
// just started, with the whole state. All must ask the same home for a slot:
// two homes would give away an upstream's slots twice.
TEST(SlotCoordinator, CommandByCommandHasTheSameHomes)
{
  std::vector<wire::GatewayCommand> commands(1);
  wire::UpstreamInstance* instance =
    commands.front().mutable_put_instance()->mutable_instance();
  instance->set_id("i-1");
  instance->set_service("desk");
  instance->set_address("10.0.0.1:80");
  constexpr int kEntries = 300;
  const auto address = [](int aNumber) {
    return "10.0.1." + std::to_string(aNumber) + ":1";
  };
  for (int number = 0; number < kEntries; ++number) {
    commands.emplace_back().mutable_put_entry()->mutable_entry()->set_address(
      address(number));
  }
  for (int number = 0; number < kEntries; number += 3) {
    commands.emplace_back().mutable_drop_entry()->set_address(address(number));
  }
  State state;
  const std::string followed = HomeAsked([&](SlotCoordinator& aDesk) {
    uint64_t index = 0;
    aDesk.StateChanged(state);
    for (const wire::GatewayCommand& command : commands) {
      static_cast<void>(state.Apply(command, LogIndex{ ++index }));
      aDesk.StateChanged(state, command);
    }
  });
  const std::string whole =
    HomeAsked([&](SlotCoordinator& aDesk) { aDesk.StateChanged(state); });
  EXPECT_EQ(followed, whole);
  EXPECT_TRUE(state.Entries().contains(followed)) << followed;
}

// Three hundred requests for one key arrive at an entry at once. The home of
// its owner's slots hears of 64 at a time, which is what it can take from all
// entries together, and all get their slots in turn.
TEST_F(SlotCoordinatorTest, HomeHearsFewAsksAtOnce)
{
  Know();
  Acquire(300);
  context.poll();
  EXPECT_EQ(asks.size(), kMostAtOnce);
  while (!asks.empty()) {
    Answer(wire::SLOT_STATE_GRANTED);
    context.poll();
    EXPECT_LE(asks.size(), kMostAtOnce);
  }
  EXPECT_EQ(Slots(), 300U);
  EXPECT_EQ(asked, 300U);
}

// The home refuses one request. The others, which it would refuse, too, have
// their answer at once, without being asked for.
TEST_F(SlotCoordinatorTest, RefusalIsSharedByThoseThatWait)
{
  Know();
  answers = wire::SLOT_STATE_REFUSED;
  Acquire(300);
  context.poll();
  EXPECT_EQ(outcomes.size(), 300U);
  EXPECT_EQ(Slots(), 0U);
  EXPECT_LE(asked, kMostAtOnce);
}

// A home was cut off before it heard that an upstream leaves, and gives a slot
// there. The asking entry knows better: it gives the slot back, since the
// upstream may end while the request runs.
TEST_F(SlotCoordinatorTest, SlotAtLeavingUpstreamIsGivenBack)
{
  Know(true);
  clock.Advance(std::chrono::seconds{ 2 });
  answers = wire::SLOT_STATE_GRANTED;
  Acquire();
  context.run_for(milliseconds{ 5 });
  ASSERT_EQ(ends.size(), 1U);
  EXPECT_EQ(ends.front().end(),
            static_cast<uint32_t>(AttemptOutcome::Abandoned));
}

// With a drain timeout of 2 s a leaving owner of keys still gets requests for
// 0.9 s, until its keys have another holder.
TEST_F(SlotCoordinatorTest, LeavingOwnerIsUsedForAPartOfItsDrainTimeout)
{
  Know(true);
  clock.Advance(milliseconds{ 600 });
  answers = wire::SLOT_STATE_GRANTED;
  Acquire();
  context.run_for(milliseconds{ 5 });
  EXPECT_EQ(Slots(), 1U);
  EXPECT_TRUE(ends.empty());
}

// The home says nothing. The request goes by what this host knows itself, and
// the next ones do not wait for the home again.
TEST_F(SlotCoordinatorTest, SilentHomeIsLeftAlone)
{
  Know();
  Acquire();
  context.run();
  EXPECT_EQ(Slots(), 1U);
  EXPECT_EQ(asked, 1U);
  Acquire();
  context.restart();
  context.run();
  EXPECT_EQ(Slots(), 2U);
  EXPECT_EQ(asked, 1U);
}

// Alone, an entry takes a part of the slots only: the others that are alone, as
// well, would overrun the upstream together.
TEST_F(SlotCoordinatorTest, AloneTakesAPartOfTheSlots)
{
  Know();
  Acquire();
  context.run();
  Acquire(8);
  context.restart();
  context.poll();
  EXPECT_EQ(Slots(), 2U);
}

// The home of a busy owner says nothing to any of some tens of entries. Each
// sends the owner one request by itself; more would be more than it has places
// for, and those beyond never get an answer. The next caller is told at once to
// come back.
TEST_F(SlotCoordinatorTest, ManyEntriesLeaveABusyOwnerToItsHome)
{
  Know();
  for (int number = 0; number < 30; ++number) {
    wire::GatewayCommand command;
    command.mutable_put_entry()->mutable_entry()->set_address(
      "10.0.2." + std::to_string(number) + ":1");
    static_cast<void>(state.Apply(command, LogIndex{ ++index }));
    desk.StateChanged(state, command);
  }
  Acquire();
  context.run();
  EXPECT_EQ(Slots(), 1U);
  Acquire();
  context.restart();
  context.run();
  ASSERT_EQ(outcomes.size(), 2U);
  const auto* none = std::get_if<SlotUnavailable>(&outcomes.back());
  ASSERT_NE(none, nullptr);
  EXPECT_EQ(none->reason, UpstreamSet::UnavailableReason::Full);
  EXPECT_GT(none->retryAfter, Duration::zero());
}

// All hosts were restarted; an entry has the state and the home of an upstream
// has none yet. The home must not say that it knows no such upstream, which
// would end the request: it declines, and the entry goes by itself at once.
TEST_F(SlotCoordinatorTest, HomeWithoutStateDeclines)
{
  wire::SlotAsk ask;
  ask.set_reply_to("10.0.0.2:1");
  ask.set_session(5);
  ask.set_ticket(9);
  ask.set_service("desk");
  ask.set_instance("i-1");
  desk.OnSlotRequest(ask);
  ASSERT_EQ(answered.size(), 1U);
  EXPECT_EQ(answered.front().state(), wire::SLOT_STATE_UNKNOWN);
  EXPECT_EQ(answered.front().ticket(), 9U);
}

TEST_F(SlotCoordinatorTest, EntryGoesByItselfWhenTheHomeDeclines)
{
  Know();
  answers = wire::SLOT_STATE_UNKNOWN;
  Acquire(1);
  context.run();
  EXPECT_EQ(Slots(), 1U);
  EXPECT_EQ(asked, 1U);
}

// The home keeps in its queue as many requests as the entry may ask for at
// once. They cost it nothing more, and must not keep others from asking that
// are more urgent, or can still be in time.
TEST_F(SlotCoordinatorTest, RequestsInTheHomesQueueLetOthersAsk)
{
  Know();
  answers = wire::SLOT_STATE_QUEUED;
  Acquire(kMostAtOnce + 20);
  context.poll();
  EXPECT_EQ(asked, kMostAtOnce + 20);
}

} // namespace
} // namespace rattandyke::gateway
