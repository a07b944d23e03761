/// Conversion between demand digests and their messages.
#pragma once

#include "scheduling/demand_table.h"
#include "scheduling/demand_view.h"
#include "wire/gateway.pb.h"

namespace rattandyke::gateway {

/// @return the digest of a message. Entries with numbers that are negative or
/// not finite are left out, and so are owners without a capacity.
scheduling::DemandDigest ToDemandDigest(const wire::DemandDigest& aMessage);

/// @return the message of a digest. Its numbers are rounded to a thousandth, so
/// that it compresses well.
wire::DemandDigest ToMessage(const scheduling::DemandDigest& aDigest);

/// @return the load in a report.
scheduling::ServiceLoad ToServiceLoad(const wire::ServiceLoad& aMessage);

/// @return the message for a service's load.
wire::ServiceLoad ToMessage(const std::string& aService,
                            const scheduling::ServiceLoad& aLoad);

} // namespace rattandyke::gateway
