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

/// @return whether the change was applied.
bool
CheckAndApply(ItemTable& aItems, const wire::ChangeItems& aChange)
{
  if (!aItems.Check(aChange)) {
    return false;
  }
  aItems.Apply(aChange);
  return true;
}

/// @return the result code of Check.
Code
CodeOf(const ItemTable& aItems, const wire::ChangeItems& aChange)
{
  const Result<void> allowed = aItems.Check(aChange);
  return allowed ? Code::Ok : allowed.error().code;
}

TEST(ItemTable, RepeatedChangeIsAcceptedWithoutEffect)
{
  ItemTable items;
  ASSERT_TRUE(CheckAndApply(items, Change({ MakeRoute("hire", 7) })));
  EXPECT_TRUE(CheckAndApply(items, Change({ MakeRoute("hire", 7) })));
  EXPECT_EQ(items.Routes().at("hire").version(), 7U);
}

// Failure: an operator repeats a change whose answer was lost, after another
// operator has submitted a newer version. The repeated change is refused
// although it was accepted before, or it restores the older item.
TEST(ItemTable, SupersededChangeIsAcceptedWithoutEffect)
{
  ItemTable items;
  ASSERT_TRUE(CheckAndApply(items, Change({ MakeRoute("hire", 7) })));
  ASSERT_TRUE(CheckAndApply(items, Change({ MakeRoute("hire", 9, "b") })));
  EXPECT_TRUE(CheckAndApply(items, Change({ MakeRoute("hire", 7) })));
  EXPECT_EQ(items.Routes().at("hire").source(), "b9");
}

// Failure: two operators submit different contents under the same version, and
// both changes are accepted, although only one of them takes effect.
TEST(ItemTable, SameVersionWithOtherContentsIsRefused)
{
  ItemTable items;
  ASSERT_TRUE(CheckAndApply(items, Change({ MakeRoute("hire", 7, "a") })));
  EXPECT_EQ(CodeOf(items, Change({ MakeRoute("hire", 7, "b") })),
            Code::RevisionConflict);
  EXPECT_EQ(items.Routes().at("hire").source(), "a7");
}

// Failure: a delayed change arrives after its item was dropped at a higher
// version, and restores the item.
TEST(ItemTable, DelayedChangeDoesNotRestoreDroppedItem)
{
  ItemTable items;
  ASSERT_TRUE(CheckAndApply(items, Change({ MakeRoute("hire", 7) })));
  ASSERT_TRUE(CheckAndApply(items, DropRoute("hire", 9)));
  EXPECT_TRUE(CheckAndApply(items, Change({ MakeRoute("hire", 8) })));
  EXPECT_FALSE(items.Routes().contains("hire"));
  EXPECT_TRUE(CheckAndApply(items, Change({ MakeRoute("hire", 10) })));
  EXPECT_TRUE(items.Routes().contains("hire"));
}

TEST(ItemTable, DropOfUnknownNameBlocksOlderVersions)
{
  ItemTable items;
  ASSERT_TRUE(CheckAndApply(items, DropRoute("hire", 5)));
  EXPECT_TRUE(CheckAndApply(items, Change({ MakeRoute("hire", 4) })));
  EXPECT_FALSE(items.Routes().contains("hire"));
}

TEST(ItemTable, InvalidItemRefusesTheWholeChange)
{
  const auto expectInvalid = [](auto aInvalidate) {
    wire::RouteItem bad = MakeRoute("bad", 2);
    aInvalidate(bad);
    ItemTable items;
    EXPECT_EQ(CodeOf(items, Change({ MakeRoute("good", 2), bad })),
              Code::InvalidRecord);
  };
  expectInvalid([](wire::RouteItem& aRoute) { aRoute.set_max_attempts(0); });
  expectInvalid([](wire::RouteItem& aRoute) { aRoute.clear_host(); });
  expectInvalid([](wire::RouteItem& aRoute) { aRoute.set_prefix("/bad"); });
  expectInvalid([](wire::RouteItem& aRoute) { aRoute.set_timeout_ms(0); });
  expectInvalid(
    [](wire::RouteItem& aRoute) { aRoute.mutable_parts(0)->set_weight(-1); });
  expectInvalid(
    [](wire::RouteItem& aRoute) { aRoute.mutable_parts(0)->set_weight(0); });
  expectInvalid([](wire::RouteItem& aRoute) {
    aRoute.mutable_parts(0)->set_service("nobody");
  });
  expectInvalid([](wire::RouteItem& aRoute) { aRoute.set_prefix("/good/"); });
}

