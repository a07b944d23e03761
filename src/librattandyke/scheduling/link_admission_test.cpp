#include "scheduling/link_admission.h"

#include <deque>
#include <functional>
#include <random>
#include <vector>

#include <gtest/gtest.h>

namespace rattandyke::scheduling {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Bandwidth of a small host's link in bytes per second.
constexpr double kRate = 287'500;
const Instant kStart{ std::chrono::hours{ 1 } };

/// A kind of request: its share of the load, and what it needs.
struct Kind
{
  std::string route;
  double share = 0;
  uint32_t priority = 0;
  size_t requestBytes = 0;
  size_t responseBytes = 0;
  milliseconds objective{};
  milliseconds timeout{};
};

const Kind kConfirmation{
  "confirmation", 0.18, 0, 1500, 1800, milliseconds{ 600 }, milliseconds{ 1200 }
};
const Kind kLookup{
  "lookup", 0.54, 1, 350, 1800, milliseconds{ 400 }, milliseconds{ 1000 }
};
const Kind kBooking{
  "booking", 0.28, 2, 4200, 1800, milliseconds{ 1000 }, milliseconds{ 1500 }
};

LinkRequest
RequestOf(const Kind& aKind)
{
  return { aKind.route,         aKind.priority,  aKind.requestBytes,
           aKind.responseBytes, aKind.objective, {},
           aKind.timeout,       aKind.timeout };
}

class LinkAdmissionTest : public ::testing::Test
{
protected:
  bool IsAdmitted(const Kind& aKind)
  {
    return std::holds_alternative<LinkReservation>(
      admission.Decide(RequestOf(aKind), now));
  }

  /// Admits requests until the link refuses one.
  LinkRefusal FillUntilRefused(const Kind& aKind)
  {
    for (int request = 0; request < 10'000; ++request) {
      const auto decision = admission.Decide(RequestOf(aKind), now);
      if (const auto* refusal = std::get_if<LinkRefusal>(&decision)) {
        return *refusal;
      }
    }
    ADD_FAILURE() << "the link refuses nothing";
    return {};
  }

  /// Lets the control host answer probes for some seconds.
  /// @param aBytesPerTick traffic meanwhile.
  /// @param aTickInterval time between two ticks.
  void Probe(Duration aAnswerTime,
             size_t aBytesPerTick,
             Duration aTickInterval = milliseconds{ 20 })
  {
    std::deque<std::pair<uint64_t, Instant>> probes;
    for (const Instant end = now + seconds{ 3 }; now < end;
         now += aTickInterval) {
      meter.Record(LinkUse::Upstreams, LinkDirection::In, aBytesPerTick);
      while (!probes.empty() && probes.front().second <= now) {
        admission.OnProbeReply(probes.front().first, probes.front().second);
        probes.pop_front();
      }
      if (const auto id = admission.Tick(1, {}, now)) {
        probes.emplace_back(*id, now + aAnswerTime);
      }
    }
  }

