#include "config/table_rows.h"

namespace rattandyke::config {

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;
using std::chrono_literals::operator""min;

std::vector<Setting>
LimitRows()
{
  return {
    { "limits",
      "workers",
      "threads",
      "2",
      Reload::Restart,
      "Threads that serve callers.",
      CountKind{
        [](Settings & aSettings) -> auto& { return aSettings.limits.workers;
}
, 1, 64
}
}
, { "limits",
    "header_bytes",
    "bytes",
    "16384",
    Reload::Restart,
    "Largest header of a request or answer.",
    CountKind{
      [](Settings & aSettings) -> auto& { return aSettings.limits.headerBytes;
}
, kKiB, kMiB
}
}
, { "limits",
    "body_bytes",
    "bytes",
    "4294967296",
    Reload::Restart,
    "Largest body of a caller's request.",
    CountKind{
      [](Settings & aSettings) -> auto& { return aSettings.limits.bodyBytes;
}
, kKiB, 1024 * kGiB
}
}
, { "limits",
    "replay_bytes",
    "bytes",
    "65536",
    Reload::Restart,
    "A body up to this size is read before its request starts, so that it "
    "can be sent again.",
    CountKind{
      [](Settings & aSettings) -> auto& { return aSettings.limits.replayBytes;
}
, 0, 16 * kMiB
}
}
, { "limits",
    "stored_answer_bytes",
    "bytes",
    "16384",
    Reload::Restart,
    "Largest answer kept for a repeat with the same Idempotency-Key.",
    CountKind{ [](Settings & aSettings)
                 -> auto& { return aSettings.limits.storedAnswerBytes;
}
, 0, kMiB
}
}
, { "limits",
    "admin_body_bytes",
    "bytes",
    "1048576",
    Reload::Restart,
    "Largest body of an operator's call.",
    CountKind{ [](Settings &
                  aSettings) -> auto& { return aSettings.limits.adminBodyBytes;
}
, kKiB, 64 * kMiB
}
}
, { "limits",
    "connections",
    "connections",
    "20000",
    Reload::Restart,
    "Callers' connections; one more is closed at once.",
    CountKind{
      [](Settings & aSettings) -> auto& { return aSettings.limits.connections;
}
, 1, 1'000'000
}
}
, { "limits",
    "admin_connections",
    "connections",
    "256",
    Reload::Restart,
    "Operators' connections; one more is closed at once.",
    CountKind{ [](Settings & aSettings)
                 -> auto& { return aSettings.limits.adminConnections;
}
, 1, 100'000
}
}
, { "limits",
    "admin_connections_per_peer",
    "connections",
    "64",
    Reload::Restart,
    "Operators' connections from one IP address.",
    CountKind{ [](Settings & aSettings)
                 -> auto& { return aSettings.limits.adminConnectionsPerPeer;
}
, 1, 100'000
}
}
, { "limits",
    "idle_connections_per_upstream",
    "connections",
    "4",
    Reload::Restart,
    "Idle connections kept to one upstream.",
    CountKind{ [](Settings &
                  aSettings) -> auto& { return aSettings.limits.idlePerUpstream;
}
, 0, 10'000
}
}
, { "limits",
    "read_timeout",
    "ms",
    "10000",
    Reload::Restart,
    "From a request's first byte to the end of its header.",
    DurationKind{
      [](Settings & aSettings) -> auto& { return aSettings.limits.readTimeout;
}
, 100ms, 10min
}
}
, { "limits",
    "stall_timeout",
    "ms",
    "10000",
    Reload::Restart,
    "Longest silence of a caller within a body, or while it does not read.",
    DurationKind{
      [](Settings & aSettings) -> auto& { return aSettings.limits.stallTimeout;
}
, 100ms, 10min
}
}
, { "limits",
    "answer_stall_timeout",
    "ms",
    "30000",
    Reload::Restart,
    "Longest silence of an upstream within an answer's body.",
    DurationKind{ [](Settings & aSettings)
                    -> auto& { return aSettings.limits.answerStallTimeout;
}
, 100ms, 60min
}
}
, { "limits",
    "idle_timeout",
    "ms",
    "60000",
    Reload::Restart,
    "How long a connection without a request is kept.",
    DurationKind{
      [](Settings & aSettings) -> auto& { return aSettings.limits.idleTimeout;
}
, 100ms, 60min
}
}
, { "limits",
    "connect_timeout",
    "ms",
    "1000",
    Reload::Restart,
    "Longest time for a connection to an upstream.",
    DurationKind{ [](Settings & aSettings)
                    -> auto& { return aSettings.limits.connectTimeout;
}
, 10ms, 60s
}
}
, { "limits",
    "call_timeout",
    "ms",
    "5000",
    Reload::Restart,
    "Longest time for an operator's call to the leader.",
    DurationKind{
      [](Settings & aSettings) -> auto& { return aSettings.limits.callTimeout;
}
, 100ms, 60s
}
}
, { "limits",
    "drain_notice",
    "ms",
    "1000",
    Reload::Restart,
    "How long a host that shuts down still accepts connections, so that the "
    "balancer sees its health page first.",
    DurationKind{
      [](Settings & aSettings) -> auto& { return aSettings.limits.drainNotice;
}
, 0ms, 10min
}
}
, { "limits",
    "shutdown_grace",
    "ms",
    "30000",
    Reload::Restart,
    "How long a graceful shutdown waits for requests in flight.",
    DurationKind{
      [](Settings & aSettings) -> auto& { return aSettings.limits.shutdownGrace;
}
, 0ms, 60min
}
}
,
}
;
}

std::vector<Setting>
LeaseRows()
{
  return {
    { "leases",
      "heartbeat",
      "ms",
      "100",
      Reload::Restart,
      "Time between a host's heartbeats to the leader.",
      DurationKind{
        [](Settings & aSettings) -> auto& { return aSettings.leases.heartbeat;
}
, 10ms, 10s
}
}
, { "leases",
    "host_lease",
    "ms",
    "800",
    Reload::Restart,
    "How long a host may route without an answered heartbeat. The same on "
    "all hosts.",
    DurationKind{
      [](Settings & aSettings) -> auto& { return aSettings.leases.hostLease;
}
, 50ms, 60s
}
}
, { "leases",
    "upstream_lease",
    "ms",
    "800",
    Reload::Restart,
    "How long an upstream may work without an answered announcement. The "
    "same on all hosts.",
    DurationKind{
      [](Settings & aSettings) -> auto& { return aSettings.leases.upstreamLease;
}
, 50ms, 60s
}
}
, { "leases",
    "announce_interval",
    "ms",
    "150",
    Reload::Restart,
    "Pause between an upstream's announcements that it is told.",
    DurationKind{ [](Settings & aSettings)
                    -> auto& { return aSettings.leases.announceInterval;
}
, 10ms, 20s
}
}
, { "leases",
    "leader_timeout",
    "ms",
    "250",
    Reload::Restart,
    "Without an answered heartbeat for so long, a host looks for another "
    "leader.",
    DurationKind{
      [](Settings & aSettings) -> auto& { return aSettings.leases.leaderTimeout;
}
, 20ms, 60s
}
}
,
}
;
}

} // namespace rattandyke::config
