#include "gateway/crash_watch.h"

#include <gtest/gtest.h>

#include "gateway/crash_reporter.h"

namespace rattandyke::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kInterval{ 1300 };

class CrashWatchTest : public ::testing::Test
{
protected:
  CrashWatchTest()
  {
    wire::GatewayCommand put;
    wire::UpstreamInstance* instance =
      put.mutable_put_instance()->mutable_instance();
    instance->set_id("i-1");
    instance->set_life(1);
    EXPECT_TRUE(state.Apply(put, LogIndex{ ++index }));
    wire::CrashReports reports;
    wire::InterruptedRequest* interrupted = reports.add_interrupted();
    interrupted->set_instance("i-1");
    interrupted->set_life(1);
    interrupted->set_fingerprint("poison");
    watch.Add(reports, now);
    EXPECT_EQ(Tick().interrupted_size(), 1);
  }

  /// Takes what is due and applies it to the state.
  wire::RecordCrashes Tick()
  {
    const auto record = watch.Take(state, now, wall);
    if (!record) {
      return {};
    }
    wire::GatewayCommand command;
    *command.mutable_record_crashes() = *record;
    EXPECT_TRUE(state.Apply(command, LogIndex{ ++index }));
    return *record;
  }

  void Wait(Duration aTime)
  {
    now += aTime;
    wall += std::chrono::duration_cast<milliseconds>(aTime);
  }

