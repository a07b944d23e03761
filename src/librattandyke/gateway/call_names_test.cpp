#include "gateway/call_names.h"

#include <gtest/gtest.h>

#include "base/identifier.h"
#include "gateway/state.h"

namespace rattandyke::gateway {
namespace {

const std::string kLatin1 = "d\xe9p\xf4t-1";

Heartbeat
ValidHeartbeat()
{
  Heartbeat heartbeat;
  heartbeat.instance = "i-1";
  heartbeat.service = "desk";
  heartbeat.address = "127.0.0.1:1";
  heartbeat.dataCentre = "north";
  return heartbeat;
}

wire::ChangeItems
ValidChange()
{
  wire::ChangeItems change;
  wire::RouteItem* route = change.add_routes();
  route->set_name("r-1");
  route->set_host("app.example");
  route->set_prefix("/desk/");
  route->add_parts()->set_service("desk");
  change.add_services()->set_name("desk");
  change.add_dropped_routes()->set_name("r-0");
  change.add_dropped_services()->set_name("old");
  return change;
}

// Guards against an id that is acknowledged and that no entry host can read.
TEST(CallNames, HeartbeatWithAnIdThatIsNoTextIsRefused)
{
  Heartbeat heartbeat = ValidHeartbeat();
  heartbeat.instance = kLatin1;
  const Result<void> checked = CheckNames(heartbeat);
  ASSERT_FALSE(checked);
  EXPECT_EQ(checked.error().code, Code::InvalidRecord);
  EXPECT_NE(checked.error().message.find("'id'"), std::string::npos);
  EXPECT_NE(checked.error().message.find("offset 1"), std::string::npos);
}

TEST(CallNames, ProperCallsAreTaken)
{
  const std::vector<ControlCall> calls{ ValidHeartbeat(),
                                        Deregistration{ "i-1", 0 },
                                        ValidChange(),
                                        Evacuation{ DataCentre{ "north" } },
                                        ReadItems{} };
  for (const ControlCall& call : calls) {
    EXPECT_TRUE(CheckNames(call)) << call.index();
  }
}

TEST(CallNames, EachNameIsChecked)
{
  std::vector<ControlCall> calls;
  const auto addHeartbeat = [&](auto aChange) {
    Heartbeat heartbeat = ValidHeartbeat();
    aChange(heartbeat);
    calls.emplace_back(heartbeat);
  };
  addHeartbeat([](Heartbeat& aBeat) { aBeat.service = kLatin1; });
  addHeartbeat([](Heartbeat& aBeat) { aBeat.address = kLatin1; });
  addHeartbeat([](Heartbeat& aBeat) { aBeat.dataCentre = kLatin1; });
  addHeartbeat([](Heartbeat& aBeat) { aBeat.version = kLatin1; });
  addHeartbeat(
    [](Heartbeat& aBeat) { aBeat.instance = std::string(257, 'i'); });
  addHeartbeat([](Heartbeat& aBeat) {
    aBeat.released.push_back({ {}, kLatin1 });
  });
  const auto addChange = [&](auto aChange) {
    wire::ChangeItems change = ValidChange();
    aChange(change);
    calls.emplace_back(change);
  };
  addChange([](auto& aSet) { aSet.mutable_routes(0)->set_name(kLatin1); });
  addChange([](auto& aSet) { aSet.mutable_routes(0)->set_host("a\nb"); });
  addChange([](auto& aSet) { aSet.mutable_routes(0)->set_prefix(kLatin1); });
  addChange([](auto& aSet) {
    aSet.mutable_routes(0)->mutable_parts(0)->set_service(kLatin1);
  });
  addChange([](auto& aSet) { aSet.mutable_services(0)->set_name(kLatin1); });
  addChange(
    [](auto& aSet) { aSet.mutable_services(0)->set_health_path(kLatin1); });
  addChange(
    [](auto& aSet) { aSet.mutable_dropped_routes(0)->set_name(kLatin1); });
  addChange(
    [](auto& aSet) { aSet.mutable_dropped_services(0)->set_name(kLatin1); });
  calls.emplace_back(Deregistration{ kLatin1, 0 });
  calls.emplace_back(Evacuation{ DataCentre{ kLatin1 } });
  for (const ControlCall& call : calls) {
    EXPECT_FALSE(CheckNames(call)) << call.index();
  }
}

// Guards against a state that can't be loaded since an earlier build stored an
// id that is no text: the state is whole, and forgets it like any other.
TEST(CallNames, StateOfAnEarlierBuildLoadsWithAnyId)
{
  State state;
  wire::GatewayCommand put;
  put.mutable_put_instance()->mutable_instance()->set_id(kLatin1);
  ASSERT_TRUE(state.Apply(put, LogIndex{ 1 }));
  wire::GatewayCommand change;
  *change.mutable_change_items() = ValidChange();
  change.mutable_change_items()->mutable_services(0)->set_version(1);
  static_cast<void>(state.Apply(change, LogIndex{ 2 }));
  wire::GatewayState saved;
  ASSERT_TRUE(saved.ParseFromString(state.Save().SerializeAsString()));
  State loaded;
  loaded.Load(saved);
  EXPECT_EQ(loaded.AppliedIndex(), LogIndex{ 2 });
  ASSERT_NE(loaded.FindInstance(kLatin1), nullptr);
  wire::GatewayCommand end;
  end.mutable_end_instance()->set_id(kLatin1);
  end.mutable_end_instance()->set_forgotten(true);
  ASSERT_TRUE(loaded.Apply(end, LogIndex{ 3 }));
  EXPECT_EQ(loaded.FindInstance(kLatin1), nullptr);
}

} // namespace
} // namespace rattandyke::gateway
