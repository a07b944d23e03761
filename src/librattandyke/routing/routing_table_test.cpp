#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

#include "routing/routing_table.h"

namespace rattandyke::routing {
namespace {

constexpr uint32_t kSlots = 8;

wire::Record
ServiceRecordOf(const std::string& aName, uint32_t aSchema = 1)
{
  wire::Record record;
  record.set_kind("service");
  record.set_name(aName);
  record.set_schema_version(aSchema);
  record.set_revision(1);
  record.set_body_json(R"({"prefix": "/)" + aName + R"(", "slots": 8})");
  return record;
}

wire::Upstream
UpstreamOf(const std::string& aName,
           wire::UpstreamState aState = wire::UPSTREAM_STATE_ACTIVE)
{
  wire::Upstream upstream;
  upstream.set_service("board");
  upstream.set_name(aName);
  upstream.set_incarnation(1);
  upstream.set_address("127.0.0.1:9000");
  upstream.set_slots(2);
  upstream.set_state(aState);
  return upstream;
}

wire::SlotOwner
SlotOwnerOf(uint32_t aSlot, const std::string& aUpstream, uint64_t aFence)
{
  wire::SlotOwner owner;
  owner.set_service("board");
  owner.set_slot(aSlot);
  owner.set_upstream(aUpstream);
  owner.set_fence(aFence);
  return owner;
}

wire::SlotOwner
KeyOwnerOf(const std::string& aKey,
           const std::string& aUpstream,
           uint64_t aFence)
{
  wire::SlotOwner owner = SlotOwnerOf(0, aUpstream, aFence);
  owner.set_key(aKey);
  return owner;
}

wire::TableUpdate
UpdateOf(uint64_t aFrom, uint64_t aTo)
{
  wire::TableUpdate update;
  update.set_from_version(aFrom);
  update.set_to_version(aTo);
  return update;
}

/// Service board at version 10; all of its slots are owned by "one".
std::shared_ptr<const RoutingTable>
BaseTable()
{
  wire::TableUpdate update = UpdateOf(0, 10);
  *update.add_records() = ServiceRecordOf("board");
  *update.add_upstreams() = UpstreamOf("one");
  *update.add_upstreams() = UpstreamOf("two");
  for (uint32_t slot = 0; slot < kSlots; ++slot) {
    *update.add_owners() = SlotOwnerOf(slot, "one", 9);
  }
  return RoutingTable().Apply(update);
}

std::string
OwnerName(const RoutingTable& aTable, std::string_view aKey)
{
  const auto* service = aTable.FindServiceByName("board");
  const Owner owner = aTable.FindOwner(*service, aKey);
  return owner.upstream != nullptr ? owner.upstream->name.value : "";
}

TEST(RoutingTable, FindsServiceByFirstSegment)
{
  const auto table = BaseTable();
  EXPECT_NE(table->FindServiceByPath("/board/7/hire"), nullptr);
  EXPECT_NE(table->FindServiceByPath("/board"), nullptr);
  EXPECT_EQ(table->FindServiceByPath("/boards/7"), nullptr);
  EXPECT_EQ(table->FindServiceByPath("/"), nullptr);
  EXPECT_EQ(table->FindServiceByPath(""), nullptr);
}

TEST(RoutingTable, SlotIsHighPartOfHash)
{
  // Upstreams in other languages compute the same slots, so the hash of a key
  // must not change. The expected values are the high bits of XXH64("").
  EXPECT_EQ(SlotOf("", 256), Slot{ 0xef });
  EXPECT_EQ(SlotOf("", 16), Slot{ 0xe });
}

// Failure: a host at version 12 receives a repeated or delayed update from
// version 10 to 11. Applying it would restore a replaced owner, and requests
// for one key would run on two upstreams.
TEST(RoutingTable, NeverGoesBack)
{
  const auto base = BaseTable();
  wire::TableUpdate older = UpdateOf(10, 11);
  *older.add_owners() = SlotOwnerOf(0, "two", 11);
  const auto newer = base->Apply(UpdateOf(10, 12));
  ASSERT_TRUE(newer);
  EXPECT_FALSE(newer->Apply(older));
  EXPECT_FALSE(newer->Apply(UpdateOf(0, 11)));
}

// Failure: an update is lost, and the next one starts after it. Without the
// lost changes the table would contain owners whose grants were revoked.
TEST(RoutingTable, RejectsUpdateAfterGap)
{
  EXPECT_FALSE(BaseTable()->Apply(UpdateOf(11, 12)));
}

// The leader answers a heartbeat with an older table version than the host has
// now. The update starts before that version, ends after it, and holds final
// states.
TEST(RoutingTable, AppliesOverlappingUpdate)
{
  wire::TableUpdate update = UpdateOf(4, 15);
  *update.add_owners() = SlotOwnerOf(0, "two", 15);
  const auto table = BaseTable()->Apply(update);
  ASSERT_TRUE(table);
  EXPECT_EQ(table->Version(), TableVersion{ 15 });
}

// While a slot moves, it has no owner between its release and the next grant.
// Requests must wait or be refused, as the previous owner may still be running
// earlier requests.
TEST(RoutingTable, ReleasedSlotHasNoOwner)
{
  wire::TableUpdate update = UpdateOf(10, 11);
  for (uint32_t slot = 0; slot < kSlots; ++slot) {
    *update.add_owners() = SlotOwnerOf(slot, "", 11);
  }
  const auto table = BaseTable()->Apply(update);
  EXPECT_EQ(OwnerName(*table, "any"), "");
}

// Failure: an upstream's lease has expired, but its slots are not released yet.
// The process may be suspended. When it resumes, no new requests may be waiting
// for it.
TEST(RoutingTable, LostUpstreamIsNotAnOwner)
{
  wire::TableUpdate update = UpdateOf(10, 11);
  *update.add_upstreams() = UpstreamOf("one", wire::UPSTREAM_STATE_LOST);
  EXPECT_EQ(OwnerName(*BaseTable()->Apply(update), "any"), "");
}

TEST(RoutingTable, DrainingUpstreamOwnsItsSlotsUntilTheyMove)
{
  wire::TableUpdate update = UpdateOf(10, 11);
  *update.add_upstreams() = UpstreamOf("one", wire::UPSTREAM_STATE_DRAINING);
  EXPECT_EQ(OwnerName(*BaseTable()->Apply(update), "any"), "one");
}

// A hot key moves away from "one", which keeps the slot and the slot's fence. A
// host with an older table still sends the key to "one" with that fence, so the
// grants of "one" list the key with fence 0.
TEST(RoutingTable, MovedHotKeyIsExcludedFromSlotGrant)
{
  wire::TableUpdate update = UpdateOf(10, 11);
  *update.add_owners() = KeyOwnerOf("hot", "two", 11);
  ChangedGrants changed;
  const auto table = BaseTable()->Apply(update, &changed);
  EXPECT_EQ(OwnerName(*table, "hot"), "two");
  EXPECT_EQ(changed.upstreams.size(), 2U);

  const auto grantsOfTwo = table->GrantsOf("board", "two");
  ASSERT_EQ(grantsOfTwo.size(), 1U);
  EXPECT_EQ(grantsOfTwo[0].key(), "hot");
  EXPECT_EQ(grantsOfTwo[0].fence(), 11U);
  const auto grantsOfOne = table->GrantsOf("board", "one");
  ASSERT_EQ(grantsOfOne.size(), kSlots + 1);
  EXPECT_EQ(grantsOfOne.back().key(), "hot");
  EXPECT_EQ(grantsOfOne.back().fence(), 0U);
}

TEST(RoutingTable, RemovedHotKeyIsOwnedBySlotOwner)
{
  wire::TableUpdate update = UpdateOf(10, 11);
  *update.add_owners() = KeyOwnerOf("hot", "two", 11);
  auto table = BaseTable()->Apply(update);
  update = UpdateOf(11, 12);
  *update.add_owners() = KeyOwnerOf("hot", "", 12);
  update.mutable_owners(0)->set_removed(true);
  table = table->Apply(update);
  EXPECT_EQ(OwnerName(*table, "hot"), "one");
  EXPECT_EQ(table->GrantsOf("board", "one").size(), kSlots);
}

// Failure: an operator of a newer host submits a service record with a schema
// that this version does not support. Applying it in part, or dropping the
// service, would fail callers. The newest supported record stays in force.
TEST(RoutingTable, UnsupportedRecordSchemaHasNoEffect)
{
  for (const uint64_t from : { 10, 0 }) {
    wire::TableUpdate update = UpdateOf(from, 11);
    *update.add_records() = ServiceRecordOf("board", 99);
    const auto table = BaseTable()->Apply(update);
    EXPECT_NE(table->FindServiceByPath("/board/7"), nullptr) << from;
  }
}

TEST(RoutingTable, DeletedServiceIsNotFound)
{
  wire::TableUpdate update = UpdateOf(10, 11);
  *update.add_records() = ServiceRecordOf("board");
  update.mutable_records(0)->set_deleted(true);
  EXPECT_EQ(BaseTable()->Apply(update)->FindServiceByPath("/board/7"), nullptr);
}

TEST(RoutingTable, BanEndsOnExpiryOrLift)
{
  wire::TableUpdate update = UpdateOf(10, 11);
  wire::Ban* ban = update.add_bans();
  ban->set_service("board");
  ban->set_fingerprint("ab12");
  ban->set_expires_unix_ms(1000);
  const auto table = BaseTable()->Apply(update);
  const WallTime before{ std::chrono::milliseconds(999) };
  const WallTime after{ std::chrono::milliseconds(1000) };
  EXPECT_NE(table->FindBan("board", "ab12", before), nullptr);
  EXPECT_EQ(table->FindBan("board", "ab12", after), nullptr);
  EXPECT_EQ(table->FindBan("board", "ab13", before), nullptr);
  update.set_from_version(11);
  update.set_to_version(12);
  update.mutable_bans(0)->set_lifted(true);
  EXPECT_EQ(table->Apply(update)->FindBan("board", "ab12", before), nullptr);
}

struct Change
{
  uint32_t slot = 0;
  std::string upstream;
};

rc::Gen<Change>
AnyChange()
{
  return rc::gen::build<Change>(
    rc::gen::set(&Change::slot, rc::gen::inRange<uint32_t>(0, 2000)),
    rc::gen::set(&Change::upstream,
                 rc::gen::element<std::string>("", "one", "two", "three")));
}

// Table versions share chunks. If a change also altered an older version, two
// hosts at the same version would have different owners for a slot.
RC_GTEST_PROP(RoutingTableProperty, UpdatesMatchModelAndKeepOlderVersions, ())
{
  const auto changes = *rc::gen::container<std::vector<Change>>(AnyChange());
  std::map<uint32_t, wire::SlotOwner> model;
  auto table = BaseTable();
  std::vector<std::shared_ptr<const RoutingTable>> versions{ table };
  std::vector<size_t> grantCounts{ kSlots };
  uint64_t version = 10;
  for (const Change& change : changes) {
    wire::TableUpdate update = UpdateOf(version, version + 1);
    ++version;
    *update.add_owners() = SlotOwnerOf(change.slot, change.upstream, version);
    model[change.slot] = update.owners(0);
    table = table->Apply(update);
    versions.push_back(table);
    grantCounts.push_back(table->GrantsOf("board", "one").size());
  }
  for (size_t i = 0; i < versions.size(); ++i) {
    RC_ASSERT(versions[i]->GrantsOf("board", "one").size() == grantCounts[i]);
  }
  for (const char* name : { "one", "two", "three" }) {
    std::map<uint32_t, uint64_t> expected;
    for (uint32_t slot = 0; slot < kSlots && name == std::string("one");
         ++slot) {
      expected[slot] = 9;
    }
    for (const auto& [slot, owner] : model) {
      expected.erase(slot);
      if (owner.upstream() == name) {
        expected[slot] = owner.fence();
      }
    }
    std::map<uint32_t, uint64_t> actual;
    for (const wire::SlotOwner& grant : table->GrantsOf("board", name)) {
      actual[grant.slot()] = grant.fence();
    }
    RC_ASSERT(actual == expected);
  }
}

} // namespace
} // namespace rattandyke::routing
