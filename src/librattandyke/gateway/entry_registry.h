/// Membership of entry hosts, as maintained by the leader.
#pragma once

#include <map>
#include <string>
#include <vector>

#include <rattandyke/types.h>

#include "gateway/state.h"
#include "wire/gateway.pb.h"

namespace rattandyke::gateway {

/// Tracks the entry hosts that subscribe at any control host, and proposes
/// commands that keep the replicated list of entry hosts up to date. Entry
/// hosts share the slots of upstreams according to that list, so a host must be
/// removed soon after it fails, but not while it reconnects to another control
/// host. Does no I/O. Not thread-safe.
///
/// A command is not proposed again while the first one may still be committed:
/// with one command for each of a thousand entry hosts in each tick, a log that
/// is slow for a moment would stay slow.
class EntryRegistry
{
public:
  /// Resets all reports. Call it when this host is elected leader. All entry
  /// hosts in the state count as just reported.
  void OnElected(const State& aState, Instant aNow);

  /// Records that an entry host subscribes at a control host.
  void RecordReport(const wire::EntryMember& aEntry, Instant aNow);

  /// @return commands that bring the replicated list in line with the reports.
  std::vector<wire::GatewayCommand> Tick(const State& aState, Instant aNow);

private:
  struct Entry
  {
    wire::EntryMember member;
    Instant reportedAt{};
  };

  /// @return whether a command for an entry host may be proposed now. If so,
  /// aNow is recorded as its time.
  bool MayPropose(const std::string& aAddress, Instant aNow);

  std::map<std::string, Entry> mEntries;
  /// Time at which the last command for an entry host was proposed, by address.
  std::map<std::string, Instant> mProposedAt;
};

} // namespace rattandyke::gateway
