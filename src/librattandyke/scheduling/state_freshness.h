/// Age of a host's copy of the replicated state.
#pragma once

#include <chrono>

#include <rattandyke/types.h>

namespace rattandyke::scheduling {

/// Measures for how long a host's state has not been confirmed up to date. A
/// host that was paused first reads the messages that arrived meanwhile. They
/// confirm a state of that time, so they do not count. Does no I/O. Not
/// thread-safe.
class StateFreshness
{
public:
  /// The state counts as outdated until the first confirmation.
  explicit StateFreshness(Instant aNow);

  /// Must be called at regular intervals well below kPauseThreshold.
  void OnTick(Instant aNow);

  /// A message arrived after which the state is known to be up to date.
  void OnConfirmed(Instant aNow);

  /// @return the time since the last confirmation.
  Duration AgeAt(Instant aNow) const;

  /// A gap between two ticks that indicates that this host was paused. A host
  /// with 0.6 of a core as a quota in each 100 ms pauses for up to 40 ms.
  static constexpr std::chrono::milliseconds kPauseThreshold{ 150 };
  /// Time after a pause in which messages may be from before its end.
  static constexpr std::chrono::milliseconds kSettlingTime{ 100 };

private:
  /// Age until the first confirmation.
  static constexpr std::chrono::hours kUnconfirmed{ 24 };

  Instant mTickedAt;
  Instant mConfirmedAt;
  Instant mIgnoredUntil{};
};

} // namespace rattandyke::scheduling
