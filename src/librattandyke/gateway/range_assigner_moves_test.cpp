#include "gateway/range_assigner.h"

#include <algorithm>
#include <random>

#include <gtest/gtest.h>

#include "testing/simulated_leader.h"

namespace rattandyke::gateway {
namespace {

using namespace testing; // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

uint32_t
FirstKeyOf(const SimulatedLeader& aLeader, const std::string& aOwner)
{
  const RangeTable& ranges = *aLeader.state.Ranges("board");
  uint32_t first = 0;
  while (ranges.Find(first).holder() != aOwner) {
    first = ranges.Find(first).to() + 1;
  }
  return first;
}

/// Reports far more requests for the first keys of some owners than the owners
/// can process.
void
OverloadFirstKeys(SimulatedLeader& aLeader,
                  uint32_t aKeys,
                  const std::vector<std::string>& aOwners = { "a" })
{
  for (int tick = 0; tick < 20; ++tick) {
    wire::RangeLoad load;
    load.set_service("board");
    for (const std::string& owner : aOwners) {
      const uint32_t first = FirstKeyOf(aLeader, owner);
      for (uint32_t key = first; key < first + aKeys; ++key) {
        load.add_buckets(key / kKeysPerBucket);
        load.add_requests(4);
      }
    }
    aLeader.rangeAssigner->AddLoad(load);
    aLeader.AdvanceTime(milliseconds{ 100 });
  }
}

bool
HasRevokedKeys(const SimulatedLeader& aLeader)
{
  for (const auto& segment : aLeader.state.Ranges("board")->Segments()) {
    if (segment.held_back()) {
      return true;
    }
  }
  return false;
}

/// Advances the clock under a load, while "a" and "b" send heartbeats.
/// @param aReports number of load reports, one every 200 ms.
/// @param aLoad    returns the load of one report.
template<typename Load>
void
AdvanceUnderLoad(SimulatedLeader& aLeader,
                 int aReports,
                 uint64_t& aSequence,
                 Load aLoad)
{
  for (int report = 0; report < aReports; ++report) {
    wire::RangeLoad load = aLoad();
    load.set_service("board");
    aLeader.rangeAssigner->AddLoad(load);
    aLeader.AdvanceTime(milliseconds{ 200 });
    if (report % 5 == 4) {
      ++aSequence;
      aLeader.HandleHeartbeat(HeartbeatFrom("b", aSequence));
      aLeader.HandleHeartbeat(HeartbeatFrom("a", aSequence));
    }
  }
}

/// Advances the clock while ten owners with even loads send heartbeats. The
/// load uses most of their slots.
void
AdvanceUnderEvenLoad(SimulatedLeader& aLeader,
                     int aReports,
                     uint64_t& aSequence)
{
  constexpr uint32_t kRequests = 24;
  for (int report = 0; report < aReports; ++report) {
    wire::RangeLoad load;
    load.set_service("board");
    for (uint32_t request = 0; request < kRequests; ++request) {
      load.add_buckets((request * (kKeyCount / kRequests) + 97 * report) %
                       kKeyCount);
      load.add_requests(1);
    }
    aLeader.rangeAssigner->AddLoad(load);
    aLeader.AdvanceTime(milliseconds{ 200 });
    if (report % 5 == 4) {
      ++aSequence;
      for (char id = 'a'; id <= 'j'; ++id) {
        aLeader.HandleHeartbeat(HeartbeatFrom(std::string(1, id), aSequence));
      }
    }
  }
}

void
RecordLatencies(SimulatedLeader& aLeader,
                const std::string& aOwner,
                double aSeconds)
{
  constexpr int kReports = 10;
  for (int report = 0; report < kReports; ++report) {
    aLeader.rangeAssigner->RecordLatency(aOwner, aSeconds);
  }
}

/// Assigns all keys to ten owners under an even load, and replaces the leader.
void
AssignKeysToTen(SimulatedLeader& aLeader, uint64_t& aSequence)
{
  AdvanceUnderEvenLoad(aLeader, 10, aSequence);
  aLeader.FailOver();
  for (char id = 'a'; id <= 'j'; ++id) {
    RecordLatencies(aLeader, std::string(1, id), 0.02);
  }
  AdvanceUnderEvenLoad(aLeader, 30, aSequence);
  aLeader.FailOver();
}

// A new leader has no response times. The first report of one owner is high,
// and the other owners have sent more reports; all have about the same load. If
// the leader takes that owner for slow, it moves keys, and callers see keys
// without an owner. The keys must stay until more reports have arrived.
TEST(RangeAssigner, SingleLatencyReportAfterFailoverMovesNoKeys)
{
  SimulatedLeader leader;
  uint64_t sequence = 0;
  AssignKeysToTen(leader, sequence);
  ASSERT_FALSE(HasRevokedKeys(leader));
  for (char id = 'b'; id <= 'j'; ++id) {
    RecordLatencies(leader, std::string(1, id), 0.1);
  }
  leader.rangeAssigner->RecordLatency("a", 0.3);
  AdvanceUnderEvenLoad(leader, 10, sequence);
  EXPECT_FALSE(HasRevokedKeys(leader));
}

// The same owner is slow, as its next reports show: it gives up keys.
TEST(RangeAssigner, KeysMoveAwayFromSlowOwner)
{
  SimulatedLeader leader;
  uint64_t sequence = 0;
  AssignKeysToTen(leader, sequence);
  ASSERT_FALSE(HasRevokedKeys(leader));
  for (char id = 'a'; id <= 'j'; ++id) {
    RecordLatencies(leader, std::string(1, id), id == 'a' ? 0.3 : 0.1);
  }
  AdvanceUnderEvenLoad(leader, 10, sequence);
  EXPECT_TRUE(HasRevokedKeys(leader));
}

/// A service whose upstreams send heartbeats in turn, report a release soon
/// after the answer that revoked the keys, and have different response times.
/// The owner of the hot key responds more slowly while it is overloaded.
class SimulatedService
{
public:
  static constexpr uint32_t kHotKey = 22772;
  /// Requests per second. Other requests are spread evenly over all keys.
  static constexpr double kHotRequests = 120;
  static constexpr double kOtherRequests = 60;
  static constexpr milliseconds kTimeStep{ 20 };
  /// As in a control host.
  static constexpr milliseconds kMaxAnswerDelay{ 350 };
  /// Factor on the response time of an overloaded upstream.
  static constexpr double kOverloadLatencyFactor = 1.5;

