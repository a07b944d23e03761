#include "gateway/slot_coordinator.h"

#include <algorithm>
#include <array>
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

/// The system clock plus an offset set by the test.
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

/// A coordinator whose upstream is homed on another entry, played by the test.
class SlotCoordinatorTest : public ::testing::Test
{
protected:
  void LoadState(bool aDraining = false)
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
    coordinator.StateChanged(state);
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
        coordinator.Acquire(
          std::make_shared<RequestContext>(context.get_executor()), request),
        [this](const std::exception_ptr&, SlotOutcome aOutcome) {
          outcomes.push_back(std::move(aOutcome));
        });
    }
  }

  /// Lists two control hosts that allocate. Entries state their links.
  void AddControlHosts()
  {
    ApplyAndTell([](wire::GatewayCommand& aCommand) {
      auto* entry = aCommand.mutable_put_entry()->mutable_entry();
      entry->set_address(kHome);
      entry->set_link_mbits(2.3);
    });
    for (const char* address : kControlHosts) {
      PutControlHost(address, true);
    }
  }

  void PutControlHost(const char* aAddress, bool aAllocates)
  {
    ApplyAndTell([&](wire::GatewayCommand& aCommand) {
      auto* control = aCommand.mutable_put_control()->mutable_control();
      control->set_address(aAddress);
      control->set_allocates_slots(aAllocates);
      control->set_link_mbits(1000);
    });
  }

  /// Makes this host the only allocator.
  void AllocateAlone()
  {
    AddControlHosts();
    PutControlHost(kSelf, true);
    for (const char* address : kControlHosts) {
      PutControlHost(address, false);
    }
  }

  template<typename Fill>
  void ApplyAndTell(Fill aFill)
  {
    wire::GatewayCommand command;
    aFill(command);
    Apply(command);
    coordinator.StateChanged(state, command);
  }

  /// Receives a slot request of another entry.
  void Receive(uint64_t aTicket, bool aSecond)
  {
    wire::SlotAsk ask;
    ask.set_reply_to("10.0.0.2:1");
    ask.set_session(5);
    ask.set_ticket(aTicket);
    ask.set_service("desk");
    ask.set_instance("i-1");
    ask.set_group(coordinator.Broker().Upstreams().GroupOf("i-1"));
    ask.set_patience_ms(1000);
    ask.set_held_ms(1000);
    ask.set_second(aSecond);
    coordinator.OnSlotRequest(ask);
  }

  size_t SentAnswers(wire::SlotState aState) const
  {
    return static_cast<size_t>(std::count_if(
      sentAnswers.begin(), sentAnswers.end(), [&](const auto& aOne) {
        return aOne.state() == aState;
      }));
  }

  /// Sends the home entry's answer to the oldest slot request.
  void Answer(wire::SlotState aState)
  {
    wire::SlotAnswer answer;
    answer.set_session(requests.front().session());
    answer.set_ticket(requests.front().ticket());
    answer.set_state(aState);
    answer.set_instance("i-1");
    answer.set_retry_after_ms(200);
    requests.pop_front();
    asio::post(context, [this, answer] { coordinator.OnSlotAnswer(answer); });
  }

  size_t SlotCount() const
  {
    return static_cast<size_t>(
      std::count_if(outcomes.begin(), outcomes.end(), [](const auto& aOutcome) {
        return std::holds_alternative<Slot>(aOutcome);
      }));
  }

  void OnSent(const wire::GatewayFrame& aFrame)
  {
    if (aFrame.has_slot_ask()) {
      requests.push_back(aFrame.slot_ask());
      ++requestCount;
      if (autoAnswer) {
        Answer(*autoAnswer);
      }
    } else if (aFrame.has_slot_done()) {
      releases.push_back(aFrame.slot_done());
    } else if (aFrame.has_slot_answer()) {
      sentAnswers.push_back(aFrame.slot_answer());
    }
  }

  static constexpr const char* kHome = "10.0.0.9:1";
  static constexpr const char* kSelf = "10.0.0.1:1";
  static constexpr std::array kControlHosts{ "10.8.0.1:1", "10.8.0.2:1" };
  static constexpr size_t kMaxInFlight = 64;
  ShiftedClock clock;
  asio::io_context context;
  State state;
  uint64_t index = 0;
  std::deque<wire::SlotAsk> requests;
  size_t requestCount = 0;
  /// Answer that the home entry sends to each slot request; none: no answer.
  std::optional<wire::SlotState> autoAnswer;
  std::vector<wire::SlotDone> releases;
  /// Answers that the coordinator sent as a home entry.
  std::vector<wire::SlotAnswer> sentAnswers;
  std::vector<SlotOutcome> outcomes;
  Duration stateAge{};
  SlotCoordinator coordinator{ context.get_executor(),
                               kSelf,
                               77,
                               [this](const HostName&,
                                      const wire::GatewayFrame& aFrame) {
                                 OnSent(aFrame);
                               },
                               clock,
                               7,
                               { std::chrono::seconds{ 2 } },
                               [this] { return stateAge; } };
};

