#include "gateway/relay_peers.h"

#include <algorithm>

#include <gtest/gtest.h>

namespace rattandyke::gateway {
namespace {

using std::chrono::milliseconds;

class RelayPeersTest : public ::testing::Test
{
protected:
  void AddEntry(const std::string& aAddress, const std::string& aDataCentre)
  {
    wire::GatewayCommand put;
    wire::EntryMember* entry = put.mutable_put_entry()->mutable_entry();
    entry->set_address(aAddress);
    entry->set_data_centre(aDataCentre);
    static_cast<void>(state.Apply(put, LogIndex{ ++index }));
  }

  std::vector<std::string> Candidates(size_t aCount,
                                      const std::set<std::string>& aOut = {})
  {
    return peers.Candidates(state, "desk", "far", aOut, aCount, now);
  }

  State state;
  uint64_t index = 0;
  RelayPeers peers{ "10.0.0.1:1", DataCentre{ "near" }, 1 };
  Instant now{ std::chrono::hours{ 1 } };
};

// Bytes between data centres are scarce, and a detour over a third one is long.
TEST_F(RelayPeersTest, CandidatesAreNearFirstThenAtTheUpstream)
{
  AddEntry("10.0.0.1:1", "near");
  AddEntry("10.0.0.2:1", "third");
  AddEntry("10.0.0.3:1", "far");
  AddEntry("10.0.0.4:1", "near");
  EXPECT_EQ(
    Candidates(5),
    (std::vector<std::string>{ "10.0.0.4:1", "10.0.0.3:1", "10.0.0.2:1" }));
  EXPECT_EQ(Candidates(1, { "10.0.0.4:1" }),
            std::vector<std::string>{ "10.0.0.3:1" });
}

// Most of a data centre may have no path either. Asking these hosts again for
// each request would cost each its time.
TEST_F(RelayPeersTest, HostsWithoutAPathAreNotAskedForAWhile)
{
  AddEntry("10.0.0.2:1", "near");
  peers.OnNoPath("10.0.0.2:1", "desk", now);
  EXPECT_TRUE(Candidates(1).empty());
  EXPECT_EQ(peers.Candidates(state, "board", "far", {}, 1, now).size(), 1U);
  now += RelayPeers::kNoPathFor;
  EXPECT_EQ(Candidates(1).size(), 1U);
}

// A host of an older build ignores the question.
TEST_F(RelayPeersTest, SilentHostsAreAskedLessAndLess)
{
  AddEntry("10.0.0.2:1", "near");
  EXPECT_EQ(peers.OnSilent("10.0.0.2:1", now),
            Duration(RelayPeers::kSilentFor));
  EXPECT_TRUE(Candidates(1).empty());
  now += RelayPeers::kSilentFor;
  EXPECT_EQ(Candidates(1).size(), 1U);
  EXPECT_EQ(peers.OnSilent("10.0.0.2:1", now),
            Duration(2 * RelayPeers::kSilentFor));
  peers.OnAgreed("10.0.0.2:1", "desk", now);
  EXPECT_EQ(peers.OnSilent("10.0.0.2:1", now),
            Duration(RelayPeers::kSilentFor));
}

// Few hosts carry the requests of many: each must get its part.
TEST_F(RelayPeersTest, RequestsAreSpreadOverTheHostsThatAgreed)
{
  for (const char* peer : { "10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1" }) {
    peers.OnAgreed(peer, "desk", now);
  }
  std::map<std::string, size_t> requests;
  for (int number = 0; number < 30; ++number) {
    const std::string peer = peers.Confirmed("desk", {}, now);
    peers.OnRequestStarted(peer);
    ++requests[peer];
  }
  ASSERT_EQ(requests.size(), 3U);
  for (const auto& [peer, count] : requests) {
    EXPECT_EQ(count, 10U);
  }
}

TEST_F(RelayPeersTest, BusyHostsGetNothingForAWhile)
{
  peers.OnAgreed("10.0.0.2:1", "desk", now);
  peers.OnBusy("10.0.0.2:1", now);
  EXPECT_EQ(peers.Confirmed("desk", {}, now), "");
  now += RelayPeers::kBusyFor;
  EXPECT_EQ(peers.Confirmed("desk", {}, now), "10.0.0.2:1");
  EXPECT_EQ(peers.Confirmed("desk", { "10.0.0.2:1" }, now), "");
}

// The state must not grow with the hosts that were ever asked.
TEST_F(RelayPeersTest, OutdatedHostsAreRemoved)
{
  peers.OnAgreed("10.0.0.2:1", "desk", now);
  peers.OnNoPath("10.0.0.3:1", "desk", now);
  peers.OnSilent("10.0.0.4:1", now);
  now += std::chrono::seconds{ 10 };
  peers.RemoveExpired(now);
  EXPECT_EQ(peers.Size(), 0U);
}

} // namespace
} // namespace rattandyke::gateway
