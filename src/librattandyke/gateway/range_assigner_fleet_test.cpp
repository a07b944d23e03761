// Load distribution and cost of RangeAssigner with hundreds to thousands of
// instances, on a simulated clock.
#include "gateway/range_assigner.h"

#include <algorithm>
#include <random>
#include <set>
#include <string>
#include <utility>

#include <gtest/gtest.h>

#include "gateway/key_spans.h"
#include "testing/simulated_leader.h"

namespace rattandyke::gateway {
namespace {

using namespace testing; // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

/// A service with many upstreams. Their heartbeats are evenly spread over the
/// interval, and each reports a release 100 ms after the answer that revoked
/// the keys. Requests arrive at random.
class Fleet
{
public:
  static constexpr milliseconds kTimeStep{ 20 };
  static constexpr milliseconds kReportInterval{ 200 };
  static constexpr Duration kReleaseLatency = milliseconds{ 100 };

  /// @param aRequests requests per second for all keys together, evenly
  /// distributed.
  Fleet(size_t aUpstreams, double aRequests, unsigned aSeed)
    : mRandom(aSeed)
    , mRequests(aRequests)
  {
    // Every third upstream is slow.
    constexpr double kFast = 0.112;
    constexpr double kSlow = 0.256;
    for (size_t at = 0; at < aUpstreams; ++at) {
      Upstream upstream;
      upstream.id = "i-" + std::to_string(1000 + at);
      upstream.address = "10.0.0.1:" + std::to_string(1000 + at);
      upstream.latencySeconds = at % 3 == 2 ? kSlow : kFast;
      upstream.nextHeartbeatAt =
        leader.now + kHeartbeatInterval * at / aUpstreams;
      mUpstreams.push_back(std::move(upstream));
    }
  }

  /// @return the share of the requests in this time whose key had no owner.
  double AdvanceTime(Duration aTime)
  {
    double requests = 0;
    double unowned = 0;
    for (const Instant end = leader.now + aTime; leader.now < end;) {
      leader.AdvanceTime(kTimeStep);
      for (Upstream& upstream : mUpstreams) {
        if (leader.now >= upstream.nextHeartbeatAt) {
          SendHeartbeat(upstream);
        }
      }
      const RangeTable* ranges = leader.state.Ranges("board");
      const auto arrived = std::poisson_distribution<int>(
        mRequests * std::chrono::duration<double>(kTimeStep).count())(mRandom);
      for (int request = 0; request < arrived; ++request) {
        const auto key = static_cast<uint32_t>(mRandom() % kKeyCount);
        mLoad.add_buckets(key);
        mLoad.add_requests(1);
        const bool owned = ranges != nullptr &&
                           !ranges->Find(key).holder().empty() &&
                           !ranges->Find(key).held_back();
        requests += 1;
        unowned += owned ? 0 : 1;
      }
      Report();
    }
    return unowned / requests;
  }

  /// @return the share of the requests whose owner has a utilization above
  /// aUtilization.
  double OverloadedShare(double aUtilization) const
  {
    double overloaded = 0;
    for (const Upstream& upstream : mUpstreams) {
      double keys = 0;
      for (const KeySpan& span : upstream.held) {
        keys += span.Size();
      }
      const double share = keys / kKeyCount;
      const double utilization =
        share * mRequests * upstream.latencySeconds / kSlots;
      overloaded += utilization > aUtilization ? share : 0;
    }
    return overloaded;
  }

  SimulatedLeader leader;

private:
  /// Slots of each upstream, as set by HeartbeatFrom.
  static constexpr double kSlots = 2;

  struct Upstream
  {
    std::string id;
    std::string address;
    double latencySeconds = 0;
    uint64_t sequence = 0;
    Instant nextHeartbeatAt{};
    std::vector<KeySpan> held;
    std::vector<ReleasedRange> released;
  };

