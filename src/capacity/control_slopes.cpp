#include "capacity/control_slopes.h"

#include <stdexcept>

#include <rattandyke/placement.h>

#include "allocation/allocation_counter.h"
#include "capacity/control_stand_in.h"
#include "capacity/samples.h"
#include "capacity/stopwatch.h"

namespace rattandyke::capacity {
namespace {

constexpr size_t kUpstreamsEach = 3;
constexpr size_t kSlotsEach = 16;
constexpr int kRounds = 3;

double
ReplyBytes(const std::vector<control::Effect>& aEffects)
{
  for (const control::Effect& effect : aEffects) {
    if (const auto* reply = std::get_if<control::Reply>(&effect)) {
      return static_cast<double>(reply->reply.ByteSizeLong());
    }
  }
  throw std::runtime_error("The leader did not answer a heartbeat.");
}

void
MeasureState(const control::State& aState,
             double aUpstreams,
             std::vector<Point>& aBytes,
             std::vector<Point>& aSnapshotBytes,
             std::vector<Point>& aSnapshotCpu,
             std::vector<Point>& aRestoreCpu)
{
  const std::string snapshot = aState.Snapshot();
  aSnapshotBytes.push_back(
    { aUpstreams, static_cast<double>(snapshot.size()) });
  aSnapshotCpu.push_back({ aUpstreams, LeastThreadSeconds(kRounds, [&] {
                             (void)aState.Snapshot();
                           }) });
  aRestoreCpu.push_back({ aUpstreams, LeastThreadSeconds(kRounds, [&] {
                            control::State restored;
                            (void)restored.Restore(snapshot);
                          }) });
  control::State restored;
  const auto count =
    allocation::During([&] { (void)restored.Restore(snapshot); });
  aBytes.push_back({ aUpstreams, static_cast<double>(count.bytesHeld) });
}

/// @return seconds of the leader's decisions for a heartbeat, over all hosts.
double
HeartbeatSeconds(ControlStandIn& aLeader, size_t aHosts)
{
  const double seconds = LeastThreadSeconds(kRounds, [&] {
    for (size_t host = 0; host < aHosts; ++host) {
      aLeader.Heartbeat(host);
    }
  });
  return seconds / static_cast<double>(aHosts);
}

/// Leaders of growing deployments, each brought to rest.
void
MeasureLeaders(ControlSlopes& aSlopes)
{
  std::vector<Point> heartbeats;
  std::vector<Point> ticks;
  std::vector<Point> replies;
  std::vector<Point> listedHeartbeats;
  std::vector<Point> listedReplies;
  std::vector<Point> bytes;
  std::vector<Point> snapshots;
  std::vector<Point> snapshotCpu;
  std::vector<Point> restoreCpu;
  for (const size_t hosts : { 20U, 60U, 180U, 540U }) {
    ControlStandIn leader(hosts, kUpstreamsEach, kSlotsEach);
    leader.Settle();
    const auto size = static_cast<double>(hosts);
    replies.push_back({ size, ReplyBytes(leader.Heartbeat(0)) });
    heartbeats.push_back({ size, HeartbeatSeconds(leader, hosts) });
    constexpr int kTicks = 20;
    const double ticking = LeastThreadSeconds(kRounds, [&] {
      for (int tick = 0; tick < kTicks; ++tick) {
        leader.Tick();
      }
    });
    ticks.push_back({ size, ticking / kTicks });
    leader.ForgetHosts();
    listedReplies.push_back({ size, ReplyBytes(leader.Heartbeat(0)) });
    listedHeartbeats.push_back({ size, HeartbeatSeconds(leader, hosts) });
    MeasureState(leader.State(),
                 size * kUpstreamsEach,
                 bytes,
                 snapshots,
                 snapshotCpu,
                 restoreCpu);
  }
  aSlopes.heartbeatCpu = FitLine(std::move(heartbeats));
  aSlopes.tickCpu = FitLine(std::move(ticks));
  aSlopes.replyBytes = FitLine(std::move(replies));
  aSlopes.listedHeartbeatCpu = FitLine(std::move(listedHeartbeats));
  aSlopes.listedReplyBytes = FitLine(std::move(listedReplies));
  aSlopes.stateBytes = FitLine(std::move(bytes));
  aSlopes.snapshotBytes = FitLine(std::move(snapshots));
  aSlopes.snapshotCpu = FitLine(std::move(snapshotCpu));
  aSlopes.restoreCpu = FitLine(std::move(restoreCpu));
}

void
MeasureLosses(ControlSlopes& aSlopes)
{
  constexpr size_t kHosts = 40;
  std::vector<Point> commands;
  std::vector<Point> updates;
  for (const size_t lost : { 1U, 4U, 16U }) {
    ControlStandIn leader(kHosts, kUpstreamsEach, kSlotsEach);
    leader.Settle();
    const TableVersion before = leader.State().Version();
    leader.LoseUpstreams(lost);
    const ControlCost cost = leader.Settle();
    const auto size = static_cast<double>(lost);
    commands.push_back({ size, static_cast<double>(cost.commandBytes) });
    const auto update = leader.State().UpdateSince(before);
    updates.push_back({ size, static_cast<double>(update.ByteSizeLong()) });
    aSlopes.lossSeconds =
      std::chrono::duration<double>(cost.virtualTime).count();
  }
  aSlopes.lossCommandBytes = FitLine(std::move(commands));
  aSlopes.lossUpdateBytes = FitLine(std::move(updates));
}

/// A balanced service that one upstream has just joined.
placement::Input
JoinedInput(const std::vector<std::string>& aNames)
{
  placement::Input input;
  for (const std::string& name : aNames) {
    input.upstreams.push_back({ name, "dc-1", 4 });
  }
  const size_t owners = aNames.size() - 1;
  for (size_t slot = 0; slot < aNames.size() * kSlotsEach; ++slot) {
    input.slots.push_back({ static_cast<uint32_t>(slot % owners) });
  }
  constexpr size_t kMostMoves = 64;
  input.mostMoves = kMostMoves;
  return input;
}

Fit
MeasurePlanning()
{
  const auto policy = placement::PolicyRegistry::Make("least_moves");
  std::vector<Point> points;
  for (const size_t upstreams : { 300U, 900U, 2700U }) {
    std::vector<std::string> names;
    for (size_t one = 0; one < upstreams; ++one) {
      names.push_back(UpstreamText(one));
    }
    const placement::Input input = JoinedInput(names);
    points.push_back(
      { static_cast<double>(upstreams),
        LeastThreadSeconds(kRounds, [&] { (void)(*policy)->Decide(input); }) });
  }
  return FitLine(std::move(points));
}

wire::Command
TakeClaimOf(size_t aNumber)
{
  wire::Command command;
  command.set_proposed_unix_ms(1'764'700'000'000);
  auto& take = *command.mutable_take_claim();
  take.set_host(HostText(aNumber % 100));
  take.set_session(0x9e3779b97f4a7c15ULL);
  auto& call = *take.mutable_call();
  call.set_service(kService);
  call.set_customer("customer-0001");
  call.set_idempotency_key("7f3c2a10-0000-4000-8000-" + KeyText(aNumber));
  call.set_request_digest(std::string(16, 'd'));
  call.set_retention_ms(600'000);
  call.set_attempt(aNumber + 1);
  return command;
}

wire::Command
CompleteClaimOf(size_t aNumber, uint64_t aClaim)
{
  const wire::Command take = TakeClaimOf(aNumber);
  const auto& call = take.take_claim().call();
  wire::Command command;
  command.set_proposed_unix_ms(take.proposed_unix_ms());
  auto& complete = *command.mutable_complete_claim();
  complete.set_service(call.service());
  complete.set_customer(call.customer());
  complete.set_idempotency_key(call.idempotency_key());
  complete.set_claim(aClaim);
  constexpr uint32_t kCreated = 201;
  constexpr size_t kAnswerBytes = 100;
  complete.mutable_answer()->set_status(kCreated);
  complete.mutable_answer()->set_body(std::string(kAnswerBytes, 'a'));
  return command;
}

void
MeasureClaims(ControlSlopes& aSlopes)
{
  std::vector<Point> held;
  std::vector<Point> written;
  std::vector<Point> cpu;
  for (const size_t claims : { 1000U, 4000U, 16000U }) {
    control::State state;
    double bytes = 0;
    double seconds = 0;
    const auto count = allocation::During([&] {
      const double start = CpuSeconds(CLOCK_THREAD_CPUTIME_ID);
      for (size_t claim = 0; claim < claims; ++claim) {
        const uint64_t index = 2 * claim + 1;
        const wire::Command take = TakeClaimOf(claim);
        const wire::Command complete = CompleteClaimOf(claim, index);
        bytes +=
          static_cast<double>(take.ByteSizeLong() + complete.ByteSizeLong());
        state.Apply(LogIndex{ index }, take);
        state.Apply(LogIndex{ index + 1 }, complete);
      }
      seconds = CpuSeconds(CLOCK_THREAD_CPUTIME_ID) - start;
    });
    const auto size = static_cast<double>(claims);
    held.push_back({ size, static_cast<double>(count.bytesHeld) });
    written.push_back({ size, bytes });
    cpu.push_back({ size, seconds });
  }
  aSlopes.claimBytes = FitLine(std::move(held));
  aSlopes.claimCommandBytes = FitLine(std::move(written));
  aSlopes.claimCpu = FitLine(std::move(cpu));
}

} // namespace

ControlSlopes
MeasureControl(Printer& aPrinter)
{
  aPrinter.Heading("leader, three upstreams a host, 16 slots an upstream");
  ControlSlopes slopes;
  MeasureLeaders(slopes);
  aPrinter.Slope("leader_heartbeat_cpu", "s", "host", slopes.heartbeatCpu);
  aPrinter.Slope("leader_tick_cpu", "s", "host", slopes.tickCpu);
  aPrinter.Slope("leader_reply_bytes", "bytes", "host", slopes.replyBytes);
  aPrinter.Slope(
    "leader_listed_heartbeat_cpu", "s", "host", slopes.listedHeartbeatCpu);
  aPrinter.Slope(
    "leader_listed_reply_bytes", "bytes", "host", slopes.listedReplyBytes);
  aPrinter.Slope("state_bytes", "bytes", "upstream", slopes.stateBytes);
  aPrinter.Slope("snapshot_bytes", "bytes", "upstream", slopes.snapshotBytes);
  aPrinter.Slope("snapshot_cpu", "s", "upstream", slopes.snapshotCpu);
  aPrinter.Slope("restore_cpu", "s", "upstream", slopes.restoreCpu);
  MeasureLosses(slopes);
  aPrinter.Slope(
    "loss_command_bytes", "bytes", "lost_upstream", slopes.lossCommandBytes);
  aPrinter.Slope(
    "loss_update_bytes", "bytes", "lost_upstream", slopes.lossUpdateBytes);
  aPrinter.Value("loss_served_again",
                 slopes.lossSeconds,
                 "s",
                 "virtual time in steps of 0.1, from the report of a lapse");
  slopes.planningCpu = MeasurePlanning();
  aPrinter.Slope("planning_cpu", "s", "upstream", slopes.planningCpu);
  MeasureClaims(slopes);
  aPrinter.Slope("claim_bytes", "bytes", "claim", slopes.claimBytes);
  aPrinter.Slope(
    "claim_command_bytes", "bytes", "claim", slopes.claimCommandBytes);
  aPrinter.Slope("claim_cpu", "s", "claim", slopes.claimCpu);
  return slopes;
}

} // namespace rattandyke::capacity
