#include <gtest/gtest.h>

#include "agent/lease_keeper.h"

namespace rattandyke::agent {
namespace {

using namespace std::chrono_literals;

constexpr uint64_t kFirst = 11;
constexpr uint64_t kSecond = 22;

/// One home "a" with a leader whose table the test sets.
class LeaseKeeperTest : public testing::Test
{
protected:
  LeaseKeeperTest()
    : mKeeper(MakeOptions())
  {
    AddService();
    DeliverTable();
    Heartbeat();
  }

  static LeaseKeeper::Options MakeOptions()
  {
    LeaseKeeper::Options options;
    options.self = { "a" };
    return options;
  }

  Announcement Make(uint64_t aIncarnation, uint64_t aVersion) const
  {
    Announcement announcement;
    announcement.service = { "board" };
    announcement.name = { "one" };
    announcement.incarnation = aIncarnation;
    announcement.address = { "127.0.0.1", 9000 };
    announcement.dataCentre = { "k1" };
    announcement.grantsVersion = { aVersion };
    return announcement;
  }

  /// Sends an announcement. Its answer, if there is one yet, is in mAnswers.
  void Send(const Announcement& aAnnouncement)
  {
    Step(AnnouncementReceived{ ++mLastId, aAnnouncement });
  }

  /// @return the answer to an announcement that is not held.
  AnnounceAnswer Announce(uint64_t aIncarnation, uint64_t aVersion)
  {
    Send(Make(aIncarnation, aVersion));
    return mAnswers.at(mLastId);
  }

  void Step(const LeaseKeeperEvent& aEvent)
  {
    for (const auto& effect : mKeeper.Step(aEvent, mNow)) {
      mAnswers.emplace(effect.id, effect.answer);
    }
  }

  /// Sends a heartbeat and lets the leader answer it in the same instant.
  void Heartbeat()
  {
    MakeReports();
    Step(HeartbeatAnswered{ mSequence, mNow + 800ms });
  }

  /// A heartbeat that is lost.
  void MakeReports()
  {
    mReports = mKeeper.Reports(++mSequence, mNow);
    for (const wire::UpstreamReport& report : mReports) {
      mLapsedReports += report.lapsed() ? 1 : 0;
    }
  }

  /// Time passes in steps; heartbeats are answered if the host is connected.
  void Pass(Duration aTime, bool aConnected = true)
  {
    for (Duration passed{}; passed < aTime; passed += 10ms) {
      mNow += 10ms;
      Step(KeeperTimer{});
      if (aConnected && mNow >= mNextHeartbeat) {
        mNextHeartbeat = mNow + 100ms;
        Heartbeat();
      }
    }
  }

  /// Announces every 100 ms, always naming the same grants.
  void PassAnnouncing(Duration aTime, uint64_t aIncarnation, uint64_t aVersion)
  {
    for (Duration passed{}; passed < aTime; passed += 100ms) {
      Pass(100ms);
      Announce(aIncarnation, aVersion);
    }
  }

  void AddService()
  {
    wire::Record& record = *mUpdate.add_records();
    record.set_kind("service");
    record.set_name("board");
    record.set_schema_version(1);
    record.set_body_json(R"({"prefix": "/board", "slots": 4})");
  }

  void SetUpstream(uint64_t aIncarnation,
                   const std::string& aHome = "a",
                   wire::UpstreamState aState = wire::UPSTREAM_STATE_ACTIVE)
  {
    ++mVersion;
    mUpdate.clear_upstreams();
    wire::Upstream& upstream = *mUpdate.add_upstreams();
    upstream.set_service("board");
    upstream.set_name("one");
    upstream.set_incarnation(aIncarnation);
    upstream.set_address("127.0.0.1:9000");
    upstream.set_home(aHome);
    upstream.set_state(aState);
    upstream.set_registered_version(mVersion);
  }

  void SetOwner(uint32_t aSlot, const std::string& aUpstream)
  {
    ++mVersion;
    wire::SlotOwner& owner = *mUpdate.add_owners();
    owner.set_service("board");
    owner.set_slot(aSlot);
    owner.set_upstream(aUpstream);
    owner.set_fence(mVersion);
  }

  void DeliverTable()
  {
    mUpdate.set_to_version(mVersion);
    TableArrived arrived;
    arrived.table = routing::RoutingTable().Apply(mUpdate, &arrived.touched);
    Step(arrived);
  }

  /// kFirst is registered here, owns slots 0 and 1 and has acknowledged them.
  void Register()
  {
    Announce(kFirst, 0);
    SetUpstream(kFirst);
    SetOwner(0, "one");
    SetOwner(1, "one");
    DeliverTable();
    Heartbeat();
    Announce(kFirst, 0);
    Announce(kFirst, mVersion);
  }

