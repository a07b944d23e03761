#include "gateway/entry_registry.h"

namespace rattandyke::gateway {

namespace {

/// Time after its last report at which an entry host is removed. Longer than an
/// entry host needs to reconnect to another control host (700 ms until it
/// detects the failure, and a connection), with one report per second.
constexpr std::chrono::milliseconds kRemoveAfter{ 2200 };
/// Time after which a proposed command counts as lost in a change of leader.
constexpr std::chrono::milliseconds kProposalTimeout{ 1000 };

} // namespace

void
EntryRegistry::OnElected(const State& aState, Instant aNow)
{
  mEntries.clear();
  mProposedAt.clear();
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
  return mProposedAt.try_emplace(aAddress, aNow).second;
}

std::vector<wire::GatewayCommand>
EntryRegistry::Tick(const State& aState, Instant aNow)
{
  std::erase_if(mProposedAt, [&](const auto& aItem) {
    return aNow - aItem.second >= kProposalTimeout;
  });
  std::vector<wire::GatewayCommand> commands;
  for (auto at = mEntries.begin(); at != mEntries.end();) {
    const bool expired = aNow - at->second.reportedAt >= kRemoveAfter;
    const auto known = aState.Entries().find(at->first);
    const bool stored =
      known != aState.Entries().end() &&
      known->second.link_mbits() == at->second.member.link_mbits();
    if (!expired && !stored && MayPropose(at->first, aNow)) {
      *commands.emplace_back().mutable_put_entry()->mutable_entry() =
        at->second.member;
    }
    at = expired ? mEntries.erase(at) : std::next(at);
  }
  for (const auto& [address, member] : aState.Entries()) {
    if (!mEntries.contains(address) && MayPropose(address, aNow)) {
      commands.emplace_back().mutable_drop_entry()->set_address(address);
    }
  }
  return commands;
}

} // namespace rattandyke::gateway
