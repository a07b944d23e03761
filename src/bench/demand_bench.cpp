/// Figures of what the shared demand costs the leader and the links.
#include <numeric>
#include <string>
#include <vector>

#include "bench/bench.h"
#include "gateway/demand_wire.h"
#include "gateway/outgoing_frame.h"
#include "gateway/range_assigner.h"

namespace rattandyke::bench {
namespace {

using scheduling::DemandTable;
using std::chrono::milliseconds;

constexpr uint32_t kOwners = 10'000;
constexpr uint32_t kKeysPerOwner = gateway::kKeyCount / kOwners;
/// Of 1,000 entry hosts together, 100,000 per second.
constexpr uint32_t kRequestsPerTick = 10'000;
/// No digest is made in the first three.
constexpr uint64_t kRounds = 53;
/// A digest every 200 ms takes at most a fortieth of a core.
constexpr double kMostRoundNanoseconds = 5'000'000;
/// A twentieth of a link with 1.7 Mbit/s, with a digest every 200 ms.
constexpr double kMostDigestBytes = 2125;

std::string
NameOf(uint32_t aNumber)
{
  return "board-" + std::to_string(100'000 + aNumber);
}

/// A leader with 10,000 owners of keys, all above half of their capacity.
class Leader
{
public:
  Leader()
    : mAssigner({ std::chrono::seconds{ 60 },
                  std::chrono::seconds{ 60 },
                  std::chrono::seconds{ 60 } })
  {
    wire::GatewayCommand items;
    wire::ServiceItem* service = items.mutable_change_items()->add_services();
    service->set_name("board");
    service->set_owns_keys(true);
    service->set_version(1);
    Apply(items);
    for (uint32_t number = 0; number < kOwners; ++number) {
      wire::GatewayCommand put;
      auto* instance = put.mutable_put_instance()->mutable_instance();
      instance->set_id(NameOf(number));
      instance->set_service("board");
      instance->set_slots(2);
      Apply(put);
      wire::GatewayCommand grant;
      grant.mutable_grant_ranges()->set_service("board");
      grant.mutable_grant_ranges()->set_holder(NameOf(number));
      wire::KeyRange* range = grant.mutable_grant_ranges()->add_ranges();
      range->set_from(number * kKeysPerOwner);
      range->set_to((number + 1) * kKeysPerOwner - 1);
      Apply(grant);
    }
    mAssigner.OnElected(mState, mNow);
    mTable.Start(1, mNow);
  }

  /// Counts the requests of a tick.
  void Tick()
  {
    wire::RangeLoad load;
    load.set_service("board");
    for (uint32_t request = 0; request < kRequestsPerTick; ++request) {
      load.add_buckets(request * 7 % (kOwners * kKeysPerOwner));
      load.add_requests(1);
    }
    mNow += gateway::RangeAssigner::kTick;
    mAssigner.AddLoad(load);
  }

  /// What a digest takes in addition to the work that is done without it.
  std::optional<DemandTable::Round> Round()
  {
    mAssigner.AddDemand(mState, mTable);
    mAssigner.AddDemand(mState, mTable);
    auto round =
      mTable.MakeRound(mAssigner.OwnerCapacities(mState, mNow), {}, mNow);
    if (round) {
      wire::GatewayFrame frame;
      *frame.mutable_demand_digest() = gateway::ToMessage(round->digest);
      KeepAlive(gateway::OutgoingFrame(frame).Compressed());
    }
    return round;
  }

  void FinishTick() { KeepAlive(mAssigner.Tick(mState, mNow)); }

private:
  void Apply(const wire::GatewayCommand& aCommand)
  {
    static_cast<void>(mState.Apply(aCommand, LogIndex{ ++mIndex }));
  }

  gateway::State mState;
  gateway::RangeAssigner mAssigner;
  DemandTable mTable;
  uint64_t mIndex = 0;
  Instant mNow{ std::chrono::hours{ 1 } };
};

/// @return the mean; not a number if there are no values. Few rounds compute
/// the capacities again, and a median would leave out their cost.
double
Mean(const std::vector<double>& aValues)
{
  return std::accumulate(aValues.begin(), aValues.end(), 0.0) /
         static_cast<double>(aValues.size());
}

void
RunDemand(Reporter& aReporter)
{
  Leader leader;
  std::vector<double> nanoseconds;
  std::optional<DemandTable::Round> round;
  for (uint64_t number = 0; number < kRounds; ++number) {
    leader.Tick();
    leader.FinishTick();
    leader.Tick();
    const Instant start = std::chrono::steady_clock::now();
    round = leader.Round();
    if (round) {
      nanoseconds.push_back(std::chrono::duration<double, std::nano>(
                              std::chrono::steady_clock::now() - start)
                              .count());
    }
    leader.FinishTick();
  }
  const size_t listed = round ? round->digest.owners.size() : 0;
  aReporter.AtLeast("demand_owners_listed",
                    static_cast<double>(listed),
                    "count",
                    DemandTable::kMaxListedOwners);
  aReporter.Printed(
    "demand_round_10000_median", Percentile(nanoseconds, 0.5), "ns");
  aReporter.AtMost(
    "demand_round_10000", Mean(nanoseconds), "ns", kMostRoundNanoseconds);
  aReporter.Printed(
    "demand_round_10000_most", Percentile(nanoseconds, 1), "ns");
  wire::GatewayFrame frame;
  if (round) {
    *frame.mutable_demand_digest() = gateway::ToMessage(round->digest);
  }
  gateway::OutgoingFrame outgoing(frame);
  aReporter.Printed("demand_digest_bytes_plain",
                    static_cast<double>(outgoing.Serialized().size()),
                    "bytes");
  aReporter.AtMost("demand_digest_bytes",
                   static_cast<double>(outgoing.Compressed().size()),
                   "bytes",
                   kMostDigestBytes);
}

const Registration sDemand("demand", RunDemand);

} // namespace
} // namespace rattandyke::bench
