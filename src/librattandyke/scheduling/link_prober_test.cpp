#include "scheduling/link_prober.h"

#include <gtest/gtest.h>

namespace rattandyke::scheduling {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kTick{ 20 };
constexpr milliseconds kRoundTrip{ 4 };

/// A host that ticks regularly, and a control host that answers after a time.
class LinkProberTest : public ::testing::Test
{
protected:
  /// @param aAnswerTime round-trip time of probes; nullopt if none is answered.
  void RunFor(Duration aTime, std::optional<Duration> aAnswerTime)
  {
    for (const Instant end = now + aTime; now < end; now += kTick) {
      Answer();
      if (const auto id = prober.Tick(conditions, now); id && aAnswerTime) {
        answers.emplace_back(*id, now + *aAnswerTime);
      }
    }
  }

  void Answer()
  {
    while (!answers.empty() && answers.front().second <= now) {
      prober.OnReply(answers.front().first, answers.front().second);
      answers.pop_front();
    }
  }

  Duration Delay()
  {
    Answer();
    return prober.ReceiveDelay(now);
  }

  Instant now{ seconds{ 100 } };
  LinkProber::Conditions conditions{ 1, true, {} };
  std::deque<std::pair<uint64_t, Instant>> answers;
  LinkProber prober;
};

// Guards against probes on an idle link: one per second is enough to know the
// lowest round-trip time.
TEST_F(LinkProberTest, ProbesOftenOnlyWhileBusy)
{
  conditions.busy = false;
  RunFor(seconds{ 10 }, kRoundTrip);
  EXPECT_LE(prober.Ended().answered, 10U);
  conditions.busy = true;
  RunFor(seconds{ 10 }, kRoundTrip);
  EXPECT_GE(prober.Ended().answered, 100U);
}

TEST_F(LinkProberTest, DelayIsRoundTripTimeBeyondTheLowestAndTheOutgoingQueue)
{
  RunFor(seconds{ 1 }, kRoundTrip);
  conditions.sendDelay = milliseconds{ 50 };
  RunFor(seconds{ 1 }, kRoundTrip + milliseconds{ 250 });
  EXPECT_EQ(Delay(), milliseconds{ 200 });
}

TEST_F(LinkProberTest, UnansweredProbeCountsWithItsAge)
{
  RunFor(seconds{ 1 }, kRoundTrip);
  RunFor(milliseconds{ 300 }, std::nullopt);
  EXPECT_GE(Delay(), milliseconds{ 180 });
}

// Failure: the control host is silent, or is too old to know probes. The age of
// the probes says nothing about the link then.
TEST_F(LinkProberTest, SilentControlHostMeasuresNothing)
{
  RunFor(seconds{ 1 }, kRoundTrip);
  RunFor(milliseconds{ 700 }, std::nullopt);
  EXPECT_EQ(Delay(), Duration::zero());
  LinkProber unknownMessage;
  for (int tick = 0; tick < 1000; ++tick) {
    unknownMessage.Tick(conditions, now += kTick);
    EXPECT_EQ(unknownMessage.ReceiveDelay(now), Duration::zero());
  }
  EXPECT_GT(unknownMessage.Ended().unanswered, 0U);
}

// Failure: this host is paused. The probe's answer has waited for this host and
// not for the link, whether it is read before or after the next tick.
TEST_F(LinkProberTest, PauseInvalidatesOutstandingProbes)
{
  for (const bool replyFirst : { false, true }) {
    RunFor(seconds{ 1 }, kRoundTrip);
    std::optional<uint64_t> id;
    while (!(id = prober.Tick(conditions, now))) {
      now += kTick;
    }
    const uint64_t invalidated = prober.Ended().invalidated;
    now += milliseconds{ 400 };
    EXPECT_EQ(Delay(), Duration::zero());
    if (!replyFirst) {
      prober.Tick(conditions, now);
    }
    prober.OnReply(*id, now);
    EXPECT_EQ(Delay(), Duration::zero());
    EXPECT_EQ(prober.Ended().invalidated, invalidated + 1);
  }
}

// Failure: the connection to the control host is replaced. Its probes and its
// round-trip times say nothing about the new one.
TEST_F(LinkProberTest, NewConnectionStartsAnew)
{
  RunFor(seconds{ 1 }, kRoundTrip);
  RunFor(milliseconds{ 200 }, std::nullopt);
  conditions.connection = 2;
  RunFor(seconds{ 1 }, kRoundTrip + milliseconds{ 90 });
  EXPECT_EQ(Delay(), Duration::zero());
  conditions.connection.reset();
  RunFor(seconds{ 1 }, kRoundTrip);
  EXPECT_EQ(Delay(), Duration::zero());
}

// Guards against a queue that is taken for the link's idle state, because it
// was never empty for longer than the window of the lowest round-trip time.
TEST_F(LinkProberTest, LongOverloadIsStillMeasured)
{
  RunFor(seconds{ 1 }, kRoundTrip);
  RunFor(seconds{ 65 }, kRoundTrip + milliseconds{ 240 });
  EXPECT_GE(Delay(), milliseconds{ 210 });
}

// Guards against a path that has become longer and counts as a queue forever.
TEST_F(LinkProberTest, LongerPathIsAcceptedInTime)
{
  RunFor(seconds{ 1 }, kRoundTrip);
  RunFor(seconds{ 95 }, kRoundTrip + milliseconds{ 15 });
  EXPECT_EQ(Delay(), Duration::zero());
}

} // namespace
} // namespace rattandyke::scheduling
