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

TEST(RangeAssigner, FirstKeysWaitForAllInstancesAndAreShared)
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

// An instance is cut off from the control hosts and goes on serving until its
// hold runs out by its own clock, which may be 2% slow. Its keys must not have
// another owner before, and must have one soon after.
TEST(RangeAssigner, SilentHoldersKeysAreFreeOnlyOnceItsHoldIsOver)
{
  SimulatedLeader leader;
  AssignKeysToTwo(leader);
  const uint32_t key = leader.state.Ranges("board")->Segments().front().from();
  const std::string owner = leader.HolderOf(key);
  const std::string other = owner == "a" ? "b" : "a";
  leader.HandleHeartbeat(HeartbeatFrom(owner, 10));
  const Instant renewed = leader.now;
  uint64_t sequence = 10;
  while (leader.HolderOf(key) == owner) {
    leader.AdvanceTime(milliseconds{ 100 });
    leader.HandleHeartbeat(HeartbeatFrom(other, ++sequence));
  }
  EXPECT_GE(leader.now - renewed, kLeaseDuration * 100 / 98);
  EXPECT_LE(leader.now - renewed,
            kLeaseDuration * 100 / 98 + milliseconds{ 400 });
}

// A new leader does not know when its predecessor last renewed a holder. It
// must wait as if that had been in the instant before.
TEST(RangeAssigner, NewLeaderWaitsTheLongestHold)
{
  SimulatedLeader leader;
  AssignKeysToTwo(leader);
  leader.AdvanceTime(kLeaseDuration - milliseconds{ 500 });
  leader.FailOver();
  const std::string owner = leader.HolderOf(0);
  leader.AdvanceTime(kLeaseDuration);
  EXPECT_EQ(leader.HolderOf(0), owner);
  leader.AdvanceTime(kLeaseDuration / 10);
  EXPECT_EQ(leader.HolderOf(0), "");
}

// A heartbeat that was held up in the network arrives after a later one. What
// it says is old; an answer to it must renew nothing.
TEST(RangeAssigner, LateHeartbeatRenewsNothing)
{
  SimulatedLeader leader;
  AssignKeysToTwo(leader);
  EXPECT_TRUE(leader.HandleHeartbeat(HeartbeatFrom("a", 9)));
  EXPECT_FALSE(leader.HandleHeartbeat(HeartbeatFrom("a", 8)));
}

// A release is reported, and the keys are granted to the same instance again.
// The report arrives a second time, by way of a new leader that knows no
// sequence. It speaks of the earlier hold and must free nothing.
TEST(RangeAssigner, ReleaseFromBeforeTheGrantFreesNothing)
{
  SimulatedLeader leader;
  AssignKeysToTwo(leader);
  Heartbeat release = HeartbeatFrom("a", 6);
  release.released = { { { 0, kMaxKey }, "h" } };
  leader.HandleHeartbeat(release);
  EXPECT_NE(leader.HolderOf(0), "a");
  leader.AdvanceTime(milliseconds{ 100 });
  // Only "a" is left: "b" leaves.
  Heartbeat leaving = HeartbeatFrom("b", 6);
  leaving.draining = true;
  leader.HandleHeartbeat(leaving);
  leaving.sequence = 7;
  leaving.released = { { { 0, kMaxKey }, "h" } };
  leader.HandleHeartbeat(leaving);
  leader.AdvanceTime(std::chrono::seconds{ 2 });
  for (uint64_t sequence = 7; sequence < 12; ++sequence) {
    leader.HandleHeartbeat(HeartbeatFrom("a", sequence));
    leader.AdvanceTime(kHeartbeatInterval);
  }
  ASSERT_EQ(leader.HolderOf(0), "a");
  leader.FailOver();
  leader.HandleHeartbeat(release);
  EXPECT_EQ(leader.HolderOf(0), "a");
}