TEST(ItemTable, ReferencedServiceCannotBeDropped)
{
  ItemTable items;
  ASSERT_TRUE(CheckAndApply(items, Change({ MakeRoute("hire", 2) })));
  wire::ChangeItems change;
  wire::DroppedItem* drop = change.add_dropped_services();
  drop->set_name("board");
  drop->set_version(9);
  EXPECT_EQ(CodeOf(items, change), Code::InvalidRecord);
}

TEST(ItemTable, SaveAndLoadKeepItemsAndDrops)
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

// Failure: changes arrive out of order or more than once, and hosts end up with
// different versions of an item. The highest version must win in any order.
RC_GTEST_PROP(ItemTable, HighestVersionWinsInAnyOrder, ())
{
  const auto versions =
    *rc::gen::nonEmpty(rc::gen::container<std::vector<uint64_t>>(
      rc::gen::inRange<uint64_t>(1, 12)));
  const auto drops = *rc::gen::container<std::vector<bool>>(
    versions.size(), rc::gen::arbitrary<bool>());
  ItemTable items;
  std::map<uint64_t, bool> dropByVersion;
  for (size_t i = 0; i < versions.size(); ++i) {
    // Equal versions have equal contents.
    const bool drop =
      dropByVersion.try_emplace(versions[i], drops[i]).first->second;
    RC_ASSERT(CheckAndApply(items,
                            drop ? DropRoute("hire", versions[i])
                                 : Change({ MakeRoute("hire", versions[i]) })));
  }
  const auto& [newest, dropped] = *dropByVersion.rbegin();
  RC_ASSERT(items.Routes().contains("hire") == !dropped);
  if (!dropped) {
    RC_ASSERT(items.Routes().at("hire").version() == newest);
  }
}

/// Generates a change from a few names and versions, so that collisions are
/// frequent.
rc::Gen<wire::ChangeItems>
AnyChange()
{
  return rc::gen::exec([] {
    const auto name = [](const char* aPrefix, int aCount) {
      return aPrefix + std::to_string(*rc::gen::inRange(0, aCount));
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

/// @return whether all routes have different matches and reference existing
/// services. Checks all items, without the indexes of ItemTable.
bool
IsConsistent(const ItemTable& aItems)
{
  std::set<std::pair<std::string, std::string>> matches;
  return std::all_of(
    aItems.Routes().begin(), aItems.Routes().end(), [&](const auto& aRoute) {
      const auto& [name, route] = aRoute;
      return matches.emplace(route.host(), route.prefix()).second &&
             aItems.Services().contains(route.parts(0).service());
    });
}

// Failure: the indexes by which a change is checked go out of step with the
// items, after earlier changes or after loading a saved state. Then a route
// without a service is accepted, or a valid change is refused. A change without
// a version conflict must be accepted if and only if all items are consistent
// after it.
RC_GTEST_PROP(ItemTable, ChangeIsAcceptedIffTheResultIsConsistent, ())
{
  ItemTable items;
  for (int i = *rc::gen::inRange(1, 25); i > 0; --i) {
    const wire::ChangeItems change = *AnyChange();
    ItemTable changed = items;
    changed.Apply(change);
    const Result<void> allowed = items.Check(change);
    if (allowed) {
      RC_ASSERT(IsConsistent(changed));
      items.Apply(change);
    } else if (allowed.error().code == Code::InvalidRecord) {
      RC_ASSERT(!IsConsistent(changed));
    }
    if (*rc::gen::inRange(0, 5) == 0) {
      wire::GatewayState saved;
      items.Save(saved);
      items.Load(saved);
    }
  }
}

// Failure: a newer version of a route changes its prefix, and the old prefix
// stays taken, or the new one stays free.
TEST(ItemTable, NewVersionOfARouteReleasesItsOldMatch)
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

// Failure: a change contains a route twice, the older version with the match of
// another, unchanged route. Only the newer version takes effect, so the change
// is valid. The match of the unchanged route is then no longer indexed, and a
// later change gives it to a second route.
TEST(ItemTable, UnchangedRouteKeepsItsMatchWhenAChangeRepeatsAName)
{
  ItemTable items;
  ASSERT_TRUE(CheckAndApply(items, Change({ MakeRoute("stays", 1) })));
  wire::RouteItem older = MakeRoute("moves", 2);
  older.set_prefix("/stays/");
  const wire::RouteItem newer = MakeRoute("moves", 3);
  ASSERT_TRUE(CheckAndApply(items, Change({ older, newer })));
  wire::RouteItem duplicate = MakeRoute("duplicate", 4);
  duplicate.set_prefix("/stays/");
  EXPECT_EQ(CodeOf(items, Change({ duplicate })), Code::InvalidRecord);
}

} // namespace
} // namespace rattandyke::gateway