  State state;
  uint64_t index = 0;
  CrashWatch watch{ kInterval };
  Instant now{ std::chrono::hours{ 1 } };
  WallTime wall{ seconds{ 1'700'000'000 } };
};

// Guards against a crash that is never confirmed: the upstream does not come
// back.
TEST_F(CrashWatchTest, SilentUpstreamHasCrashed)
{
  Tick();
  Wait(kInterval);
  EXPECT_EQ(Tick().ended_size(), 0);
  Wait(2 * kInterval);
  EXPECT_EQ(Tick().ended_size(), 1);
  EXPECT_EQ(Tick().ended_size(), 0);
}

// Guards against innocents that are refused: only the connection had ended.
TEST_F(CrashWatchTest, HeartbeatsThatGoOnShowThatOnlyTheConnectionEnded)
{
  Tick();
  int alive = 0;
  for (uint64_t beat = 1; beat <= 5; ++beat) {
    Wait(kInterval);
    watch.OnHeartbeat({ "i-1", 1 }, beat, now);
    const wire::RecordCrashes record = Tick();
    EXPECT_EQ(record.ended_size(), 0) << beat;
    alive += record.alive_size();
  }
  EXPECT_EQ(alive, 1);
  EXPECT_TRUE(state.Crashes().IsEmpty());
}

// Guards against evidence that is withdrawn by heartbeats that were sent before
// the crash and arrive seconds late.
TEST_F(CrashWatchTest, LateHeartbeatsOfACrashedUpstreamProveNothing)
{
  Tick();
  for (uint64_t beat = 1; beat <= 3; ++beat) {
    Wait(kInterval);
    watch.OnHeartbeat({ "i-1", 1 }, beat, now);
    const wire::RecordCrashes record = Tick();
    EXPECT_EQ(record.alive_size(), 0) << beat;
    EXPECT_EQ(record.ended_size(), 0) << beat;
  }
  Wait(kInterval);
  EXPECT_EQ(Tick().ended_size(), 0);
  Wait(2 * kInterval);
  EXPECT_EQ(Tick().ended_size(), 1);
}

// Guards against a heartbeat that is repeated on its way and seems to show that
// its sender goes on.
TEST_F(CrashWatchTest, RepeatedHeartbeatIsNoNews)
{
  Tick();
  watch.OnHeartbeat({ "i-1", 1 }, 7, now);
  Wait(CrashWatch::kMaxTransit);
  watch.OnHeartbeat({ "i-1", 1 }, 7, now);
  const wire::RecordCrashes record = Tick();
  EXPECT_EQ(record.alive_size(), 0);
  EXPECT_EQ(record.ended_size(), 1);
}

// Guards against innocents that are refused: an upstream closes its connections
// and leaves, and its end seems to confirm a crash.
TEST_F(CrashWatchTest, UpstreamThatSaysItLeavesHasNotCrashed)
{
  Tick();
  watch.OnLeaving({ "i-1", 1 });
  EXPECT_EQ(Tick().alive_size(), 1);
}

// Guards against a crash that a heartbeat from before it, or of the next
// process, seems to disprove.
TEST_F(CrashWatchTest, OtherHeartbeatsProveNothing)
{
  Tick();
  watch.OnHeartbeat({ "i-1", 1 }, 1, now);
  Wait(kInterval);
  watch.OnHeartbeat({ "i-1", 2 }, 1, now);
  EXPECT_EQ(Tick().alive_size(), 0);
}

// Guards against crashes that seem later than they were, as their report waits
// at the leader for the next tick.
TEST_F(CrashWatchTest, TimesIncludeTheWaitOfAReport)
{
  wire::CrashReports reports;
  wire::InterruptedRequest* interrupted = reports.add_interrupted();
  interrupted->set_instance("i-1");
  interrupted->set_sent_ms_ago(30);
  interrupted->set_ended_ms_ago(10);
  watch.Add(reports, now);
  Wait(milliseconds{ 70 });
  const wire::RecordCrashes record = Tick();
  ASSERT_EQ(record.interrupted_size(), 1);
  EXPECT_EQ(record.interrupted(0).sent_ms_ago(), 100U);
  EXPECT_EQ(record.interrupted(0).ended_ms_ago(), 80U);
}

// Guards against a result that is lost with the leader that proposed it.
TEST_F(CrashWatchTest, NextLeaderObservesAgain)
{
  Tick();
  Wait(3 * kInterval);
  CrashWatch next(kInterval);
  next.OnElected();
  EXPECT_FALSE(next.Take(state, now, wall));
  Wait(3 * kInterval);
  EXPECT_EQ(next.Take(state, now, wall)->ended_size(), 1);
}

// Guards against commands without effect: answers to requests that nobody
// suspects.
TEST_F(CrashWatchTest, OnlyAnswersToSuspectsAreRecorded)
{
  Tick();
  wire::CrashReports reports;
  reports.add_answered("other");
  watch.Add(reports, now);
  EXPECT_FALSE(watch.Take(state, now, wall));
  reports.add_answered("poison");
  reports.add_answered("poison");
  watch.Add(reports, now);
  EXPECT_EQ(Tick().answered_size(), 1);
  EXPECT_TRUE(state.Crashes().IsEmpty());
}

// Guards against reports of upstreams that are full and reset new connections:
// other connections to them are open.
TEST(CrashReporterTest, UpstreamWithAnOpenConnectionIsNotReported)
{
  CrashReporter reporter;
  const Instant now{ std::chrono::hours{ 1 } };
  const UpstreamProcess full{ "i-1", "10.0.0.1:80", 1 };
  const UpstreamProcess crashed{ "i-2", "10.0.0.2:80", 1 };
  reporter.OnInterrupted("desk", full, "a", now, now + milliseconds{ 10 });
  reporter.OnInterrupted("desk", crashed, "b", now, now + milliseconds{ 10 });
  const wire::CrashReports reports =
    reporter.Take([&](const auto& aProcess) { return aProcess == full; },
                  now + milliseconds{ 30 });
  ASSERT_EQ(reports.interrupted_size(), 1);
  EXPECT_EQ(reports.interrupted(0).instance(), "i-2");
  EXPECT_EQ(reports.interrupted(0).sent_ms_ago(), 30U);
  EXPECT_EQ(reports.interrupted(0).ended_ms_ago(), 20U);
}

// Guards against a report for each answer to a request that many callers send.
TEST(CrashReporterTest, AnswersAreReportedOnceASecond)
{
  CrashReporter reporter;
  Instant now{ std::chrono::hours{ 1 } };
  const auto isConnected = [](const UpstreamProcess&) { return false; };
  int reported = 0;
  for (int answer = 0; answer < 100; ++answer) {
    reporter.OnAnswered("popular", now);
    reported += reporter.Take(isConnected, now).answered_size();
    now += milliseconds{ 20 };
  }
  EXPECT_EQ(reported, 2);
}

// Guards against innocent requests that are refused for seconds after
// connections were reset: other hosts see that the upstream answers.
TEST_F(CrashWatchTest, AnswerOnAnOlderConnectionShowsThatItLives)
{
  Tick();
  wire::CrashReports reports;
  wire::UpstreamProcess* alive = reports.add_alive();
  alive->set_instance("i-1");
  alive->set_life(1);
  watch.Add(reports, now);
  const wire::RecordCrashes record = Tick();
  ASSERT_EQ(record.alive_size(), 1);
  EXPECT_EQ(record.alive(0).instance(), "i-1");
  EXPECT_TRUE(state.Crashes().IsEmpty());
}

// Guards against evidence that another process of the upstream withdraws.
TEST_F(CrashWatchTest, AnswerOfALaterLifeProvesNothing)
{
  Tick();
  wire::CrashReports reports;
  wire::UpstreamProcess* alive = reports.add_alive();
  alive->set_instance("i-1");
  alive->set_life(2);
  watch.Add(reports, now);
  EXPECT_EQ(Tick().alive_size(), 0);
  EXPECT_FALSE(state.Crashes().IsEmpty());
}

/// Responses of a process that may have crashed, and the report of them.
class CrashDoubtTest : public ::testing::Test
{
protected:
  CrashDoubtTest() { reporter.SetUnconfirmed({ process }, now); }

  int Reported()
  {
    return reporter.Take([](const UpstreamProcess&) { return false; }, now)
      .alive_size();
  }

  const UpstreamProcessId process{ "i-1", 1 };
  const Instant now{ std::chrono::hours{ 1 } };
  const Instant longAgo = now - Duration(CrashReporter::kMinRestart);
  CrashReporter reporter;
};

TEST_F(CrashDoubtTest, ReportsOnceASecondWhoAnswersOnAnOlderConnection)
{
  reporter.OnResponse(process, longAgo, now, now);
  reporter.OnResponse(process, longAgo, now, now + milliseconds{ 900 });
  EXPECT_EQ(Reported(), 1);
  reporter.OnResponse(process, longAgo, now, now + seconds{ 1 });
  EXPECT_EQ(Reported(), 1);
}

// Guards against evidence that is withdrawn by what was sent before the crash,
// or by a process that has started again.
TEST_F(CrashDoubtTest, OtherResponsesProveNothing)
{
  reporter.OnResponse(process, longAgo, now - milliseconds{ 1 }, now);
  reporter.OnResponse(process, longAgo + milliseconds{ 1 }, now, now);
  reporter.OnResponse(process, Instant{}, now, now);
  reporter.OnResponse({ "i-1", 2 }, longAgo, now, now);
  EXPECT_EQ(Reported(), 0);
}

TEST_F(CrashDoubtTest, ForgetsWhoIsConfirmed)
{
  reporter.SetUnconfirmed({}, now);
  reporter.OnResponse(process, longAgo, now, now);
  EXPECT_EQ(Reported(), 0);
}

} // namespace
} // namespace rattandyke::gateway
