/// Accounting of the traffic on a host's network link by purpose.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include <rattandyke/types.h>

namespace rattandyke::scheduling {

/// Purpose of the bytes on a link.
enum class LinkUse : uint8_t
{
  /// Requests and responses of callers.
  Callers,
  /// Requests and responses of upstreams.
  Upstreams,
  /// Messages about slots that this host allocates.
  SlotsAllocated,
  /// Messages about slots that this host requests.
  SlotsRequested,
  /// Replicated state, load reports and pings.
  Feed,
};

inline constexpr std::array kAllLinkUses{ LinkUse::Callers,
                                          LinkUse::Upstreams,
                                          LinkUse::SlotsAllocated,
                                          LinkUse::SlotsRequested,
                                          LinkUse::Feed };

enum class LinkDirection : uint8_t
{
  In,
  Out,
};

/// @return the label value in metrics and log lines.
std::string_view NameOf(LinkUse aUse);
std::string_view NameOf(LinkDirection aDirection);

/// Counts the bytes that a host sends and receives by purpose, with an estimate
/// of the packet headers that they need on the link. Does no I/O. Not
/// thread-safe.
class LinkMeter
{
public:
  static constexpr size_t kUses = kAllLinkUses.size();
  static constexpr size_t kDirections = 2;

  /// Traffic since a point in time.
  struct Traffic
  {
    /// Bytes on the link, headers included.
    uint64_t bytes = 0;
    uint64_t messages = 0;
  };

  /// Mean use of the link over an interval.
  struct Report
  {
    Duration interval{};
    std::array<std::array<Traffic, kDirections>, kUses> traffic{};

    const Traffic& Of(LinkUse aUse, LinkDirection aDirection) const;

    /// @return the share of the link's bandwidth in the busier direction; 0 if
    /// the bandwidth is unknown.
    double BusyShare(double aBytesPerSecond) const;

    /// @return the traffic as `use=bytes_in/bytes_out` pairs, for a log line.
    std::string Text() const;
  };

  explicit LinkMeter(Instant aNow);

  /// @param aBytes size of a message without packet headers.
  /// @return its size on the link, headers included.
  static size_t BytesOnLink(size_t aBytes);

  /// Counts one message.
  /// @param aBytes its size without packet headers.
  void Record(LinkUse aUse, LinkDirection aDirection, size_t aBytes);

  /// @return the traffic since the start of the process.
  const Traffic& Total(LinkUse aUse, LinkDirection aDirection) const;

  /// @return the bytes of all uses since the start of the process.
  uint64_t TotalBytes(LinkDirection aDirection) const;

  /// @return the traffic since the last call, or since the construction.
  Report TakeReport(Instant aNow);

private:
  Instant mReportedAt;
  Report mTotal;
  Report mReported;
};

} // namespace rattandyke::scheduling
