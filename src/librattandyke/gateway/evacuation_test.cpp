// Evacuation of a data centre: an operator starts it, and no new requests are
// sent to the upstreams there until an operator ends it. Tests of the state, an
// entry's choice and the leader's decisions, in simulated time.
#include <algorithm>
#include <map>

#include <gtest/gtest.h>

#include "gateway/key_spans.h"
#include "gateway/slot_broker.h"
#include "testing/simulated_leader.h"

namespace rattandyke::gateway {
namespace {

using namespace testing; // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

constexpr std::chrono::seconds kEvacuation{ 5 };
constexpr milliseconds kWarmUp{ 3000 };

wire::GatewayCommand
EvacuationCommand(const std::string& aDataCentre, bool aEnds)
{
  wire::GatewayCommand command;
  command.mutable_evacuate_data_centre()->set_data_centre(aDataCentre);
  command.mutable_evacuate_data_centre()->set_ends(aEnds);
  return command;
}

wire::GatewayCommand
PutService(const std::string& aName, bool aOwnsKeys)
{
  wire::GatewayCommand command;
  wire::ServiceItem* service = command.mutable_change_items()->add_services();
  service->set_name(aName);
  service->set_owns_keys(aOwnsKeys);
  service->set_cold_ms(kWarmUp.count());
  service->set_cold_rate(6);
  service->set_version(2);
  service->set_source(aName + "2");
  return command;
}

wire::GatewayCommand
PutUpstream(const std::string& aId,
            const std::string& aService,
            const std::string& aDataCentre)
{
  wire::GatewayCommand command;
  wire::UpstreamInstance* instance =
    command.mutable_put_instance()->mutable_instance();
  instance->set_id(aId);
  instance->set_service(aService);
  instance->set_address("10.0.0.1:80");
  instance->set_data_centre(aDataCentre);
  instance->set_slots(3);
  return command;
}

/// The state and upstreams as known to an entry host.
class EntryView
{
public:
  EntryView()
    : set(1, { std::chrono::seconds{ 2 }, kEvacuation, 1.5, 8, "e", {} })
  {
    Apply(PutService("desk", false));
    Apply(PutService("board", true));
  }

  void Apply(const wire::GatewayCommand& aCommand)
  {
    ASSERT_TRUE(state.Apply(aCommand, LogIndex{ ++index }));
    set.Update(state, now);
  }

  bool CanChoose(const std::string& aService)
  {
    const auto outcome =
      set.Choose(aService, 0, {}, DataCentre{ "west" }, 1, now);
    return std::holds_alternative<UpstreamSet::Choice>(outcome);
  }

  Instant now{ std::chrono::hours{ 1 } };
  uint64_t index = 0;
  State state;
  UpstreamSet set;
};

TEST(Evacuation, IsSavedWithTheState)
{
  State state;
  ASSERT_TRUE(state.Apply(EvacuationCommand("west", false), LogIndex{ 1 }));
  ASSERT_TRUE(state.Apply(EvacuationCommand("west", false), LogIndex{ 2 }));
  ASSERT_TRUE(state.Apply(EvacuationCommand("east", true), LogIndex{ 3 }));
  State loaded;
  loaded.Load(state.Save());
  EXPECT_TRUE(loaded.IsEvacuated("west"));
  EXPECT_FALSE(loaded.IsEvacuated("east"));
  ASSERT_TRUE(loaded.Apply(EvacuationCommand("west", true), LogIndex{ 4 }));
  EXPECT_FALSE(loaded.IsEvacuated("west"));
}

// A request without a key arrives after the start of the evacuation. It must be
// sent to another data centre, and be refused if none is left: it must not wait
// for an upstream that gets no requests.
TEST(Evacuation, RequestsWithoutAKeyUseOtherDataCentresAtOnce)
{
  EntryView entry;
  entry.Apply(PutUpstream("a", "desk", "west"));
  entry.Apply(PutUpstream("b", "desk", "east"));
  entry.Apply(EvacuationCommand("west", false));
  for (int request = 0; request < 20; ++request) {
    const auto outcome =
      entry.set.Choose("desk", 0, {}, DataCentre{ "west" }, 1, entry.now);
    EXPECT_EQ(std::get<UpstreamSet::Choice>(outcome).instance, "b");
  }
  EXPECT_EQ(entry.set.UsableAddress("a", entry.now), "");
  entry.Apply(EvacuationCommand("east", false));
  EXPECT_FALSE(entry.CanChoose("desk"));
  EXPECT_FALSE(entry.set.CanServe("desk"));
  entry.Apply(EvacuationCommand("east", true));
  EXPECT_TRUE(entry.CanChoose("desk"));
}

// The owner of a key is in the evacuated data centre. It continues to serve the
// key until that has another owner, but no longer than a part of the evacuation
// timeout.
TEST(Evacuation, OwnerServesItsKeysForPartOfTheTimeout)
{
  EntryView entry;
  entry.Apply(PutUpstream("a", "board", "west"));
  entry.Apply(PutUpstream("b", "board", "east"));
  wire::GatewayCommand grant;
  grant.mutable_grant_ranges()->set_service("board");
  grant.mutable_grant_ranges()->set_holder("a");
  wire::KeyRange* range = grant.mutable_grant_ranges()->add_ranges();
  range->set_to(kMaxKey);
  entry.Apply(grant);
  entry.Apply(EvacuationCommand("west", false));
  EXPECT_EQ(entry.set.OwnerOf(entry.state, "board", 7, entry.now), "a");
  entry.now += milliseconds{ kEvacuation } / 2;
  EXPECT_EQ(entry.set.OwnerOf(entry.state, "board", 7, entry.now), "");
  const auto outcome = entry.set.ChooseOne("a", 1, entry.now);
  EXPECT_TRUE(std::holds_alternative<UpstreamSet::UnavailableReason>(outcome));
}

// Upstreams may have become cold before the end of the evacuation, and report
// it only with their next heartbeats. Until then they are assumed to be cold.
TEST(Evacuation, UpstreamsAreAssumedColdAfterItsEnd)
{
  EntryView entry;
  entry.Apply(PutUpstream("a", "desk", "west"));
  entry.Apply(PutUpstream("b", "desk", "east"));
  entry.Apply(EvacuationCommand("west", false));
  entry.Apply(EvacuationCommand("west", true));
  EXPECT_TRUE(entry.set.IsCold("a", entry.now));
  EXPECT_FALSE(entry.set.IsCold("b", entry.now));
  EXPECT_FALSE(entry.set.IsCold("a", entry.now + kWarmUp));
}

class EvacuatedKeys : public ::testing::Test
{
protected:
  EvacuatedKeys()
  {
    leader.Commit({ PutService("board", true) });
    for (uint64_t sequence = 1; sequence <= 8; ++sequence) {
      SendHeartbeats(sequence);
    }
  }