/// @return the home entry to which a coordinator sends a slot request.
/// @param aSetup gives the coordinator its state.
template<typename Setup>
std::string
RequestedHome(Setup aSetup)
{
  SystemClock clock;
  asio::io_context context;
  std::string home;
  SlotCoordinator coordinator{
    context.get_executor(),
    "10.0.0.1:1",
    77,
    [&](const HostName& aTo, const wire::GatewayFrame&) { home = aTo.value; },
    clock,
    7,
    { std::chrono::seconds{ 2 } },
    [] { return Duration::zero(); }
  };
  aSetup(coordinator);
  SlotRequest request;
  request.service = "desk";
  request.instance = "i-1";
  asio::co_spawn(
    context,
    coordinator.Acquire(
      std::make_shared<RequestContext>(context.get_executor()), request),
    [](const std::exception_ptr&, const SlotOutcome&) {});
  context.poll();
  return home;
}

// Entries join and leave. Other entries learn of it from single commands or, if
// they have just started, from a snapshot. All must find the same home entry:
// two home entries would allocate the slots of an upstream twice.
TEST(SlotCoordinator, CommandsAndSnapshotGiveTheSameHome)
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
  const std::string fromCommands =
    RequestedHome([&](SlotCoordinator& aCoordinator) {
      uint64_t index = 0;
      aCoordinator.StateChanged(state);
      for (const wire::GatewayCommand& command : commands) {
        static_cast<void>(state.Apply(command, LogIndex{ ++index }));
        aCoordinator.StateChanged(state, command);
      }
    });
  const std::string fromSnapshot = RequestedHome(
    [&](SlotCoordinator& aCoordinator) { aCoordinator.StateChanged(state); });
  EXPECT_EQ(fromCommands, fromSnapshot);
  EXPECT_TRUE(state.Entries().contains(fromCommands)) << fromCommands;
}

// Three hundred requests for one key arrive at an entry at once. At most 64
// slot requests are in flight to the home entry, which is what it can process
// from all entries together, and all requests get their slots in turn.
TEST_F(SlotCoordinatorTest, LimitsRequestsInFlightToTheHome)
{
  LoadState();
  Acquire(300);
  context.poll();
  EXPECT_EQ(requests.size(), kMaxInFlight);
  while (!requests.empty()) {
    Answer(wire::SLOT_STATE_GRANTED);
    context.poll();
    EXPECT_LE(requests.size(), kMaxInFlight);
  }
  EXPECT_EQ(SlotCount(), 300U);
  EXPECT_EQ(requestCount, 300U);
}

