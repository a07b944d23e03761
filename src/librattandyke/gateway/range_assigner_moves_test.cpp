#include "gateway/range_assigner.h"

#include <random>

#include <gtest/gtest.h>

#include "testing/simulated_leader.h"

namespace rattandyke::gateway {
namespace {

using namespace testing; // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

uint32_t
FirstKeyOf(const SimulatedLeader& aLeader, const std::string& aHolder)
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
MakeBusy(SimulatedLeader& aLeader,
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
    aLeader.rangeAssigner->AddLoad(load);
    aLeader.AdvanceTime(milliseconds{ 100 });
  }
}

bool
HoldsBack(const SimulatedLeader& aLeader)
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
PassUnder(SimulatedLeader& aLeader,
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

/// Heartbeats of ten holders with even loads, which keep their slots busy.
void
PassEvenly(SimulatedLeader& aLeader, int aReports, uint64_t& aSequence)
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
NoteTimes(SimulatedLeader& aLeader, const std::string& aHolder, double aSeconds)
{
  constexpr int kReports = 10;
  for (int report = 0; report < kReports; ++report) {
    aLeader.rangeAssigner->RecordLatency(aHolder, aSeconds);
  }
}

/// Ten holders share all keys while nobody is busy; then a new leader comes.
void
SettleEvenly(SimulatedLeader& aLeader, uint64_t& aSequence)
{
  PassEvenly(aLeader, 10, aSequence);
  aLeader.FailOver();
  for (char id = 'a'; id <= 'j'; ++id) {
    NoteTimes(aLeader, std::string(1, id), 0.02);
  }
  PassEvenly(aLeader, 30, aSequence);
  aLeader.FailOver();
}

// A new leader knows no times. The first answer that is reported of one holder
// was a long one, of the others there are more reports; all have about the same
// load. Callers see keys without an owner if that one is taken for slow and
// gives its keys away; they must stay until more is known.
TEST(RangeAssigner, OneLongAnswerDoesNotMakeAHolderSlow)
{
  SimulatedLeader leader;
  uint64_t sequence = 0;
  SettleEvenly(leader, sequence);
  ASSERT_FALSE(HoldsBack(leader));
  for (char id = 'b'; id <= 'j'; ++id) {
    NoteTimes(leader, std::string(1, id), 0.1);
  }
  leader.rangeAssigner->RecordLatency("a", 0.3);
  PassEvenly(leader, 10, sequence);
  EXPECT_FALSE(HoldsBack(leader));
}

// That holder is slow indeed, as its next answers show: it gives keys away.
TEST(RangeAssigner, ManyLongAnswersMakeAHolderSlow)
{
  SimulatedLeader leader;
  uint64_t sequence = 0;
  SettleEvenly(leader, sequence);
  ASSERT_FALSE(HoldsBack(leader));
  for (char id = 'a'; id <= 'j'; ++id) {
    NoteTimes(leader, std::string(1, id), id == 'a' ? 0.3 : 0.1);
  }
  PassEvenly(leader, 10, sequence);
  EXPECT_TRUE(HoldsBack(leader));
}

/// A service whose upstreams send heartbeats in turn, report what they were
/// left out soon after, and answer as fast as they are. One of them grows
/// slower while it is full.
class BusyService
{
public:
  static constexpr uint32_t kHotKey = 22772;
  /// Requests a second; all others are evenly spread.
  static constexpr double kHotRequests = 120;
  static constexpr double kOtherRequests = 60;
  static constexpr milliseconds kStep{ 20 };
  /// As a control host waits.
  static constexpr milliseconds kKeysAwaited{ 350 };
  /// A full upstream's answers take this much longer.
  static constexpr double kFullSlower = 1.5;

  /// @param aSeconds how long the answers of each upstream take.
  explicit BusyService(std::vector<double> aSeconds, unsigned aSeed)
    : mRandom(aSeed)
  {
    for (size_t at = 0; at < aSeconds.size(); ++at) {
      Upstream upstream;
      upstream.id = std::string(1, static_cast<char>('a' + at));
      upstream.seconds = aSeconds[at];
      upstream.next = leader.now + kHeartbeatInterval * at / aSeconds.size();
      mUpstreams.push_back(upstream);
    }
  }

  /// @param aHot keys that are busy meanwhile.
  void PassFor(Duration aTime, const std::vector<uint32_t>& aHot)
  {
    for (const Instant end = leader.now + aTime; leader.now < end;) {
      leader.AdvanceTime(kStep);
      Come(aHot);
      for (Upstream& upstream : mUpstreams) {
        if (leader.now >= upstream.next && !Waits(upstream)) {
          Beat(upstream);
        }
      }
      if (const std::string owner = Owner();
          owner != mOwner && !owner.empty()) {
        owners.push_back(owner);
        mOwner = owner;
      }
      unowned += Owner().empty() ? Duration(kStep) : Duration::zero();
    }
  }

  /// Who runs requests for the hot key; nobody while it is held back or free.
  std::string Owner(uint32_t aKey = kHotKey) const
  {
    const RangeTable* ranges = leader.state.Ranges("board");
    if (ranges == nullptr || ranges->Find(aKey).held_back()) {
      return "";
    }
    return ranges->Find(aKey).holder();
  }

  void Forget()
  {
    owners.clear();
    unowned = {};
  }

  void Slow(const std::string& aInstance, double aSeconds)
  {
    for (Upstream& upstream : mUpstreams) {
      if (upstream.id == aInstance) {
        upstream.seconds = aSeconds;
      }
    }
  }

  SimulatedLeader leader;
  /// Owners of the hot key, one after the other, and the time without one.
  std::vector<std::string> owners;
  Duration unowned{};

private:
  struct Upstream
  {
    std::string id;
    double seconds = 0.1;
    uint64_t sequence = 0;
    Instant next{};
    std::vector<GrantedRange> held;
    std::vector<ReleasedRange> released;
  };

  void Come(const std::vector<uint32_t>& aHot)
  {
    mDue += kStep;
    if (mDue < milliseconds{ 200 }) {
      return;
    }
    mDue = {};
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
      const bool full = !aHot.empty() && Owner() == upstream.id;
      leader.rangeAssigner->RecordLatency(upstream.id,
                                          upstream.seconds * noise(mRandom) *
                                            (full ? kFullSlower : 1));
    }
  }

  /// An answer waits a moment for keys on their way to the upstream.
  bool Waits(const Upstream& aUpstream)
  {
    return leader.now < aUpstream.next + kKeysAwaited &&
           leader.rangeAssigner->ShouldDelayAnswer(
             HeartbeatFrom(aUpstream.id, aUpstream.sequence),
             leader.state,
             leader.now);
  }

  void Beat(Upstream& aUpstream)
  {
    Heartbeat heartbeat = HeartbeatFrom(aUpstream.id, ++aUpstream.sequence);
    heartbeat.released = std::exchange(aUpstream.released, {});
    const auto grants = leader.HandleHeartbeat(heartbeat);
    for (const GrantedRange& held : aUpstream.held) {
      uint32_t from = held.keys.from;
      // What an answer leaves out of a range is released.
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
    aUpstream.next =
      leader.now + (aUpstream.released.empty() ? kHeartbeatInterval
                                               : Duration(milliseconds{ 100 }));
  }

  std::mt19937 mRandom;
  std::vector<Upstream> mUpstreams;
  Duration mDue{};
  std::string mOwner;
};

// Two holders get the same load, drawn at random, and are busy with it. One of
// them always has some more by chance. Keys that are moved for that have no
// owner for 200 ms, and are moved back when chance turns.
TEST(RangeAssigner, ChanceMovesNoKeys)
{
  size_t moved = 0;
  for (unsigned seed = 1; seed <= 20; ++seed) {
    SimulatedLeader leader;
    AssignKeysToTwo(leader);
    std::mt19937 random(seed);
    leader.rangeAssigner->RecordLatency("a", 0.2);
    leader.rangeAssigner->RecordLatency("b", 0.2);
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
TEST(RangeAssigner, BusiestKeyMovesOnlyToAnInstanceWhoseHeartbeatIsDue)
{
  for (const bool due : { false, true }) {
    SimulatedLeader leader;
    AssignKeysToTwo(leader);
    MakeBusy(leader, 1, { "a", "b" });
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

// Reports of an instance's time are averages of few answers. A single one that
// is half as long again must not make its holder look slow and its keys move; a
// holder that stays slow gives some away.
TEST(RangeAssigner, OneLongAnswerMovesNoKeys)
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
  PassUnder(leader, 20, sequence, even);
  leader.rangeAssigner->RecordLatency("a", 0.17);
  PassUnder(leader, 10, sequence, even);
  ASSERT_NE(leader.HolderOf(0), "");
  EXPECT_FALSE(HoldsBack(leader));
  for (int report = 0; report < 60; ++report) {
    leader.rangeAssigner->RecordLatency("a", 0.4);
  }
  PassUnder(leader, 10, sequence, even);
  EXPECT_TRUE(HoldsBack(leader));
}

// One key is six times what any upstream can run, and all upstreams are about
// equally fast. Its requests wait or are refused at whoever owns it, which is
// full and answers slower. Another one would gain them nothing, and each move
// leaves the key without an owner for part of a second.
TEST(RangeAssigner, KeyThatIsTooMuchForAnyUpstreamStays)
{
  for (unsigned seed = 1; seed <= 10; ++seed) {
    BusyService service({ 0.1, 0.08, 0.11, 0.09, 0.12, 0.1 }, seed);
    service.PassFor(std::chrono::seconds{ 5 }, {});
    service.Forget();
    service.PassFor(std::chrono::seconds{ 10 }, { BusyService::kHotKey });
    EXPECT_LE(service.owners.size(), 1U) << "seed " << seed;
    EXPECT_LE(service.unowned, milliseconds{ 400 }) << "seed " << seed;
  }
}

// Two such keys lie side by side, and each would fit the share of a much faster
// upstream, whose heartbeat has just come. A slice is taken by whoever comes
// next, and not for an interval if that is the fast one; the keys beside them
// are given away instead.
TEST(RangeAssigner, KeyThatIsTooMuchIsInNoSlice)
{
  SimulatedLeader leader;
  AssignKeysToTwo(leader);
  MakeBusy(leader, 2);
  for (int report = 0; report < 200; ++report) {
    leader.rangeAssigner->RecordLatency("a", 0.1);
    leader.rangeAssigner->RecordLatency("b", 0.02);
  }
  const uint32_t key = FirstKeyOf(leader, "a");
  leader.HandleHeartbeat(HeartbeatFrom("b", 8));
  leader.HandleHeartbeat(HeartbeatFrom("a", 8));
  EXPECT_FALSE(leader.state.Ranges("board")->Find(key).held_back());
  EXPECT_FALSE(leader.state.Ranges("board")->Find(key + 1).held_back());
  EXPECT_TRUE(HoldsBack(leader));
}

// A holder has grown so slow that each of a dozen keys is too much for it,
// which others carry with ease. It gives them away together as ever: one at a
// time, it would be overrun for a dozen heartbeats.
TEST(RangeAssigner, KeysThatAreTooMuchForASlowHolderOnlyGoTogether)
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
  size_t given = 0;
  for (uint32_t key = first; key < first + 12; ++key) {
    given += leader.state.Ranges("board")->Find(key).held_back() ? 1 : 0;
  }
  EXPECT_GE(given, 6U);
}

// The owner of such a key is three times as slow as the others. It runs a third
// of what another would, so the key goes to another, and stays there.
TEST(RangeAssigner, KeyThatIsTooMuchLeavesASlowUpstreamOnce)
{
  for (unsigned seed = 1; seed <= 10; ++seed) {
    BusyService service({ 0.1, 0.1, 0.1, 0.1, 0.1, 0.1 }, seed);
    service.PassFor(std::chrono::seconds{ 5 }, {});
    const std::string slow = service.Owner();
    service.Slow(slow, 0.3);
    service.Forget();
    service.PassFor(std::chrono::seconds{ 10 }, { BusyService::kHotKey });
    EXPECT_EQ(service.owners.size(), 1U) << "seed " << seed;
    EXPECT_NE(service.Owner(), slow) << "seed " << seed;
  }
}

// Busy keys lie side by side. Two that are each too much for any upstream share
// what their owner can run; one of them goes to another upstream. It may have
// been in a slice before the first reports showed how busy it is.
TEST(RangeAssigner, TwoKeysThatAreTooMuchGetDifferentOwners)
{
  const std::vector<uint32_t> hot{ BusyService::kHotKey,
                                   BusyService::kHotKey + 1 };
  for (unsigned seed = 1; seed <= 10; ++seed) {
    BusyService service({ 0.1, 0.1, 0.1, 0.1, 0.1, 0.1 }, seed);
    service.PassFor(std::chrono::seconds{ 5 }, {});
    ASSERT_EQ(service.Owner(hot[0]), service.Owner(hot[1]));
    service.Forget();
    service.PassFor(std::chrono::seconds{ 10 }, hot);
    EXPECT_NE(service.Owner(hot[0]), service.Owner(hot[1])) << "seed " << seed;
    EXPECT_LE(service.owners.size(), 2U) << "seed " << seed;
  }
}

TEST(RangeAssigner, BusyHolderGivesKeysAway)
{
  SimulatedLeader leader;
  AssignKeysToTwo(leader);
  MakeBusy(leader, 20);
  leader.HandleHeartbeat(HeartbeatFrom("b", 8));
  const auto grants = leader.HandleHeartbeat(HeartbeatFrom("a", 8));
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
TEST(RangeAssigner, NewLeaderGoesOnWithKeysHeldBack)
{
  SimulatedLeader leader;
  AssignKeysToTwo(leader);
  MakeBusy(leader, 20);
  leader.HandleHeartbeat(HeartbeatFrom("b", 8));
  leader.HandleHeartbeat(HeartbeatFrom("a", 8));
  ASSERT_TRUE(HoldsBack(leader));
  leader.FailOver();
  const auto grants = leader.HandleHeartbeat(HeartbeatFrom("a", 9));
  ASSERT_TRUE(grants);
  for (const GrantedRange& range : grants->ranges) {
    EXPECT_FALSE(
      leader.state.Ranges("board")->Find(range.keys.from).held_back());
  }
}

// A heartbeat reports the release of keys that were held back. Moves planned by
// the state before that release would hold the same keys back again, of an
// instance that no longer has them, and they would have no owner for good.
TEST(RangeAssigner, HeartbeatThatReleasesPlansNoMoves)
{
  SimulatedLeader leader;
  AssignKeysToTwo(leader);
  MakeBusy(leader, 20);
  leader.HandleHeartbeat(HeartbeatFrom("b", 8));
  leader.HandleHeartbeat(HeartbeatFrom("a", 8));
  Heartbeat release = HeartbeatFrom("a", 9);
  for (const auto& segment : leader.state.Ranges("board")->Segments()) {
    if (segment.held_back()) {
      release.released.push_back({ { segment.from(), segment.to() }, "h" });
    }
  }
  leader.HandleHeartbeat(release);
  EXPECT_FALSE(HoldsBack(leader));
}

} // namespace
} // namespace rattandyke::gateway
