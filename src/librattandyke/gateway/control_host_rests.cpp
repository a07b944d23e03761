// Rests that upstreams asked entry hosts for, kept for entry hosts that
// restart.
#include "gateway/control_host_impl.h"

#include <algorithm>

namespace rattandyke::gateway {

void
ControlHost::Impl::OnUpstreamRests(const wire::UpstreamRests& aRests)
{
  pendingRests.Add(aRests, clock.Now());
  ForwardRests();
}

/// Proposes the rests that are due to the log, or sends them to the leader.
void
ControlHost::Impl::ForwardRests()
{
  const bool leads = HoldsLeaderLease();
  const auto leader = driver->LeaderHint();
  if (!leads && (!leader || *leader == self)) {
    return;
  }
  const wire::UpstreamRests due = pendingRests.Take(clock.Now());
  if (due.rests_size() == 0) {
    return;
  }
  if (!leads) {
    wire::GatewayFrame frame;
    *frame.mutable_upstream_rests() = due;
    mesh->Send(*leader, frame.SerializeAsString());
    return;
  }
  wire::GatewayCommand command;
  wire::RecordRests* record = command.mutable_record_rests();
  *record->mutable_rests() = due.rests();
  record->set_told_at_ms(clock.Wall().time_since_epoch().count());
  metrics.Increment("rests_proposed");
  driver->Propose(command.SerializeAsString(), [](Result<LogIndex> aIndex) {
    if (!aIndex) {
      Info() << "rests of upstreams were not recorded: "
             << aIndex.error().message;
    }
  });
}

/// Records rests of the log or of a snapshot. Until this host is up to date, it
/// may apply commands from before its restart, whose rests have passed in part
/// or whole. By how much is known from the time of day only. That may have been
/// set meanwhile, so other commands don't depend on it.
void
ControlHost::Impl::RecordRests(const wire::RecordRests& aRests)
{
  const auto toldAt =
    WallTime{ std::chrono::milliseconds{ aRests.told_at_ms() } };
  const Duration age =
    isCaughtUp ? Duration::zero()
               : std::max<Duration>(clock.Wall() - toldAt, Duration::zero());
  rests.Record(aRests, age, clock.Now());
}

/// Sends an entry host the rests that upstreams asked it for.
void
ControlHost::Impl::SendRestsTo(const net::FrameMesh::Connection& aConnection,
                               const std::string& aHost)
{
  wire::GatewayFrame frame;
  *frame.mutable_upstream_rests() = rests.RestsOf(aHost, clock.Now());
  if (frame.upstream_rests().rests_size() > 0) {
    aConnection->Send(frame.SerializeAsString());
  }
}

} // namespace rattandyke::gateway