  /// @param aSeconds response time of each upstream.
  explicit SimulatedService(std::vector<double> aSeconds, unsigned aSeed)
    : mRandom(aSeed)
  {
    for (size_t at = 0; at < aSeconds.size(); ++at) {
      Upstream upstream;
      upstream.id = std::string(1, static_cast<char>('a' + at));
      upstream.latencySeconds = aSeconds[at];
      upstream.nextHeartbeatAt =
        leader.now + kHeartbeatInterval * at / aSeconds.size();
      mUpstreams.push_back(upstream);
    }
  }

  /// @param aHot hot keys during this time.
  void AdvanceTime(Duration aTime, const std::vector<uint32_t>& aHot)
  {
    for (const Instant end = leader.now + aTime; leader.now < end;) {
      leader.AdvanceTime(kTimeStep);
      ReportLoad(aHot);
      for (Upstream& upstream : mUpstreams) {
        if (leader.now >= upstream.nextHeartbeatAt &&
            !IsAnswerDelayed(upstream)) {
          SendHeartbeat(upstream);
        }
      }
      if (const std::string owner = CurrentOwner();
          owner != mLastOwner && !owner.empty()) {
        owners.push_back(owner);
        mLastOwner = owner;
      }
      unownedTime +=
        CurrentOwner().empty() ? Duration(kTimeStep) : Duration::zero();
    }
  }

