#include "gateway/demand_wire.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace rattandyke::gateway {

namespace {

using std::chrono::milliseconds;

/// A double of the message has this many significant bits; its other bits are
/// zero.
constexpr int kSignificantBits = 10;
/// Response times beyond this, in a single report, are not plausible.
constexpr uint64_t kMaxBusyMs = 1'000'000'000;

double
Rounded(double aValue)
{
  int exponent = 0;
  const double fraction = std::frexp(aValue, &exponent);
  return std::ldexp(std::round(std::ldexp(fraction, kSignificantBits)),
                    exponent - kSignificantBits);
}

bool
IsAmount(double aValue)
{
  return std::isfinite(aValue) && aValue >= 0;
}

uint32_t
ToUint32(uint64_t aValue)
{
  return static_cast<uint32_t>(
    std::min<uint64_t>(aValue, std::numeric_limits<uint32_t>::max()));
}

uint64_t
ToMs(Duration aTime)
{
  return static_cast<uint64_t>(std::max<int64_t>(
    std::chrono::duration_cast<milliseconds>(aTime).count(), 0));
}

} // namespace

scheduling::DemandDigest
ToDemandDigest(const wire::DemandDigest& aMessage)
{
  scheduling::DemandDigest digest;
  digest.term = aMessage.term();
  digest.sequence = aMessage.sequence();
  digest.age = milliseconds{ aMessage.age_ms() };
  digest.truncated = aMessage.truncated();
  for (const wire::OwnerDemand& owner : aMessage.owners()) {
    const bool valid = IsAmount(owner.demand()) && IsAmount(owner.capacity()) &&
                       owner.capacity() > 0;
    if (valid) {
      digest.owners.push_back(
        { owner.instance(), owner.demand(), owner.capacity() });
    }
  }
  for (const wire::ServiceDemand& service : aMessage.services()) {
    if (IsAmount(service.utilization()) && IsAmount(service.refused_share())) {
      digest.services.push_back(
        { service.service(), service.utilization(), service.refused_share() });
    }
  }
  return digest;
}

wire::DemandDigest
ToMessage(const scheduling::DemandDigest& aDigest)
{
  wire::DemandDigest message;
  message.set_term(aDigest.term);
  message.set_sequence(aDigest.sequence);
  // Rounded up, so that a digest never looks younger than it is.
  message.set_age_ms(
    ToUint32(ToMs(std::chrono::ceil<milliseconds>(aDigest.age))));
  message.set_truncated(aDigest.truncated);
  for (const scheduling::OwnerDemand& owner : aDigest.owners) {
    wire::OwnerDemand* added = message.add_owners();
    added->set_instance(owner.instance);
    added->set_demand(Rounded(owner.demand));
    added->set_capacity(Rounded(owner.capacity));
  }
  for (const scheduling::ServiceDemand& service : aDigest.services) {
    wire::ServiceDemand* added = message.add_services();
    added->set_service(service.service);
    added->set_utilization(Rounded(service.utilization));
    added->set_refused_share(Rounded(service.refusedShare));
  }
  return message;
}

scheduling::ServiceLoad
ToServiceLoad(const wire::ServiceLoad& aMessage)
{
  const uint64_t busyMs = std::min(aMessage.busy_ms(), kMaxBusyMs);
  return { aMessage.requests(),
           milliseconds{ static_cast<int64_t>(busyMs) },
           aMessage.refused() };
}

wire::ServiceLoad
ToMessage(const std::string& aService, const scheduling::ServiceLoad& aLoad)
{
  wire::ServiceLoad message;
  message.set_service(aService);
  message.set_requests(ToUint32(aLoad.requests));
  message.set_busy_ms(ToMs(aLoad.busy));
  message.set_refused(ToUint32(aLoad.refused));
  return message;
}

} // namespace rattandyke::gateway
