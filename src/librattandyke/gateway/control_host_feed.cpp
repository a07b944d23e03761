// Messages from other hosts: subscriptions to the feed, and reports.
#include "gateway/control_host_impl.h"

#include <algorithm>

namespace rattandyke::gateway {

namespace {

using std::chrono::milliseconds;

/// Time within which a host that starts or has lost its leader is expected to
/// follow a leader again: two elections of up to 450 ms each. After that it is
/// more likely to be partitioned.
constexpr milliseconds kRecoveryTime{ 900 };
/// Interval of checks while subscriptions are deferred.
constexpr milliseconds kDeferredCheckInterval{ 10 };
/// Delay of the feed, in which commands are batched, for each subscriber. It
/// keeps the writes to all subscribers below 2,000 per second. The delay is
/// bounded, since a change must reach all entry hosts within seconds.
constexpr std::chrono::microseconds kFeedDelayPerSubscriber{ 500 };
constexpr milliseconds kMinFeedDelay{ 5 };
constexpr milliseconds kMaxFeedDelay{ 200 };

} // namespace

void
ControlHost::Impl::OnFrame(const net::FrameMesh::Connection& aConnection,
                           std::string_view aMessage)
{
  wire::GatewayFrame frame;
  if (!frame.ParseFromArray(aMessage.data(),
                            static_cast<int>(aMessage.size()))) {
    metrics.Increment("unreadable", "what=\"message\"");
    Info() << "a message of " << aMessage.size()
           << " bytes between hosts can't be read; the connection ends";
    aConnection->Close();
    return;
  }
  switch (frame.body_case()) {
    case wire::GatewayFrame::kConsensus:
      OnConsensusMessage(frame.consensus());
      return;
    case wire::GatewayFrame::kSlotAsk:
      if (slots) {
        slots->OnSlotRequest(frame.slot_ask());
      }
      return;
    case wire::GatewayFrame::kSlotDone:
      if (slots) {
        slots->OnSlotRelease(frame.slot_done());
      }
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
    case wire::GatewayFrame::kDemandDigest:
      OnDemandDigest(frame.demand_digest());
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
    case wire::GatewayFrame::kUpstreamRests:
      OnUpstreamRests(frame.upstream_rests());
      return;
    case wire::GatewayFrame::kCrashReports:
      OnCrashReports(frame.crash_reports());
      return;
    case wire::GatewayFrame::kLinkProbe:
      FeedServer::ReturnProbe(aConnection, std::move(frame));
      return;
    default:
      return;
  }
}

/// @return whether this host's state is known to be up to date, except for
/// commands that are still in transit.
bool
ControlHost::Impl::IsUpToDate() const
{
  return driver->IsLeader() ? HoldsLeaderLease() : driver->FollowsUpToDate();
}

/// @return the names of the members of the control group, which are their
/// addresses.
std::vector<std::string>
ControlHost::Impl::ControlHosts() const
{
  std::vector<std::string> hosts;
  for (const auto& member : driver->Status().members) {
    hosts.push_back(member.member.name.value);
  }
  return hosts;
}

/// Serves a new subscriber, defers it while this host may be up to date soon,
/// or closes its connection.
void
ControlHost::Impl::OnFeedOpen(const net::FrameMesh::Connection& aConnection,
                              const wire::FeedOpen& aOpen)
{
  if (IsUpToDate()) {
    Subscribe(aConnection, aOpen);
    feed.Ping(aConnection, ControlHosts(), Duration::zero());
  } else if (MayBeUpToDateSoon()) {
    deferredOpens.emplace_back(aConnection, aOpen);
    ScheduleDeferredCheck();
  } else {
    aConnection->Close();
  }
}

/// Sends the rests before the state: without a state, an entry host sends
/// upstreams nothing.
void
ControlHost::Impl::Subscribe(const net::FrameMesh::Connection& aConnection,
                             const wire::FeedOpen& aOpen)
{
  SendRestsTo(aConnection, aOpen.entry().address());
  feed.Subscribe(aConnection, aOpen);
}

/// @return whether this host is expected to be up to date soon. A host that
/// lost its disk is not: it must first become a member again.
bool
ControlHost::Impl::MayBeUpToDateSoon() const
{
  return state.AppliedIndex().value > 0 &&
         clock.Now() - upToDateAt < kRecoveryTime;
}

/// Schedules the next CheckDeferredOpens. When all hosts start at once, entry
/// hosts connect before there is a leader. If they were disconnected, they
/// would retry about 150 ms later and could not serve callers meanwhile. A
/// deferred subscription gets the state as soon as it is known to be up to
/// date.
void
ControlHost::Impl::ScheduleDeferredCheck()
{
  deferredTimer.expires_after(kDeferredCheckInterval);
  deferredTimer.async_wait([self = weak_from_this()](auto aError) {
    const auto host = self.lock();
    if (host && !aError && !host->stopping) {
      host->CheckDeferredOpens();
    }
  });
}

/// Serves the deferred subscriptions if this host is up to date by now, or
/// closes their connections if it is not expected to be soon.
void
ControlHost::Impl::CheckDeferredOpens()
{
  const bool upToDate = IsUpToDate();
  if (!upToDate && MayBeUpToDateSoon()) {
    ScheduleDeferredCheck();
    return;
  }
  for (const auto& [connection, open] : std::exchange(deferredOpens, {})) {
    if (upToDate) {
      Subscribe(connection, open);
    } else {
      connection->Close();
    }
  }
  if (upToDate) {
    feed.Ping(ControlHosts(), Duration::zero());
  }
}

/// Adds an entry host's report to the next report to the leader.
void
ControlHost::Impl::OnFeedReport(const net::FrameMesh::Connection& aConnection,
                                const wire::FeedReport& aReport)
{
  if (aReport.leaving()) {
    feed.MarkLeaving(aConnection);
  }
  pendingReport.mutable_loads()->MergeFrom(aReport.loads());
  pendingReport.mutable_times()->MergeFrom(aReport.times());
  pendingReport.mutable_entries()->MergeFrom(aReport.entries());
  CollectServiceLoads(aReport);
}

/// Processes the report of a control host as the leader. Other hosts ignore it.
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
    entryRegistry.RecordReport(entry, clock.Now());
  }
  RecordServiceLoads(aReport);
  if (aReport.has_sender()) {
    allocatorWatch.RecordReport(aReport.sender().address(), clock.Now());
    ProposeControlHost(aReport.sender());
  }
}

