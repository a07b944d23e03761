#include "capacity/control_stand_in.h"

#include <stdexcept>

#include "capacity/samples.h"

namespace rattandyke::capacity {
namespace {

constexpr std::chrono::milliseconds kRound{ 100 };
constexpr int kMostRounds = 600;
constexpr uint64_t kWallMs = 1'764'700'000'000;

} // namespace

ControlStandIn::ControlStandIn(size_t aHosts,
                               size_t aUpstreamsEach,
                               size_t aSlotsEach)
  : mHosts(aHosts)
  , mUpstreamsEach(aUpstreamsEach)
  , mSlots(aHosts * aUpstreamsEach * aSlotsEach)
  , mCoordinator(HostName{ "control-1" }, control::LeaseOptions{}, mState)
{
  mNow += std::chrono::hours(1);
  Submit();
  mCoordinator.Step(control::BecameLeader{ 1, mNow }, mNow);
}

void
ControlStandIn::Submit()
{
  wire::Command command;
  command.set_proposed_unix_ms(kWallMs);
  *command.mutable_submit_record()->mutable_record() = ServiceRecordOf(mSlots);
  const auto result = mState.Apply(LogIndex{ ++mIndex }, command);
  if (result.reply.code() != 0) {
    throw std::runtime_error(result.reply.message());
  }
}

ControlCost
ControlStandIn::Settle()
{
  ControlCost cost;
  const Instant start = mNow;
  for (int round = 0; round < kMostRounds; ++round) {
    const uint64_t before = cost.commands;
    Round(cost);
    if (IsWhole() && cost.commands == before) {
      cost.virtualTime = mNow - start;
      return cost;
    }
  }
  throw std::runtime_error("The stand-in did not come to rest.");
}

void
ControlStandIn::LoseUpstreams(size_t aCount)
{
  mLost = aCount;
}

void
ControlStandIn::ForgetHosts()
{
  mHostsDigest = 0;
}

std::vector<control::Effect>
ControlStandIn::Heartbeat(size_t aHost)
{
  wire::Heartbeat heartbeat = IdleHeartbeat();
  heartbeat.set_host(HostText(aHost));
  heartbeat.set_session(aHost + 1);
  heartbeat.set_sequence(++mSequence);
  heartbeat.set_upstream_address("10.20.30.40:7003");
  heartbeat.set_hosts_digest(mHostsDigest);
  heartbeat.set_table_version(mState.Version().value);
  heartbeat.set_quiesced_version(mState.Version().value);
  for (size_t one = 0; one < mUpstreamsEach; ++one) {
    const size_t number = aHost * mUpstreamsEach + one;
    wire::UpstreamReport report = ReportOf(number);
    report.mutable_announced()->set_home(HostText(aHost));
    report.set_grants_version(mState.Version().value);
    report.set_lapsed(number < mLost);
    *heartbeat.add_upstreams() = std::move(report);
  }
  return mCoordinator.Step(control::HeartbeatReceived{ std::move(heartbeat) },
                           mNow);
}

void
ControlStandIn::Tick()
{
  const WallTime wall{ std::chrono::milliseconds(kWallMs) };
  mCoordinator.Step(control::Tick{ wall }, mNow);
}

void
ControlStandIn::Round(ControlCost& aCost)
{
  mNow += kRound;
  Take(mCoordinator.Step(control::QuorumConfirmed{ mNow }, mNow), aCost);
  for (size_t host = 0; host < mHosts; ++host) {
    Take(Heartbeat(host), aCost);
  }
  const WallTime wall{ std::chrono::milliseconds(kWallMs) };
  Take(mCoordinator.Step(control::Tick{ wall }, mNow), aCost);
}

void
ControlStandIn::Take(const std::vector<control::Effect>& aEffects,
                     ControlCost& aCost)
{
  for (const control::Effect& effect : aEffects) {
    const auto* reply = std::get_if<control::Reply>(&effect);
    if (reply != nullptr && reply->reply.has_hosts()) {
      mHostsDigest = reply->reply.hosts().digest();
    }
    const auto* propose = std::get_if<control::Propose>(&effect);
    if (propose == nullptr) {
      continue;
    }
    ++aCost.commands;
    aCost.commandBytes += propose->command.ByteSizeLong();
    wire::Command command = propose->command;
    command.set_proposed_unix_ms(kWallMs);
    const auto result = mState.Apply(LogIndex{ ++mIndex }, command);
    Take(mCoordinator.Step(control::Applied{ result.tableChanged }, mNow),
         aCost);
    Take(mCoordinator.Step(control::ProposalDone{ propose->id }, mNow), aCost);
  }
}

bool
ControlStandIn::IsWhole() const
{
  const auto* owners = mState.Owners().Find(kService);
  return owners != nullptr && owners->freeSlots.empty();
}

} // namespace rattandyke::capacity
