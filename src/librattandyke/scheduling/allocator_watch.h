/// Supervision of the control hosts that allocate slots, by the leader.
#pragma once

#include <chrono>
#include <map>
#include <string>

#include <rattandyke/types.h>

namespace rattandyke::scheduling {

/// Finds control hosts that have not reported to the leader for so long that
/// others must allocate in their place. A lost control host stays a member of
/// the control group if there is no spare for it. Does no I/O. Not thread-safe.
class AllocatorWatch
{
public:
  /// Must be called when this host is elected leader. All hosts count as just
  /// reported.
  void OnElected(Instant aNow);

  void RecordReport(const std::string& aAddress, Instant aNow);

  /// @return whether the allocation of a silent host should be withdrawn now.
  /// The next time is kRepeatAfter later, if the command was lost.
  bool ShouldWithdraw(const std::string& aAddress, Instant aNow);

  /// A host reports every 200 ms. After this time it has also declined requests
  /// for a while, if it only lost the control group: it does so 500 ms after
  /// the last confirmation of its state.
  static constexpr std::chrono::milliseconds kSilentAfter{ 1000 };
  static constexpr std::chrono::milliseconds kRepeatAfter{ 1000 };

private:
  struct Host
  {
    Instant reportedAt{};
    Instant withdrawnAt{};
  };
  Instant mElectedAt{};
  std::map<std::string, Host> mHosts;
};

} // namespace rattandyke::scheduling