  /// @return the owner of a key; empty while the key is revoked or free.
  std::string CurrentOwner(uint32_t aKey = kHotKey) const
  {
    const RangeTable* ranges = leader.state.Ranges("board");
    if (ranges == nullptr || ranges->Find(aKey).held_back()) {
      return "";
    }
    return ranges->Find(aKey).holder();
  }

  void ResetStatistics()
  {
    owners.clear();
    unownedTime = {};
  }

  void SetLatency(const std::string& aInstance, double aSeconds)
  {
    for (Upstream& upstream : mUpstreams) {
      if (upstream.id == aInstance) {
        upstream.latencySeconds = aSeconds;
      }
    }
  }

  SimulatedLeader leader;
  /// Owners of the hot key in order, and the time for which it had none.
  std::vector<std::string> owners;
  Duration unownedTime{};

private:
  struct Upstream
  {
    std::string id;
    double latencySeconds = 0.1;
    uint64_t sequence = 0;
    Instant nextHeartbeatAt{};
    std::vector<GrantedRange> held;
    std::vector<ReleasedRange> released;
  };

  void ReportLoad(const std::vector<uint32_t>& aHot)
  {
    mSinceReport += kTimeStep;
    if (mSinceReport < milliseconds{ 200 }) {
      return;
    }
    mSinceReport = {};
    wire::RangeLoad load;
    load.set_service("board");
    const auto add = [&](uint32_t aKey, double aRequests) {
      load.add_buckets(aKey);
      load.add_requests(static_cast<uint32_t>(aRequests));
    };
    for (const uint32_t key : aHot) {
      add(key, kHotRequests / 5);
    }
    for (int other = 0; other < static_cast<int>(kOtherRequests / 5); ++other) {
      add(static_cast<uint32_t>(mRandom() % kKeyCount), 1);
    }
    leader.rangeAssigner->AddLoad(load);
    std::uniform_real_distribution<double> noise(0.7, 1.3);
    for (const Upstream& upstream : mUpstreams) {
      const bool overloaded = !aHot.empty() && CurrentOwner() == upstream.id;
      leader.rangeAssigner->RecordLatency(
        upstream.id,
        upstream.latencySeconds * noise(mRandom) *
          (overloaded ? kOverloadLatencyFactor : 1));
    }
  }

  /// @return whether the answer to an upstream's heartbeat waits for keys that
  /// are about to be released.
  bool IsAnswerDelayed(const Upstream& aUpstream)
  {
    return leader.now < aUpstream.nextHeartbeatAt + kMaxAnswerDelay &&
           leader.rangeAssigner->ShouldDelayAnswer(
             HeartbeatFrom(aUpstream.id, aUpstream.sequence),
             leader.state,
             leader.now);
  }

  void SendHeartbeat(Upstream& aUpstream)
  {
    Heartbeat heartbeat = HeartbeatFrom(aUpstream.id, ++aUpstream.sequence);
    heartbeat.released = std::exchange(aUpstream.released, {});
    const auto grants = leader.HandleHeartbeat(heartbeat);
    for (const GrantedRange& held : aUpstream.held) {
      uint32_t from = held.keys.from;
      // The upstream releases the parts of a range that the answer leaves out.
      std::vector<KeySpan> kept;
      for (const GrantedRange& range :
           grants ? grants->ranges : std::vector<GrantedRange>{}) {
        if (range.keys.to >= held.keys.from &&
            range.keys.from <= held.keys.to) {
          kept.push_back(range.keys);
        }
      }
      for (const KeySpan& keys : kept) {
        if (keys.from > from) {
          aUpstream.released.push_back({ { from, keys.from - 1 }, "h" });
        }
        from = std::max(from, keys.to + 1);
      }
      if (from <= held.keys.to) {
        aUpstream.released.push_back({ { from, held.keys.to }, "h" });
      }
    }
    if (grants) {
      aUpstream.held = grants->ranges;
    }
    aUpstream.nextHeartbeatAt =
      leader.now + (aUpstream.released.empty() ? kHeartbeatInterval
                                               : Duration(milliseconds{ 100 }));
  }

