// How a control host proposes commands to the replicated log and applies them.
#include "gateway/control_host_impl.h"

namespace rattandyke::gateway {

namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

/// Duration of the leader lease, counted from the last contact with a majority.
/// It is shorter than the shortest election timeout, so no other host can be
/// the leader while it lasts.
constexpr milliseconds kLeaderLease{ 220 };
/// Number of command results that are kept.
constexpr size_t kMaxOutcomes = 1024;

} // namespace

/// Applies a committed command, publishes it to the feed and stores its result.
void
ControlHost::Impl::Apply(LogIndex aIndex, std::string_view aBytes)
{
  wire::GatewayCommand command;
  if (!command.ParseFromArray(aBytes.data(), static_cast<int>(aBytes.size()))) {
    // A part of a command would leave a state that no other host has. Without a
    // body it has no effect, here as on all hosts that have this entry.
    command.Clear();
    metrics.Increment("unreadable", "what=\"log entry\"");
    log::Line(log::Part::Control, log::Severity::Error)
      << "the log entry " << aIndex.value << " of " << aBytes.size()
      << " bytes can't be read and has no effect";
  }
  Result<void> outcome = ApplyToState(command, aIndex);
  if (command.has_record_rests()) {
    RecordRests(command.record_rests());
  } else if (outcome) {
    feed.Publish(command, aIndex);
    ScheduleFeedFlush();
    if (command.has_record_crashes()) {
      LogBans(command.record_crashes());
    }
    if (slots) {
      slots->StateChanged(state, command);
    }
  }
  if (command.has_free_ranges()) {
    WakeRangeWaiters();
  }
  outcomes.emplace_back(aIndex, std::move(outcome));
  if (outcomes.size() > kMaxOutcomes) {
    outcomes.pop_front();
  }
}

/// @return the result of applying the command at an index, or
/// Code::ProposalDropped if it is no longer stored.
Result<void>
ControlHost::Impl::OutcomeOf(LogIndex aIndex) const
{
  for (auto entry = outcomes.rbegin(); entry != outcomes.rend(); ++entry) {
    if (entry->first == aIndex) {
      return entry->second;
    }
  }
  return Fail(Code::ProposalDropped,
              "The outcome of the command is no longer known.");
}

void
ControlHost::Impl::OnLeadership(std::optional<uint64_t> aTerm)
{
  if (aTerm) {
    Info() << "this host leads term " << *aTerm << " at index "
           << state.AppliedIndex().value;
    rangeAssigner.OnElected(state, clock.Now());
    entryRegistry.OnElected(state, clock.Now());
    demandTable.Start(*aTerm, clock.Now());
    allocatorWatch.OnElected(clock.Now());
    crashWatch.OnElected();
  } else {
    Info() << "this host leads no more";
  }
}

/// @return whether this host is the leader and no other host can be yet.
bool
ControlHost::Impl::HoldsLeaderLease() const
{
  if (!driver->IsLeader()) {
    return false;
  }
  const auto contact = driver->QuorumContact();
  return contact && clock.Now() - *contact < kLeaderLease;
}

/// Proposes a command and waits until it is applied.
/// @return the result of applying it; Code::NoQuorum after a timeout, when it
/// may still be committed; or the log's error.
asio::awaitable<Result<void>>
ControlHost::Impl::Propose(const wire::GatewayCommand& aCommand)
{
  auto pending = std::make_shared<PendingResult<Result<void>>>(executor);
  driver->Propose(
    aCommand.SerializeAsString(),
    [pending, self = shared_from_this()](Result<LogIndex> aIndex) {
      pending->Complete(aIndex ? self->OutcomeOf(*aIndex)
                               : Result<void>(tl::unexpected(aIndex.error())));
    });
  if (!pending->value) {
    co_await pending->timer.async_wait(kAwait);
  }
  if (!pending->value) {
    co_return Fail(Code::NoQuorum,
                   "The log did not commit the command in time.");
  }
  co_return *pending->value;
}

/// Proposes commands without waiting for them.
void
ControlHost::Impl::ProposeInBackground(
  const std::vector<wire::GatewayCommand>& aCommands)
{
  for (const wire::GatewayCommand& command : aCommands) {
    Info() << "this host proposes a command that time makes due: "
           << command.ShortDebugString();
    driver->Propose(command.SerializeAsString(), [](Result<LogIndex> aIndex) {
      if (!aIndex) {
        Info() << "a proposed command was dropped: " << aIndex.error().message;
      }
    });
  }
}

/// Proposes commands one after the other, each once the previous one is
/// applied. Stops at the first error of the log. Errors of the state, such as
/// Code::RevisionConflict, don't count: the command was committed.
asio::awaitable<Result<void>>
ControlHost::Impl::CommitInOrder(std::vector<wire::GatewayCommand> aCommands)
{
  Result<void> outcome;
  for (const wire::GatewayCommand& command : aCommands) {
    outcome = co_await Propose(command);
    const bool committed = outcome ||
                           outcome.error().code == Code::UpstreamSuperseded ||
                           outcome.error().code == Code::RevisionConflict ||
                           outcome.error().code == Code::UnknownUpstream;
    if (!committed) {
      co_return outcome;
    }
  }
  co_return Result<void>{};
}

} // namespace rattandyke::gateway
