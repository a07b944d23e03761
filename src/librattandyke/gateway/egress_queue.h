/// Send queue that orders responses by deadline.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include <rattandyke/types.h>

namespace rattandyke::gateway {

/// Earliest-deadline-first queue of responses, paced to the bandwidth of the
/// host's link. It decides when each response may be written; it does no I/O.
///
/// Under load a small host's link is busy with responses most of the time, and
/// the kernel sends data in the order in which it is written. A short urgent
/// message, such as a request to an upstream or a message about its slots,
/// would wait behind tens of kilobytes at each host on its way, and a response
/// with time to spare would delay one that is nearly late. So a response is
/// written only when the link can send it: messages that bypass the queue
/// overtake it, and the response with the earliest deadline is written first.
/// Late responses follow those that are still in time, but only for a limited
/// time. Not thread-safe.
class EgressQueue
{
public:
  /// Identifies a queued response.
  using Ticket = uint64_t;

  /// @param aBytesPerSecond bandwidth of the link; 0 if unlimited, then nothing
  /// is queued.
  explicit EgressQueue(double aBytesPerSecond);

  /// Accounts for bytes that were written without queueing.
  void RecordSent(size_t aBytes, Instant aNow);

  /// @return the time until the link has sent everything that was written.
  Duration SendDelay(Instant aNow) const
  {
    return std::max(mLinkFreeAt - aNow, Duration::zero());
  }

  /// Adds a response, unless it may be written at once.
  /// @param aSendBy deadline for writing it.
  /// @return whether it may be written now. Otherwise PopReady() returns its
  /// ticket later.
  bool Enqueue(Ticket aTicket, size_t aBytes, Instant aSendBy, Instant aNow);

  /// Removes a response that is no longer to be written or that was written out
  /// of turn.
  void Remove(Ticket aTicket);

  /// Removes the responses that may be written now.
  /// @return their tickets, in the order of writing.
  std::vector<Ticket> PopReady(Instant aNow);

  /// @return the time at which the next response may be written, if one is
  /// queued.
  Instant NextReadyTime() const;

  bool IsEmpty() const { return mOnTime.empty() && mLate.empty(); }

private:
  struct QueuedResponse
  {
    Ticket ticket = 0;
    size_t bytes = 0;
    Instant enqueuedAt{};
  };
  /// Ordered by deadline (mOnTime) or by time of enqueueing (mLate), then by
  /// ticket.
  using Queue = std::map<std::pair<Instant, Ticket>, QueuedResponse>;

  /// @return whether the link is idle or about to be.
  bool CanSend(Instant aNow) const;
  /// Moves responses whose deadline has passed from mOnTime to mLate.
  void MoveLate(Instant aNow);
  /// @return the queue whose first response is next.
  Queue& NextQueue(Instant aNow);

  const double mBytesPerSecond;
  /// Time at which the link has sent everything that was written.
  Instant mLinkFreeAt{};
  Queue mOnTime;
  Queue mLate;
};

} // namespace rattandyke::gateway