// The home entry refuses the requests that it gets. The queued ones, which it
// would refuse as well, are rejected at once and not sent.
TEST_F(SlotCoordinatorTest, RefusalRejectsQueuedRequests)
{
  LoadState();
  autoAnswer = wire::SLOT_STATE_REFUSED;
  Acquire(300);
  context.poll();
  EXPECT_EQ(outcomes.size(), 300U);
  EXPECT_EQ(SlotCount(), 0U);
  EXPECT_LE(requestCount, kMaxInFlight);
}

// A home entry is partitioned before it learns that an upstream is draining,
// and grants a slot there. The requesting entry knows of the draining and
// releases the slot, since the upstream may end while the request runs.
TEST_F(SlotCoordinatorTest, SlotOfDrainingUpstreamIsReleased)
{
  LoadState(true);
  clock.Advance(std::chrono::seconds{ 2 });
  autoAnswer = wire::SLOT_STATE_GRANTED;
  Acquire();
  context.run_for(milliseconds{ 5 });
  ASSERT_EQ(releases.size(), 1U);
  EXPECT_EQ(releases.front().end(),
            static_cast<uint32_t>(AttemptOutcome::Abandoned));
}

// With a drain timeout of 2 s, a draining owner of keys still gets requests for
// 0.9 s, until its keys have another owner.
TEST_F(SlotCoordinatorTest, DrainingOwnerIsUsedForPartOfTheDrainTimeout)
{
  LoadState(true);
  clock.Advance(milliseconds{ 600 });
  autoAnswer = wire::SLOT_STATE_GRANTED;
  Acquire();
  context.run_for(milliseconds{ 5 });
  EXPECT_EQ(SlotCount(), 1U);
  EXPECT_TRUE(releases.empty());
}

// The home entry does not answer. The request is sent uncoordinated, and the
// next ones do not wait for the home entry again.
TEST_F(SlotCoordinatorTest, UnresponsiveHomeIsBypassed)
{
  LoadState();
  Acquire();
  context.run();
  EXPECT_EQ(SlotCount(), 1U);
  EXPECT_EQ(requestCount, 1U);
  Acquire();
  context.restart();
  context.run();
  EXPECT_EQ(SlotCount(), 2U);
  EXPECT_EQ(requestCount, 1U);
}

// An uncoordinated entry uses only a part of an upstream's slots: with all of
// them, several uncoordinated entries would overload the upstream together.
TEST_F(SlotCoordinatorTest, UncoordinatedEntryUsesPartOfTheSlots)
{
  LoadState();
  Acquire();
  context.run();
  Acquire(8);
  context.restart();
  context.poll();
  EXPECT_EQ(SlotCount(), 2U);
}

// The home entry of the owner of a hot key does not answer any of some tens of
// entries. Each sends the owner one request uncoordinated. Further ones would
// exceed the owner's queue and never get a response, so the next request is
// refused at once with a time to retry after.
TEST_F(SlotCoordinatorTest, ManyEntriesDoNotBypassTheHomeOfAHotOwner)
{
  LoadState();
  for (int number = 0; number < 30; ++number) {
    wire::GatewayCommand command;
    command.mutable_put_entry()->mutable_entry()->set_address(
      "10.0.2." + std::to_string(number) + ":1");
    static_cast<void>(state.Apply(command, LogIndex{ ++index }));
    coordinator.StateChanged(state, command);
  }
  Acquire();
  context.run();
  EXPECT_EQ(SlotCount(), 1U);
  Acquire();
  context.restart();
  context.run();
  ASSERT_EQ(outcomes.size(), 2U);
  const auto* none = std::get_if<SlotUnavailable>(&outcomes.back());
  ASSERT_NE(none, nullptr);
  EXPECT_EQ(none->reason, UpstreamSet::UnavailableReason::Full);
  EXPECT_GT(none->retryAfter, Duration::zero());
}

