#include "gateway/item_table.h"

#include <algorithm>
#include <set>
#include <utility>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace rattandyke::gateway {
namespace {

wire::ServiceItem
Service(const std::string& aName, uint64_t aVersion = 1)
{
  wire::ServiceItem service;
  service.set_name(aName);
  service.set_version(aVersion);
  service.set_source(aName + std::to_string(aVersion));
  return service;
}

wire::RouteItem
MakeRoute(const std::string& aName,
          uint64_t aVersion,
          const std::string& aContents = "a")
{
  wire::RouteItem route;
  route.set_name(aName);
  route.set_host("board.example");
  route.set_prefix("/" + aName + "/");
  route.set_timeout_ms(1000);
  route.set_max_attempts(2);
  route.set_version(aVersion);
  route.set_source(aContents + std::to_string(aVersion));
  wire::RoutePart* part = route.add_parts();
  part->set_service("board");
  part->set_weight(1);
  return route;
}

wire::ChangeItems
Change(const std::vector<wire::RouteItem>& aRoutes)
{
  wire::ChangeItems change;
  *change.add_services() = Service("board");
  for (const wire::RouteItem& route : aRoutes) {
    *change.add_routes() = route;
  }
  return change;
}

wire::ChangeItems
DropRoute(const std::string& aName, uint64_t aVersion)
{
  wire::ChangeItems change;
  wire::DroppedItem* drop = change.add_dropped_routes();
  drop->set_name(aName);
  drop->set_version(aVersion);
  return change;
}

/// @return whether the change was taken.
bool
CheckAndApply(ItemTable& aItems, const wire::ChangeItems& aChange)
{
  if (!aItems.Check(aChange)) {
    return false;
  }
  aItems.Apply(aChange);
  return true;
}

Code
CodeOf(const ItemTable& aItems, const wire::ChangeItems& aChange)
{
  const Result<void> allowed = aItems.Check(aChange);
  return allowed ? Code::Ok : allowed.error().code;
}

TEST(ItemTable, SameChangeAgainIsAcceptedAndChangesNothing)
{
  ItemTable items;
  ASSERT_TRUE(CheckAndApply(items, Change({ MakeRoute("hire", 7) })));
  EXPECT_TRUE(CheckAndApply(items, Change({ MakeRoute("hire", 7) })));
  EXPECT_EQ(items.Routes().at("hire").version(), 7U);
}

// An operator resends a change whose answer was lost. Meanwhile another has
// sent a newer one. The resent one must not be refused, since it was accepted
// once, and must not bring the older item back.
TEST(ItemTable, OvertakenChangeIsAcceptedAndChangesNothing)
{
  ItemTable items;
  ASSERT_TRUE(CheckAndApply(items, Change({ MakeRoute("hire", 7) })));
  ASSERT_TRUE(CheckAndApply(items, Change({ MakeRoute("hire", 9, "b") })));
  EXPECT_TRUE(CheckAndApply(items, Change({ MakeRoute("hire", 7) })));
  EXPECT_EQ(items.Routes().at("hire").source(), "b9");
}

// Two operators send different contents under one version, to two hosts. One
// is accepted; the other must be told, or it would believe its own in force.
TEST(ItemTable, SameVersionWithOtherContentsIsRefused)
{
  ItemTable items;
  ASSERT_TRUE(CheckAndApply(items, Change({ MakeRoute("hire", 7, "a") })));
  EXPECT_EQ(CodeOf(items, Change({ MakeRoute("hire", 7, "b") })),
            Code::RevisionConflict);
  EXPECT_EQ(items.Routes().at("hire").source(), "a7");
}

// A change that was held up arrives after its item was dropped. The dropped
// item must not come back.
TEST(ItemTable, DroppedItemDoesNotComeBack)
{
  ItemTable items;
  ASSERT_TRUE(CheckAndApply(items, Change({ MakeRoute("hire", 7) })));
  ASSERT_TRUE(CheckAndApply(items, DropRoute("hire", 9)));
  EXPECT_TRUE(CheckAndApply(items, Change({ MakeRoute("hire", 8) })));
  EXPECT_FALSE(items.Routes().contains("hire"));
  EXPECT_TRUE(CheckAndApply(items, Change({ MakeRoute("hire", 10) })));
  EXPECT_TRUE(items.Routes().contains("hire"));
}

TEST(ItemTable, DropOfANameThatNeverWasKeepsLaterOlderItemsOut)
{
  ItemTable items;
  ASSERT_TRUE(CheckAndApply(items, DropRoute("hire", 5)));
  EXPECT_TRUE(CheckAndApply(items, Change({ MakeRoute("hire", 4) })));
  EXPECT_FALSE(items.Routes().contains("hire"));
}

TEST(ItemTable, InvalidItemRefusesTheWholeCall)
{
  const auto invalid = [](auto aSpoil) {
    wire::RouteItem bad = MakeRoute("bad", 2);
    aSpoil(bad);
    ItemTable items;
    EXPECT_EQ(CodeOf(items, Change({ MakeRoute("good", 2), bad })),
              Code::InvalidRecord);
  };
  invalid([](wire::RouteItem& aRoute) { aRoute.set_max_attempts(0); });
  invalid([](wire::RouteItem& aRoute) { aRoute.clear_host(); });
  invalid([](wire::RouteItem& aRoute) { aRoute.set_prefix("/bad"); });
  invalid([](wire::RouteItem& aRoute) { aRoute.set_timeout_ms(0); });
  invalid(
    [](wire::RouteItem& aRoute) { aRoute.mutable_parts(0)->set_weight(-1); });
  invalid(
    [](wire::RouteItem& aRoute) { aRoute.mutable_parts(0)->set_weight(0); });
  invalid([](wire::RouteItem& aRoute) {
    aRoute.mutable_parts(0)->set_service("nobody");
  });
  invalid([](wire::RouteItem& aRoute) { aRoute.set_prefix("/good/"); });
}

TEST(ItemTable, ServiceInUseCannotBeDropped)
{
  ItemTable items;
  ASSERT_TRUE(CheckAndApply(items, Change({ MakeRoute("hire", 2) })));
  wire::ChangeItems change;
  wire::DroppedItem* drop = change.add_dropped_services();
  drop->set_name("board");
  drop->set_version(9);
  EXPECT_EQ(CodeOf(items, change), Code::InvalidRecord);
}

TEST(ItemTable, SavedItemsAreLoadedWithTheirDrops)
{
  ItemTable items;
  ASSERT_TRUE(CheckAndApply(
    items, Change({ MakeRoute("hire", 2), MakeRoute("log", 3) })));
  ASSERT_TRUE(CheckAndApply(items, DropRoute("log", 4)));
  wire::GatewayState saved;
  items.Save(saved);
  ItemTable loaded;
  loaded.Load(saved);
  EXPECT_TRUE(loaded.Routes().contains("hire"));
  EXPECT_TRUE(CheckAndApply(loaded, Change({ MakeRoute("log", 3) })));
  EXPECT_FALSE(loaded.Routes().contains("log"));
}

// Hosts may hear of changes in any order and more than once. Whatever the
// order, the newest version of each item must be what stands.
RC_GTEST_PROP(ItemTable, NewestVersionStandsInAnyOrder, ())
{
  const auto versions =
    *rc::gen::nonEmpty(rc::gen::container<std::vector<uint64_t>>(
      rc::gen::inRange<uint64_t>(1, 12)));
  const auto drops = *rc::gen::container<std::vector<bool>>(
    versions.size(), rc::gen::arbitrary<bool>());
  ItemTable items;
  std::map<uint64_t, bool> taken;
  for (size_t i = 0; i < versions.size(); ++i) {
    // A version stands for one content only.
    const bool drop = taken.try_emplace(versions[i], drops[i]).first->second;
    RC_ASSERT(CheckAndApply(items,
                            drop ? DropRoute("hire", versions[i])
                                 : Change({ MakeRoute("hire", versions[i]) })));
  }
  const auto& [newest, dropped] = *taken.rbegin();
  RC_ASSERT(items.Routes().contains("hire") == !dropped);
  if (!dropped) {
    RC_ASSERT(items.Routes().at("hire").version() == newest);
  }
}

/// A change by few names, so that they meet in all ways.
rc::Gen<wire::ChangeItems>
AnyChange()
{
  return rc::gen::exec([] {
    const auto name = [](const char* aKind, int aNames) {
      return aKind + std::to_string(*rc::gen::inRange(0, aNames));
    };
    const auto version = [] { return *rc::gen::inRange<uint64_t>(1, 9); };
    wire::ChangeItems change;
    for (int i = *rc::gen::inRange(0, 3); i > 0; --i) {
      *change.add_services() = Service(name("service", 3), version());
    }
    for (int i = *rc::gen::inRange(0, 4); i > 0; --i) {
      const uint64_t number = version();
      wire::RouteItem* route = change.add_routes();
      *route = MakeRoute(name("route", 4), number);
      route->set_prefix("/" + name("", 3) + "/");
      route->mutable_parts(0)->set_service(name("service", 3));
      route->set_source(route->prefix() + route->parts(0).service());
    }
    for (int i = *rc::gen::inRange(0, 2); i > 0; --i) {
      wire::DroppedItem* drop = change.add_dropped_routes();
      drop->set_name(name("route", 4));
      drop->set_version(version());
    }
    if (*rc::gen::inRange(0, 4) == 0) {
      wire::DroppedItem* drop = change.add_dropped_services();
      drop->set_name(name("service", 3));
      drop->set_version(version());
    }
    return change;
  });
}

/// Looks at all items.
bool
AgreeAmongThemselves(const ItemTable& aItems)
{
  std::set<std::pair<std::string, std::string>> places;
  return std::all_of(
    aItems.Routes().begin(), aItems.Routes().end(), [&](const auto& aRoute) {
      const auto& [name, route] = aRoute;
      return places.emplace(route.host(), route.prefix()).second &&
             aItems.Services().contains(route.parts(0).service());
    });
}

// A change is checked against what it names, not against all items. Whatever
// came before, and after a restart from a saved state, it must be taken exactly
// if all items would agree among themselves afterwards: else a route without a
// service comes into force, or a proper change is refused.
RC_GTEST_PROP(ItemTable, ChangeIsTakenExactlyIfAllItemsAgreeAfterwards, ())
{
  ItemTable items;
  for (int i = *rc::gen::inRange(1, 25); i > 0; --i) {
    const wire::ChangeItems change = *AnyChange();
    ItemTable changed = items;
    changed.Apply(change);
    const Result<void> allowed = items.Check(change);
    if (allowed) {
      RC_ASSERT(AgreeAmongThemselves(changed));
      items.Apply(change);
    } else if (allowed.error().code == Code::InvalidRecord) {
      RC_ASSERT(!AgreeAmongThemselves(changed));
    }
    if (*rc::gen::inRange(0, 5) == 0) {
      wire::GatewayState saved;
      items.Save(saved);
      items.Load(saved);
    }
  }
}

// An operator names one route twice, at two places and with two versions. Of
// each name the highest version counts: the route is at its newer place only,
// and the older one is free.
TEST(ItemTable, RouteOfAHigherVersionLeavesItsOldPlace)
{
  ItemTable items;
  ASSERT_TRUE(items.CheckAndApply(Change({ MakeRoute("r", 18) })));
  wire::RouteItem moved = MakeRoute("r", 32);
  moved.set_prefix("/elsewhere/");
  ASSERT_TRUE(items.CheckAndApply(Change({ moved })));
  ASSERT_EQ(items.Routes().size(), 1U);
  EXPECT_EQ(items.Routes().at("r").prefix(), "/elsewhere/");
  EXPECT_EQ(items.Routes().at("r").version(), 32U);
  wire::RouteItem other = MakeRoute("other", 33);
  other.set_prefix("/r/");
  EXPECT_TRUE(items.Check(Change({ other })));
  other.set_prefix("/elsewhere/");
  EXPECT_FALSE(items.Check(Change({ other })));
}

// A change carries a route twice: an older version at the place of a route that
// stays, a newer one elsewhere. What results is valid. The place of the route
// that stays must still count as taken afterwards, or the next change puts two
// routes there and each host picks its own.
TEST(ItemTable, PlaceOfARouteThatStaysIsKeptThroughARepeatedName)
{
  ItemTable items;
  ASSERT_TRUE(CheckAndApply(items, Change({ MakeRoute("stays", 1) })));
  wire::RouteItem older = MakeRoute("moves", 2);
  older.set_prefix("/stays/");
  const wire::RouteItem newer = MakeRoute("moves", 3);
  ASSERT_TRUE(CheckAndApply(items, Change({ older, newer })));
  wire::RouteItem twin = MakeRoute("twin", 4);
  twin.set_prefix("/stays/");
  EXPECT_EQ(CodeOf(items, Change({ twin })), Code::InvalidRecord);
}

} // namespace
} // namespace rattandyke::gateway
