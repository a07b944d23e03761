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
  // Upstreams in other languages compute the same; XXH64("") is fixed.
  EXPECT_EQ(SlotOf("", 256), Slot{ 0xef });
  EXPECT_EQ(SlotOf("", 16), Slot{ 0xe });
}

// A host was told of version 12 and then gets a repeated or delayed message
// about versions 10 to 11. Applying it would bring back an owner that was
// replaced, and requests would run at two places.
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

// A message is lost, and the next one begins after it. Without the lost
// changes the table would name owners that were revoked in between.
TEST(RoutingTable, RefusesUpdateAfterGap)
{
  EXPECT_FALSE(BaseTable()->Apply(UpdateOf(11, 12)));
}

// The leader answers a heartbeat that named an older version than the host has
// by now. The update begins earlier but ends later, and holds final states.
TEST(RoutingTable, AppliesOverlappingUpdate)
{
  wire::TableUpdate update = UpdateOf(4, 15);
  *update.add_owners() = SlotOwnerOf(0, "two", 15);
  const auto table = BaseTable()->Apply(update);
  ASSERT_TRUE(table);
  EXPECT_EQ(table->Version(), TableVersion{ 15 });
}

// Between release and grant of a move nobody owns the slot. A request then has
// to wait or be refused; the last owner may still be finishing old work.
TEST(RoutingTable, ReleasedSlotHasNoOwner)
{
  wire::TableUpdate update = UpdateOf(10, 11);
  for (uint32_t slot = 0; slot < kSlots; ++slot) {
    *update.add_owners() = SlotOwnerOf(slot, "", 11);
  }
  const auto table = BaseTable()->Apply(update);
  EXPECT_EQ(OwnerName(*table, "any"), "");
}

// An upstream's lease is over but its slots are not yet released. It may be
// frozen; when it returns it must not find new requests waiting.
TEST(RoutingTable, LostUpstreamIsNotAnOwner)
{
  wire::TableUpdate update = UpdateOf(10, 11);
  *update.add_upstreams() = UpstreamOf("one", wire::UPSTREAM_STATE_LOST);
  EXPECT_EQ(OwnerName(*BaseTable()->Apply(update), "any"), "");
}

TEST(RoutingTable, DrainingUpstreamServesUntilItsSlotsMove)
{
  wire::TableUpdate update = UpdateOf(10, 11);
  *update.add_upstreams() = UpstreamOf("one", wire::UPSTREAM_STATE_DRAINING);
  EXPECT_EQ(OwnerName(*BaseTable()->Apply(update), "any"), "one");
}

// A hot key moves away from "one", which keeps the slot and the slot's fence.
// A host with an older table still sends the key to "one" under that fence, so
// "one" has to be told that this key is not its own any more.
TEST(RoutingTable, HotKeyIsTakenOutOfItsSlotsGrant)
{
  wire::TableUpdate update = UpdateOf(10, 11);
  *update.add_owners() = KeyOwnerOf("hot", "two", 11);
  ChangedGrants touched;
  const auto table = BaseTable()->Apply(update, &touched);
  EXPECT_EQ(OwnerName(*table, "hot"), "two");
  EXPECT_EQ(touched.upstreams.size(), 2U);

  const auto ofTwo = table->GrantsOf("board", "two");
  ASSERT_EQ(ofTwo.size(), 1U);
  EXPECT_EQ(ofTwo[0].key(), "hot");
  EXPECT_EQ(ofTwo[0].fence(), 11U);
  const auto ofOne = table->GrantsOf("board", "one");
  ASSERT_EQ(ofOne.size(), kSlots + 1);
  EXPECT_EQ(ofOne.back().key(), "hot");
  EXPECT_EQ(ofOne.back().fence(), 0U);
}

TEST(RoutingTable, RemovedHotKeyFallsBackToItsSlot)
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

// A newer host's operator submits a service record in a form that this version
// does not know. Half applying it, or dropping the service, would fail callers;
// the newest form that is understood stays in force.
TEST(RoutingTable, UnknownNewerFormHasNoEffect)
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

TEST(RoutingTable, BanEndsByTimeOrLifting)
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

// Tables share chunks between versions. A change that leaked into an older
// version would give two hosts at the same version different owners.
RC_GTEST_PROP(RoutingTableProperty, DeltasGiveTheCompleteTable, ())
{
  const auto changes = *rc::gen::container<std::vector<Change>>(AnyChange());
  std::map<uint32_t, wire::SlotOwner> model;
  auto table = BaseTable();
  std::vector<std::shared_ptr<const RoutingTable>> versions{ table };
  std::vector<size_t> owned{ kSlots };
  uint64_t version = 10;
  for (const Change& change : changes) {
    wire::TableUpdate update = UpdateOf(version, version + 1);
    ++version;
    *update.add_owners() = SlotOwnerOf(change.slot, change.upstream, version);
    model[change.slot] = update.owners(0);
    table = table->Apply(update);
    versions.push_back(table);
    owned.push_back(table->GrantsOf("board", "one").size());
  }
  for (size_t i = 0; i < versions.size(); ++i) {
    RC_ASSERT(versions[i]->GrantsOf("board", "one").size() == owned[i]);
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