// All hosts were restarted; an entry has the state and the home entry of an
// upstream has none yet. The home entry must not refuse the request, which
// would end it: it declines, and the requesting entry sends it uncoordinated at
// once.
TEST_F(SlotCoordinatorTest, HomeWithoutStateDeclines)
{
  wire::SlotAsk ask;
  ask.set_reply_to("10.0.0.2:1");
  ask.set_session(5);
  ask.set_ticket(9);
  ask.set_service("desk");
  ask.set_instance("i-1");
  coordinator.OnSlotRequest(ask);
  ASSERT_EQ(sentAnswers.size(), 1U);
  EXPECT_EQ(sentAnswers.front().state(), wire::SLOT_STATE_UNKNOWN);
  EXPECT_EQ(sentAnswers.front().ticket(), 9U);
}

TEST_F(SlotCoordinatorTest, DeclinedRequestIsSentUncoordinated)
{
  LoadState();
  autoAnswer = wire::SLOT_STATE_UNKNOWN;
  Acquire(1);
  context.run();
  EXPECT_EQ(SlotCount(), 1U);
  EXPECT_EQ(requestCount, 1U);
}

// The home entry has queued as many requests as the entry may have in flight.
// They cost the home entry no further work and must not block requests that are
// more urgent or can still be on time.
TEST_F(SlotCoordinatorTest, RequestsQueuedAtTheHomeAreNotInFlight)
{
  LoadState();
  autoAnswer = wire::SLOT_STATE_QUEUED;
  Acquire(kMaxInFlight + 20);
  context.poll();
  EXPECT_EQ(requestCount, kMaxInFlight + 20);
}

// A slot request was sent when entries allocated, and arrives at one after
// control hosts have taken over. Guards against two first allocators.
TEST_F(SlotCoordinatorTest, LateRequestToFormerAllocatorIsDeclined)
{
  LoadState();
  AddControlHosts();
  Receive(1, false);
  EXPECT_EQ(SentAnswers(wire::SLOT_STATE_UNKNOWN), 1U);
}

// Guards against two hosts that each grant all slots: of 4 slots, a host that
// is asked as the second allocator grants 2.
TEST_F(SlotCoordinatorTest, SecondAllocatorGrantsHalf)
{
  LoadState();
  AddControlHosts();
  PutControlHost(kSelf, true);
  PutControlHost(kControlHosts[1], false);
  for (uint64_t ticket = 1; ticket <= 6; ++ticket) {
    Receive(ticket, true);
  }
  EXPECT_EQ(SentAnswers(wire::SLOT_STATE_GRANTED), 2U);
  EXPECT_EQ(coordinator.Broker().Grants().second, 2U);
}

// Guards against requests to a limited upstream that its counter, the first
// allocator, does not know of.
TEST_F(SlotCoordinatorTest, SecondAllocatorGrantsNothingAtLimitedUpstream)
{
  LoadState();
  AddControlHosts();
  PutControlHost(kSelf, true);
  PutControlHost(kControlHosts[1], false);
  coordinator.RecordRateLimit(Slot{ 0, {}, "i-1", {}, 0 }, 100);
  clock.Advance(std::chrono::seconds{ 10 });
  Receive(1, true);
  EXPECT_EQ(SentAnswers(wire::SLOT_STATE_REFUSED), 1U);
}

// Guards against an allocator that goes on sending to a limited upstream from
// its queue after another has replaced it.
TEST_F(SlotCoordinatorTest, ReplacedAllocatorGrantsNothingAtLimitedUpstream)
{
  LoadState();
  AllocateAlone();
  coordinator.Tick();
  coordinator.RecordRateLimit(Slot{ 0, {}, "i-1", {}, 0 }, 5);
  Receive(1, false);
  ASSERT_EQ(SentAnswers(wire::SLOT_STATE_QUEUED), 1U);
  PutControlHost(kControlHosts[0], true);
  PutControlHost(kSelf, false);
  clock.Advance(milliseconds{ 700 });
  coordinator.Tick();
  EXPECT_EQ(SentAnswers(wire::SLOT_STATE_GRANTED), 0U);
}

