/// Measurement of the queue of incoming bytes on a host's link.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include <rattandyke/types.h>

namespace rattandyke::scheduling {

/// Decides when a host sends probes to the control host that it follows, and
/// derives the queueing delay of incoming bytes from the answers.
///
/// The queue of incoming bytes is at the other end of the link, where this host
/// can't see it. A probe that is returned at once waits in that queue: its
/// round-trip time is that of an idle link, plus the delays of the queues in
/// both directions. Does no I/O. Not thread-safe.
class LinkProber
{
public:
  /// Interval of probes while the link is busy.
  static constexpr Duration kBusyInterval = std::chrono::milliseconds{ 100 };
  /// Interval of probes while the link is idle or nobody answers. They keep the
  /// lowest round-trip time known, and find a queue on a link that is slower
  /// than configured.
  static constexpr Duration kIdleInterval = std::chrono::seconds{ 1 };
  /// A longer time between two ticks means that this host was paused. The
  /// round-trip times of outstanding probes then include the pause.
  static constexpr Duration kMaxTickGap = std::chrono::milliseconds{ 50 };

  /// What the host knows when it calls Tick().
  struct Conditions
  {
    /// Number of the connection on which a probe would be sent, if there is
    /// one. Another number means another connection.
    std::optional<uint64_t> connection;
    /// Whether the link was more than half busy in the last second.
    bool busy = false;
    /// Time until the bytes written so far have left.
    Duration sendDelay{};
  };

  /// Numbers of probes by their end.
  struct Counts
  {
    uint64_t answered = 0;
    /// Discarded because this host was paused.
    uint64_t invalidated = 0;
    /// Lost with their connection, or not answered for too long.
    uint64_t unanswered = 0;
  };

  /// Must be called at least every kMaxTickGap.
  /// @return the id of a probe that must be sent now, if any.
  std::optional<uint64_t> Tick(const Conditions& aConditions, Instant aNow);

  /// Records the answer to a probe.
  void OnReply(uint64_t aId, Instant aNow);

  /// @return the delay of the queue of incoming bytes; zero if it is unknown.
  Duration ReceiveDelay(Instant aNow) const;

  const Counts& Ended() const { return mEnded; }

private:
  struct Probe
  {
    uint64_t id = 0;
    Instant sentAt{};
    /// Conditions::sendDelay when it was sent.
    Duration sendDelay{};
  };

  /// Forgets all measurements; the next probes take another path.
  void Restart(std::optional<uint64_t> aConnection);
  /// Discards the outstanding probes if this host was paused.
  void InvalidateAfterPause(Instant aNow);
  bool WasPaused(Instant aNow) const;
  /// @return whether probes are outstanding and the control host has stopped
  /// answering.
  bool IsSilent(Instant aNow) const;
  /// Updates the round-trip time of an idle link.
  void UpdateBase(Duration aRoundTrip, Instant aNow);
  /// @return the part of a round-trip time that is due to the incoming queue.
  Duration QueueingPart(Duration aRoundTrip, Duration aSendDelay) const;

  std::optional<uint64_t> mConnection;
  Instant mTickedAt{};
  Instant mSentAt{};
  Instant mAnsweredAt{};
  uint64_t mLastId = 0;
  /// Oldest first, at most kMaxOutstanding.
  std::deque<Probe> mOutstanding;
  /// Round-trip time of an idle link; nullopt before the first answer on this
  /// connection.
  std::optional<Duration> mBase;
  /// Lowest round-trip time since mWindowStart.
  Duration mWindowLowest{};
  Instant mWindowStart{};
  /// Delay that the last answer showed, at mAnsweredAt.
  Duration mSample{};
  Counts mEnded;
};

} // namespace rattandyke::scheduling