  /// Reports the requests that the entry hosts have counted, and a response
  /// time of each upstream.
  void Report()
  {
    mSinceReport += kTimeStep;
    if (mSinceReport < kReportInterval) {
      return;
    }
    mSinceReport = {};
    mLoad.set_service("board");
    leader.rangeAssigner->AddLoad(mLoad);
    mLoad.Clear();
    // A report is a mean of about seven responses, whose standard deviation is
    // about as large as their mean.
    std::lognormal_distribution<double> noise(-0.07, 0.37);
    for (const Upstream& upstream : mUpstreams) {
      leader.rangeAssigner->RecordLatency(
        upstream.id, upstream.latencySeconds * noise(mRandom));
    }
  }

  void SendHeartbeat(Upstream& aUpstream)
  {
    Heartbeat heartbeat = HeartbeatFrom(aUpstream.id, ++aUpstream.sequence);
    heartbeat.address = aUpstream.address;
    heartbeat.released = std::exchange(aUpstream.released, {});
    const auto grants = leader.HandleHeartbeat(heartbeat);
    if (!grants) {
      aUpstream.nextHeartbeatAt = leader.now + kHeartbeatInterval;
      return;
    }
    std::vector<KeySpan> kept;
    for (const GrantedRange& range : grants->ranges) {
      kept.push_back(range.keys);
    }
    for (const KeySpan& keys : aUpstream.held) {
      for (const KeySpan& left : Subtract(keys, kept)) {
        aUpstream.released.push_back({ left, "h" });
      }
    }
    aUpstream.held = std::move(kept);
    aUpstream.nextHeartbeatAt =
      leader.now +
      (aUpstream.released.empty() ? kHeartbeatInterval : kReleaseLatency);
  }

