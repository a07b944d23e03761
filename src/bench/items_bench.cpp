/// Figures of what a change of the configuration costs each host.
#include <algorithm>
#include <chrono>

#include "allocation/allocation_counter.h"
#include "bench/bench.h"
#include "gateway/outgoing_frame.h"
#include "gateway/route_table.h"
#include "gateway/state.h"
#include "testing/large_change.h"

namespace rattandyke::bench {
namespace {

constexpr size_t kRoutes = 1400;
/// Of one route among 1,400; more would show that a change costs what stands
/// beside it again.
constexpr uint64_t kMostAllocations = 60;
/// Names and paths that are random letters hold 16; three times that would
/// keep a link of 2 Mbit/s busy for a quarter of a second.
constexpr double kMostBytesPerRoute = 40;
constexpr int kRounds = 5;

struct Entry
{
  gateway::State state;
  gateway::RouteTable routes;
  uint64_t index = 0;

  void Take(const wire::ChangeItems& aChange)
  {
    wire::GatewayCommand command;
    *command.mutable_change_items() = aChange;
    static_cast<void>(state.Apply(command, LogIndex{ ++index }));
    routes.Update(state.Items(), command.change_items());
  }
};

/// @return bytes that a change takes on the link to an entry host, a route.
double
PackedBytesPerRoute(const wire::ChangeItems& aChange)
{
  wire::GatewayFrame frame;
  *frame.mutable_feed_command()->mutable_command()->mutable_change_items() =
    aChange;
  gateway::OutgoingFrame outgoing(frame);
  return static_cast<double>(outgoing.Compressed().size()) /
         aChange.routes_size();
}

double
MsOfTaking(const wire::ChangeItems& aChange)
{
  double best = 1e9;
  for (int round = 0; round < kRounds; ++round) {
    Entry entry;
    const auto began = std::chrono::steady_clock::now();
    entry.Take(aChange);
    const std::chrono::duration<double, std::milli> took =
      std::chrono::steady_clock::now() - began;
    best = std::min(best, took.count());
  }
  return best;
}

void
RunItems(Reporter& aReporter)
{
  wire::ChangeItems large = testing::LargeChange(kRoutes);
  large.add_services()->set_name("desk");
  aReporter.Printed("items_large_change_time", MsOfTaking(large), "ms");
  wire::ChangeItems tenfold = testing::LargeChange(10 * kRoutes);
  tenfold.add_services()->set_name("desk");
  aReporter.Printed("items_tenfold_change_time", MsOfTaking(tenfold), "ms");
  aReporter.AtMost("items_packed_bytes_per_route",
                   PackedBytesPerRoute(large),
                   "bytes",
                   kMostBytesPerRoute);

  Entry entry;
  entry.Take(large);
  wire::ChangeItems one;
  *one.add_routes() = large.routes(0);
  one.mutable_routes(0)->set_version(2);
  const auto count = allocation::During([&] { entry.Take(one); });
  aReporter.AtMost("items_one_route_allocations",
                   static_cast<double>(count.allocations),
                   "count",
                   kMostAllocations);
}

const Registration sItems("items", RunItems);

} // namespace
} // namespace rattandyke::bench
