/// Conversion of heartbeats and their answers to and from the messages between
/// control hosts.
#pragma once

#include <rattandyke/result.h>

#include "gateway/heartbeat.h"
#include "wire/gateway.pb.h"

namespace rattandyke::gateway {

/// @param aId correlates the answer with the heartbeat.
wire::ForwardedHeartbeat ToWire(const Heartbeat& aHeartbeat, uint64_t aId);

Heartbeat FromWire(const wire::ForwardedHeartbeat& aHeartbeat);

/// HeartbeatAnswer::heartbeatAddress is not part of the message: the control
/// host that received the heartbeat sets it.
wire::ForwardedHeartbeatAnswer ToWire(const Result<HeartbeatAnswer>& aAnswer,
                                      uint64_t aId);

Result<HeartbeatAnswer> FromWire(const wire::ForwardedHeartbeatAnswer& aAnswer);

} // namespace rattandyke::gateway
