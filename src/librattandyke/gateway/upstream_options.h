/// Options of an UpstreamSet from the settings of a host.
#pragma once

#include "base/endpoint.h"
#include "gateway/settings.h"
#include "gateway/upstream_set.h"

namespace rattandyke::gateway {

inline UpstreamSet::Options
UpstreamOptions(const Settings& aSettings)
{
  return { aSettings.drainTimeout,
           aSettings.evacuationTimeout,
           aSettings.coldFactor,
           aSettings.coldSlack,
           ToString(aSettings.AdvertisedAddress()),
           aSettings.dataCentre,
           aSettings.linkAdmission == LinkAdmission::Transfer &&
             aSettings.linkMbits > 0 };
}

} // namespace rattandyke::gateway
