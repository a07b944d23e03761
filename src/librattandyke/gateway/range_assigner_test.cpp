#include "gateway/range_assigner.h"

#include <deque>
#include <random>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "testing/simulated_leader.h"

namespace rattandyke::gateway {
namespace {

using namespace testing; // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

TEST(RangeAssigner, FirstGrantWaitsForAllInstancesAndSharesKeys)
{
  SimulatedLeader leader;
  EXPECT_EQ(CountKeys(leader.HandleHeartbeat(HeartbeatFrom("a", 1))), 0U);
  AssignKeysToTwo(leader);
  const uint32_t first =
    CountKeys(leader.HandleHeartbeat(HeartbeatFrom("a", 5)));
  const uint32_t second =
    CountKeys(leader.HandleHeartbeat(HeartbeatFrom("b", 5)));
  EXPECT_EQ(first + second, kKeyCount);
  EXPECT_GT(first, kKeyCount / 3);
  EXPECT_GT(second, kKeyCount / 3);
}

// An instance loses its connection to the control hosts and serves until its
// lease ends by its own clock, which may be 2% slow. Its keys must not have
// another owner before that, and must have one soon after.
TEST(RangeAssigner, KeysOfSilentOwnerAreFreedOnlyAfterItsLeaseEnds)
{
  SimulatedLeader leader;
  AssignKeysToTwo(leader);
  const uint32_t key = leader.state.Ranges("board")->Segments().front().from();
  const std::string owner = leader.OwnerOf(key);
  const std::string other = owner == "a" ? "b" : "a";
  leader.HandleHeartbeat(HeartbeatFrom(owner, 10));
  const Instant renewedAt = leader.now;
  uint64_t sequence = 10;
  while (leader.OwnerOf(key) == owner) {
    leader.AdvanceTime(milliseconds{ 100 });
    leader.HandleHeartbeat(HeartbeatFrom(other, ++sequence));
  }
  EXPECT_GE(leader.now - renewedAt, kLeaseDuration * 100 / 98);
  EXPECT_LE(leader.now - renewedAt,
            kLeaseDuration * 100 / 98 + milliseconds{ 400 });
}

// A new leader does not know when its predecessor last renewed a lease. It must
// wait as if every lease had been renewed immediately before the election.
TEST(RangeAssigner, NewLeaderWaitsForFullLeaseDuration)
{
  SimulatedLeader leader;
  AssignKeysToTwo(leader);
  leader.AdvanceTime(kLeaseDuration - milliseconds{ 500 });
  leader.FailOver();
  const std::string owner = leader.OwnerOf(0);
  leader.AdvanceTime(kLeaseDuration);
  EXPECT_EQ(leader.OwnerOf(0), owner);
  leader.AdvanceTime(kLeaseDuration / 10);
  EXPECT_EQ(leader.OwnerOf(0), "");
}

// A delayed heartbeat arrives after a later one. Its content is outdated, so an
// answer to it must not renew the lease.
TEST(RangeAssigner, OutOfOrderHeartbeatRenewsNoLease)
{
  SimulatedLeader leader;
  AssignKeysToTwo(leader);
  EXPECT_TRUE(leader.HandleHeartbeat(HeartbeatFrom("a", 9)));
  EXPECT_FALSE(leader.HandleHeartbeat(HeartbeatFrom("a", 8)));
}

// An instance reports a release, and the keys are granted to it again. The same
// report arrives a second time, at a new leader that does not know the
// instance's sequence number. It refers to the earlier lease and must free no
// keys.
TEST(RangeAssigner, ReleaseSentBeforeGrantFreesNoKeys)
{
  SimulatedLeader leader;
  AssignKeysToTwo(leader);
  Heartbeat release = HeartbeatFrom("a", 6);
  release.released = { { { 0, kMaxKey }, "h" } };
  leader.HandleHeartbeat(release);
  EXPECT_NE(leader.OwnerOf(0), "a");
  leader.AdvanceTime(milliseconds{ 100 });
  // "b" drains and releases its keys, so that only "a" can own them.
  Heartbeat drainingHeartbeat = HeartbeatFrom("b", 6);
  drainingHeartbeat.draining = true;
  leader.HandleHeartbeat(drainingHeartbeat);
  drainingHeartbeat.sequence = 7;
  drainingHeartbeat.released = { { { 0, kMaxKey }, "h" } };
  leader.HandleHeartbeat(drainingHeartbeat);
  leader.AdvanceTime(std::chrono::seconds{ 2 });
  for (uint64_t sequence = 7; sequence < 12; ++sequence) {
    leader.HandleHeartbeat(HeartbeatFrom("a", sequence));
    leader.AdvanceTime(kHeartbeatInterval);
  }
  ASSERT_EQ(leader.OwnerOf(0), "a");
  leader.FailOver();
  leader.HandleHeartbeat(release);
  EXPECT_EQ(leader.OwnerOf(0), "a");
}

// A process crashes and a new one starts at its address, so the old one's keys
// can be freed early. But a single heartbeat from the address may be a delayed
// one of an even older process, while the current process runs.
TEST(RangeAssigner, SingleHeartbeatFromSameAddressDoesNotEndInstance)
{
  SimulatedLeader leader;
  AssignKeysToTwo(leader);
  const std::string owner = leader.OwnerOf(0);
  Heartbeat otherProcess = HeartbeatFrom("x", 3);
  otherProcess.address = HeartbeatFrom(owner, 1).address;
  leader.HandleHeartbeat(otherProcess);
  EXPECT_EQ(leader.OwnerOf(0), owner);
  leader.AdvanceTime(kHeartbeatInterval);
  leader.HandleHeartbeat(HeartbeatFrom(owner, 9));
  otherProcess.sequence = 4;
  leader.HandleHeartbeat(otherProcess);
  EXPECT_EQ(leader.OwnerOf(0), owner);
}

// The old process is silent, but without incarnation numbers that does not
// prove that it has ended. It keeps its keys until its lease ends, and no
// longer.
TEST(RangeAssigner, NewProcessAtSameAddressEndsOldOneAfterItsLease)
{
  SimulatedLeader leader;
  AssignKeysToTwo(leader);
  const std::string owner = leader.OwnerOf(0);
  leader.HandleHeartbeat(HeartbeatFrom(owner, 9));
  const Instant renewedAt = leader.now;
  Heartbeat successor = HeartbeatFrom("x", 1);
  successor.address = HeartbeatFrom(owner, 1).address;
  while (!leader.state.HasEnded(owner, 0)) {
    ASSERT_LE(leader.now - renewedAt,
              kLeaseDuration * 100 / 98 + milliseconds{ 400 });
    leader.AdvanceTime(milliseconds{ 100 });
    leader.HandleHeartbeat(successor);
    ++successor.sequence;
  }
  EXPECT_GE(leader.now - renewedAt, kLeaseDuration * 100 / 98);
  EXPECT_NE(leader.OwnerOf(0), owner);
  EXPECT_FALSE(leader.HandleHeartbeat(HeartbeatFrom(owner, 99)));
}

TEST(RangeAssigner, DrainingInstanceIsGrantedNoKeys)
{
  SimulatedLeader leader;
  AssignKeysToTwo(leader);
  Heartbeat drainingHeartbeat = HeartbeatFrom("a", 9);
  drainingHeartbeat.draining = true;
  const auto grants = leader.HandleHeartbeat(drainingHeartbeat);
  ASSERT_TRUE(grants);
  EXPECT_TRUE(grants->ranges.empty());
}

/// An upstream's view of its lease, by a clock that runs 2% slow.
struct SimulatedUpstream
{
  std::string id;
  uint64_t life = 1;
  uint64_t sequence = 0;
  bool alive = true;
  std::vector<GrantedRange> held;
  std::vector<ReleasedRange> released;
  Instant leaseEnd{};