  /// Sends one heartbeat of each upstream, which reports the release of the
  /// keys that its last answer left out.
  void SendHeartbeats(uint64_t aSequence)
  {
    for (const char* id : { "a", "b", "c" }) {
      Heartbeat heartbeat = HeartbeatFrom(id, aSequence);
      heartbeat.dataCentre = id == std::string("a") ? "west" : "east";
      const auto held = mHeld[id];
      for (const KeySpan& keys : mReleased[id]) {
        heartbeat.released.push_back({ keys, "handover" });
      }
      mReleased[id].clear();
      const auto grants = leader.HandleHeartbeat(heartbeat);
      if (grants) {
        std::vector<KeySpan> now;
        for (const GrantedRange& range : grants->ranges) {
          now.push_back(range.keys);
        }
        for (const KeySpan& keys : held) {
          const bool kept =
            std::any_of(now.begin(), now.end(), [&](KeySpan aKeys) {
              return Intersect(aKeys, keys).has_value();
            });
          if (!kept) {
            mReleased[id].push_back(keys);
          }
        }
        mHeld[id] = now;
      }
      leader.AdvanceTime(kHeartbeatInterval / 3);
    }
  }

  uint32_t KeysOwnedBy(const std::string& aId) const
  {
    uint32_t keys = 0;
    for (const auto& segment : leader.state.Ranges("board")->Segments()) {
      keys += segment.holder() == aId ? segment.to() - segment.from() + 1 : 0;
    }
    return keys;
  }

  SimulatedLeader leader;
  std::map<std::string, std::vector<KeySpan>> mHeld;
  std::map<std::string, std::vector<KeySpan>> mReleased;
};

// After the start of the evacuation, the answers to the owner there leave out
// its keys; it releases them, and the other upstreams own them well within the
// evacuation timeout.
TEST_F(EvacuatedKeys, AreHandedOver)
{
  ASSERT_GT(KeysOwnedBy("a"), 0U);
  leader.Commit({ EvacuationCommand("west", false) });
  for (uint64_t sequence = 9; sequence <= 12; ++sequence) {
    SendHeartbeats(sequence);
  }
  EXPECT_EQ(KeysOwnedBy("a"), 0U);
  EXPECT_EQ(KeysOwnedBy("b") + KeysOwnedBy("c"), kKeyCount);
}

// The leader is lost just after the start of the evacuation; its successor must
// continue it.
TEST_F(EvacuatedKeys, AreHandedOverAfterAFailover)
{
  leader.Commit({ EvacuationCommand("west", false) });
  leader.FailOver();
  for (uint64_t sequence = 9; sequence <= 13; ++sequence) {
    SendHeartbeats(sequence);
  }
  EXPECT_EQ(KeysOwnedBy("a"), 0U);
}

// All data centres are evacuated. The keys stay where they are, and no owner is
// made to release keys that no other upstream can own.
TEST_F(EvacuatedKeys, StayIfNoOtherOwnerIsLeft)
{
  leader.Commit(
    { EvacuationCommand("west", false), EvacuationCommand("east", false) });
  for (uint64_t sequence = 9; sequence <= 12; ++sequence) {
    SendHeartbeats(sequence);
  }
  EXPECT_EQ(KeysOwnedBy("a") + KeysOwnedBy("b") + KeysOwnedBy("c"), kKeyCount);
}

} // namespace
} // namespace rattandyke::gateway
