#include "gateway/granter.h"

#include <random>

#include <gtest/gtest.h>

#include "testing/granter_leader.h"

namespace rattandyke::gateway {
namespace {

using namespace testing; // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

uint32_t
FirstKeyOf(const Leader& aLeader, const std::string& aHolder)
{
  const RangeTable& ranges = *aLeader.state.Ranges("board");
  uint32_t first = 0;
  while (ranges.Find(first).holder() != aHolder) {
    first = ranges.Find(first).to() + 1;
  }
  return first;
}

/// The first keys of some holders get far more requests than they can run.
void
MakeBusy(Leader& aLeader,
         uint32_t aKeys,
         const std::vector<std::string>& aHolders = { "a" })
{
  for (int tick = 0; tick < 20; ++tick) {
    wire::RangeLoad load;
    load.set_service("board");
    for (const std::string& holder : aHolders) {
      const uint32_t first = FirstKeyOf(aLeader, holder);
      for (uint32_t key = first; key < first + aKeys; ++key) {
        load.add_buckets(key / kKeysPerBucket);
        load.add_requests(4);
      }
    }
    aLeader.granter->AddLoad(load);
    aLeader.Pass(milliseconds{ 100 });
  }
}

bool
HoldsBack(const Leader& aLeader)
{
  for (const auto& segment : aLeader.state.Ranges("board")->Segments()) {
    if (segment.held_back()) {
      return true;
    }
  }
  return false;
}

/// Time passes under a load while both holders send their heartbeats.
/// @param aLoad gives the requests of a report of 200 ms.
template<typename Load>
void
PassUnder(Leader& aLeader, int aReports, uint64_t& aSequence, Load aLoad)
{
  for (int report = 0; report < aReports; ++report) {
    wire::RangeLoad load = aLoad();
    load.set_service("board");
    aLeader.granter->AddLoad(load);
    aLeader.Pass(milliseconds{ 200 });
    if (report % 5 == 4) {
      ++aSequence;
      aLeader.Answer(From("b", aSequence));
      aLeader.Answer(From("a", aSequence));
    }
  }
}

// Two holders get the same load, drawn at random, and are busy with it. One of
// them always has some more by chance. Keys that are moved for that have no
// owner for 200 ms, and are moved back when chance turns.
TEST(Granter, ChanceMovesNoKeys)
{
  size_t moved = 0;
  for (unsigned seed = 1; seed <= 20; ++seed) {
    Leader leader;
    Settle(leader);
    std::mt19937 random(seed);
    leader.granter->NoteTime("a", 0.2);
    leader.granter->NoteTime("b", 0.2);
    uint64_t sequence = 10;
    PassUnder(leader, 60, sequence, [&] {
      wire::RangeLoad load;
      for (int request = 0; request < 3; ++request) {
        load.add_buckets(random() % kKeyCount);
        load.add_requests(1);
      }
      return load;
    });
    ASSERT_NE(leader.HolderOf(0), "");
    moved += HoldsBack(leader) ? 1 : 0;
  }
  EXPECT_LE(moved, 2U);
}

// One key alone overruns its holder, and another instance is twice as fast. The
// key is moved if that one's heartbeat comes about when it is released; were it
// moved just after that heartbeat, it would have no owner for most of an
// interval.
TEST(Granter, BusiestKeyMovesOnlyToAnInstanceWhoseHeartbeatIsDue)
{
  for (const bool due : { false, true }) {
    Leader leader;
    Settle(leader);
    MakeBusy(leader, 1, { "a", "b" });
    for (int report = 0; report < 200; ++report) {
      leader.granter->NoteTime("a", 0.1);
      leader.granter->NoteTime("b", 0.03);
    }
    leader.Answer(From("b", 8));
    leader.Pass(due ? kInterval - milliseconds{ 100 } : Duration::zero());
    leader.Answer(From("a", 8));
    bool moved = false;
    for (const auto& segment : leader.state.Ranges("board")->Segments()) {
      moved |= segment.held_back() && segment.from() == segment.to();
    }
    EXPECT_EQ(moved, due);
  }
}

// Reports of an instance's time are averages of few answers. A single one that
// is half as long again must not make its holder look slow and its keys move; a
// holder that stays slow gives some away.
TEST(Granter, OneLongAnswerMovesNoKeys)
{
  Leader leader;
  Settle(leader);
  uint64_t sequence = 10;
  const auto even = [] {
    wire::RangeLoad load;
    for (uint32_t key = 0; key < kKeyCount; key += 1024) {
      load.add_buckets(key);
      load.add_requests(1);
    }
    return load;
  };
  leader.granter->NoteTime("a", 0.1);
  leader.granter->NoteTime("b", 0.1);
  PassUnder(leader, 20, sequence, even);
  leader.granter->NoteTime("a", 0.17);
  PassUnder(leader, 10, sequence, even);
  ASSERT_NE(leader.HolderOf(0), "");
  EXPECT_FALSE(HoldsBack(leader));
  for (int report = 0; report < 60; ++report) {
    leader.granter->NoteTime("a", 0.4);
  }
  PassUnder(leader, 10, sequence, even);
  EXPECT_TRUE(HoldsBack(leader));
}

TEST(Granter, BusyHolderGivesKeysAway)
{
  Leader leader;
  Settle(leader);
  MakeBusy(leader, 20);
  leader.Answer(From("b", 8));
  const auto grants = leader.Answer(From("a", 8));
  ASSERT_TRUE(HoldsBack(leader));
  ASSERT_TRUE(grants);
  for (const GrantedRange& range : grants->ranges) {
    const auto& segment = leader.state.Ranges("board")->Find(range.keys.from);
    EXPECT_FALSE(segment.held_back());
  }
}

// A busy holder was told to release keys; then another host leads. It must go
// on leaving these keys out: renewed but held back, they would be served by
// nobody for good.
TEST(Granter, NewLeaderGoesOnWithKeysHeldBack)
{
  Leader leader;
  Settle(leader);
  MakeBusy(leader, 20);
  leader.Answer(From("b", 8));
  leader.Answer(From("a", 8));
  ASSERT_TRUE(HoldsBack(leader));
  leader.Replace();
  const auto grants = leader.Answer(From("a", 9));
  ASSERT_TRUE(grants);
  for (const GrantedRange& range : grants->ranges) {
    EXPECT_FALSE(
      leader.state.Ranges("board")->Find(range.keys.from).held_back());
  }
}

// A heartbeat reports the release of keys that were held back. Moves planned by
// the state before that release would hold the same keys back again, of an
// instance that no longer has them, and they would have no owner for good.
TEST(Granter, HeartbeatThatReleasesPlansNoMoves)
{
  Leader leader;
  Settle(leader);
  MakeBusy(leader, 20);
  leader.Answer(From("b", 8));
  leader.Answer(From("a", 8));
  Heartbeat release = From("a", 9);
  for (const auto& segment : leader.state.Ranges("board")->Segments()) {
    if (segment.held_back()) {
      release.released.push_back({ { segment.from(), segment.to() }, "h" });
    }
  }
  leader.Answer(release);
  EXPECT_FALSE(HoldsBack(leader));
}

} // namespace
} // namespace rattandyke::gateway
