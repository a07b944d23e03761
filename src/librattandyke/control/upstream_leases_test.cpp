#include "control/upstream_leases.h"

#include <gtest/gtest.h>

namespace rattandyke::control {
namespace {

using std::chrono::milliseconds;

class UpstreamLeasesTest : public testing::Test
{
protected:
  UpstreamLeasesTest()
    : hosts(options)
    , leases(options, hosts)
  {
    hosts.Begin(now);
    leases.Begin(now);
    entry.view.set_service("board");
    entry.view.set_name("u1");
    entry.view.set_incarnation(11);
    entry.view.set_home("h1");
    entry.view.set_state(wire::UPSTREAM_STATE_ACTIVE);
    entry.view.set_registered_version(5);
    entry.homeSession = 1;
  }

  void Beat(uint64_t aSession, uint64_t aTable)
  {
    wire::Heartbeat heartbeat;
    heartbeat.set_host("h1");
    heartbeat.set_session(aSession);
    heartbeat.set_sequence(++sequence);
    heartbeat.set_table_version(aTable);
    hosts.Note(heartbeat, now);
    hosts.Renew({ HostName{ "h1" }, aSession }, now);
  }

  void Report(uint64_t aSession,
              bool aLapsed,
              uint64_t aGrants,
              uint64_t aTable)
  {
    wire::UpstreamReport report;
    *report.mutable_announced() = entry.view;
    report.set_lapsed(aLapsed);
    report.set_grants_version(aGrants);
    leases.NoteReport(
      report, { HostName{ "h1" }, aSession }, TableVersion{ aTable });
  }

  LeaseOptions options;
  HostLeases hosts;
  UpstreamLeases leases;
  UpstreamEntry entry;
  UpstreamLife life{ "board", "u1", 11 };
  Instant now{ std::chrono::hours(1) };
  uint64_t sequence = 0;
};

// A home reports a lapsed upstream beside a newer table version. The upstream
// was never told of that version, so it acknowledged nothing.
TEST_F(UpstreamLeasesTest, ALapsedReportIsNoAcknowledgement)
{
  leases.Follow(entry, true, now);
  Beat(1, 9);
  Report(1, true, 9, 9);
  EXPECT_EQ(leases.Acknowledged(life).value, 0U);
  Report(1, false, 8, 9);
  EXPECT_EQ(leases.Acknowledged(life).value, 8U);
}

// The home process is restarted at once and knows itself in the table by name.
// The new process may have renewed the upstream: the end of the old process'
// lease, or its report, says nothing of that.
TEST_F(UpstreamLeasesTest, EveryProcessOfTheHomeCounts)
{
  leases.Follow(entry, true, now);
  Beat(1, 5);
  now += milliseconds(100);
  Beat(2, 5);
  Report(1, true, 0, 5);
  now += milliseconds(1600);
  EXPECT_FALSE(leases.IsOver(life, now));
  now += milliseconds(100);
  EXPECT_TRUE(leases.IsOver(life, now));
}

// A leader was just elected. Its predecessor may have let another home renew
// the upstream an instant ago; only when it never had another home does its
// home's word end the wait.
TEST_F(UpstreamLeasesTest, ANewLeaderWaitsForHomesItDoesNotKnow)
{
  entry.movedHome = true;
  leases.Follow(entry, false, now);
  Beat(1, 5);
  Report(1, true, 0, 5);
  EXPECT_FALSE(leases.IsOver(life, now));
  now += milliseconds(1617);
  EXPECT_TRUE(leases.IsOver(life, now));
}

// The leader that was told of the end was lost before it acted. The home has
// dropped the upstream and no longer reports it; its silence tells the next
// one.
TEST_F(UpstreamLeasesTest, AMissingReportIsTheEnd)
{
  leases.Follow(entry, false, now);
  Beat(1, 4);
  wire::Heartbeat heartbeat;
  heartbeat.set_host("h1");
  heartbeat.set_session(1);
  heartbeat.set_table_version(4);
  EXPECT_TRUE(leases.NoteMissing(heartbeat).empty())
    << "its table is older than the registration";
  heartbeat.set_table_version(5);
  EXPECT_EQ(leases.NoteMissing(heartbeat).size(), 1U);
  EXPECT_TRUE(leases.IsOver(life, now));
}

} // namespace
} // namespace rattandyke::control
