#include <gtest/gtest.h>

#include "control/coordinator.h"

namespace rattandyke::control {
namespace {

using namespace std::chrono_literals;

/// A leader whose proposals are committed at once, and one upstream.
class CoordinatorTest : public testing::Test
{
protected:
  CoordinatorTest()
  {
    wire::Command command;
    wire::Record& record = *command.mutable_submit_record()->mutable_record();
    record.set_kind("service");
    record.set_name("board");
    record.set_schema_version(1);
    record.set_submission_id("first");
    record.set_body_json(R"({"slots": 4})");
    mState.Apply(LogIndex{ ++mIndex }, command);
    Step(BecameLeader{ 1, mNow });
  }

  void Step(const Event& aEvent)
  {
    auto effects = mCoordinator.Step(aEvent, mNow);
    for (auto& effect : effects) {
      if (auto* propose = std::get_if<Propose>(&effect)) {
        mCommands.push_back(propose->command);
        const auto result =
          mState.Apply(LogIndex{ ++mIndex }, propose->command);
        Step(Applied{ result.tableChanged });
        Step(ProposalDone{ propose->id });
      }
    }
  }

  /// Time passes; aHost sends a heartbeat every 100 ms that reports the
  /// upstream as announced a moment ago, with these grants applied.
  void Pass(Duration aTime, const std::string& aHost, uint64_t aAcknowledged)
  {
    for (Duration passed{}; passed < aTime; passed += 10ms) {
      mNow += 10ms;
      Step(QuorumConfirmed{ mNow });
      Step(Tick{});
      if (!aHost.empty() && passed % 100ms == 0ms) {
        Step(HeartbeatReceived{ HeartbeatOf(aHost, aAcknowledged) });
      }
    }
  }

  wire::Heartbeat HeartbeatOf(const std::string& aHost, uint64_t aAcknowledged)
  {
    wire::Heartbeat heartbeat;
    heartbeat.set_host(aHost);
    heartbeat.set_session(7);
    heartbeat.set_sequence(++mSequence);
    heartbeat.set_table_version(mState.Version().value);
    heartbeat.set_quiesced_version(mState.Version().value);
    wire::UpstreamReport& report = *heartbeat.add_upstreams();
    report.set_grants_version(aAcknowledged);
    wire::Upstream& upstream = *report.mutable_announced();
    upstream.set_service("board");
    upstream.set_name("one");
    upstream.set_incarnation(1);
    upstream.set_checks_fences(true);
    return heartbeat;
  }

  size_t TimesLost() const
  {
    return std::count_if(
      mCommands.begin(), mCommands.end(), [](const auto& aCommand) {
        return aCommand.has_set_upstream_state();
      });
  }

  bool OwnsEverything() const
  {
    const auto& slots = mState.Owners().Find("board")->slots;
    return std::all_of(slots.begin(), slots.end(), [](const Holding& aSlot) {
      return aSlot.owner != kNobody;
    });
  }

  Instant mNow{ 1h };
  State mState;
  Coordinator mCoordinator{ { "c" }, {}, mState };
  uint64_t mIndex = 0;
  uint64_t mSequence = 0;
  std::vector<wire::Command> mCommands;
};

// The home of the only upstream dies, and the upstream needs longer than its
// lease to find another: it is lost, and there is nobody to take its slots. It
// is registered anew and then asked to let go of what it had. Condemning it at
// once, because it had not done so while it was lost, repeats itself at each
// registration: callers would never be served again.
TEST_F(CoordinatorTest, LostUpstreamGetsTimeToLetGoWhenItIsBack)
{
  Pass(1s, "h0", 0);
  Pass(2s, "h0", mState.Version().value);
  ASSERT_TRUE(OwnsEverything());
  const uint64_t applied = mState.Version().value;
  Pass(3s, "", 0);
  ASSERT_EQ(TimesLost(), 1U);
  Pass(500ms, "h1", applied);
  EXPECT_EQ(TimesLost(), 1U);
  Pass(1s, "h1", mState.Version().value);
  EXPECT_EQ(TimesLost(), 1U);
  EXPECT_TRUE(OwnsEverything());
}

} // namespace
} // namespace rattandyke::control