  std::mt19937 mRandom;
  const double mRequests;
  std::vector<Upstream> mUpstreams;
  wire::RangeLoad mLoad;
  Duration mSinceReport{};
};

/// Uses three quarters of all slots: 9.75 requests per second for each of 400
/// upstreams with two slots and a mean response time of 0.16 s.
constexpr double kBusyRequests = 3900;

/// 99 of 100 requests must be served in time. Half of the remaining hundredth
/// is left for failures of upstreams and links; the other half may be for keys
/// that are being moved.
constexpr double kMaxUnownedShare = 0.005;

/// Nine in ten requests must have an owner that is idle for a tenth of its
/// time. Above that utilization, queues grow faster than latency objectives
/// allow.
constexpr double kMaxUtilization = 0.9;
constexpr double kMaxOverloadedShare = 0.1;

// 400 upstreams of different speeds own the keys of a service, and all keys get
// the same rate of requests. If shares follow random differences of loads and
// response times, some owners are overloaded while others are idle, and moved
// keys have no owner for a fifth of a second: callers see late answers and
// refusals.
TEST(RangeAssignerFleet, EvenLoadIsSharedByManyOwners)
{
  Fleet fleet(400, kBusyRequests, 20261203);
  fleet.AdvanceTime(std::chrono::seconds{ 15 });
  EXPECT_LE(fleet.AdvanceTime(std::chrono::seconds{ 20 }), kMaxUnownedShare);
  EXPECT_LE(fleet.OverloadedShare(kMaxUtilization), kMaxOverloadedShare);
}

// As above, and then a new leader is elected. It knows the owners of all keys,
// but neither loads nor response times. Until it knows them, it must move few
// keys.
TEST(RangeAssignerFleet, NewLeaderMovesFewKeys)
{
  Fleet fleet(400, kBusyRequests, 20261203);
  fleet.AdvanceTime(std::chrono::seconds{ 15 });
  fleet.leader.FailOver();
  EXPECT_LE(fleet.AdvanceTime(std::chrono::seconds{ 5 }), kMaxUnownedShare);
}

// A fleet of 2000 upstreams starts. Each registers, which changes the state,
// and requests keys. If the leader visited all instances for each of them, it
// would be deposed before it granted any keys.
TEST(RangeAssignerFleet, RegistrationsDoNotEachComputeLoads)
{
  constexpr size_t kFleet = 2000;
  SimulatedLeader leader;
  for (uint64_t sequence = 1; sequence <= 3; ++sequence) {
    for (size_t at = 0; at < kFleet; ++at) {
      Heartbeat heartbeat = HeartbeatFrom("i-" + std::to_string(at), sequence);
      heartbeat.address = "10.0.0.1:" + std::to_string(1000 + at);
      leader.HandleHeartbeat(heartbeat);
      leader.now += kHeartbeatInterval / kFleet;
    }
    leader.AdvanceTime(RangeAssigner::kTick);
  }
  EXPECT_LT(leader.rangeAssigner->LoadComputations(), 3 * kFleet / 10);
  const auto& segments = leader.state.Ranges("board")->Segments();
  const auto free =
    std::count_if(segments.begin(), segments.end(), [](const auto& aSegment) {
      return aSegment.holder().empty();
    });
  EXPECT_EQ(free, 0);
}

// Guards against work per heartbeat or tick that grows with the fleet: while
// thousands register, the leader would be deposed repeatedly, and no keys would
// be granted.
TEST(RangeAssignerFleet, WorkPerHeartbeatIsIndependentOfFleetSize)
{
  constexpr uint64_t kRounds = 4;
  constexpr uint64_t kMaxVisitsPerHeartbeat = 16;
  for (const size_t fleet : { 100U, 1000U, 10000U }) {
    SimulatedLeader leader;
    for (uint64_t sequence = 1; sequence <= kRounds; ++sequence) {
      Instant lastTick = leader.now;
      for (size_t at = 0; at < fleet; ++at) {
        Heartbeat heartbeat =
          HeartbeatFrom("i-" + std::to_string(at), sequence);
        heartbeat.address = "10.0.0.1:" + std::to_string(at);
        leader.HandleHeartbeat(heartbeat);
        leader.now += kHeartbeatInterval / fleet;
        if (leader.now - lastTick >= RangeAssigner::kTick) {
          lastTick = leader.now;
          leader.Commit(leader.rangeAssigner->Tick(leader.state, leader.now));
        }
      }
    }
    EXPECT_LE(leader.rangeAssigner->Visits(),
              kMaxVisitsPerHeartbeat * kRounds * fleet);
    EXPECT_GE(leader.state.Ranges("board")->Segments().size(), fleet / 2);
  }
}

// Guards against loads that are computed for each new instance while others own
// keys: the leader would stall after its first grants, and be deposed.
TEST(RangeAssignerFleet, NewInstancesDoNotEachComputeLoads)
{
  constexpr size_t kFleet = 2000;
  SimulatedLeader leader;
  const auto sendHeartbeat = [&](size_t aAt, uint64_t aSequence) {
    Heartbeat heartbeat = HeartbeatFrom("i-" + std::to_string(aAt), aSequence);
    heartbeat.address = "10.0.0.1:" + std::to_string(aAt);
    leader.HandleHeartbeat(heartbeat);
  };
  for (uint64_t sequence = 1; sequence <= 3; ++sequence) {
    for (size_t at = 0; at < kFleet / 2; ++at) {
      sendHeartbeat(at, sequence);
      leader.now += kHeartbeatInterval / (kFleet / 2);
    }
  }
  const uint64_t before = leader.rangeAssigner->LoadComputations();
  for (size_t at = 0; at < kFleet / 2; ++at) {
    sendHeartbeat(kFleet / 2 + at, 1);
    sendHeartbeat(at, 4);
    leader.now += kHeartbeatInterval / (kFleet / 2);
  }
  // At most one computation every 20 ms, within one interval of a second.
  EXPECT_LE(leader.rangeAssigner->LoadComputations() - before, 60U);
}

// Guards against the same stall when a fleet sends heartbeats again after a
// silence.
TEST(RangeAssignerFleet, ReturningInstancesDoNotEachComputeLoads)
{
  constexpr size_t kFleet = 2000;
  SimulatedLeader leader;
  const auto sendHeartbeats = [&](uint64_t aSequence) {
    for (size_t at = 0; at < kFleet; ++at) {
      Heartbeat heartbeat = HeartbeatFrom("i-" + std::to_string(at), aSequence);
      heartbeat.address = "10.0.0.1:" + std::to_string(at);
      leader.HandleHeartbeat(heartbeat);
      leader.now += kHeartbeatInterval / kFleet;
    }
    leader.AdvanceTime(RangeAssigner::kTick);
  };
  for (uint64_t sequence = 1; sequence <= 3; ++sequence) {
    sendHeartbeats(sequence);
  }
  leader.AdvanceTime(kHeartbeatInterval * 3);
  const uint64_t before = leader.rangeAssigner->LoadComputations();
  sendHeartbeats(4);
  EXPECT_LE(leader.rangeAssigner->LoadComputations() - before, 60U);
}

// Guards against a slow log that repeated commands keep slow: every instance of
// a fleet of 700 stops sending heartbeats while nothing is committed.
TEST(RangeAssignerFleet, FreeCommandsAreNotRepeatedWhileLogIsSlow)
{
  constexpr size_t kFleet = 700;
  SimulatedLeader leader;
  for (uint64_t sequence = 1; sequence <= 4; ++sequence) {
    for (size_t at = 0; at < kFleet; ++at) {
      Heartbeat heartbeat = HeartbeatFrom("i-" + std::to_string(at), sequence);
      heartbeat.address = "10.0.0.1:" + std::to_string(at);
      leader.HandleHeartbeat(heartbeat);
      leader.now += kHeartbeatInterval / kFleet;
    }
    leader.AdvanceTime(RangeAssigner::kTick);
  }
  std::set<std::string> owners;
  for (const auto& segment : leader.state.Ranges("board")->Segments()) {
    if (!segment.holder().empty()) {
      owners.insert(segment.holder());
    }
  }
  ASSERT_GT(owners.size(), kFleet / 2);
  leader.now += kLeaseDuration * 2;
  size_t freeCommands = 0;
  for (int tick = 0; tick < 9; ++tick) {
    for (const auto& command :
         leader.rangeAssigner->Tick(leader.state, leader.now)) {
      freeCommands += command.has_free_ranges() ? 1 : 0;
    }
    leader.now += RangeAssigner::kTick;
  }
  EXPECT_EQ(freeCommands, owners.size());
}

// Heartbeats of many instances arrive while the first grants are being
// committed. Their grants must not overlap: of two grants of the same key, one
// fails.
TEST(RangeAssignerFleet, PendingGrantsDoNotOverlap)
{
  constexpr size_t kFleet = 50;
  SimulatedLeader leader;
  const auto heartbeat = [](size_t aAt, uint64_t aSequence) {
    Heartbeat result = HeartbeatFrom("i-" + std::to_string(aAt), aSequence);
    result.address = "10.0.0.1:" + std::to_string(1000 + aAt);
    return result;
  };
  for (size_t at = 0; at < kFleet; ++at) {
    leader.HandleHeartbeat(heartbeat(at, 1));
  }
  leader.AdvanceTime(kHeartbeatInterval * 3 / 2);
  const auto plan = [&](uint64_t aSequence) {
    std::vector<KeySpan> planned;
    for (size_t at = 0; at < kFleet; ++at) {
      const Heartbeat sent = heartbeat(at, aSequence);
      leader.Commit(
        leader.rangeAssigner->OnHeartbeat(sent, leader.state, leader.now));
      const auto grant =
        leader.rangeAssigner->PlanGrant(sent, leader.state, leader.now);
      if (grant) {
        for (const wire::KeyRange& range : grant->grant_ranges().ranges()) {
          planned.push_back({ range.from(), range.to() });
        }
      }
    }
    return planned;
  };
  const std::vector<KeySpan> planned = plan(2);
  EXPECT_GT(planned.size(), kFleet / 2);
  for (size_t one = 0; one < planned.size(); ++one) {
    for (size_t other = 0; other < one; ++other) {
      EXPECT_FALSE(Intersect(planned[one], planned[other]));
    }
  }
  // No grant was committed: after a moment the keys are granted again.
  leader.AdvanceTime(milliseconds{ 400 });
  EXPECT_GT(plan(3).size(), kFleet / 2);
}

} // namespace
} // namespace rattandyke::gateway
