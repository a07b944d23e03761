/// Whether a host's link has room for one more answer.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include <rattandyke/types.h>

namespace rattandyke::gateway {

/// Counts the bytes that come, and are expected to come, over a host's link.
///
/// Safeguard: when callers ask for more than the link of a small host carries,
/// all that it has taken on is late: answers queue at the link's other end,
/// where nobody can choose among them. So a request whose answer would make the
/// queue too long is refused at once, the less urgent ones sooner, with the
/// time after which there is room; what is taken on is in time. Its caller
/// sends it again, over the same link or another host's: where the answer is
/// not much longer than the request, refusing it costs more than it saves, up
/// to the queue in which its answer would be late. Does no I/O. Not
/// thread-safe.
class LinkBudget
{
public:
  /// Part of the link that requests and answers may use. The rest is for words
  /// between hosts, for what each packet costs, and for short queues.
  static constexpr double kUsable = 0.7;

  /// @param aBytesPerSecond of the link; 0: nothing is refused.
  explicit LinkBudget(double aBytesPerSecond);

  /// Bytes came that were not expected.
  void NoteReceived(size_t aBytes, Instant aNow);

  /// A request wants to be run.
  /// @param aPriority 0 is the most urgent one.
  /// @param aRequest  bytes of the request.
  /// @param aAnswer   bytes that its answer is expected to have.
  /// @param aInTime   longest time that its caller is kept waiting.
  /// @return nothing if there is room, which is then taken; else the time until
  /// there may be some.
  std::optional<Duration> Admit(uint32_t aPriority,
                                size_t aRequest,
                                size_t aAnswer,
                                Duration aInTime,
                                Instant aNow);

  /// Expected bytes will not come.
  void GiveBack(size_t aBytes);

private:
  Duration TimeOf(size_t aBytes) const;

  const double mBytesPerSecond;
  /// When all that is known of has come.
  Instant mFreeAt{};
};

/// How long answers are, by the name of their route. Not thread-safe.
class ResponseSizes
{
public:
  void Note(const std::string& aRoute, size_t aBytes);

  /// @return the expected length of a route's answer in bytes.
  size_t Of(const std::string& aRoute) const;

private:
  std::map<std::string, double> mSizes;
};

} // namespace rattandyke::gateway
