#include "capacity/wire_slopes.h"

#include <functional>

#include <google/protobuf/io/coded_stream.h>

#include "capacity/samples.h"
#include "capacity/stopwatch.h"

namespace rattandyke::capacity {
namespace {

using AddOne = std::function<void(wire::Envelope&, size_t)>;

/// @param aStart an envelope without the thing that is counted.
Fit
BytesPer(const wire::Envelope& aStart,
         const std::vector<size_t>& aSizes,
         const AddOne& aAdd)
{
  std::vector<Point> points;
  for (const size_t size : aSizes) {
    wire::Envelope envelope = aStart;
    for (size_t one = 0; one < size; ++one) {
      aAdd(envelope, one);
    }
    points.push_back({ static_cast<double>(size),
                       static_cast<double>(envelope.ByteSizeLong()) });
  }
  return FitLine(std::move(points));
}

wire::Envelope
EnvelopeOf(size_t aSender)
{
  wire::Envelope envelope;
  envelope.set_from(HostText(aSender));
  envelope.set_from_session(0x9e3779b97f4a7c15ULL);
  return envelope;
}

wire::Envelope
HeartbeatEnvelope()
{
  wire::Envelope envelope = EnvelopeOf(1);
  *envelope.mutable_heartbeat() = IdleHeartbeat();
  return envelope;
}

wire::Envelope
ReplyEnvelope()
{
  wire::Envelope envelope = EnvelopeOf(0);
  *envelope.mutable_heartbeat_reply() = IdleReply();
  return envelope;
}

wire::Envelope
UpdateEnvelope()
{
  wire::Envelope envelope = ReplyEnvelope();
  auto& update = *envelope.mutable_heartbeat_reply()->mutable_update();
  update.set_from_version(1);
  update.set_to_version(2);
  return envelope;
}

wire::TableUpdate&
UpdateIn(wire::Envelope& aEnvelope)
{
  return *aEnvelope.mutable_heartbeat_reply()->mutable_update();
}

void
MeasureHeartbeats(WireSlopes& aSlopes)
{
  const wire::Envelope idle = HeartbeatEnvelope();
  const std::vector<size_t> sizes{ 1, 10, 100, 1000 };
  aSlopes.heartbeatPerUpstream =
    BytesPer(idle, { 1, 3, 10, 30 }, [](auto& aEnvelope, size_t aOne) {
      *aEnvelope.mutable_heartbeat()->add_upstreams() = ReportOf(aOne);
    });
  aSlopes.heartbeatPerEvidence =
    BytesPer(idle, sizes, [](auto& aEnvelope, size_t aOne) {
      *aEnvelope.mutable_heartbeat()->add_evidence() = EvidenceOf(aOne);
    });
  aSlopes.heartbeatPerSlotLoad =
    BytesPer(idle, sizes, [](auto& aEnvelope, size_t aOne) {
      *aEnvelope.mutable_heartbeat()->add_slot_loads() = SlotLoadOf(aOne);
    });
  aSlopes.heartbeatPerHotKey =
    BytesPer(idle, sizes, [](auto& aEnvelope, size_t aOne) {
      *aEnvelope.mutable_heartbeat()->add_hot_keys() = KeyLoadOf(aOne);
    });
  wire::Envelope withDigest = idle;
  withDigest.mutable_heartbeat()->set_hosts_digest(0x9e3779b97f4a7c15ULL);
  aSlopes.hostsDigestBytes =
    static_cast<double>(withDigest.ByteSizeLong() - idle.ByteSizeLong());
  aSlopes.replyPerLiveHost =
    BytesPer(ReplyEnvelope(), sizes, [](auto& aEnvelope, size_t aOne) {
      aEnvelope.mutable_heartbeat_reply()->mutable_hosts()->add_entries(
        HostText(aOne));
    });
}

void
MeasureUpdates(WireSlopes& aSlopes)
{
  const wire::Envelope update = UpdateEnvelope();
  const std::vector<size_t> sizes{ 1, 10, 100, 1000 };
  aSlopes.updatePerUpstream =
    BytesPer(update, sizes, [](auto& aEnvelope, size_t aOne) {
      *UpdateIn(aEnvelope).add_upstreams() = UpstreamOf(aOne);
    });
  aSlopes.updatePerSlot =
    BytesPer(update, sizes, [](auto& aEnvelope, size_t aOne) {
      *UpdateIn(aEnvelope).add_owners() = SlotOwnerOf(aOne, aOne);
    });
  aSlopes.updatePerHotKey =
    BytesPer(update, sizes, [](auto& aEnvelope, size_t aOne) {
      *UpdateIn(aEnvelope).add_owners() = HotKeyOwnerOf(aOne, aOne);
    });
  aSlopes.updatePerRecord =
    BytesPer(update, sizes, [](auto& aEnvelope, size_t) {
      *UpdateIn(aEnvelope).add_records() = ServiceRecordOf(1024);
    });
}

/// Slot and upstream as numbers; slots of one batch share a fence. Numbers at
/// the target size take three bytes each.
Fit
MeasureCompact()
{
  constexpr uint32_t kLargeSlot = 250'000;
  constexpr uint32_t kLargeUpstream = 17'000;
  constexpr size_t kFenceBytes = 8;
  using google::protobuf::io::CodedOutputStream;
  std::vector<Point> points;
  for (const uint32_t size : { 1U, 10U, 100U, 1000U }) {
    size_t bytes = kFenceBytes;
    for (uint32_t one = 0; one < size; ++one) {
      bytes += CodedOutputStream::VarintSize32(kLargeSlot + one);
      bytes += CodedOutputStream::VarintSize32(kLargeUpstream + one);
    }
    points.push_back({ static_cast<double>(size), static_cast<double>(bytes) });
  }
  return FitLine(std::move(points));
}

Fit
MeasureCoding()
{
  constexpr int kRounds = 5;
  constexpr int kMessages = 2000;
  std::vector<Point> points;
  for (const size_t size : { 0U, 3U, 10U, 30U }) {
    wire::Envelope envelope = HeartbeatEnvelope();
    for (size_t one = 0; one < size; ++one) {
      *envelope.mutable_heartbeat()->add_upstreams() = ReportOf(one);
    }
    const double seconds = LeastThreadSeconds(kRounds, [&] {
      for (int message = 0; message < kMessages; ++message) {
        wire::Envelope read;
        read.ParseFromString(envelope.SerializeAsString());
      }
    });
    points.push_back({ static_cast<double>(size), seconds / kMessages });
  }
  return FitLine(std::move(points));
}

} // namespace

WireSlopes
MeasureWire(Printer& aPrinter)
{
  WireSlopes slopes;
  MeasureHeartbeats(slopes);
  MeasureUpdates(slopes);
  slopes.compactPerSlot = MeasureCompact();
  slopes.codingPerUpstream = MeasureCoding();
  aPrinter.Heading("messages between hosts");
  const auto print = [&](const char* aName, const char* aPer, const Fit& aFit) {
    aPrinter.Slope(aName, "bytes", aPer, aFit);
  };
  print("heartbeat_bytes", "upstream", slopes.heartbeatPerUpstream);
  print("heartbeat_evidence_bytes", "upstream", slopes.heartbeatPerEvidence);
  print("heartbeat_slot_load_bytes", "slot", slopes.heartbeatPerSlotLoad);
  print("heartbeat_hot_key_bytes", "key", slopes.heartbeatPerHotKey);
  aPrinter.Value("heartbeat_hosts_digest_bytes",
                 slopes.hostsDigestBytes,
                 "bytes",
                 "the digest of the list of hosts in a heartbeat");
  print("reply_bytes", "live_host", slopes.replyPerLiveHost);
  print("update_upstream_bytes", "upstream", slopes.updatePerUpstream);
  print("update_slot_bytes", "slot", slopes.updatePerSlot);
  print("update_hot_key_bytes", "key", slopes.updatePerHotKey);
  print("update_record_bytes", "record", slopes.updatePerRecord);
  print("compact_slot_bytes", "slot", slopes.compactPerSlot);
  aPrinter.Slope("heartbeat_coding", "s", "upstream", slopes.codingPerUpstream);
  return slopes;
}

} // namespace rattandyke::capacity
