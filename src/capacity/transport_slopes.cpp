#include "capacity/transport_slopes.h"

#include <atomic>
#include <stdexcept>
#include <thread>

#include "capacity/counting_relay.h"
#include "capacity/samples.h"
#include "capacity/stopwatch.h"
#include "net/peer_transport.h"

namespace rattandyke::capacity {
namespace {

const HostName kLeader{ "control-1" };
constexpr std::chrono::milliseconds kPoll{ 1 };

/// A transport that counts what it receives.
struct Peer
{
  explicit Peer(const std::string& aName)
    : transport({ "127.0.0.1", 0 }, HostName{ aName }, 1, {}, [this](auto) {
      ++received;
    })
  {
    if (const auto started = transport.Start(); !started) {
      throw std::runtime_error(started.error().message);
    }
  }
  ~Peer() { transport.Stop(); }

  std::atomic<uint64_t> received{ 0 };
  net::PeerTransport transport;
};

wire::Envelope
EnvelopeOfBytes(size_t aBytes)
{
  // The transport sets these two itself; set here so that they are counted
  // with the envelope and not with the framing.
  wire::Envelope envelope;
  envelope.set_from(HostText(1));
  envelope.set_from_session(1);
  envelope.set_consensus(std::string(aBytes, 'x'));
  return envelope;
}

/// A transport may drop messages. Waiting for one that was dropped would hang
/// the program, so a wait ends with an error after a while.
void
AwaitReceived(const Peer& aPeer, uint64_t aCount)
{
  // Sleeping, since a spinning thread would be counted as processor time.
  constexpr std::chrono::microseconds kPause{ 20 };
  constexpr std::chrono::seconds kLongest{ 10 };
  const Instant end = std::chrono::steady_clock::now() + kLongest;
  while (aPeer.received < aCount) {
    if (std::chrono::steady_clock::now() > end) {
      throw std::runtime_error("A message between two transports was lost.");
    }
    std::this_thread::sleep_for(kPause);
  }
}

/// A message sent before the connection stands is dropped: repeat the first.
void
Connect(Peer& aFrom, const HostName& aTo, Peer& aReceiver)
{
  const uint64_t before = aReceiver.received;
  while (aReceiver.received == before) {
    aFrom.transport.Send(aTo, EnvelopeOfBytes(1));
    std::this_thread::sleep_for(kPoll);
  }
  // Repeats that are still on their way must not count as what follows.
  std::this_thread::sleep_for(50 * kPoll);
}

/// One message at a time, as heartbeats are: each is a segment of its own.
Fit
MeasureBytes()
{
  constexpr uint64_t kMessages = 400;
  std::vector<Point> points;
  for (const size_t size : { 100U, 400U, 1600U, 6400U }) {
    Peer leader(kLeader.value);
    Peer host(HostText(1));
    const CountingRelay relay(leader.transport.Listening());
    host.transport.SetPeer(kLeader, relay.Listening());
    Connect(host, kLeader, leader);
    const uint64_t received = leader.received;
    const uint64_t before = relay.Total().bytes;
    for (uint64_t sent = 1; sent <= kMessages; ++sent) {
      host.transport.Send(kLeader, EnvelopeOfBytes(size));
      AwaitReceived(leader, received + sent);
    }
    points.push_back(
      { static_cast<double>(EnvelopeOfBytes(size).ByteSizeLong()),
        static_cast<double>(relay.Total().bytes - before) / kMessages });
  }
  return FitLine(std::move(points));
}

struct IdleTraffic
{
  Fit bytes;
  Fit segments;
};

IdleTraffic
MeasureIdle()
{
  constexpr std::chrono::seconds kWatched{ 2 };
  std::vector<Point> bytes;
  std::vector<Point> segments;
  for (const size_t connections : { 1U, 4U, 16U }) {
    Peer leader(kLeader.value);
    const CountingRelay relay(leader.transport.Listening());
    std::vector<std::unique_ptr<Peer>> hosts;
    for (size_t host = 0; host < connections; ++host) {
      hosts.push_back(std::make_unique<Peer>(HostText(host)));
      hosts.back()->transport.SetPeer(kLeader, relay.Listening());
      Connect(*hosts.back(), kLeader, leader);
    }
    const Traffic before = relay.Total();
    std::this_thread::sleep_for(kWatched);
    const Traffic after = relay.Total();
    const auto perSecond = [&](uint64_t aCount) {
      return static_cast<double>(aCount) / kWatched.count();
    };
    const auto size = static_cast<double>(connections);
    bytes.push_back({ size, perSecond(after.bytes - before.bytes) });
    segments.push_back({ size, perSecond(after.segments - before.segments) });
  }
  return { FitLine(std::move(bytes)), FitLine(std::move(segments)) };
}

/// @param aHosts send one message each, and the next when all have arrived. 1:
/// each wakes its receiver, as on a quiet host. Many: they share wake-ups, as
/// at a leader that always has work.
Fit
MeasureCpu(size_t aHosts)
{
  constexpr int kRounds = 3;
  Peer leader(kLeader.value);
  std::vector<std::unique_ptr<Peer>> hosts;
  for (size_t host = 0; host < aHosts; ++host) {
    hosts.push_back(std::make_unique<Peer>(HostText(host)));
    hosts.back()->transport.SetPeer(kLeader, leader.transport.Listening());
    Connect(*hosts.back(), kLeader, leader);
  }
  wire::Envelope envelope;
  *envelope.mutable_heartbeat() = IdleHeartbeat();
  std::vector<Point> points;
  for (const uint64_t messages : { 1024U, 2048U, 4096U }) {
    const double seconds =
      LeastCpuSeconds(kRounds, CLOCK_PROCESS_CPUTIME_ID, [&] {
        const uint64_t before = leader.received;
        for (uint64_t sent = 1; sent <= messages; ++sent) {
          hosts[sent % aHosts]->transport.Send(kLeader, envelope);
          if (sent % aHosts == 0) {
            AwaitReceived(leader, before + sent);
          }
        }
      });
    points.push_back({ static_cast<double>(messages), seconds });
  }
  return FitLine(std::move(points));
}

} // namespace

TransportSlopes
MeasureTransport(Printer& aPrinter)
{
  TransportSlopes slopes;
  slopes.bytesPerEnvelopeByte = MeasureBytes();
  const IdleTraffic idle = MeasureIdle();
  slopes.idleBytesPerConnection = idle.bytes;
  slopes.idleSegmentsPerConnection = idle.segments;
  slopes.cpuPerMessage = MeasureCpu(1);
  slopes.busyCpuPerMessage = MeasureCpu(16);
  aPrinter.Heading("transport between hosts");
  aPrinter.Slope(
    "connection_bytes", "bytes", "envelope_byte", slopes.bytesPerEnvelopeByte);
  aPrinter.Slope("idle_connection_bytes",
                 "bytes/s",
                 "connection",
                 slopes.idleBytesPerConnection);
  aPrinter.Slope("idle_connection_segments",
                 "segments/s",
                 "connection",
                 slopes.idleSegmentsPerConnection);
  aPrinter.Slope("transport_cpu", "s", "message", slopes.cpuPerMessage);
  aPrinter.Slope(
    "busy_transport_cpu", "s", "message", slopes.busyCpuPerMessage);
  return slopes;
}

} // namespace rattandyke::capacity
