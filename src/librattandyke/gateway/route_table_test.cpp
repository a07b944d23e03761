#include "gateway/route_table.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace rattandyke::gateway {
namespace {

wire::RouteItem
Item(const std::string& aName,
     const std::string& aPrefix,
     uint64_t aVersion = 1)
{
  wire::RouteItem item;
  item.set_name(aName);
  item.set_host("h.example");
  item.set_prefix(aPrefix);
  item.set_timeout_ms(1000);
  item.set_max_attempts(1);
  item.set_version(aVersion);
  wire::RoutePart* part = item.add_parts();
  part->set_service(aName);
  part->set_weight(1);
  return item;
}

/// @return a table of routes whose services are not defined.
ItemTable
Items(const std::vector<wire::RouteItem>& aRoutes)
{
  wire::ChangeItems change;
  for (const wire::RouteItem& route : aRoutes) {
    *change.add_routes() = route;
  }
  ItemTable items;
  items.Apply(change);
  return items;
}

TEST(RouteTable, LongestMatchingPrefixOfTheHostWins)
{
  RouteTable table;
  table.Update(
    Items({ Item("all", "/"), Item("a", "/a/"), Item("ab", "/a/b/") }));
  EXPECT_EQ(table.Find("h.example", "/a/b/c")->name, "ab");
  EXPECT_EQ(table.Find("h.example", "/a/c")->name, "a");
  EXPECT_EQ(table.Find("h.example", "/ab")->name, "all");
  EXPECT_EQ(table.Find("other.example", "/a/"), nullptr);
}

TEST(RouteTable, DroppedRouteIsNotFound)
{
  RouteTable table;
  table.Update(Items({ Item("a", "/a/") }));
  table.Update(Items({ Item("b", "/b/") }));
  EXPECT_EQ(table.Find("h.example", "/a/x"), nullptr);
  EXPECT_NE(table.Find("h.example", "/b/x"), nullptr);
}

// Failure: requests are divided by weight only in the long-term average, or the
// change of another route resets the round-robin of this route.
TEST(RouteTable, EveryRunOfRequestsIsDividedByWeight)
{
  wire::RouteItem split = Item("s", "/s/");
  split.mutable_parts(0)->set_weight(90);
  wire::RoutePart* second = split.add_parts();
  second->set_service("t");
  second->set_weight(10);
  RouteTable table;
  table.Update(Items({ split }));
  int secondServiceRequests = 0;
  for (int request = 1; request <= 200; ++request) {
    table.Update(Items({ split, Item("x", "/x/", request) }));
    secondServiceRequests +=
      NextService(*table.Find("h.example", "/s/1")) == "t" ? 1 : 0;
    EXPECT_NEAR(secondServiceRequests, request * 0.1, 1.0);
  }
}

TEST(RouteTable, PartOfWeightZeroGetsNoRequests)
{
  wire::RouteItem split = Item("s", "/s/");
  wire::RoutePart* second = split.add_parts();
  second->set_service("t");
  second->set_weight(0);
  RouteTable table;
  table.Update(Items({ split }));
  for (int request = 0; request < 50; ++request) {
    EXPECT_EQ(NextService(*table.Find("h.example", "/s/1")), "s");
  }
}

// Failure: a path of 16,000 slashes costs one lookup per slash. Find must not
// look up prefixes that are longer than those of all routes.
TEST(RouteTable, LongPathIsCutToTheLongestPrefix)
{
  RouteTable table;
  table.Update(Items({ Item("a", "/a/") }));
  EXPECT_EQ(table.Find("h.example", std::string(16000, '/')), nullptr);
  EXPECT_EQ(table.Find("h.example", "/a/" + std::string(16000, '/'))->name,
            "a");
}

TEST(RouteTable, HostWithASlashMatchesNoRoute)
{
  RouteTable table;
  table.Update(Items({ Item("a", "/a/") }));
  EXPECT_EQ(table.Find("h.example/a/", "x"), nullptr);
  EXPECT_EQ(table.Find("h.example\n/a", "/"), nullptr);
  EXPECT_EQ(table.Find("", ""), nullptr);
}

// Failure: routes of one change take over each other's matches, and the update
// by changes loses a route. After each change, the updated table must find the
// same routes as a table built from all items.
RC_GTEST_PROP(RouteTable, UpdateByChangesEqualsFullUpdate, ())
{
  ItemTable items;
  RouteTable table;
  uint64_t version = 0;
  for (int i = *rc::gen::inRange(1, 15); i > 0; --i) {
    wire::ChangeItems change;
    ++version;
    for (int routes = *rc::gen::inRange(0, 4); routes > 0; --routes) {
      const std::string name(1, *rc::gen::inRange('a', 'e'));
      const std::string prefix =
        "/" + std::string(1, *rc::gen::inRange('p', 's')) + "/";
      *change.add_routes() = Item(name, prefix, version);
    }
    if (*rc::gen::arbitrary<bool>()) {
      wire::DroppedItem* drop = change.add_dropped_routes();
      drop->set_name(std::string(1, *rc::gen::inRange('a', 'e')));
      drop->set_version(version);
    }
    for (const wire::RouteItem& route : change.routes()) {
      change.add_services()->set_name(route.parts(0).service());
    }
    if (items.Check(change)) {
      items.Apply(change);
    }
    table.Update(items, change);
    RouteTable full;
    full.Update(items);
    for (char prefix = 'p'; prefix < 's'; ++prefix) {
      const std::string path = "/" + std::string(1, prefix) + "/x";
      const auto found = table.Find("h.example", path);
      const auto expected = full.Find("h.example", path);
      const bool same = found && expected && found->name == expected->name &&
                        found->version == expected->version;
      const bool neither = !found && !expected;
      RC_ASSERT(same != neither);
    }
  }
}

} // namespace
} // namespace rattandyke::gateway