  Instant now = kStart;
  LinkMeter meter{ kStart };
  LinkAdmission admission{ kRate, meter, 1 };
};

// Failure: the bandwidth is unknown. Nothing may be refused or probed.
TEST_F(LinkAdmissionTest, UnknownBandwidthAdmitsAll)
{
  LinkAdmission unlimited(0, meter, 1);
  for (int request = 0; request < 1000; ++request) {
    const auto decision = unlimited.Decide(RequestOf(kLookup), now);
    ASSERT_TRUE(std::holds_alternative<LinkReservation>(decision));
    unlimited.Settle(RequestOf(kLookup),
                     std::get<LinkReservation>(decision),
                     { 1, 5000, 5000 },
                     now);
    EXPECT_FALSE(unlimited.Tick(1, {}, now += milliseconds{ 20 }));
  }
}

// Guards against refusals that cost more than they save: the booking's bytes
// have arrived, and its caller would send them again. The lookup's refusal
// saves a response five times as long as its request.
TEST_F(LinkAdmissionTest, RefusesOnlyWhatSavesBytes)
{
  const LinkRefusal refusal = FillUntilRefused(kLookup);
  EXPECT_EQ(refusal.reason, LinkRefusalReason::Objective);
  Kind booking = kBooking;
  booking.requestBytes = 4000;
  booking.responseBytes = 1500;
  EXPECT_TRUE(IsAdmitted(booking));
}

// A booking must not be admitted either once its response would arrive after
// its timeout.
TEST_F(LinkAdmissionTest, RefusesWhatWouldBeLaterThanItsTimeout)
{
  const LinkRefusal refusal = FillUntilRefused(kBooking);
  EXPECT_EQ(refusal.reason, LinkRefusalReason::Timeout);
  EXPECT_GE(std::max(refusal.queueIn, refusal.queueOut),
            kBooking.timeout - milliseconds{ 60 });
}

// Guards against an urgent kind with a tight objective that is refused while a
// less urgent kind with a loose one is admitted.
TEST_F(LinkAdmissionTest, LessUrgentIsRefusedAtShorterDelay)
{
  Kind urgent = kLookup;
  urgent.priority = 0;
  Kind relaxed = kLookup;
  relaxed.objective = milliseconds{ 900 };
  EXPECT_TRUE(IsAdmitted(urgent));
  const LinkRefusal less = FillUntilRefused(relaxed);
  EXPECT_TRUE(IsAdmitted(urgent));
  const LinkRefusal more = FillUntilRefused(urgent);
  EXPECT_LT(less.linkDelay, more.linkDelay);
}

// No kind may be starved while more urgent ones fill the link.
TEST_F(LinkAdmissionTest, NoPriorityIsShutOutForLong)
{
  Kind urgent = kLookup;
  urgent.route = "urgent";
  urgent.priority = 0;
  Instant lastAdmitted = now;
  for (const Instant end = now + seconds{ 20 }; now < end;
       now += milliseconds{ 2 }) {
    IsAdmitted(urgent);
    lastAdmitted = IsAdmitted(kLookup) ? now : lastAdmitted;
    ASSERT_LE(now - lastAdmitted, milliseconds{ 1100 });
  }
}

// Guards against a route without an objective that is nearly shut out, and that
// shuts out less urgent ones.
TEST_F(LinkAdmissionTest, TimeoutReplacesMissingObjective)
{
  Kind withoutObjective = kLookup;
  withoutObjective.route = "without objective";
  withoutObjective.priority = 0;
  withoutObjective.objective = {};
  for (int request = 0; request < 10; ++request) {
    ASSERT_TRUE(IsAdmitted(withoutObjective));
    ASSERT_TRUE(IsAdmitted(kLookup));
  }
}

// Guards against a route that is starved by another one of its priority, which
// is always admitted.
TEST_F(LinkAdmissionTest, NoRouteIsShutOutForLong)
{
  Kind other = kBooking;
  other.route = "other";
  other.priority = kLookup.priority;
  other.timeout = seconds{ 10 };
  // A queue of about 0.6 s, and then as many bytes as the link transfers.
  for (int request = 0; request < 30; ++request) {
    ASSERT_TRUE(IsAdmitted(other));
  }
  Instant lastAdmitted = now;
  for (const Instant end = now + seconds{ 4 }; now < end;
       now += milliseconds{ 22 }) {
    ASSERT_TRUE(IsAdmitted(other));
    lastAdmitted = IsAdmitted(kLookup) ? now : lastAdmitted;
    ASSERT_LE(now - lastAdmitted, milliseconds{ 1100 });
  }
}

// Guards against refused callers that return together, or before the queue is
// short enough.
TEST_F(LinkAdmissionTest, RetryTimesAreSpreadOverTheTimeAfterTheQueue)
{
  const LinkRefusal first = FillUntilRefused(kLookup);
  Duration shortest = first.retryAfter;
  Duration longest = first.retryAfter;
  FillUntilRefused(kConfirmation);
  LinkRefusal last;
  for (int caller = 0; caller < 200; ++caller) {
    last = FillUntilRefused(kLookup);
    const Duration excess =
      std::max<Duration>(last.linkDelay - last.delayLimit, milliseconds{ 60 });
    EXPECT_GE(last.retryAfter, excess);
    EXPECT_LE(last.retryAfter, 2 * excess);
    shortest = std::min(shortest, last.retryAfter);
    longest = std::max(longest, last.retryAfter);
  }
  EXPECT_GT(longest, shortest + milliseconds{ 50 });
  now += 2 * (last.linkDelay - last.delayLimit);
  EXPECT_TRUE(IsAdmitted(kLookup));
}

// Guards against bytes of requests that got no response and stay in the model,
// and against a correction of bytes that the model has transferred already.
TEST_F(LinkAdmissionTest, SettledRequestCountsWithItsActualBytes)
{
  const auto decision = admission.Decide(RequestOf(kBooking), now);
  const Duration before = admission.ModelledDelay(LinkDirection::Out, now);
  FillUntilRefused(kLookup);
  const Duration full = admission.ModelledDelay(LinkDirection::Out, now);
  const auto& reservation = std::get<LinkReservation>(decision);
  // Upstreams are full: nothing was sent, and the caller gets a short refusal.
  admission.Settle(RequestOf(kBooking), reservation, { 0, {}, 200 }, now);
  const Duration settled = admission.ModelledDelay(LinkDirection::Out, now);
  EXPECT_NEAR(static_cast<double>((full - settled).count()),
              static_cast<double>(before.count()),
              1.5e6);
  now += seconds{ 5 };
  FillUntilRefused(kLookup);
  const Duration later = admission.ModelledDelay(LinkDirection::Out, now);
  admission.Settle(RequestOf(kBooking), reservation, { 0, {}, 200 }, now);
  EXPECT_EQ(admission.ModelledDelay(LinkDirection::Out, now), later);
}

// Guards against a queue in the model that never existed: a response that is
// much longer than expected has been transferred when its size is known. Feed
// messages keep the model counting meanwhile.
TEST_F(LinkAdmissionTest, LongResponseLeavesNoQueueBehind)
{
  const auto decision = admission.Decide(RequestOf(kLookup), now);
  for (const Instant end = now + seconds{ 2 }; now < end;) {
    now += milliseconds{ 20 };
    meter.Record(LinkUse::Feed, LinkDirection::In, 30);
    admission.Tick(1, {}, now);
  }
  admission.Settle(RequestOf(kLookup),
                   std::get<LinkReservation>(decision),
                   { 1, 400'000, 400'000 },
                   now);
  EXPECT_LE(admission.ModelledDelay(LinkDirection::In, now),
            milliseconds{ 20 });
  // It is yet to be sent to its caller.
  EXPECT_GE(admission.ModelledDelay(LinkDirection::Out, now), seconds{ 1 });
}

// Guards against the same for a message that is counted when all of it has
// arrived, as the body of a request or a snapshot of the feed.
TEST_F(LinkAdmissionTest, LongMessageLeavesNoQueueBehind)
{
  for (const LinkUse use : { LinkUse::Callers, LinkUse::Feed }) {
    for (const Instant end = now + seconds{ 2 }; now < end;) {
      now += milliseconds{ 20 };
      admission.Tick(1, {}, now);
    }
    meter.Record(use, LinkDirection::In, 400'000);
    admission.Tick(1, {}, now);
    EXPECT_EQ(admission.ModelledDelay(LinkDirection::In, now),
              Duration::zero());
  }
}

// Guards against requests that arrived while this host was paused and are taken
// for a queue, since they are counted one after another.
TEST_F(LinkAdmissionTest, BacklogOfPauseIsNoQueue)
{
  LinkMeter unusedMeter{ kStart };
  LinkAdmission other(kRate, unusedMeter, 1);
  admission.Tick(1, {}, now);
  now += seconds{ 1 };
  for (int request = 0; request < 30; ++request) {
    meter.Record(LinkUse::Callers, LinkDirection::In, kBooking.requestBytes);
    ASSERT_TRUE(IsAdmitted(kBooking));
    other.Decide(RequestOf(kBooking), now);
  }
  EXPECT_EQ(admission.ModelledDelay(LinkDirection::In, now),
            other.ModelledDelay(LinkDirection::In, now));
}

// Guards against traffic of the feed and of slots that the model leaves out.
TEST_F(LinkAdmissionTest, OtherTrafficCounts)
{
  IsAdmitted(kBooking);
  for (const LinkDirection direction :
       { LinkDirection::In, LinkDirection::Out }) {
    const Duration before = admission.ModelledDelay(direction, now);
    meter.Record(LinkUse::Feed, direction, 100'000);
    admission.Tick(1, {}, now);
    EXPECT_GE(admission.ModelledDelay(direction, now) - before,
              milliseconds{ 200 });
  }
}

// Failure: the configured bandwidth is three times the real one, so the
// modelled queue is empty. The measured one must limit admission.
TEST_F(LinkAdmissionTest, MeasuredDelayCorrectsWrongBandwidth)
{
  constexpr size_t kThirdOfLink = kRate / 3 / 50;
  Probe(milliseconds{ 4 }, kThirdOfLink);
  ASSERT_TRUE(IsAdmitted(kLookup));
  Probe(milliseconds{ 454 }, kThirdOfLink);
  EXPECT_EQ(admission.ModelledDelay(LinkDirection::In, now), Duration::zero());
  const auto decision = admission.Decide(RequestOf(kLookup), now);
  // The first request of a route after 1 s is admitted anyway.
  EXPECT_TRUE(std::holds_alternative<LinkReservation>(decision));
  EXPECT_EQ(FillUntilRefused(kLookup).queueIn, milliseconds{ 450 });
}

// Failure: the control host answers late. Hosts with idle links must not refuse
// requests for it.
TEST_F(LinkAdmissionTest, LateAnswersDoNotFillAnIdleLink)
{
  Probe(milliseconds{ 4 }, 0);
  Probe(milliseconds{ 454 }, 0);
  IsAdmitted(kLookup);
  EXPECT_TRUE(IsAdmitted(kLookup));
}

// Guards against the same if ticks are rare: the traffic of more than a second
// must not count as that of one.
TEST_F(LinkAdmissionTest, BusyShareHoldsForRareTicks)
{
  constexpr Duration kInterval = milliseconds{ 49 };
  // 0.2 of the link. Ten slots of three ticks each span 1.47 s.
  constexpr size_t kBytesPerTick = kRate * 0.2 * 0.049;
  Probe(milliseconds{ 4 }, kBytesPerTick, kInterval);
  Probe(milliseconds{ 454 }, kBytesPerTick, kInterval);
  IsAdmitted(kLookup);
  EXPECT_TRUE(IsAdmitted(kLookup));
}

/// Simulated entry host with a link of kRate in each direction: callers, an
/// upstream, and probes, in virtual time.
class Load
{
public:
  struct Result
  {
    std::map<std::string, int> refused;
    std::map<std::string, int> requests;
    std::map<std::string, int> inTime;
    double bytesIn = 0;
    int late = 0;
  };

  /// @param aConfiguredRate the bandwidth that the admission is told; 0 if it
  /// must not limit requests.
  explicit Load(double aConfiguredRate)
    : mAdmission(aConfiguredRate, mMeter, 2)
  {
  }

  /// Runs requests for 30 s. Their rate is multiplied for 7 s.
  /// @param aBurst factors of the rates in the burst, by kind.
  Result Run(double aRate,
             const std::vector<Kind>& aKinds,
             const std::vector<double>& aBurst)
  {
    for (size_t kind = 0; kind < aKinds.size(); ++kind) {
      std::exponential_distribution<double> gap(1);
      double at = 0;
      while (at < 30) {
        const bool burst = at >= 10 && at < 17;
        at += gap(mRandom) /
              (aRate * aKinds[kind].share * (burst ? aBurst[kind] : 1));
        At(kStart + Seconds(at), [this, &aKinds, kind] {
          ++mResult.requests[aKinds[kind].route];
          Send(aKinds[kind], mNow, mNow, true);
        });
      }
    }
    At(kStart, [this] { Tick(); });
    while (!mEvents.empty()) {
      const auto next = mEvents.begin();
      mNow = next->first;
      const auto event = std::move(next->second);
      mEvents.erase(next);
      event();
    }
    return mResult;
  }

private:
  static Duration Seconds(double aSeconds)
  {
    return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(aSeconds));
  }

  void At(Instant aTime, std::function<void()> aEvent)
  {
    mEvents.emplace(aTime, std::move(aEvent));
  }

  /// @return the time at which bytes that enter a direction now have left it.
  Instant Transfer(Instant& aFreeAt, size_t aBytes)
  {
    const double onLink = static_cast<double>(LinkMeter::BytesOnLink(aBytes));
    mResult.bytesIn += &aFreeAt == &mInFreeAt ? onLink : 0;
    aFreeAt = std::max(aFreeAt, mNow) + Seconds(onLink / kRate);
    return aFreeAt;
  }

  void Tick()
  {
    if (const auto id = mAdmission.Tick(
          1, std::max(mOutFreeAt - mNow, Duration::zero()), mNow)) {
      At(Transfer(mOutFreeAt, 20) + milliseconds{ 2 }, [this, id = *id] {
        At(Transfer(mInFreeAt, 20),
           [this, id] { mAdmission.OnProbeReply(id, mNow); });
      });
    }
    if (mNow < kStart + seconds{ 32 }) {
      At(mNow + milliseconds{ 20 }, [this] { Tick(); });
    }
  }

  /// A caller sends a request to the host.
  void Send(const Kind& aKind, Instant aFirst, Instant aSent, bool aMayReturn)
  {
    At(Transfer(mInFreeAt, aKind.requestBytes), [=, this, &aKind] {
      mMeter.Record(LinkUse::Callers, LinkDirection::In, aKind.requestBytes);
      LinkRequest request = RequestOf(aKind);
      request.timeLeft = aFirst + aKind.timeout - mNow;
      request.age = mNow - aSent;
      const auto decision = mAdmission.Decide(request, mNow);
      if (const auto* refusal = std::get_if<LinkRefusal>(&decision)) {
        Refuse(aKind, aFirst, aMayReturn, *refusal);
      } else {
        Forward(aKind, aFirst, request, std::get<LinkReservation>(decision));
      }
    });
  }

  void Refuse(const Kind& aKind,
              Instant aFirst,
              bool aMayReturn,
              const LinkRefusal& aRefusal)
  {
    ++mResult.refused[aKind.route];
    mMeter.Record(LinkUse::Callers, LinkDirection::Out, 250);
    const Instant refused = Transfer(mOutFreeAt, 250);
    const Duration third = (aFirst + aKind.timeout - refused) / 3;
    if (aMayReturn && third > Duration::zero()) {
      At(refused + std::min(aRefusal.retryAfter, third),
         [=, this, &aKind] { Send(aKind, aFirst, mNow, false); });
    }
  }

  void Forward(const Kind& aKind,
               Instant aFirst,
               const LinkRequest& aRequest,
               const LinkReservation& aReservation)
  {
    mMeter.Record(LinkUse::Upstreams, LinkDirection::Out, aKind.requestBytes);
    const Instant sent = Transfer(mOutFreeAt, aKind.requestBytes);
    At(sent + milliseconds{ 160 }, [=, this, &aKind] {
      At(Transfer(mInFreeAt, aKind.responseBytes), [=, this, &aKind] {
        mMeter.Record(
          LinkUse::Upstreams, LinkDirection::In, aKind.responseBytes);
        mAdmission.Settle(aRequest,
                          aReservation,
                          { 1, aKind.responseBytes, aKind.responseBytes },
                          mNow);
        mMeter.Record(
          LinkUse::Callers, LinkDirection::Out, aKind.responseBytes);
        const Duration took =
          Transfer(mOutFreeAt, aKind.responseBytes) - aFirst;
        mResult.inTime[aKind.route] += took <= aKind.objective ? 1 : 0;
        mResult.late += took > aKind.timeout ? 1 : 0;
      });
    });
  }

  std::mt19937_64 mRandom{ 7 };
  std::multimap<Instant, std::function<void()>> mEvents;
  Instant mNow = kStart;
  Instant mInFreeAt = kStart;
  Instant mOutFreeAt = kStart;
  LinkMeter mMeter{ kStart };
  LinkAdmission mAdmission;
  Result mResult;
};

const std::vector<Kind> kKinds{ kLookup, kBooking, kConfirmation };

// The load of a host with 2.3 Mbit/s when bookings of 4,200 bytes rise to 2.5
// times their rate for 7 s: 38 requests per second, and 0.84 of the link for
// first attempts in the burst. Guards against the collapse in which refused
// bookings fill the link with attempts that are refused again.
TEST(LinkAdmissionLoad, BurstOfBookingsThatFitsTheLinkIsNotRefused)
{
  const auto all = Load(0).Run(38, kKinds, { 1, 2.5, 1 });
  auto limited = Load(kRate).Run(38, kKinds, { 1, 2.5, 1 });
  EXPECT_EQ(limited.refused["booking"], 0);
  EXPECT_EQ(limited.refused["confirmation"], 0);
  EXPECT_LE(limited.bytesIn, all.bytesIn * 1.001);
  EXPECT_EQ(limited.late, 0);
  // Without admission, 94% of the lookups meet their objective.
  EXPECT_LE(limited.refused["lookup"], 0.1 * limited.requests["lookup"]);
  for (const Kind& kind : kKinds) {
    EXPECT_GE(limited.inTime[kind.route], all.inTime.at(kind.route));
  }
}

// The same host when lookups rise to 7 times their rate for 7 s: 1.5 times the
// link for first attempts. Refusals must relieve the link, and the most urgent
// kind must be served.
TEST(LinkAdmissionLoad, OverloadOfLookupsIsRelievedByTheirRefusal)
{
  const auto all = Load(0).Run(38, kKinds, { 7, 1, 1 });
  auto limited = Load(kRate).Run(38, kKinds, { 7, 1, 1 });
  EXPECT_GT(limited.refused["lookup"], 0);
  EXPECT_EQ(limited.refused["booking"], 0);
  EXPECT_LT(limited.bytesIn, all.bytesIn);
  EXPECT_LT(limited.late, all.late / 10 + 1);
  EXPECT_GE(limited.inTime["confirmation"],
            0.95 * limited.requests["confirmation"]);
  EXPECT_GT(limited.inTime["lookup"], all.inTime.at("lookup"));
}

// Failure: the configured bandwidth is three times the real one. The probes
// must find the queue.
TEST(LinkAdmissionLoad, OverloadOfSlowerLinkThanConfiguredIsRelieved)
{
  const auto all = Load(0).Run(38, kKinds, { 7, 1, 1 });
  auto limited = Load(3 * kRate).Run(38, kKinds, { 7, 1, 1 });
  EXPECT_LT(limited.late, all.late / 10);
  EXPECT_GE(limited.inTime["confirmation"], all.inTime.at("confirmation"));
}

} // namespace
} // namespace rattandyke::scheduling
