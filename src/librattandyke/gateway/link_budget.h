/// Admission control by the bandwidth of a host's link.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include <rattandyke/types.h>

namespace rattandyke::gateway {

/// Admission control for requests by the inbound bandwidth of a host's link. It
/// estimates the queue of bytes that arrive, or are expected as responses of
/// upstreams, as the time until the link has transferred them.
///
/// If callers request more than the link of a small host can carry, all
/// responses are late: they queue at the other end of the link, where this host
/// can't reorder them. So a request whose response would make the queue too
/// long is rejected at once, with the time after which there is capacity.
/// Requests of lower priority are rejected at a shorter queue. The caller sends
/// a rejected request again, over this link or another host's. If the response
/// is not much longer than the request, rejecting costs more bandwidth than it
/// saves; such a request is admitted until its response would be late. Does no
/// I/O. Not thread-safe.
class LinkBudget
{
public:
  /// Share of the bandwidth for requests and responses. The rest is for
  /// messages between hosts, for packet overhead, and for keeping queues short.
  static constexpr double kUsableShare = 0.7;

  /// @param aBytesPerSecond bandwidth of the link; 0 if unlimited, then all
  /// requests are admitted.
  explicit LinkBudget(double aBytesPerSecond);

  /// Accounts for received bytes that no Admit() has reserved.
  void RecordReceived(size_t aBytes, Instant aNow);

  /// Admits or rejects a request.
  /// @param aPriority      0 is the highest priority.
  /// @param aRequestBytes  size of the request.
  /// @param aResponseBytes expected size of the response.
  /// @param aTimeout       time after which the response is too late.
  /// @return nullopt if the request is admitted, and the response's bytes are
  /// reserved; otherwise the time after which the caller may retry.
  std::optional<Duration> Admit(uint32_t aPriority,
                                size_t aRequestBytes,
                                size_t aResponseBytes,
                                Duration aTimeout,
                                Instant aNow);

  /// Releases reserved bytes that will not arrive.
  void Release(size_t aBytes);

private:
  /// @return the time that the link needs for the bytes.
  Duration TransferTime(size_t aBytes) const;

  const double mBytesPerSecond;
  /// Time at which the link has transferred all received and reserved bytes.
  Instant mLinkFreeAt{};
};

/// Moving average of the response sizes of each route. Not thread-safe.
class ResponseSizes
{
public:
  /// Records the size of a response.
  void Record(const std::string& aRoute, size_t aBytes);

  /// @return the expected size of a response of the route, in bytes.
  size_t Expected(const std::string& aRoute) const;

private:
  std::map<std::string, double> mMeanBytes;
};

} // namespace rattandyke::gateway
