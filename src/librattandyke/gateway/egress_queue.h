/// The order in which answers leave over a host's link.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include <rattandyke/types.h>

namespace rattandyke::gateway {

/// Answers that wait for a host's link, by when they are due.
///
/// Safeguard: a small host's link is busy with answers for most of the time
/// under load, and the kernel sends in the order of writing. A message of a
/// hundred bytes that others wait for, a request to an upstream or a word about
/// its slots, then stands behind some tens of kilobytes at each host that it
/// passes, and answers with time to spare before ones that would be late. So
/// answers are handed to the kernel no sooner than the link can take them: what
/// is written meanwhile overtakes them, and the one due first goes first. An
/// answer that is late already goes after those that are not, but waits for a
/// bounded time only. Does no I/O. Not thread-safe.
class EgressQueue
{
public:
  using Ticket = uint64_t;

  /// @param aBytesPerSecond of the link; 0: nothing waits.
  explicit EgressQueue(double aBytesPerSecond);

  /// Bytes were written that do not wait.
  void RecordSent(size_t aBytes, Instant aNow);

  /// An answer is ready.
  /// @param aDue when it should have left.
  /// @return whether it may be written now; if not, TakeReady tells when.
  bool Enter(Ticket aTicket, size_t aBytes, Instant aDue, Instant aNow);

  /// An answer that waits is not to be written any more, or was written out of
  /// its turn.
  void Leave(Ticket aTicket);

  /// @return the answers that may be written now, in this order.
  std::vector<Ticket> TakeReady(Instant aNow);

  /// @return when the next answer may be written, if one waits.
  Instant NextAt() const;

  bool IsEmpty() const { return mInTime.empty() && mLate.empty(); }

private:
  struct Waiting
  {
    Ticket ticket = 0;
    size_t bytes = 0;
    Instant since{};
  };
  /// By due time, or by the time since when it waits; then by ticket.
  using Queue = std::map<std::pair<Instant, Ticket>, Waiting>;

  bool IsFree(Instant aNow) const;
  void MoveLate(Instant aNow);
  Queue& Next(Instant aNow);

  const double mBytesPerSecond;
  /// When all that was written has left.
  Instant mFreeAt{};
  Queue mInTime;
  Queue mLate;
};

} // namespace rattandyke::gateway
