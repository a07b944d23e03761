// Messages of other hosts: subscribers of the state, and what they report.
#include "gateway/control_host_impl.h"

#include <algorithm>

namespace rattandyke::gateway {

namespace {

using std::chrono::milliseconds;

/// A host that starts, or has lost its leader, follows one again this soon: two
/// elections of up to 450 ms. After that it is more likely cut off.
constexpr milliseconds kHopeful{ 900 };
constexpr milliseconds kParkedCheck{ 10 };
/// Commands are gathered for so long for each subscriber, so that writes to all
/// of them together stay below 2,000 a second, within bounds: a change is to be
/// in force at all entries within seconds.
constexpr std::chrono::microseconds kFeedGatherEach{ 500 };
constexpr milliseconds kLeastFeedGather{ 5 };
constexpr milliseconds kMostFeedGather{ 200 };

} // namespace

void
ControlHost::Impl::OnFrame(const net::FrameMesh::Connection& aConnection,
                           std::string_view aMessage)
{
  wire::GatewayFrame frame;
  if (!frame.ParseFromArray(aMessage.data(),
                            static_cast<int>(aMessage.size()))) {
    Info() << "a message between hosts can't be read; the connection ends";
    aConnection->Close();
    return;
  }
  switch (frame.body_case()) {
    case wire::GatewayFrame::kConsensus:
      driver->Receive({}, frame.consensus());
      return;
    case wire::GatewayFrame::kFeedOpen:
      OnFeedOpen(aConnection, frame.feed_open());
      return;
    case wire::GatewayFrame::kFeedReport:
      OnFeedReport(aConnection, frame.feed_report());
      return;
    case wire::GatewayFrame::kHostReport:
      OnHostReport(frame.host_report());
      return;
    case wire::GatewayFrame::kForwardedCall:
      OnForwardedCall(frame.forwarded_call());
      return;
    case wire::GatewayFrame::kForwardedAnswer:
      OnForwardedAnswer(frame.forwarded_answer());
      return;
    case wire::GatewayFrame::kForwardedHeartbeats:
      OnForwardedHeartbeats(frame.forwarded_heartbeats());
      return;
    case wire::GatewayFrame::kForwardedHeartbeatAnswers:
      OnForwardedHeartbeatAnswers(frame.forwarded_heartbeat_answers());
      return;
    default:
      return;
  }
}

/// Whether this host is sure to have the newest state, but for messages that
/// are under way.
bool
ControlHost::Impl::IsFresh() const
{
  return driver->IsLeader() ? LeadsSurely() : driver->FollowsUpToDate();
}

std::vector<std::string>
ControlHost::Impl::ControlHosts() const
{
  std::vector<std::string> hosts;
  for (const auto& member : driver->Status().members) {
    hosts.push_back(member.member.name.value);
  }
  return hosts;
}

void
ControlHost::Impl::OnFeedOpen(const net::FrameMesh::Connection& aConnection,
                              const wire::FeedOpen& aOpen)
{
  if (IsFresh()) {
    feed.Open(aConnection, aOpen);
    feed.Ping(aConnection, ControlHosts(), Duration::zero());
  } else if (IsHopeful()) {
    parked.emplace_back(aConnection, aOpen);
    WatchParked();
  } else {
    aConnection->Close();
  }
}

/// @return whether it may be sure of its state soon. A host that has lost its
/// disk needs longer: it must be made a member again first.
bool
ControlHost::Impl::IsHopeful() const
{
  return state.AppliedIndex().value > 0 && clock.Now() - freshAt < kHopeful;
}

/// Safeguard: after all hosts were down, entries find control hosts before
/// there is a leader. Sent away they come back some 150 ms later, and serve
/// nobody meanwhile; kept, they get the state in the moment in which it is
/// known to be the newest.
void
ControlHost::Impl::WatchParked()
{
  parkedTimer.expires_after(kParkedCheck);
  parkedTimer.async_wait([self = weak_from_this()](auto aError) {
    const auto host = self.lock();
    if (host && !aError && !host->stopping) {
      host->OnParked();
    }
  });
}

void
ControlHost::Impl::OnParked()
{
  const bool fresh = IsFresh();
  if (!fresh && IsHopeful()) {
    WatchParked();
    return;
  }
  for (const auto& [connection, open] : std::exchange(parked, {})) {
    if (fresh) {
      feed.Open(connection, open);
    } else {
      connection->Close();
    }
  }
  if (fresh) {
    feed.Ping(ControlHosts(), Duration::zero());
  }
}

void
ControlHost::Impl::OnFeedReport(const net::FrameMesh::Connection& aConnection,
                                const wire::FeedReport& aReport)
{
  if (aReport.leaving()) {
    feed.Leave(aConnection);
  }
  waitingReport.mutable_loads()->MergeFrom(aReport.loads());
  waitingReport.mutable_times()->MergeFrom(aReport.times());
  waitingReport.mutable_entries()->MergeFrom(aReport.entries());
}

void
ControlHost::Impl::OnHostReport(const wire::HostReport& aReport)
{
  if (!driver->IsLeader()) {
    return;
  }
  for (const wire::RangeLoad& load : aReport.loads()) {
    rangeAssigner.AddLoad(load);
  }
  for (const wire::InstanceTime& time : aReport.times()) {
    rangeAssigner.RecordLatency(time.instance(), time.seconds());
  }
  for (const wire::EntryMember& entry : aReport.entries()) {
    entries.RecordReport(entry, clock.Now());
  }
  if (aReport.has_sender()) {
    NoteControl(aReport.sender());
  }
}

void
ControlHost::Impl::NoteControl(const wire::ControlMember& aControl)
{
  const auto known = state.ControlHosts().find(aControl.address());
  const bool same = known != state.ControlHosts().end() &&
                    known->second.data_centre() == aControl.data_centre();
  if (same || !LeadsSurely()) {
    return;
  }
  const std::vector<std::string> members = ControlHosts();
  if (std::find(members.begin(), members.end(), aControl.address()) ==
      members.end()) {
    return; // It is about to become one.
  }
  wire::GatewayCommand command;
  *command.mutable_put_control()->mutable_control() = aControl;
  ProposeAll({ command });
}

/// Hosts that the group does not have any more.
void
ControlHost::Impl::DropControls()
{
  const std::vector<std::string> hosts = ControlHosts();
  std::vector<wire::GatewayCommand> commands;
  for (const auto& [address, control] : state.ControlHosts()) {
    if (std::find(hosts.begin(), hosts.end(), address) == hosts.end()) {
      commands.emplace_back().mutable_drop_control()->set_address(address);
    }
  }
  ProposeAll(commands);
}

void
ControlHost::Impl::FlushFeedSoon()
{
  if (feedFlushDue) {
    return;
  }
  feedFlushDue = true;
  const auto gather = kFeedGatherEach * static_cast<int64_t>(feed.Size());
  feedTimer.expires_after(
    std::clamp<Duration>(gather, kLeastFeedGather, kMostFeedGather));
  feedTimer.async_wait([self = weak_from_this()](auto aError) {
    const auto host = self.lock();
    if (host && !aError) {
      host->feedFlushDue = false;
      host->feed.Flush();
    }
  });
}

/// Tells the leader what this host's subscribers have reported.
void
ControlHost::Impl::Report()
{
  const auto leader = driver->LeaderHint();
  for (const wire::EntryMember& entry : feed.Entries()) {
    *waitingReport.add_entries() = entry;
  }
  waitingReport.mutable_sender()->set_address(self.value);
  waitingReport.mutable_sender()->set_data_centre(settings.dataCentre.value);
  const wire::HostReport report = std::exchange(waitingReport, {});
  if (driver->IsLeader()) {
    OnHostReport(report);
  } else if (leader) {
    wire::GatewayFrame frame;
    *frame.mutable_host_report() = report;
    mesh->Send(*leader, frame.SerializeAsString());
  }
}

} // namespace rattandyke::gateway
