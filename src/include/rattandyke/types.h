/// Basic value types: times, identifiers, names and fencing tokens.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace rattandyke {

/// Monotonic time of one host. Decisions take it as an argument and never read
/// a clock; instants of two hosts are not comparable.
using Instant = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

/// Wall-clock time, in milliseconds since 1970-01-01 UTC. Only for showing to
/// people and for retention times; never for leases.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

/// Strongly typed value: compares only with values of the same tag.
template<typename Tag, typename Value>
struct Strong
{
  Value value{};
  auto operator<=>(const Strong&) const = default; // NOLINT(*-nullptr)
};

/// Random identifier of a host's durable state, drawn when the data folder is
/// created. A host that lost its disk gets a new one and is a new voter.
using HostIdentity = Strong<struct HostIdentityTag, uint64_t>;

/// Position in the replicated log; the first entry has index 1.
using LogIndex = Strong<struct LogIndexTag, uint64_t>;

/// Version of the routing table: the log index of its newest change.
using TableVersion = Strong<struct TableVersionTag, uint64_t>;

/// Fencing token of a grant: the log index at which the grant was committed,
/// so it increases with each grant of a slot.
using Fence = Strong<struct FenceTag, uint64_t>;

/// Names from settings and announcements; unique in a deployment.
using HostName = Strong<struct HostNameTag, std::string>;
using DataCentre = Strong<struct DataCentreTag, std::string>;
using ServiceName = Strong<struct ServiceNameTag, std::string>;
using UpstreamName = Strong<struct UpstreamNameTag, std::string>;
using CustomerName = Strong<struct CustomerNameTag, std::string>;

/// Index of a hash range of a service's keys, from 0 to the service's slots-1.
using Slot = Strong<struct SlotTag, uint32_t>;

/// An IP address and a TCP port, as written in settings: "127.0.0.1:7001".
struct Endpoint
{
  std::string address;
  uint16_t port = 0;
  auto operator<=>(const Endpoint&) const = default; // NOLINT(*-nullptr)
};

} // namespace rattandyke

template<typename Tag, typename Value>
struct std::hash<rattandyke::Strong<Tag, Value>>
{
  size_t operator()(const rattandyke::Strong<Tag, Value>& aStrong) const
  {
    return std::hash<Value>{}(aStrong.value);
  }
};
