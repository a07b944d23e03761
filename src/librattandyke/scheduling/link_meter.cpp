#include "scheduling/link_meter.h"

#include <algorithm>
#include <chrono>

namespace rattandyke::scheduling {

namespace {

/// Ethernet, IP and TCP headers of a packet with timestamps.
constexpr size_t kPacketHeaderBytes = 66;
/// Payload of a full packet.
constexpr size_t kPacketPayloadBytes = 1448;

size_t
IndexOf(LinkUse aUse)
{
  return static_cast<size_t>(aUse);
}

size_t
IndexOf(LinkDirection aDirection)
{
  return static_cast<size_t>(aDirection);
}

} // namespace

LinkMeter::LinkMeter(Instant aNow)
  : mReportedAt(aNow)
{
}

size_t
LinkMeter::BytesOnLink(size_t aBytes)
{
  const size_t packets = std::max<size_t>(
    (aBytes + kPacketPayloadBytes - 1) / kPacketPayloadBytes, 1);
  return aBytes + packets * kPacketHeaderBytes;
}

void
LinkMeter::Record(LinkUse aUse, LinkDirection aDirection, size_t aBytes)
{
  Traffic& traffic = mTotal.traffic[IndexOf(aUse)][IndexOf(aDirection)];
  traffic.bytes += BytesOnLink(aBytes);
  ++traffic.messages;
}

const LinkMeter::Traffic&
LinkMeter::Total(LinkUse aUse, LinkDirection aDirection) const
{
  return mTotal.Of(aUse, aDirection);
}

uint64_t
LinkMeter::TotalBytes(LinkDirection aDirection) const
{
  uint64_t bytes = 0;
  for (const LinkUse use : kAllLinkUses) {
    bytes += Total(use, aDirection).bytes;
  }
  return bytes;
}

LinkMeter::Report
LinkMeter::TakeReport(Instant aNow)
{
  Report report;
  report.interval = aNow - mReportedAt;
  for (size_t use = 0; use < kUses; ++use) {
    for (size_t direction = 0; direction < kDirections; ++direction) {
      const Traffic& total = mTotal.traffic[use][direction];
      const Traffic& reported = mReported.traffic[use][direction];
      report.traffic[use][direction] = { total.bytes - reported.bytes,
                                         total.messages - reported.messages };
    }
  }
  mReportedAt = aNow;
  mReported = mTotal;
  return report;
}

std::string_view
NameOf(LinkUse aUse)
{
  switch (aUse) {
    case LinkUse::Callers:
      return "callers";
    case LinkUse::Upstreams:
      return "upstreams";
    case LinkUse::SlotsAllocated:
      return "slots_allocated";
    case LinkUse::SlotsRequested:
      return "slots_requested";
    case LinkUse::Feed:
      return "feed";
  }
  return {};
}

std::string_view
NameOf(LinkDirection aDirection)
{
  return aDirection == LinkDirection::In ? "in" : "out";
}

const LinkMeter::Traffic&
LinkMeter::Report::Of(LinkUse aUse, LinkDirection aDirection) const
{
  return traffic[IndexOf(aUse)][IndexOf(aDirection)];
}

double
LinkMeter::Report::BusyShare(double aBytesPerSecond) const
{
  const double seconds = std::chrono::duration<double>(interval).count();
  if (aBytesPerSecond <= 0 || seconds <= 0) {
    return 0;
  }
  std::array<uint64_t, kDirections> bytes{};
  for (const auto& use : traffic) {
    for (size_t direction = 0; direction < kDirections; ++direction) {
      bytes[direction] += use[direction].bytes;
    }
  }
  const uint64_t most = *std::max_element(bytes.begin(), bytes.end());
  return static_cast<double>(most) / (aBytesPerSecond * seconds);
}

std::string
LinkMeter::Report::Text() const
{
  std::string text;
  for (const LinkUse use : kAllLinkUses) {
    if (!text.empty()) {
      text += ' ';
    }
    text += NameOf(use);
    text += '=' + std::to_string(Of(use, LinkDirection::In).bytes) + '/' +
            std::to_string(Of(use, LinkDirection::Out).bytes);
  }
  return text;
}

} // namespace rattandyke::scheduling
