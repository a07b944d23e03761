/// Limits the slot requests that an entry host sends for one upstream.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include <rattandyke/types.h>

namespace rattandyke::gateway {

/// Limits the slot requests that an entry host has in flight to the home entry
/// of each upstream. Further requests queue here. After a refusal by the home
/// entry, requests are rejected here for a time that doubles with each further
/// refusal.
///
/// Without the limit, a burst of requests for one upstream makes all entries
/// together send its home entry a slot request for each. The home entry is then
/// too busy to answer in time, every entry sends to the upstream uncoordinated,
/// and the upstream gets hundreds of requests at once and resets connections.
/// With it, a home entry receives some tens of slot requests for one upstream
/// at once and some hundreds per second, independent of the number of requests
/// and entries. Does no I/O. Not thread-safe.
class SlotRequestLimiter
{
public:
  /// The slot request may be sent now. One of the On... calls must follow with
  /// its result.
  struct Admitted
  {};
  /// The slot request waits; a later QueuedDecision admits or rejects it.
  struct Queued
  {};
  /// The home entry has just refused requests of this priority.
  struct Rejected
  {
    Duration retryAfter{};
  };

  using Decision = std::variant<Admitted, Queued, Rejected>;

  /// The decision on a queued slot request.
  struct QueuedDecision
  {
    uint64_t ticket = 0;
    Decision decision;
  };

  /// @param aEntryCount number of entry hosts that may send slot requests to
  /// the same home entries, this one included.
  explicit SlotRequestLimiter(size_t aEntryCount = 1);

  void SetEntryCount(size_t aEntryCount);

  /// Decides whether a slot request for an upstream may be sent.
  /// @param aPriority 0 is the most urgent.
  Decision Admit(uint64_t aTicket,
                 const std::string& aInstance,
                 uint32_t aPriority,
                 Instant aNow);

  /// Removes a queued slot request.
  void Cancel(uint64_t aTicket, const std::string& aInstance);

  /// The home entry has queued an admitted request. Ends its time in flight; no
  /// other On... call must follow for it.
  /// @return decisions on queued requests, as for the other On... calls.
  std::vector<QueuedDecision> OnQueued(const std::string& aInstance);

  /// The home entry has granted a slot.
  std::vector<QueuedDecision> OnGranted(const std::string& aInstance);

  /// The home entry has no slot for a request of this priority.
  /// @param aRetryAfter time after which it expects to have one.
  std::vector<QueuedDecision> OnRefused(const std::string& aInstance,
                                        uint32_t aPriority,
                                        Duration aRetryAfter,
                                        Instant aNow);

  /// An admitted request ended without an answer of the home entry.
  std::vector<QueuedDecision> OnUnanswered(const std::string& aInstance);

  /// Removes the limits of upstreams without recent slot requests. Must be
  /// called from time to time.
  void RemoveIdle(Instant aNow);

  /// @return the number of upstreams that have a limit.
  size_t Size() const { return mLimits.size(); }

private:
  /// Priority, then order of arrival.
  using QueuePosition = std::pair<uint32_t, uint64_t>;

  /// The slot requests for one upstream.
  struct Limit
  {
    uint32_t inFlight = 0;
    std::map<QueuePosition, uint64_t> waiting;
    /// Refusals since the last granted slot.
    uint32_t refusals = 0;
    /// Requests of this priority and less urgent ones are rejected until
    /// rejectUntil.
    uint32_t rejectedPriority = 0;
    Instant rejectUntil{};
    /// The home entry's value in its last refusal, passed on unchanged: while
    /// refusals continue, the home's queue does not get shorter, and a caller
    /// that retries earlier has spent its second attempt without effect.
    Duration retryAfter{};
  };

  std::vector<QueuedDecision> AdmitNext(Limit& aLimit) const;

  uint32_t mMaxInFlight = 0;
  Duration mMaxRejectTime{};
  std::map<std::string, Limit> mLimits;
  uint64_t mArrivals = 0;
};

} // namespace rattandyke::gateway
