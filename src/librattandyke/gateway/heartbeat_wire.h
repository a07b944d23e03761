/// Heartbeats and their answers between control hosts.
#pragma once

#include <rattandyke/result.h>

#include "gateway/heartbeat.h"
#include "wire/gateway.pb.h"

namespace rattandyke::gateway {

/// @param aId by which the answer is known.
wire::ForwardedHeartbeat ToWire(const Heartbeat& aHeartbeat, uint64_t aId);

Heartbeat FromWire(const wire::ForwardedHeartbeat& aHeartbeat);

/// Where later heartbeats should go is not told: whoever asked says so itself.
wire::ForwardedHeartbeatAnswer ToWire(const Result<HeartbeatAnswer>& aAnswer,
                                      uint64_t aId);

Result<HeartbeatAnswer> FromWire(const wire::ForwardedHeartbeatAnswer& aAnswer);

} // namespace rattandyke::gateway