// A process crashes and a new one starts at its address. The old one has ended,
// so its keys can be given away at once; but a single heartbeat may be one of
// an even older process that was held up, while the present one lives.
TEST(RangeAssigner, OneHeartbeatAtAnAddressDoesNotEndTheInstanceThere)
{
  SimulatedLeader leader;
  AssignKeysToTwo(leader);
  const std::string owner = leader.HolderOf(0);
  Heartbeat stranger = HeartbeatFrom("x", 3);
  stranger.address = HeartbeatFrom(owner, 1).address;
  leader.HandleHeartbeat(stranger);
  EXPECT_EQ(leader.HolderOf(0), owner);
  leader.AdvanceTime(kHeartbeatInterval);
  leader.HandleHeartbeat(HeartbeatFrom(owner, 9));
  stranger.sequence = 4;
  leader.HandleHeartbeat(stranger);
  EXPECT_EQ(leader.HolderOf(0), owner);
}

// The old one sends nothing more, but where lives are not told that is no proof
// that it has ended: its keys stay its own until its hold is over, and no
// longer.
TEST(RangeAssigner, NewProcessAtAnAddressEndsTheOldOneOnceItsHoldIsOver)
{
  SimulatedLeader leader;
  AssignKeysToTwo(leader);
  const std::string owner = leader.HolderOf(0);
  leader.HandleHeartbeat(HeartbeatFrom(owner, 9));
  const Instant renewed = leader.now;
  Heartbeat successor = HeartbeatFrom("x", 1);
  successor.address = HeartbeatFrom(owner, 1).address;
  while (!leader.state.HasEnded(owner, 0)) {
    ASSERT_LE(leader.now - renewed,
              kLeaseDuration * 100 / 98 + milliseconds{ 400 });
    leader.AdvanceTime(milliseconds{ 100 });
    leader.HandleHeartbeat(successor);
    ++successor.sequence;
  }
  EXPECT_GE(leader.now - renewed, kLeaseDuration * 100 / 98);
  EXPECT_NE(leader.HolderOf(0), owner);
  EXPECT_FALSE(leader.HandleHeartbeat(HeartbeatFrom(owner, 99)));
}

TEST(RangeAssigner, DrainingInstanceIsLeftNothing)
{
  SimulatedLeader leader;
  AssignKeysToTwo(leader);
  Heartbeat leaving = HeartbeatFrom("a", 9);
  leaving.draining = true;
  const auto grants = leader.HandleHeartbeat(leaving);
  ASSERT_TRUE(grants);
  EXPECT_TRUE(grants->ranges.empty());
}

/// An upstream's own view of its hold, by a clock that runs 2% slow.
struct Holder
{
  std::string id;
  uint64_t life = 1;
  uint64_t sequence = 0;
  bool alive = true;
  std::vector<GrantedRange> held;
  std::vector<ReleasedRange> released;
  Instant ends{};

  bool Holds(uint32_t aKey, Instant aNow) const
  {
    return alive && aNow < ends &&
           std::any_of(held.begin(), held.end(), [&](const auto& aRange) {
             return aRange.keys.from <= aKey && aKey <= aRange.keys.to;
           });
  }

  Heartbeat Beat()
  {
    Heartbeat heartbeat = HeartbeatFrom(id, ++sequence);
    heartbeat.life = life;
    heartbeat.released = released;
    return heartbeat;
  }

