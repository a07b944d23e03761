/// Conversion of relayed requests and their results to and from the messages
/// between entry hosts.
#pragma once

#include "gateway/request_relay.h"
#include "gateway/upstream_client.h"
#include "wire/gateway.pb.h"

namespace rattandyke::gateway {

/// @return the request, without the fields that concern the attempt.
wire::RelayedRequest ToMessage(const UpstreamRequest& aRequest);

UpstreamRequest FromMessage(const wire::RelayedRequest& aMessage);

/// @param aState what the relay tells of its path.
wire::RelayedResponse ToMessage(AttemptResult aResult, wire::RelayState aState);

RelayResult FromMessage(wire::RelayedResponse aMessage);

} // namespace rattandyke::gateway