  Instant mNow{ 1h };
  LeaseKeeper mKeeper;
  std::map<uint64_t, AnnounceAnswer> mAnswers;
  std::vector<wire::UpstreamReport> mReports;
  /// How often the leader was told that an upstream lapsed.
  int mLapsedReports = 0;
  uint64_t mLastId = 0;
  uint64_t mSequence = 0;
  Instant mNextHeartbeat{ 1h };
  wire::TableUpdate mUpdate;
  uint64_t mVersion = 10;
};

TEST_F(LeaseKeeperTest, GivesLeaseAndGrantsOnceRegisteredAndReported)
{
  EXPECT_EQ(Announce(kFirst, 0).lease, 0ms);
  SetUpstream(kFirst);
  SetOwner(0, "one");
  SetOwner(1, "one");
  DeliverTable();
  EXPECT_EQ(Announce(kFirst, 0).lease, 0ms) << "no heartbeat named it yet";
  Heartbeat();
  const AnnounceAnswer answer = Announce(kFirst, 0);
  EXPECT_EQ(answer.lease, 800ms);
  EXPECT_EQ(answer.grantsVersion, TableVersion{ mVersion });
  EXPECT_EQ(answer.grants.size(), 2U);
  EXPECT_FALSE(Announce(kFirst, mVersion).grantsIncluded);
}

// The host is cut off from the leader, which waits out the host's lease and the
// upstream's and then gives the keys to another. A renewal after the host's own
// lease would make two owners.
TEST_F(LeaseKeeperTest, RenewsOnlyUnderItsOwnLease)
{
  Register();
  Step(ControlAnswered{});
  Pass(790ms, false);
  Step(ControlAnswered{});
  EXPECT_EQ(Announce(kFirst, mVersion).lease, 800ms);
  Pass(20ms, false);
  EXPECT_EQ(Announce(kFirst, mVersion).lease, 0ms);
}

// The host reaches no control host. Its upstreams should find another home
// while their leases still live, so that no key becomes unavailable.
TEST_F(LeaseKeeperTest, SendsUpstreamsElsewhereWhenCutOff)
{
  Register();
  Pass(390ms, false);
  EXPECT_EQ(Announce(kFirst, mVersion).code, Code::Ok);
  Pass(20ms, false);
  EXPECT_EQ(Announce(kFirst, mVersion).code, Code::LeaseUnavailable);
}

// Control hosts answer but elect a leader; every host is in the same position.
// Upstreams that ran from host to host would only add work for the new leader.
TEST_F(LeaseKeeperTest, KeepsUpstreamsWhileThereIsNoLeader)
{
  Register();
  for (int i = 0; i < 12; ++i) {
    Pass(100ms, false);
    Step(ControlAnswered{});
    EXPECT_EQ(Announce(kFirst, mVersion).code, Code::Ok);
  }
  Heartbeat();
  EXPECT_EQ(mLapsedReports, 0) << "it announced itself all the time";
  EXPECT_EQ(Announce(kFirst, mVersion).lease, 800ms);
}

// An upstream dies. The leader learns it from its home, but not before the
// lease is over by the slowest clock, counted from the last announcement that
// was answered; and earlier than that no home may say so.
TEST_F(LeaseKeeperTest, ReportsLapsedWhenTheLeaseIsOver)
{
  Register();
  PassAnnouncing(2s, kFirst, mVersion);
  Pass(800ms);
  Heartbeat();
  EXPECT_EQ(mLapsedReports, 0);
  Pass(10ms);
  Heartbeat();
  EXPECT_EQ(mLapsedReports, 1);
}

// A home that took the upstream over a moment ago does not know until when the
// earlier home renewed it: that one may not have heard of the change yet.
TEST_F(LeaseKeeperTest, NewHomeWaitsForTheEarlierOneToo)
{
  Register();
  Pass(1600ms);
  EXPECT_EQ(mLapsedReports, 0);
  Pass(120ms);
  EXPECT_EQ(mLapsedReports, 1);
}

// An upstream freezes (SIGSTOP), its keys move to others, and it returns as if
// nothing had happened, with its old grants. It must not get a lease before the
// leader has registered it anew, although the table still lists it for a while.
TEST_F(LeaseKeeperTest, FrozenUpstreamNeedsNewRegistration)
{
  Register();
  PassAnnouncing(2s, kFirst, mVersion);
  Pass(1s);
  ASSERT_EQ(mLapsedReports, 1);
  PassAnnouncing(1s, kFirst, mVersion);
  EXPECT_EQ(Announce(kFirst, mVersion).lease, 0ms);
  ASSERT_EQ(mReports.size(), 1U);
  EXPECT_FALSE(mReports[0].lapsed()) << "it asks to be registered";

  mUpdate.clear_owners();
  SetUpstream(kFirst);
  DeliverTable();
  Pass(200ms);
  const AnnounceAnswer answer = Announce(kFirst, mVersion - 1);
  EXPECT_EQ(answer.lease, 800ms);
  EXPECT_TRUE(answer.grantsIncluded);
  EXPECT_TRUE(answer.grants.empty()) << "its old grants are taken away";
}

// The heartbeat that says "lapsed" is lost. It has to be said again: the leader
// would otherwise wait out a lease that no longer exists.
TEST_F(LeaseKeeperTest, RepeatsLapsedUntilTheLeaderHeardIt)
{
  Register();
  PassAnnouncing(2s, kFirst, mVersion);
  Pass(1s, false);
  MakeReports();
  EXPECT_EQ(mLapsedReports, 1);
  Heartbeat();
  EXPECT_EQ(mLapsedReports, 2);
  Heartbeat();
  EXPECT_TRUE(mReports.empty());
}

// A slot is taken away; the upstream keeps announcing but never acknowledges.
// Its lease must not be renewed, so that it ends and the move can go on.
TEST_F(LeaseKeeperTest, IgnoredRevocationEndsTheLease)
{
  Register();
  const uint64_t acknowledged = mVersion;
  SetOwner(1, "");
  DeliverTable();
  EXPECT_TRUE(Announce(kFirst, acknowledged).grantsIncluded);
  PassAnnouncing(700ms, kFirst, acknowledged);
  EXPECT_EQ(Announce(kFirst, acknowledged).lease, 800ms);
  Pass(110ms);
  EXPECT_EQ(Announce(kFirst, acknowledged).lease, 0ms);
  PassAnnouncing(1s, kFirst, acknowledged);
  EXPECT_EQ(mLapsedReports, 1);
  EXPECT_EQ(Announce(kFirst, mVersion).lease, 0ms) << "too late";
}

TEST_F(LeaseKeeperTest, AcknowledgedRevocationIsReported)
{
  Register();
  const uint64_t before = mVersion;
  SetOwner(1, "");
  DeliverTable();
  Announce(kFirst, before);
  Heartbeat();
  EXPECT_EQ(mReports.at(0).grants_version(), before);
  Announce(kFirst, mVersion);
  Heartbeat();
  EXPECT_EQ(mReports.at(0).grants_version(), mVersion);
}

// A table changes for others only. What the upstream acknowledged then covers
// the newer version too; else the leader would wait for an answer that the
// upstream has no reason to send.
TEST_F(LeaseKeeperTest, UnchangedGrantsCountForNewerTables)
{
  Register();
  mUpdate.clear_upstreams();
  SetUpstream(kFirst);
  mUpdate.mutable_upstreams(0)->set_registered_version(11);
  DeliverTable();
  Heartbeat();
  EXPECT_EQ(mReports.at(0).grants_version(), mVersion);
}

TEST_F(LeaseKeeperTest, HeldAnswerComesWithNewGrantsOrInTime)
{
  Register();
  Announcement announcement = Make(kFirst, mVersion);
  announcement.hold = 100ms;
  Send(announcement);
  Pass(50ms);
  EXPECT_FALSE(mAnswers.contains(mLastId));
  SetOwner(2, "one");
  DeliverTable();
  EXPECT_EQ(mAnswers.at(mLastId).grants.size(), 3U);

  announcement.grantsVersion = { mVersion };
  Send(announcement);
  Pass(90ms);
  EXPECT_FALSE(mAnswers.contains(mLastId));
  Pass(10ms);
  EXPECT_EQ(mAnswers.at(mLastId).lease, 800ms);
  EXPECT_EQ(mAnswers.at(mLastId).nextAnnounce, 50ms);
}

// A second process starts under the same name, by mistake or as a replacement
// while the first still runs. The later one wins; the first is told to stop and
// its lease runs out before the second gets one.
TEST_F(LeaseKeeperTest, LaterProcessOfANameWins)
{
  Register();
  EXPECT_EQ(Announce(kSecond, 0).lease, 0ms);
  EXPECT_EQ(Announce(kFirst, mVersion).code, Code::UpstreamSuperseded);
  Heartbeat();
  EXPECT_EQ(mReports.size(), 2U);
  PassAnnouncing(2s, kSecond, 0);
  EXPECT_EQ(Announce(kSecond, 0).lease, 0ms) << "not registered yet";
  SetUpstream(kSecond);
  DeliverTable();
  Pass(200ms);
  EXPECT_EQ(Announce(kSecond, 0).lease, 800ms);
}

// A process froze for so long that its successor was registered at another
// home, then returns here, where nobody knows it. Its last grants version is
// older than its successor's registration, so it is refused for good.
TEST_F(LeaseKeeperTest, OldProcessIsRefusedAtAHomeThatNeverSawIt)
{
  const uint64_t held = mVersion;
  SetUpstream(kSecond, "b");
  DeliverTable();
  EXPECT_EQ(Announce(kFirst, held).code, Code::UpstreamSuperseded);
  EXPECT_EQ(Announce(kFirst, 0).code, Code::Ok) << "a fresh start is newer";
}

// A machine is cloned while its upstream runs: both copies have one incarnation
// and the same grants, and would both run requests.
TEST_F(LeaseKeeperTest, CopyOfARunningProcessIsRefused)
{
  Register();
  Announcement copy = Make(kFirst, mVersion);
  copy.address.port = 9001;
  Send(copy);
  EXPECT_EQ(mAnswers.at(mLastId).code, Code::UpstreamSuperseded);
  EXPECT_EQ(Announce(kFirst, mVersion).lease, 800ms);
}

// The upstream moved to another home. Reporting it here as well would make the
// leader move its home back and forth.
TEST_F(LeaseKeeperTest, StopsReportingAnUpstreamThatMovedAway)
{
  Register();
  SetUpstream(kFirst, "b");
  mUpdate.mutable_upstreams(0)->set_registered_version(11);
  DeliverTable();
  Heartbeat();
  EXPECT_TRUE(mReports.empty());
  EXPECT_EQ(Announce(kFirst, mVersion).lease, 0ms) << "not its home any more";
  Heartbeat();
  EXPECT_EQ(mReports.size(), 1U);
}

// A host restarts at once; its upstreams find it again before anyone missed
// them. The table names it as their home, but the leader counts on the process
// before and might grant their keys to others without waiting for this one.
TEST_F(LeaseKeeperTest, RestartedHostNeedsNewRegistrations)
{
  Register();
  const uint64_t held = mVersion;
  mKeeper = LeaseKeeper(MakeOptions());
  DeliverTable();
  Heartbeat();
  Announce(kFirst, held);
  Heartbeat();
  EXPECT_EQ(Announce(kFirst, held).lease, 0ms);
  SetUpstream(kFirst);
  DeliverTable();
  EXPECT_EQ(Announce(kFirst, held).lease, 800ms);
}

// The leader gave the upstream up while this host was cut off, and the host
// returns. The reply that extends its lease brings the table that says so.
TEST_F(LeaseKeeperTest, UpstreamGivenUpByTheLeaderIsNotRenewed)
{
  Register();
  SetUpstream(kFirst, "a", wire::UPSTREAM_STATE_LOST);
  DeliverTable();
  Heartbeat();
  EXPECT_EQ(Announce(kFirst, mVersion).lease, 0ms);
}

TEST_F(LeaseKeeperTest, LeavingHostRefusesAndAnswersWhatItHolds)
{
  Register();
  Announcement announcement = Make(kFirst, mVersion);
  announcement.hold = 100ms;
  Send(announcement);
  Step(KeeperLeaves{});
  EXPECT_EQ(mAnswers.at(mLastId).code, Code::LeaseUnavailable);
  EXPECT_EQ(Announce(kFirst, mVersion).code, Code::LeaseUnavailable);
}

TEST_F(LeaseKeeperTest, UnknownServiceIsRefused)
{
  Announcement announcement = Make(kFirst, 0);
  announcement.service = { "boards" };
  Send(announcement);
  EXPECT_EQ(mAnswers.at(mLastId).code, Code::UnknownService);
}

TEST_F(LeaseKeeperTest, MemoryIsBounded)
{
  LeaseKeeper::Options options = MakeOptions();
  options.mostCharges = 2;
  mKeeper = LeaseKeeper(options);
  DeliverTable();
  Heartbeat();
  for (uint64_t incarnation = 1; incarnation <= 3; ++incarnation) {
    const Code expected = incarnation <= 2 ? Code::Ok : Code::LeaseUnavailable;
    EXPECT_EQ(Announce(incarnation, 0).code, expected);
  }
  Pass(1s);
  EXPECT_EQ(mKeeper.Size(), 0U) << "forgotten when they do not come back";
}

} // namespace
} // namespace rattandyke::agent
