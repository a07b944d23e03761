#include "gateway/crash_register.h"

#include <gtest/gtest.h>

#include "gateway/state.h"

namespace rattandyke::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kPoison = "poison";
constexpr const char* kPopular = "popular";

class CrashRegisterTest : public ::testing::Test
{
protected:
  /// An attempt that began a moment after the last step ended with its
  /// connection.
  void Interrupt(const std::string& aInstance,
                 const std::string& aFingerprint = kPoison,
                 milliseconds aRan = milliseconds{ 10 })
  {
    wire::InterruptedRequest* message = command.add_interrupted();
    message->set_instance(aInstance);
    message->set_life(1);
    message->set_service("desk");
    message->set_fingerprint(aFingerprint);
    message->set_sent_ms_ago(static_cast<uint32_t>(aRan.count()));
    Apply();
  }

  void Confirm(const std::string& aInstance)
  {
    wire::UpstreamProcess* process = command.add_ended();
    process->set_instance(aInstance);
    process->set_life(1);
    Apply();
  }

  void SeeAlive(const std::string& aInstance)
  {
    wire::UpstreamProcess* process = command.add_alive();
    process->set_instance(aInstance);
    process->set_life(1);
    Apply();
  }

  void Answer(const std::string& aFingerprint)
  {
    command.add_answered(aFingerprint);
    Apply();
  }

  void Apply()
  {
    command.set_told_at_ms(now.time_since_epoch().count());
    crashes.Apply(
      std::exchange(command, {}),
      [this](const std::string& aInstance) { return aInstance != leaving; });
  }

  /// Three crashes, two of them confirmed.
  void BanPoison()
  {
    for (const char* instance : { "i-1", "i-2", "i-3" }) {
      Interrupt(instance);
      now += seconds{ 1 };
    }
    Confirm("i-1");
    Confirm("i-2");
  }

  RequestVerdict Verdict(const std::string& aFingerprint = kPoison) const
  {
    return crashes.Verdict(aFingerprint, now);
  }

