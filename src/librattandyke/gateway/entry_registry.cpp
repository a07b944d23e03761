#include "gateway/entry_registry.h"

namespace rattandyke::gateway {

namespace {

/// Longer than an entry needs to find another control host (700 ms of silence
/// and a connection), with a report each second.
constexpr std::chrono::milliseconds kForgottenAfter{ 2200 };
/// A command that has not come by then was lost with a leader.
constexpr std::chrono::milliseconds kProposedFor{ 1000 };

} // namespace

void
EntryRegistry::OnElected(const State& aState, Instant aNow)
{
  mEntries.clear();
  mProposed.clear();
  for (const auto& [address, member] : aState.Entries()) {
    mEntries[address] = { member, aNow };
  }
}

void
EntryRegistry::RecordReport(const wire::EntryMember& aEntry, Instant aNow)
{
  mEntries[aEntry.address()] = { aEntry, aNow };
}

bool
EntryRegistry::MayPropose(const std::string& aAddress, Instant aNow)
{
  return mProposed.try_emplace(aAddress, aNow).second;
}

std::vector<wire::GatewayCommand>
EntryRegistry::Tick(const State& aState, Instant aNow)
{
  std::erase_if(mProposed, [&](const auto& aItem) {
    return aNow - aItem.second >= kProposedFor;
  });
  std::vector<wire::GatewayCommand> commands;
  for (auto at = mEntries.begin(); at != mEntries.end();) {
    const bool forgotten = aNow - at->second.seenAt >= kForgottenAfter;
    if (!forgotten && !aState.Entries().contains(at->first) &&
        MayPropose(at->first, aNow)) {
      *commands.emplace_back().mutable_put_entry()->mutable_entry() =
        at->second.member;
    }
    at = forgotten ? mEntries.erase(at) : std::next(at);
  }
  for (const auto& [address, member] : aState.Entries()) {
    if (!mEntries.contains(address) && MayPropose(address, aNow)) {
      commands.emplace_back().mutable_drop_entry()->set_address(address);
    }
  }
  return commands;
}

} // namespace rattandyke::gateway
