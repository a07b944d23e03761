#include "config/table.h"

namespace rattandyke::config {

namespace {

using namespace std::chrono_literals;

constexpr uint64_t kKiB = 1024;
constexpr uint64_t kMiB = 1024 * kKiB;
constexpr uint64_t kGiB = 1024 * kMiB;

std::vector<Setting>
HostRows()
{
  return {
    { "host",
      "name",
      "",
      "host-1",
      Reload::Restart,
      "Name of this host, unique in the deployment.",
      NameKind{
        [](Settings & aSettings) -> auto& { return aSettings.host.name.value;
}
}
}
, { "host",
    "data_centre",
    "",
    "local",
    Reload::Restart,
    "Data centre that the host stands in.",
    NameKind{ [](Settings &
                 aSettings) -> auto& { return aSettings.host.dataCentre.value;
}
}
}
,
  { "host",
    "roles",
    "",
    "entry, control",
    Reload::Restart,
    "What the host does: entry takes callers' requests, control votes in "
    "the replicated log.",
    ChoicesKind{ { "entry", "control" },
                 [](Settings& aSettings, const std::vector<size_t>& aChoices) {
                   aSettings.host.entry = false;
                   aSettings.host.control = false;
                   for (const size_t choice : aChoices) {
                     (choice == 0 ? aSettings.host.entry
                                  : aSettings.host.control) = true;
                   }
                 } } },
  { "host",
    "data_folder",
    "",
    "./rattandyke-data",
    Reload::Restart,
    "Folder of the replicated log and of what the host keeps. One process "
    "at a time may use it.",
    PathKind{ [](Settings& aSettings, std::string aPath) {
      aSettings.host.dataFolder = std::move(aPath);
    } } },
}
;
}

std::vector<Setting>
ListenRows()
{
  return {
    { "listen",
      "callers",
      "",
      "127.0.0.1:7000",
      Reload::Restart,
      "Where callers' requests arrive. Port 0 takes a free one; "
      "DATA_FOLDER/ports.json tells which.",
      AddressKind{
        [](Settings & aSettings) -> auto& { return aSettings.listen.callers;
}
}
}
, { "listen",
    "upstreams",
    "",
    "127.0.0.1:7001",
    Reload::Restart,
    "Where upstreams announce themselves.",
    AddressKind{
      [](Settings & aSettings) -> auto& { return aSettings.listen.upstreams;
}
}
}
, { "listen",
    "admin",
    "",
    "127.0.0.1:7002",
    Reload::Restart,
    "Where operators' calls arrive. Beyond loopback it needs [tokens].",
    AddressKind{
      [](Settings & aSettings) -> auto& { return aSettings.listen.admin;
}
}
}
, { "listen",
    "peers",
    "",
    "127.0.0.1:7003",
    Reload::Restart,
    "Where other hosts reach this one. Beyond loopback it needs [curve].",
    AddressKind{
      [](Settings & aSettings) -> auto& { return aSettings.listen.peers;
}
}
}
,
  { "hosts",
    "NAME",
    "",
    "",
    Reload::Restart,
    "One line for each other host: its name and its peers address. A line "
    "for this host is needed if [listen] peers is on all interfaces: it "
    "tells by which IP the others reach it.",
    HostsKind{} },
  { "control",
    "hosts",
    "",
    "",
    Reload::Restart,
    "Names of the control hosts. Empty: this host alone, if [hosts] names "
    "no other.",
    NamesKind{
      [](Settings & aSettings) -> auto& { return aSettings.control.hosts;
}
}
}
, { "control",
    "election_timeout",
    "ms",
    "250",
    Reload::Restart,
    "A control host that hears its leader elects no other for so long; "
    "it waits a random time from this on. The same on all control hosts.",
    DurationKind{ [](Settings & aSettings)
                    -> auto& { return aSettings.control.electionTimeout;
}
, 20ms, 60s
}
}
,
}
;
}

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

std::vector<Setting>
LogRows()
{
  return {
    { "log",
      "level",
      "",
      "info",
      Reload::AtOnce,
      "Least severity that is written.",
      ChoiceKind{ { "debug", "info", "warning", "error" },
                  [](Settings& aSettings, size_t aChoice) {
                    aSettings.log.level = static_cast<log::Severity>(aChoice);
                  } } },
    { "log",
      "format",
      "",
      "text",
      Reload::AtOnce,
      "Form of a line.",
      ChoiceKind{ { "text", "json" },
                  [](Settings& aSettings, size_t aChoice) {
                    aSettings.log.format = static_cast<log::Format>(aChoice);
                  } } },
    { "log",
      "file",
      "",
      "",
      Reload::AtOnce,
      "Log file; empty: standard error.",
      PathKind{ [](Settings& aSettings, std::string aPath) {
                 aSettings.log.file = std::move(aPath);
               },
                true } },
    { "log",
      "file_bytes",
      "bytes",
      "16777216",
      Reload::AtOnce,
      "Size at which the file is rotated; three old ones are kept.",
      CountKind{
        [](Settings & aSettings) -> auto& { return aSettings.log.fileBytes;
}
, 64 * kKiB, 4 * kGiB
}
}
, { "log",
    "lines_per_second",
    "lines",
    "200",
    Reload::AtOnce,
    "Lines a second of each part; more are counted, not written.",
    CountKind{
      [](Settings & aSettings) -> auto& { return aSettings.log.linesPerSecond;
}
, 1, 1'000'000
}
}
,
}
;
}

std::vector<Setting>
SecretRows()
{
  return {
    { "tokens",
      "NAME",
      "",
      "",
      Reload::AtOnce,
      "One line for each operator's token: who has it, what it allows, and "
      "the token's SHA-256 in hex. None: every call from loopback is allowed.",
      TokensKind{} },
    { "curve",
      "public_key",
      "",
      "",
      Reload::Restart,
      "This host's public key, made by `rattandyke keys new`.",
      CurveKeyKind{
        [](Settings & aSettings) -> auto& { return aSettings.curve.publicKey;
}
}
}
, { "curve",
    "secret_key",
    "",
    "",
    Reload::Restart,
    "This host's secret key. Keep the file readable by its owner only.",
    CurveKeyKind{
      [](Settings & aSettings) -> auto& { return aSettings.curve.secretKey;
}
}
}
, { "curve",
    "peers_public_key",
    "",
    "",
    Reload::Restart,
    "Public key that the other hosts present.",
    CurveKeyKind{
      [](Settings & aSettings) -> auto& { return aSettings.curve.peersPublicKey;
}
}
}
,
}
;
}

std::vector<Setting>
MakeTable()
{
  std::vector<Setting> table;
  for (auto rows : { HostRows(),
                     ListenRows(),
                     LimitRows(),
                     LeaseRows(),
                     LogRows(),
                     SecretRows() }) {
    table.insert(table.end(), rows.begin(), rows.end());
  }
  return table;
}

} // namespace

std::span<const Setting>
AllSettings()
{
  static const std::vector<Setting> sTable = MakeTable();
  return sTable;
}

} // namespace rattandyke::config