  bool Holds(uint32_t aKey, Instant aNow) const
  {
    return alive && aNow < leaseEnd &&
           std::any_of(held.begin(), held.end(), [&](const auto& aRange) {
             return aRange.keys.from <= aKey && aKey <= aRange.keys.to;
           });
  }

  Heartbeat NextHeartbeat()
  {
    Heartbeat heartbeat = HeartbeatFrom(id, ++sequence);
    heartbeat.life = life;
    heartbeat.released = released;
    return heartbeat;
  }

  void OnAnswer(const Heartbeat& aHeartbeat,
                const std::optional<Grants>& aGrants,
                Instant aSent,
                Instant aNow)
  {
    if (aHeartbeat.sequence != sequence) {
      return; // A later heartbeat is in flight: the answer is ignored.
    }
    released.clear();
    if (!aGrants) {
      return;
    }
    if (aNow < leaseEnd) {
      for (const GrantedRange& range : held) {
        const bool kept = std::any_of(aGrants->ranges.begin(),
                                      aGrants->ranges.end(),
                                      [&](const auto& aNew) {
                                        return aNew.keys == range.keys &&
                                               aNew.fence == range.fence;
                                      });
        if (!kept) {
          released.push_back({ range.keys, "h" });
        }
      }
    }
    held = aGrants->ranges;
    leaseEnd = aSent + aGrants->leaseDuration * 100 / 98;
    // Keys that are granted again are not reported as released.
    std::erase_if(released, [&](const ReleasedRange& aReleased) {
      return std::any_of(held.begin(), held.end(), [&](const auto& aRange) {
        return aRange.keys.from <= aReleased.keys.to &&
               aReleased.keys.from <= aRange.keys.to;
      });
    });
  }
};

// Four upstreams with slow clocks send heartbeats. Answers are lost or delayed,
// upstreams crash and restart under their ids or are replaced at their
// addresses, heartbeats of earlier processes at an address arrive late, leaders
// change, and load causes moves of keys. No two upstreams may hold a key at the
// same time, and the fence of a key must rise with each change of its owner.
RC_GTEST_PROP(RangeAssigner, NoKeyHasTwoOwnersInAnySchedule, ())
{
  SimulatedLeader leader;
  std::mt19937_64 random(*rc::gen::arbitrary<uint64_t>());
  const auto chance = [&](unsigned aPercent) {
    return random() % 100 < aPercent;
  };
  struct PendingAnswer
  {
    size_t upstream = 0;
    Heartbeat heartbeat;
    std::optional<Grants> grants;
    Instant sent{};
    Instant arrives{};
  };
  constexpr uint64_t kEarlierIncarnation = 1;
  constexpr uint64_t kFirstIncarnation = 2;
  uint64_t earlierSequence = 0;
  std::vector<SimulatedUpstream> upstreams;
  for (const char* id : { "a", "b", "c", "d" }) {
    upstreams.push_back({ id, kFirstIncarnation, 0, true, {}, {}, {} });
  }
  std::deque<PendingAnswer> pendingAnswers;
  std::deque<std::pair<size_t, Heartbeat>> delayed;
  std::map<uint32_t, std::pair<std::string, uint64_t>> lastOwners;
  for (int step = 0; step < 250; ++step) {
    const size_t index = random() % upstreams.size();
    SimulatedUpstream& upstream = upstreams[index];
    if (upstream.alive && chance(60)) {
      const Instant sent = leader.now;
      const Heartbeat heartbeat = upstream.NextHeartbeat();
      if (chance(10)) {
        delayed.emplace_back(index, heartbeat);
      } else {
        leader.AdvanceTime(milliseconds(random() % 30));
        const auto grants = leader.HandleHeartbeat(heartbeat);
        if (!chance(15)) {
          const auto delay = milliseconds(chance(20) ? random() % 900 : 5);
          pendingAnswers.push_back(
            { index, heartbeat, grants, sent, leader.now + delay });
        }
      }
    }
    if (!delayed.empty() && chance(10)) {
      leader.HandleHeartbeat(delayed.front().second);
      delayed.pop_front();
    }
    if (chance(10)) {
      Heartbeat late = HeartbeatFrom("old", ++earlierSequence);
      late.address = HeartbeatFrom(upstreams.front().id, 1).address;
      late.life = kEarlierIncarnation;
      leader.HandleHeartbeat(late);
    }
    if (chance(3)) {
      leader.FailOver();
    }
    if (chance(3)) {
      upstream = { upstream.id + "x", kFirstIncarnation, 0, true, {}, {}, {} };
    }
    if (chance(3)) {
      upstream = { upstream.id, upstream.life + 1, 0, true, {}, {}, {} };
    }
    if (chance(20)) {
      wire::RangeLoad load;
      load.set_service("board");
      load.add_buckets(static_cast<uint32_t>(random() % 300));
      load.add_requests(100);
      leader.rangeAssigner->AddLoad(load);
    }
    leader.AdvanceTime(milliseconds(random() % 250));
    for (auto at = pendingAnswers.begin(); at != pendingAnswers.end();) {
      if (at->arrives > leader.now) {
        ++at;
        continue;
      }
      SimulatedUpstream& receiver = upstreams[at->upstream];
      if (receiver.id == at->heartbeat.instance &&
          receiver.life == at->heartbeat.life) {
        receiver.OnAnswer(at->heartbeat, at->grants, at->sent, leader.now);
      }
      at = pendingAnswers.erase(at);
    }
    for (uint32_t key = 0; key < kKeyCount; key += 499) {
      size_t ownerCount = 0;
      for (const SimulatedUpstream& each : upstreams) {
        ownerCount += each.Holds(key, leader.now) ? 1 : 0;
      }
      RC_ASSERT(ownerCount <= 1U);
    }
    for (uint32_t key = 0; key < kKeyCount; key += 997) {
      const RangeTable* ranges = leader.state.Ranges("board");
      if (ranges == nullptr || ranges->Find(key).holder().empty()) {
        continue;
      }
      const auto& segment = ranges->Find(key);
      auto& [owner, fence] = lastOwners[key];
      RC_ASSERT(owner == segment.holder() || segment.fence() > fence);
      owner = segment.holder();
      fence = segment.fence();
    }
  }
}

// Guards against keys that stay without service: a grant is committed, the
// heartbeat gets no answer, and the owner crashes before it sends the next one.
TEST(RangeAssigner, KeysOfUnrenewedGrantAreFreed)
{
  SimulatedLeader leader;
  leader.HandleHeartbeat(HeartbeatFrom("a", 1));
  leader.AdvanceTime(kHeartbeatInterval * 3 / 2);
  const Heartbeat heartbeat = HeartbeatFrom("b", 1);
  leader.Commit(
    leader.rangeAssigner->OnHeartbeat(heartbeat, leader.state, leader.now));
  const auto grant =
    leader.rangeAssigner->PlanGrant(heartbeat, leader.state, leader.now);
  ASSERT_TRUE(grant);
  leader.Commit({ *grant });
  const uint32_t key = grant->grant_ranges().ranges(0).from();
  EXPECT_EQ(leader.OwnerOf(key), "b");
  leader.AdvanceTime(kLeaseDuration);
  EXPECT_NE(leader.OwnerOf(key), "b");
}

} // namespace
} // namespace rattandyke::gateway