  CrashRegister crashes;
  wire::RecordCrashes command;
  WallTime now{ seconds{ 1'700'000'000 } };
  std::string leaving;
};

// Guards against a request that crashes one upstream after the other, and all
// that others have in progress there: its caller sends it again each time.
TEST_F(CrashRegisterTest, RequestThatKeepsCrashingUpstreamsIsBanned)
{
  Interrupt("i-1");
  EXPECT_EQ(Verdict(), RequestVerdict::Watched);
  now += seconds{ 1 };
  Interrupt("i-2");
  EXPECT_EQ(Verdict(), RequestVerdict::Watched);
  now += seconds{ 1 };
  Interrupt("i-3");
  EXPECT_EQ(Verdict(), RequestVerdict::Held);
  Confirm("i-1");
  EXPECT_EQ(Verdict(), RequestVerdict::Held);
  Confirm("i-2");
  EXPECT_EQ(Verdict(), RequestVerdict::Banned);
}

// Guards against innocents that are refused: upstreams are killed one after
// another, and a request that many callers send is in progress at each.
TEST_F(CrashRegisterTest, AnsweredRequestIsNotBlamed)
{
  for (int kill = 0; kill < 20; ++kill) {
    const std::string instance = "i-" + std::to_string(kill);
    Interrupt(instance, kPopular);
    EXPECT_EQ(Verdict(kPopular), RequestVerdict::Watched);
    Confirm(instance);
    now += milliseconds{ 500 };
    Answer(kPopular);
    EXPECT_EQ(Verdict(kPopular), RequestVerdict::Free);
  }
}

// Guards against innocents that are refused: many upstreams are lost at the
// same moment, as with a data centre, and a request is in progress at several.
TEST_F(CrashRegisterTest, UpstreamsLostTogetherCountOnce)
{
  for (int upstream = 0; upstream < 50; ++upstream) {
    const std::string instance = "i-" + std::to_string(upstream);
    Interrupt(instance, kPopular, milliseconds{ 100 });
    Confirm(instance);
    now += milliseconds{ 5 };
  }
  EXPECT_EQ(Verdict(kPopular), RequestVerdict::Watched);
}

// Guards against a request that may be repeated and counts once a coming: each
// attempt of its caller is sent on to a second upstream, and all crash.
TEST_F(CrashRegisterTest, CrashesOneAfterTheOtherCountHoweverClose)
{
  for (const char* instance : { "i-1", "i-2", "i-3" }) {
    Interrupt(instance, kPoison, milliseconds{ 3 });
    now += milliseconds{ 5 };
  }
  EXPECT_EQ(Verdict(), RequestVerdict::Held);
}

// Guards against innocents that are refused: a request was beside a crash, and
// then at the upstream's next process and, on a connection whose end is seen
// late, at its last one.
TEST_F(CrashRegisterTest, OverlappingSendingsOfASuspectCountOnce)
{
  Interrupt("i-4-3", kPopular, milliseconds{ 30 });
  now += seconds{ 3 };
  Interrupt("i-4-5", kPopular, milliseconds{ 37 });
  Interrupt("i-4-4", kPopular, milliseconds{ 453 });
  EXPECT_EQ(Verdict(kPopular), RequestVerdict::Watched);
}

// Guards against innocents that are refused: a request is repeated while a data
// centre is lost, and each of its upstreams ends, too. Others end without it.
TEST_F(CrashRegisterTest, RequestThatDoesNotExplainAMomentIsBlamedOnce)
{
  for (int upstream = 0; upstream < 6; ++upstream) {
    const std::string instance = "i-" + std::to_string(upstream);
    Interrupt(
      instance, upstream % 2 == 0 ? kPopular : kPoison, milliseconds{ 3 });
    now += milliseconds{ 5 };
  }
  EXPECT_EQ(Verdict(kPopular), RequestVerdict::Watched);
  EXPECT_EQ(Verdict(kPoison), RequestVerdict::Watched);
  now += seconds{ 60 };
  Interrupt("i-9", "other");
  EXPECT_EQ(Verdict(kPopular), RequestVerdict::Free);
}

// Guards against innocents that are refused: reports of what else was lost
// arrive later.
TEST_F(CrashRegisterTest, LaterReportsOfOthersTakeBlameBack)
{
  for (const char* instance : { "i-1", "i-2", "i-3" }) {
    Interrupt(instance, kPopular, milliseconds{ 3 });
    now += milliseconds{ 5 };
  }
  EXPECT_EQ(Verdict(kPopular), RequestVerdict::Held);
  now += milliseconds{ 100 };
  Interrupt("i-4", kPoison, milliseconds{ 100 });
  EXPECT_EQ(Verdict(kPopular), RequestVerdict::Watched);
}

// Guards against innocents that are refused: connections are reset, by a fault
// of the network or by upstreams that are full, and the upstreams live.
TEST_F(CrashRegisterTest, ResetConnectionsAreNoCrashes)
{
  for (int reset = 0; reset < 9; ++reset) {
    const std::string instance = "i-" + std::to_string(reset);
    Interrupt(instance);
    now += milliseconds{ 400 };
    SeeAlive(instance);
    EXPECT_EQ(Verdict(), RequestVerdict::Free);
  }
}

TEST_F(CrashRegisterTest, HeldRequestIsFreeOnceAnUpstreamTurnsOutToLive)
{
  for (const char* instance : { "i-1", "i-2", "i-3" }) {
    Interrupt(instance);
    now += seconds{ 1 };
  }
  EXPECT_EQ(Verdict(), RequestVerdict::Held);
  SeeAlive("i-2");
  EXPECT_EQ(Verdict(), RequestVerdict::Watched);
}

// Guards against a hold without end: nobody finds out about the upstreams.
TEST_F(CrashRegisterTest, HoldEndsByItself)
{
  for (const char* instance : { "i-1", "i-2", "i-3" }) {
    Interrupt(instance);
    now += seconds{ 1 };
  }
  now += CrashRegister::kMaxHold;
  EXPECT_NE(Verdict(), RequestVerdict::Held);
}

// Guards against innocents that are refused: upstreams that are replaced in a
// release end their connections.
TEST_F(CrashRegisterTest, LeavingUpstreamHasNotCrashed)
{
  leaving = "i-1";
  Interrupt("i-1");
  EXPECT_EQ(Verdict(), RequestVerdict::Free);
  EXPECT_TRUE(crashes.IsEmpty());
}

// Guards against a ban without end, and against upstreams that are lost again
// and again at its end.
TEST_F(CrashRegisterTest, BanEndsAndOneMoreCrashRenewsIt)
{
  BanPoison();
  Confirm("i-3");
  EXPECT_EQ(crashes.Bans(now).size(), 1U);
  now += CrashRegister::kBan;
  EXPECT_EQ(Verdict(), RequestVerdict::Watched);
  EXPECT_TRUE(crashes.Bans(now).empty());
  Interrupt("i-4");
  EXPECT_EQ(Verdict(), RequestVerdict::Banned);
}

TEST_F(CrashRegisterTest, OperatorLiftsABan)
{
  BanPoison();
  command.add_lifted(kPoison);
  Apply();
  EXPECT_EQ(Verdict(), RequestVerdict::Free);
}

// Guards against a ban that an answer from before it lifts.
TEST_F(CrashRegisterTest, LateAnswerDoesNotLiftABan)
{
  BanPoison();
  Answer(kPoison);
  EXPECT_EQ(Verdict(), RequestVerdict::Banned);
}

// Guards against a ban that is forgotten when hosts restart.
TEST_F(CrashRegisterTest, SnapshotKeepsBans)
{
  BanPoison();
  wire::GatewayState saved;
  crashes.Save(saved);
  CrashRegister restored;
  restored.Load(saved);
  EXPECT_EQ(restored.Verdict(kPoison, now), RequestVerdict::Banned);
  EXPECT_EQ(restored.Unconfirmed().size(), 1U);
  wire::GatewayState again;
  restored.Save(again);
  EXPECT_EQ(again.SerializeAsString(), saved.SerializeAsString());
}

// Guards against the cost of a fingerprint for each request long after a crash.
TEST_F(CrashRegisterTest, SingleCrashHasVerdictsForAShortTime)
{
  EXPECT_FALSE(crashes.HasVerdicts(now));
  Interrupt("i-1");
  EXPECT_TRUE(crashes.HasVerdicts(now));
  EXPECT_FALSE(crashes.HasVerdicts(now + CrashRegister::kWatchFirst));
  now += seconds{ 1 };
  Interrupt("i-2");
  EXPECT_TRUE(crashes.HasVerdicts(now + CrashRegister::kWatchFirst));
  EXPECT_FALSE(crashes.HasVerdicts(now + CrashRegister::kMemory));
}

// Guards against memory that grows with each crash.
TEST_F(CrashRegisterTest, NumberOfRequestsIsBounded)
{
  BanPoison();
  for (size_t request = 0; request < 2 * CrashRegister::kMaxRequests;
       ++request) {
    Interrupt("i-" + std::to_string(request), std::to_string(request));
  }
  wire::GatewayState saved;
  crashes.Save(saved);
  EXPECT_EQ(static_cast<size_t>(saved.suspects_size()),
            CrashRegister::kMaxRequests);
  EXPECT_EQ(Verdict(), RequestVerdict::Banned);
}

// Guards against evidence that waits for a timeout: a new process of the
// upstream proves that the one before has ended.
TEST(StateCrashTest, LaterProcessConfirmsTheCrash)
{
  State state;
  uint64_t index = 0;
  const auto apply = [&](const wire::GatewayCommand& aCommand) {
    EXPECT_TRUE(state.Apply(aCommand, LogIndex{ ++index }));
  };
  const auto start = [&](const std::string& aInstance, uint64_t aLife) {
    wire::GatewayCommand put;
    wire::UpstreamInstance* instance =
      put.mutable_put_instance()->mutable_instance();
    instance->set_id(aInstance);
    instance->set_life(aLife);
    apply(put);
  };
  for (int crash = 0; crash < 3; ++crash) {
    const std::string instance = "i-" + std::to_string(crash);
    start(instance, 1);
    wire::GatewayCommand record;
    record.mutable_record_crashes()->set_told_at_ms(int64_t{ 1000 } *
                                                    (crash + 1));
    wire::InterruptedRequest* interrupted =
      record.mutable_record_crashes()->add_interrupted();
    interrupted->set_instance(instance);
    interrupted->set_life(1);
    interrupted->set_fingerprint(kPoison);
    apply(record);
    start(instance, 2);
  }
  EXPECT_EQ(state.Crashes().Verdict(kPoison, WallTime{ seconds{ 3 } }),
            RequestVerdict::Banned);
}

} // namespace
} // namespace rattandyke::gateway
