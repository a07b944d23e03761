// How a control host proposes commands to the replicated log and applies them.
#include "gateway/control_host_impl.h"

namespace rattandyke::gateway {

namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

/// A leader acts on its leadership only this soon after a majority has answered
/// it: below the least election timeout, so that no other leads yet.
constexpr milliseconds kSureFor{ 220 };
constexpr size_t kOutcomesKept = 1024;

} // namespace

void
ControlHost::Impl::Apply(LogIndex aIndex, std::string_view aBytes)
{
  wire::GatewayCommand command;
  command.ParseFromArray(aBytes.data(), static_cast<int>(aBytes.size()));
  Result<void> outcome = state.Apply(command, aIndex);
  if (outcome) {
    feed.AppliedIndex(command, aIndex);
    FlushFeedSoon();
  }
  if (command.has_free_ranges()) {
    WakeKeyWaiters();
  }
  outcomes.emplace_back(aIndex, std::move(outcome));
  if (outcomes.size() > kOutcomesKept) {
    outcomes.pop_front();
  }
}

Result<void>
ControlHost::Impl::OutcomeAt(LogIndex aIndex) const
{
  for (auto at = outcomes.rbegin(); at != outcomes.rend(); ++at) {
    if (at->first == aIndex) {
      return at->second;
    }
  }
  return Fail(Code::ProposalDropped, "The outcome is not known any more.");
}

void
ControlHost::Impl::OnLeadership(std::optional<uint64_t> aTerm)
{
  if (aTerm) {
    Info() << "leads term " << *aTerm << " at index "
           << state.AppliedIndex().value;
    rangeAssigner.OnElected(state, clock.Now());
    entries.OnElected(state, clock.Now());
  } else {
    Info() << "leads no more";
  }
}

/// Whether this host leads, and no other can lead yet.
bool
ControlHost::Impl::LeadsSurely() const
{
  if (!driver->IsLeader()) {
    return false;
  }
  const auto contact = driver->QuorumContact();
  return contact && clock.Now() - *contact < kSureFor;
}

/// @return what became of a command once it is committed.
asio::awaitable<Result<void>>
ControlHost::Impl::Propose(const wire::GatewayCommand& aCommand)
{
  auto awaited = std::make_shared<Awaited<Result<void>>>(executor);
  driver->Propose(
    aCommand.SerializeAsString(),
    [awaited, self = shared_from_this()](Result<LogIndex> aIndex) {
      awaited->Set(aIndex ? self->OutcomeAt(*aIndex)
                          : Result<void>(tl::unexpected(aIndex.error())));
    });
  if (!awaited->value) {
    co_await awaited->timer.async_wait(kAwait);
  }
  if (!awaited->value) {
    co_return Fail(Code::NoQuorum, "The log takes too long.");
  }
  co_return *awaited->value;
}

/// Commands that time makes due; nobody waits for them.
void
ControlHost::Impl::ProposeAll(
  const std::vector<wire::GatewayCommand>& aCommands)
{
  for (const wire::GatewayCommand& command : aCommands) {
    Info() << "time makes due: " << command.ShortDebugString();
    driver->Propose(command.SerializeAsString(), [](Result<LogIndex> aIndex) {
      if (!aIndex) {
        Info() << "a command was dropped: " << aIndex.error().message;
      }
    });
  }
}

/// Commits commands together.
/// @return the first failure of the log; what the state refuses is none.
asio::awaitable<Result<void>>
ControlHost::Impl::Commit(std::vector<wire::GatewayCommand> aCommands)
{
  Result<void> last;
  for (const wire::GatewayCommand& command : aCommands) {
    last = co_await Propose(command);
    const bool logged = last || last.error().code == Code::UpstreamSuperseded ||
                        last.error().code == Code::RevisionConflict ||
                        last.error().code == Code::UnknownUpstream;
    if (!logged) {
      co_return last;
    }
  }
  co_return Result<void>{};
}

} // namespace rattandyke::gateway