  void Take(const Heartbeat& aHeartbeat,
            const std::optional<Grants>& aGrants,
            Instant aSent,
            Instant aNow)
  {
    if (aHeartbeat.sequence != sequence) {
      return; // A later one is under way: the answer counts for nothing.
    }
    released.clear();
    if (!aGrants) {
      return;
    }
    if (aNow < ends) {
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
    ends = aSent + aGrants->leaseDuration * 100 / 98;
    // What is reported released may not be held any more.
    std::erase_if(released, [&](const ReleasedRange& aReleased) {
      return std::any_of(held.begin(), held.end(), [&](const auto& aRange) {
        return aRange.keys.from <= aReleased.keys.to &&
               aReleased.keys.from <= aRange.keys.to;
      });
    });
  }
};

// Four upstreams with slow clocks send heartbeats. Answers are lost or late,
// upstreams crash, start again under their ids or others at their addresses,
// heartbeats of processes that ran there before come late, leaders change, and
// loads make keys move. At no moment may two upstreams hold the same key, and a
// key that changes hands must do so with a higher fence.
RC_GTEST_PROP(RangeAssigner, NoKeyHasTwoOwnersInAnySchedule, ())
{
  SimulatedLeader leader;
  std::mt19937_64 random(*rc::gen::arbitrary<uint64_t>());
  const auto chance = [&](unsigned aPercent) {
    return random() % 100 < aPercent;
  };
  struct Pending
  {
    size_t holder = 0;
    Heartbeat heartbeat;
    std::optional<Grants> grants;
    Instant sent{};
    Instant arrives{};
  };
  constexpr uint64_t kEarlierLife = 1;
  constexpr uint64_t kFirstLife = 2;
  uint64_t earlier = 0;
  std::vector<Holder> holders;
  for (const char* id : { "a", "b", "c", "d" }) {
    holders.push_back({ id, kFirstLife, 0, true, {}, {}, {} });
  }
  std::deque<Pending> answers;
  std::deque<std::pair<size_t, Heartbeat>> heldUp;
  std::map<uint32_t, std::pair<std::string, uint64_t>> last;
  for (int step = 0; step < 250; ++step) {
    const size_t which = random() % holders.size();
    Holder& holder = holders[which];
    if (holder.alive && chance(60)) {
      const Instant sent = leader.now;
      const Heartbeat heartbeat = holder.Beat();
      if (chance(10)) {
        heldUp.emplace_back(which, heartbeat);
      } else {
        leader.AdvanceTime(milliseconds(random() % 30));
        const auto grants = leader.HandleHeartbeat(heartbeat);
        if (!chance(15)) {
          const auto delay = milliseconds(chance(20) ? random() % 900 : 5);
          answers.push_back(
            { which, heartbeat, grants, sent, leader.now + delay });
        }
      }
    }
    if (!heldUp.empty() && chance(10)) {
      leader.HandleHeartbeat(heldUp.front().second);
      heldUp.pop_front();
    }
    if (chance(10)) {
      Heartbeat late = HeartbeatFrom("old", ++earlier);
      late.address = HeartbeatFrom(holders.front().id, 1).address;
      late.life = kEarlierLife;
      leader.HandleHeartbeat(late);
    }
    if (chance(3)) {
      leader.FailOver();
    }
    if (chance(3)) {
      holder = { holder.id + "x", kFirstLife, 0, true, {}, {}, {} };
    }
    if (chance(3)) {
      holder = { holder.id, holder.life + 1, 0, true, {}, {}, {} };
    }
    if (chance(20)) {
      wire::RangeLoad load;
      load.set_service("board");
      load.add_buckets(static_cast<uint32_t>(random() % 300));
      load.add_requests(100);
      leader.rangeAssigner->AddLoad(load);
    }
    leader.AdvanceTime(milliseconds(random() % 250));
    for (auto at = answers.begin(); at != answers.end();) {
      if (at->arrives > leader.now) {
        ++at;
        continue;
      }
      Holder& taker = holders[at->holder];
      if (taker.id == at->heartbeat.instance &&
          taker.life == at->heartbeat.life) {
        taker.Take(at->heartbeat, at->grants, at->sent, leader.now);
      }
      at = answers.erase(at);
    }
    for (uint32_t key = 0; key < kKeyCount; key += 499) {
      size_t owners = 0;
      for (const Holder& each : holders) {
        owners += each.Holds(key, leader.now) ? 1 : 0;
      }
      RC_ASSERT(owners <= 1U);
    }
    for (uint32_t key = 0; key < kKeyCount; key += 997) {
      const RangeTable* ranges = leader.state.Ranges("board");
      if (ranges == nullptr || ranges->Find(key).holder().empty()) {
        continue;
      }
      const auto& segment = ranges->Find(key);
      auto& [owner, fence] = last[key];
      RC_ASSERT(owner == segment.holder() || segment.fence() > fence);
      owner = segment.holder();
      fence = segment.fence();
    }
  }
}

// Guards against keys that nobody serves for ever: a grant was committed, its
// heartbeat got no answer, and the holder crashed before the next one.
TEST(RangeAssigner, KeysOfAGrantThatWasNeverRenewedAreFreed)
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
  EXPECT_EQ(leader.HolderOf(key), "b");
  leader.AdvanceTime(kLeaseDuration);
  EXPECT_NE(leader.HolderOf(key), "b");
}

} // namespace
} // namespace rattandyke::gateway
