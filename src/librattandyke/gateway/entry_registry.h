/// Which entry hosts serve callers, as the leader decides.
#pragma once

#include <map>
#include <string>
#include <vector>

#include <rattandyke/types.h>

#include "gateway/state.h"
#include "wire/gateway.pb.h"

namespace rattandyke::gateway {

/// Collects what control hosts report of their subscribers and keeps the
/// replicated list of entry hosts in step with it. Entries share upstreams'
/// slots by that list, so a host must leave it soon after it died, but not
/// while it only changes from one control host to another.
///
/// Safeguard: a command is not proposed again while the log may still bring it.
/// With one for each of a thousand entries in each tick, a log that is slow for
/// a moment would be kept slow by them. Does no I/O. Not thread-safe.
class EntryRegistry
{
public:
  /// This host leads from now on: it has heard of nobody yet.
  void OnElected(const State& aState, Instant aNow);

  /// An entry host subscribes somewhere.
  void RecordReport(const wire::EntryMember& aEntry, Instant aNow);

  /// @return commands that make the list what has been seen.
  std::vector<wire::GatewayCommand> Tick(const State& aState, Instant aNow);

private:
  struct Entry
  {
    wire::EntryMember member;
    Instant seenAt{};
  };

  /// @return whether a command for an entry is to be proposed now.
  bool MayPropose(const std::string& aAddress, Instant aNow);

  std::map<std::string, Entry> mEntries;
  /// When commands were proposed, by the entry's address.
  std::map<std::string, Instant> mProposed;
};

} // namespace rattandyke::gateway
