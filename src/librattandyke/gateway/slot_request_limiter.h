/// How many asks for one upstream's slots an entry host has under way.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include <rattandyke/types.h>

namespace rattandyke::gateway {

/// Safeguard: when many requests are for one upstream, all entries together
/// would send its home an ask for each. The home, busy with these, seems
/// silent, every entry then goes by what it knows itself, and the upstream gets
/// hundreds of requests at once and resets them. So an entry has few asks under
/// way for one upstream; other requests wait here, and after a refusal are
/// refused here, too, for a time that doubles while refusals go on. It bounds
/// what a home hears of one upstream to some tens of asks at once and some
/// hundreds a second, whatever the requests and the number of entries. Does no
/// I/O. Not thread-safe.
class SlotRequestLimiter
{
public:
  /// The request asks now; one of the On... calls must tell how that ends.
  struct MayAsk
  {};
  /// It is told when its turn comes.
  struct MustWait
  {};
  /// The home has just refused others like it.
  struct IsFull
  {
    Duration retryAfter{};
  };

  using Verdict = std::variant<MayAsk, MustWait, IsFull>;

  /// What a request that waits is told.
  struct Turn
  {
    uint64_t ticket = 0;
    Verdict verdict;
  };

  /// @param aEntries entry hosts that may ask the same homes, this one
  /// included.
  explicit SlotRequestLimiter(size_t aEntries = 1);

  void SetEntries(size_t aEntries);

  /// A request wants a slot of an upstream.
  /// @param aPriority 0 goes first.
  Verdict Enter(uint64_t aTicket,
                const std::string& aInstance,
                uint32_t aPriority,
                Instant aNow);

  /// A request that waits goes.
  void Leave(uint64_t aTicket, const std::string& aInstance);

  /// The home keeps the request in its queue: it asks no more, and one of the
  /// other calls need not follow.
  std::vector<Turn> OnQueued(const std::string& aInstance);

  /// The home gave a slot.
  std::vector<Turn> OnGranted(const std::string& aInstance);

  /// The home has no slot for a request of this priority.
  /// @param aRetryAfter when it may have one.
  std::vector<Turn> OnRefused(const std::string& aInstance,
                              uint32_t aPriority,
                              Duration aRetryAfter,
                              Instant aNow);

  /// The ask ended without an answer.
  std::vector<Turn> OnGivenUp(const std::string& aInstance);

  /// Forgets upstreams for which nobody has asked for a while. Call it from
  /// time to time.
  void Sweep(Instant aNow);

  /// Upstreams about which something is remembered.
  size_t Size() const { return mLines.size(); }

private:
  /// By priority, then in the order of arrival.
  using Place = std::pair<uint32_t, uint64_t>;

  struct Line
  {
    uint32_t asking = 0;
    std::map<Place, uint64_t> waiting;
    /// Refusals since the last slot.
    uint32_t refusals = 0;
    /// Requests of this priority, and less urgent ones, are refused until then.
    uint32_t fullPriority = 0;
    Instant fullUntil{};
    /// What the home said then. It is told on as it is: while refusals go on
    /// the queue stays as long, and a caller that comes back sooner has used
    /// its second try in vain.
    Duration retryAfter{};
  };

  std::vector<Turn> PassOn(Line& aLine) const;

  uint32_t mMostAsking = 0;
  Duration mLongestFull{};
  std::map<std::string, Line> mLines;
  uint64_t mArrivals = 0;
};

} // namespace rattandyke::gateway