  std::mt19937 mRandom;
  std::vector<Upstream> mUpstreams;
  Duration mSinceReport{};
  std::string mLastOwner;
};

// Two owners get random requests at the same rate, and their slots are mostly
// in use. At any time one of them has more load by chance. If keys were moved
// for that, they would have no owner for 200 ms, and would be moved back later.
TEST(RangeAssigner, RandomLoadDifferencesMoveNoKeys)
{
  size_t moved = 0;
  for (unsigned seed = 1; seed <= 20; ++seed) {
    SimulatedLeader leader;
    AssignKeysToTwo(leader);
    std::mt19937 random(seed);
    leader.rangeAssigner->RecordLatency("a", 0.2);
    leader.rangeAssigner->RecordLatency("b", 0.2);
    uint64_t sequence = 10;
    AdvanceUnderLoad(leader, 60, sequence, [&] {
      wire::RangeLoad load;
      for (int request = 0; request < 3; ++request) {
        load.add_buckets(random() % kKeyCount);
        load.add_requests(1);
      }
      return load;
    });
    ASSERT_NE(leader.OwnerOf(0), "");
    moved += HasRevokedKeys(leader) ? 1 : 0;
  }
  EXPECT_LE(moved, 2U);
}

// One key alone exceeds its owner's capacity, and another instance is faster.
// The key moves if that instance's heartbeat is due when the key is released.
// Moved just after the heartbeat, it would have no owner for most of an
// interval.
TEST(RangeAssigner, HotKeyMovesOnlyToInstanceWithHeartbeatDue)
{
  for (const bool due : { false, true }) {
    SimulatedLeader leader;
    AssignKeysToTwo(leader);
    OverloadFirstKeys(leader, 1, { "a", "b" });
    for (int report = 0; report < 200; ++report) {
      leader.rangeAssigner->RecordLatency("a", 0.1);
      leader.rangeAssigner->RecordLatency("b", 0.03);
    }
    leader.HandleHeartbeat(HeartbeatFrom("b", 8));
    leader.AdvanceTime(due ? kHeartbeatInterval - milliseconds{ 100 }
                           : Duration::zero());
    leader.HandleHeartbeat(HeartbeatFrom("a", 8));
    bool moved = false;
    for (const auto& segment : leader.state.Ranges("board")->Segments()) {
      moved |= segment.held_back() && segment.from() == segment.to();
    }
    EXPECT_EQ(moved, due);
  }
}

// Reported response times are means of a few responses. A single report that is
// 1.7 times as high must not make its owner look slow and its keys move; an
// owner that stays slow gives up some keys.
TEST(RangeAssigner, SingleHighLatencyReportMovesNoKeys)
{
  SimulatedLeader leader;
  AssignKeysToTwo(leader);
  uint64_t sequence = 10;
  const auto even = [] {
    wire::RangeLoad load;
    for (uint32_t key = 0; key < kKeyCount; key += 1024) {
      load.add_buckets(key);
      load.add_requests(1);
    }
    return load;
  };
  leader.rangeAssigner->RecordLatency("a", 0.1);
  leader.rangeAssigner->RecordLatency("b", 0.1);
  AdvanceUnderLoad(leader, 20, sequence, even);
  leader.rangeAssigner->RecordLatency("a", 0.17);
  AdvanceUnderLoad(leader, 10, sequence, even);
  ASSERT_NE(leader.OwnerOf(0), "");
  EXPECT_FALSE(HasRevokedKeys(leader));
  for (int report = 0; report < 60; ++report) {
    leader.rangeAssigner->RecordLatency("a", 0.4);
  }
  AdvanceUnderLoad(leader, 10, sequence, even);
  EXPECT_TRUE(HasRevokedKeys(leader));
}

// One key gets six times the requests that any upstream can process, and all
// upstreams are about equally fast. Its owner is overloaded and responds more
// slowly. Another owner would gain nothing, and each move leaves the key
// without an owner for part of a second.
TEST(RangeAssigner, HotKeyStaysIfNoUpstreamIsFaster)
{
  for (unsigned seed = 1; seed <= 10; ++seed) {
    SimulatedService service({ 0.1, 0.08, 0.11, 0.09, 0.12, 0.1 }, seed);
    service.AdvanceTime(std::chrono::seconds{ 5 }, {});
    service.ResetStatistics();
    service.AdvanceTime(std::chrono::seconds{ 10 },
                        { SimulatedService::kHotKey });
    EXPECT_LE(service.owners.size(), 1U) << "seed " << seed;
    EXPECT_LE(service.unownedTime, milliseconds{ 400 }) << "seed " << seed;
  }
}

// Two adjacent keys are hot, and each would fit the share of a much faster
// upstream, which has just sent a heartbeat. A revoked range goes to the next
// upstream that sends a heartbeat, and would have no owner for an interval if
// only the fast one can take it. So the neighbours of the hot keys are revoked
// instead.
TEST(RangeAssigner, HotKeysAreNotMovedWithTheirNeighbours)
{
  SimulatedLeader leader;
  AssignKeysToTwo(leader);
  OverloadFirstKeys(leader, 2);
  for (int report = 0; report < 200; ++report) {
    leader.rangeAssigner->RecordLatency("a", 0.1);
    leader.rangeAssigner->RecordLatency("b", 0.02);
  }
  const uint32_t key = FirstKeyOf(leader, "a");
  leader.HandleHeartbeat(HeartbeatFrom("b", 8));
  leader.HandleHeartbeat(HeartbeatFrom("a", 8));
  EXPECT_FALSE(leader.state.Ranges("board")->Find(key).held_back());
  EXPECT_FALSE(leader.state.Ranges("board")->Find(key + 1).held_back());
  EXPECT_TRUE(HasRevokedKeys(leader));
}

// An owner has become so slow that each of a dozen keys is hot for it, but not
// for other instances. The keys must be revoked together: one at a time, the
// owner would stay overloaded for a dozen heartbeats.
TEST(RangeAssigner, KeysHotOnlyForSlowOwnerMoveTogether)
{
  SimulatedLeader leader;
  AssignKeysToTwo(leader);
  const uint32_t first = FirstKeyOf(leader, "a");
  for (int report = 0; report < 200; ++report) {
    leader.rangeAssigner->RecordLatency("a", 0.6);
    leader.rangeAssigner->RecordLatency("b", 0.1);
  }
  for (int report = 0; report < 10; ++report) {
    wire::RangeLoad load;
    load.set_service("board");
    for (uint32_t key = first; key < first + 12; ++key) {
      load.add_buckets(key);
      load.add_requests(1);
    }
    leader.rangeAssigner->AddLoad(load);
    leader.AdvanceTime(milliseconds{ 200 });
  }
  leader.HandleHeartbeat(HeartbeatFrom("b", 8));
  leader.HandleHeartbeat(HeartbeatFrom("a", 8));
  size_t revokedKeys = 0;
  for (uint32_t key = first; key < first + 12; ++key) {
    revokedKeys += leader.state.Ranges("board")->Find(key).held_back() ? 1 : 0;
  }
  EXPECT_GE(revokedKeys, 6U);
}

// The owner of a hot key is three times as slow as the other upstreams, and
// processes a third of the requests that another would. So the key moves once,
// and then stays.
TEST(RangeAssigner, HotKeyLeavesSlowUpstreamOnce)
{
  for (unsigned seed = 1; seed <= 10; ++seed) {
    SimulatedService service({ 0.1, 0.1, 0.1, 0.1, 0.1, 0.1 }, seed);
    service.AdvanceTime(std::chrono::seconds{ 5 }, {});
    const std::string slow = service.CurrentOwner();
    service.SetLatency(slow, 0.3);
    service.ResetStatistics();
    service.AdvanceTime(std::chrono::seconds{ 10 },
                        { SimulatedService::kHotKey });
    EXPECT_EQ(service.owners.size(), 1U) << "seed " << seed;
    EXPECT_NE(service.CurrentOwner(), slow) << "seed " << seed;
  }
}

// Two adjacent keys each exceed the capacity of any upstream, and share the
// capacity of their owner. One of them must move to another upstream. It may
// also have been part of another move before the first reports showed its load.
TEST(RangeAssigner, TwoHotKeysGetDifferentOwners)
{
  const std::vector<uint32_t> hot{ SimulatedService::kHotKey,
                                   SimulatedService::kHotKey + 1 };
  for (unsigned seed = 1; seed <= 10; ++seed) {
    SimulatedService service({ 0.1, 0.1, 0.1, 0.1, 0.1, 0.1 }, seed);
    service.AdvanceTime(std::chrono::seconds{ 5 }, {});
    ASSERT_EQ(service.CurrentOwner(hot[0]), service.CurrentOwner(hot[1]));
    service.ResetStatistics();
    service.AdvanceTime(std::chrono::seconds{ 10 }, hot);
    EXPECT_NE(service.CurrentOwner(hot[0]), service.CurrentOwner(hot[1]))
      << "seed " << seed;
    EXPECT_LE(service.owners.size(), 2U) << "seed " << seed;
  }
}

TEST(RangeAssigner, KeysAreRevokedFromOverloadedOwner)
{
  SimulatedLeader leader;
  AssignKeysToTwo(leader);
  OverloadFirstKeys(leader, 20);
  leader.HandleHeartbeat(HeartbeatFrom("b", 8));
  const auto grants = leader.HandleHeartbeat(HeartbeatFrom("a", 8));
  ASSERT_TRUE(HasRevokedKeys(leader));
  ASSERT_TRUE(grants);
  for (const GrantedRange& range : grants->ranges) {
    const auto& segment = leader.state.Ranges("board")->Find(range.keys.from);
    EXPECT_FALSE(segment.held_back());
  }
}

// Keys of an overloaded owner have been revoked when another host is elected
// leader. The new leader must leave these keys out of its answers: keys that
// are renewed but marked as revoked would never be served again.
TEST(RangeAssigner, NewLeaderKeepsKeysRevoked)
{
  SimulatedLeader leader;
  AssignKeysToTwo(leader);
  OverloadFirstKeys(leader, 20);
  leader.HandleHeartbeat(HeartbeatFrom("b", 8));
  leader.HandleHeartbeat(HeartbeatFrom("a", 8));
  ASSERT_TRUE(HasRevokedKeys(leader));
  leader.FailOver();
  const auto grants = leader.HandleHeartbeat(HeartbeatFrom("a", 9));
  ASSERT_TRUE(grants);
  for (const GrantedRange& range : grants->ranges) {
    EXPECT_FALSE(
      leader.state.Ranges("board")->Find(range.keys.from).held_back());
  }
}

// An owner's lease on revoked keys expires, as answers to it are lost, so it
// never reports them as released while it serves its other keys. They must get
// another owner, but not before the lease has ended.
TEST(RangeAssigner, RevokedKeysThatAreNeverReportedGetAnOwner)
{
  SimulatedLeader leader;
  AssignKeysToTwo(leader);
  OverloadFirstKeys(leader, 20);
  leader.HandleHeartbeat(HeartbeatFrom("b", 8));
  leader.HandleHeartbeat(HeartbeatFrom("a", 8));
  const RangeTable& ranges = *leader.state.Ranges("board");
  const auto segment =
    std::find_if(ranges.Segments().begin(),
                 ranges.Segments().end(),
                 [](const auto& aOne) { return aOne.held_back(); });
  ASSERT_NE(segment, ranges.Segments().end());
  const uint32_t key = segment->from();
  const Instant revokedAt = leader.now;
  uint64_t sequence = 8;
  while (leader.state.Ranges("board")->Find(key).held_back()) {
    leader.AdvanceTime(milliseconds{ 500 });
    ++sequence;
    leader.HandleHeartbeat(HeartbeatFrom("b", sequence));
    leader.HandleHeartbeat(HeartbeatFrom("a", sequence));
    ASSERT_LT(leader.now - revokedAt, 2 * kLeaseDuration);
  }
  EXPECT_GE(leader.now - revokedAt, kLeaseDuration);
  EXPECT_EQ(leader.OwnerOf(key), "b");
}

// Between two ticks, revoked keys are released, granted to the same owner again
// and revoked again. The time of the first revocation must not count: the lease
// of the second grant has just begun.
TEST(RangeAssigner, KeysThatAreRevokedAgainAreKeptForTheirNewLease)
{
  SimulatedLeader leader;
  AssignKeysToTwo(leader);
  const uint32_t first = FirstKeyOf(leader, "a");
  wire::GatewayCommand revoke;
  wire::HoldBackRanges& held = *revoke.mutable_hold_back_ranges();
  held.set_service("board");
  held.set_holder("a");
  held.add_ranges()->set_from(first);
  held.mutable_ranges(0)->set_to(first + 9);
  leader.Commit({ revoke });
  uint64_t sequence = 8;
  const auto heartbeats = [&] {
    ++sequence;
    leader.HandleHeartbeat(HeartbeatFrom("b", sequence));
    leader.HandleHeartbeat(HeartbeatFrom("a", sequence));
  };
  for (int second = 0; second < 4; ++second) {
    leader.AdvanceTime(milliseconds{ 1000 });
    heartbeats();
  }
  ASSERT_TRUE(HasRevokedKeys(leader));
  wire::GatewayCommand free;
  free.mutable_free_ranges()->set_service("board");
  free.mutable_free_ranges()->set_holder("a");
  *free.mutable_free_ranges()->add_ranges() = held.ranges(0);
  wire::GatewayCommand grant;
  grant.mutable_grant_ranges()->set_service("board");
  grant.mutable_grant_ranges()->set_holder("a");
  grant.mutable_grant_ranges()->set_sequence(sequence);
  *grant.mutable_grant_ranges()->add_ranges() = held.ranges(0);
  leader.Commit({ free, grant, revoke });
  leader.AdvanceTime(milliseconds{ 1500 });
  EXPECT_TRUE(HasRevokedKeys(leader));
}

// A heartbeat reports the release of revoked keys. Moves that were planned by
// the state before the release would revoke the same keys again, of an instance
// that no longer owns them, and they would never have an owner again.
TEST(RangeAssigner, HeartbeatWithReleasePlansNoMoves)
{
  SimulatedLeader leader;
  AssignKeysToTwo(leader);
  OverloadFirstKeys(leader, 20);
  leader.HandleHeartbeat(HeartbeatFrom("b", 8));
  leader.HandleHeartbeat(HeartbeatFrom("a", 8));
  Heartbeat release = HeartbeatFrom("a", 9);
  for (const auto& segment : leader.state.Ranges("board")->Segments()) {
    if (segment.held_back()) {
      release.released.push_back({ { segment.from(), segment.to() }, "h" });
    }
  }
  leader.HandleHeartbeat(release);
  EXPECT_FALSE(HasRevokedKeys(leader));
}

} // namespace
} // namespace rattandyke::gateway