/// Proposes to store a control host in the state, unless it is stored with the
/// same data centre, bandwidth and role, or is not a member of the group.
void
ControlHost::Impl::ProposeControlHost(const wire::ControlMember& aControlHost)
{
  const auto known = state.ControlHosts().find(aControlHost.address());
  const bool unchanged =
    known != state.ControlHosts().end() &&
    known->second.data_centre() == aControlHost.data_centre() &&
    known->second.link_mbits() == aControlHost.link_mbits() &&
    known->second.allocates_slots() == aControlHost.allocates_slots();
  if (unchanged || !HoldsLeaderLease()) {
    return;
  }
  const std::vector<std::string> members = ControlHosts();
  if (std::find(members.begin(), members.end(), aControlHost.address()) ==
      members.end()) {
    return; // The host is not a member yet.
  }
  wire::GatewayCommand command;
  *command.mutable_put_control()->mutable_control() = aControlHost;
  ProposeInBackground({ command });
}

/// Proposes to remove hosts from the state that are no longer members.
void
ControlHost::Impl::ProposeControlHostRemovals()
{
  const std::vector<std::string> hosts = ControlHosts();
  std::vector<wire::GatewayCommand> commands;
  for (const auto& [address, control] : state.ControlHosts()) {
    if (std::find(hosts.begin(), hosts.end(), address) == hosts.end()) {
      commands.emplace_back().mutable_drop_control()->set_address(address);
    }
  }
  ProposeInBackground(commands);
}

/// Schedules a flush of the feed, unless one is scheduled already.
void
ControlHost::Impl::ScheduleFeedFlush()
{
  if (feedFlushScheduled) {
    return;
  }
  feedFlushScheduled = true;
  const auto delay =
    kFeedDelayPerSubscriber * static_cast<int64_t>(feed.SubscriberCount());
  feedTimer.expires_after(
    std::clamp<Duration>(delay, kMinFeedDelay, kMaxFeedDelay));
  feedTimer.async_wait([self = weak_from_this()](auto aError) {
    const auto host = self.lock();
    if (host && !aError) {
      host->feedFlushScheduled = false;
      host->feed.Flush();
    }
  });
}

/// Sends the leader the reports of this host's subscribers, the list of the
/// entry hosts among them, and this host's data centre.
void
ControlHost::Impl::SendHostReport()
{
  const auto leader = driver->LeaderHint();
  for (const wire::EntryMember& entry : feed.ServingEntries()) {
    *pendingReport.add_entries() = entry;
  }
  pendingReport.mutable_sender()->set_address(self.value);
  pendingReport.mutable_sender()->set_data_centre(settings.dataCentre.value);
  pendingReport.mutable_sender()->set_link_mbits(settings.linkMbits);
  pendingReport.mutable_sender()->set_allocates_slots(OffersToAllocate());
  TakeServiceLoads(pendingReport);
  const wire::HostReport report = std::exchange(pendingReport, {});
  if (driver->IsLeader()) {
    OnHostReport(report);
  } else if (leader) {
    wire::GatewayFrame frame;
    *frame.mutable_host_report() = report;
    mesh->Send(*leader, frame.SerializeAsString());
  }
}

} // namespace rattandyke::gateway