// Guards against a control host that was cut off, or has replayed its log, and
// uses the whole rate of a limited upstream that another one may have used.
TEST_F(SlotCoordinatorTest,
       ControlHostPausesLimitedUpstreamOnceItsStateIsRecent)
{
  LoadState();
  AllocateAlone();
  coordinator.Tick();
  coordinator.RecordRateLimit(Slot{ 0, {}, "i-1", {}, 0 }, 5);
  clock.Advance(std::chrono::seconds{ 10 });
  Receive(1, false);
  ASSERT_EQ(SentAnswers(wire::SLOT_STATE_GRANTED), 1U);
  stateAge = std::chrono::seconds{ 1 };
  coordinator.Tick();
  clock.Advance(std::chrono::seconds{ 10 });
  stateAge = {};
  Receive(2, false);
  EXPECT_EQ(SentAnswers(wire::SLOT_STATE_GRANTED), 1U);
}

// Guards against twice the rate of an upstream whose limit a new allocator
// learns after it took over, while the previous one still sends.
TEST_F(SlotCoordinatorTest, NewAllocatorPausesLimitThatItLearnsLater)
{
  LoadState();
  AllocateAlone();
  coordinator.Tick();
  coordinator.RecordRateLimit(Slot{ 0, {}, "i-1", {}, 0 }, 20);
  clock.Advance(milliseconds{ 700 });
  Receive(1, false);
  EXPECT_EQ(SentAnswers(wire::SLOT_STATE_GRANTED), 0U);
  clock.Advance(milliseconds{ 500 });
  coordinator.Tick();
  EXPECT_EQ(SentAnswers(wire::SLOT_STATE_GRANTED), 1U);
}

// Guards against twice the rate of a cold upstream when a host starts while
// other hosts change the rule: an allocator of the earlier rule may still send.
TEST_F(SlotCoordinatorTest, StartInMixedStatePausesColdUpstreamLonger)
{
  for (const bool mixed : { false, true }) {
    wire::GatewayCommand service;
    wire::ServiceItem* item = service.mutable_change_items()->add_services();
    item->set_name("desk");
    item->set_owns_keys(true);
    item->set_version(1);
    item->set_source("desk");
    item->set_cold_rate(20);
    Apply(service);
    wire::GatewayCommand put;
    wire::UpstreamInstance* instance =
      put.mutable_put_instance()->mutable_instance();
    instance->set_id("i-1");
    instance->set_service("desk");
    instance->set_address("10.0.0.1:80");
    instance->set_slots(4);
    instance->set_cold_ms(60000);
    Apply(put);
    wire::GatewayCommand entry;
    entry.mutable_put_entry()->mutable_entry()->set_address(kSelf);
    Apply(entry);
    wire::GatewayCommand control;
    control.mutable_put_control()->mutable_control()->set_address(
      kControlHosts[0]);
    control.mutable_put_control()->mutable_control()->set_allocates_slots(
      mixed);
    Apply(control);
    coordinator.StateChanged(state);
    clock.Advance(milliseconds{ 1300 });
    sentAnswers.clear();
    Receive(mixed ? 1 : 2, false);
    EXPECT_EQ(SentAnswers(wire::SLOT_STATE_GRANTED), mixed ? 0U : 1U);
  }
}

// Guards against a control host that is cut off and grants all slots to what it
// has queued, while another one grants all slots as well.
TEST_F(SlotCoordinatorTest, OutdatedControlHostGrantsHalfToQueuedRequests)
{
  LoadState();
  AllocateAlone();
  coordinator.Tick();
  for (uint64_t ticket = 1; ticket <= 7; ++ticket) {
    Receive(ticket, false);
  }
  ASSERT_EQ(SentAnswers(wire::SLOT_STATE_GRANTED), 5U);
  stateAge = std::chrono::seconds{ 1 };
  coordinator.Tick();
  // A second allocator grants 2 of the 4 slots.
  for (uint64_t ticket = 1; ticket <= 4; ++ticket) {
    wire::SlotDone done;
    done.set_session(5);
    done.set_ticket(ticket);
    coordinator.OnSlotRelease(done);
    const size_t expected = ticket < 4 ? 5U : 6U;
    EXPECT_EQ(SentAnswers(wire::SLOT_STATE_GRANTED), expected);
  }
}

// Guards against a request that waits to its end at an allocator which has
// queued it and then leaves: it is sent to the next one.
TEST_F(SlotCoordinatorTest, RequestQueuedAtRemovedAllocatorMoves)
{
  LoadState();
  AddControlHosts();
  autoAnswer = wire::SLOT_STATE_QUEUED;
  Acquire();
  context.poll();
  ASSERT_EQ(requestCount, 1U);
  autoAnswer = wire::SLOT_STATE_GRANTED;
  for (const char* address : kControlHosts) {
    PutControlHost(address, false);
    context.poll();
    PutControlHost(address, true);
    context.poll();
  }
  EXPECT_EQ(requestCount, 2U);
  EXPECT_EQ(SlotCount(), 1U);
  EXPECT_EQ(releases.size(), 1U);
}

// Guards against requests of this host that wait to their end in its own queue
// after another host has replaced it as the allocator.
TEST_F(SlotCoordinatorTest, RequestQueuedLocallyMovesToNewAllocator)
{
  // The slots of the upstream and one request that it queues.
  constexpr size_t kGranted = 5;
  LoadState();
  AllocateAlone();
  Acquire(kGranted + 1);
  context.poll();
  ASSERT_EQ(SlotCount(), kGranted);
  autoAnswer = wire::SLOT_STATE_GRANTED;
  PutControlHost(kControlHosts[0], true);
  PutControlHost(kSelf, false);
  context.poll();
  EXPECT_EQ(requestCount, 1U);
  EXPECT_EQ(SlotCount(), kGranted + 1);
}

// Guards against a request that waits longer than its caller does: after a wait
// at an allocator, it has only the rest of its time for a wait at this host.
TEST_F(SlotCoordinatorTest, LocalWaitIsShortenedByTheWaitAtTheAllocator)
{
  LoadState();
  AddControlHosts();
  autoAnswer = wire::SLOT_STATE_QUEUED;
  Acquire();
  context.poll();
  ASSERT_EQ(requestCount, 1U);
  clock.Advance(milliseconds{ 1500 });
  // With the rule of equal entries, a request that has waited is sent without
  // coordination. Its upstream is full.
  ApplyAndTell([](wire::GatewayCommand& aCommand) {
    aCommand.mutable_put_entry()->mutable_entry()->set_address(kHome);
  });
  for (uint64_t ticket = 1; ticket <= 4; ++ticket) {
    Receive(ticket, false);
  }
  context.poll();
  ASSERT_TRUE(outcomes.empty());
  clock.Advance(milliseconds{ 600 });
  coordinator.Tick();
  context.poll();
  ASSERT_EQ(outcomes.size(), 1U);
  EXPECT_EQ(SlotCount(), 0U);
}

// Guards against a request that waits to its end at a replaced allocator whose
// answer, that it has queued the request, arrives after the change.
TEST_F(SlotCoordinatorTest, RequestQueuedAfterTheChangeMoves)
{
  LoadState();
  AddControlHosts();
  PutControlHost(kControlHosts[1], false);
  Acquire();
  context.poll();
  ASSERT_EQ(requestCount, 1U);
  PutControlHost(kControlHosts[1], true);
  PutControlHost(kControlHosts[0], false);
  context.poll();
  Answer(wire::SLOT_STATE_QUEUED);
  autoAnswer = wire::SLOT_STATE_GRANTED;
  context.poll();
  EXPECT_EQ(requestCount, 2U);
  EXPECT_EQ(SlotCount(), 1U);
  EXPECT_EQ(releases.size(), 1U);
}

} // namespace
} // namespace rattandyke::gateway
