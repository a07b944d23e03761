#include <cmath>

#include "capacity/model.h"
#include "consensus/types.h"

namespace rattandyke::capacity {
namespace {

constexpr double kSecondsPerDay = 86400;
constexpr double kSegmentBytes = 1448;

} // namespace

double
Arithmetic::MessageBytes(double aEnvelopeBytes) const
{
  const double bytes =
    mSlopes.transport.bytesPerEnvelopeByte.At(aEnvelopeBytes);
  const double segments = std::ceil(bytes / kSegmentBytes);
  // One acknowledgement for two segments, and at least one.
  const double acknowledgements = std::ceil(segments / 2);
  return bytes + (segments + acknowledgements) * assumed.segmentHeaderBytes;
}

double
Arithmetic::ExchangeBytes(double aEnvelopeBytes, double aReplyBytes) const
{
  return MessageBytes(aEnvelopeBytes) + MessageBytes(aReplyBytes) -
         assumed.segmentHeaderBytes;
}

double
Arithmetic::HttpExchangeBytes(double aBytes) const
{
  const double segments = std::max(2.0, std::ceil(aBytes / kSegmentBytes));
  return aBytes + (segments + 1) * assumed.segmentHeaderBytes;
}

double
Arithmetic::WholeTableBytes() const
{
  const WireSlopes& wire = mSlopes.wire;
  return wire.updatePerUpstream.At(size.nodes) +
         wire.updatePerSlot.slope * size.nodes * assumed.slotsPerUpstream +
         wire.updatePerHotKey.slope * size.hotKeys;
}

double
Arithmetic::ChangesPerSecond() const
{
  return size.changesPerDay / kSecondsPerDay;
}

double
Arithmetic::LossesPerSecond() const
{
  return (size.failuresPerDay + size.restartsPerDay) / kSecondsPerDay;
}

double
Arithmetic::HotKeyChangesPerSecond() const
{
  constexpr double kSecondsPerMinute = 60;
  // Each key is released by its old owner and granted to the new one.
  constexpr double kChangesEach = 2;
  return kChangesEach * size.hotKeys /
         (assumed.hotKeyMinutes * kSecondsPerMinute);
}

double
Arithmetic::ServedAgainSeconds() const
{
  constexpr double kDrift = 1.01;
  return (proposal.hostLeaseSeconds + proposal.upstreamLeaseSeconds) * kDrift +
         mSlopes.control.lossSeconds;
}

double
Arithmetic::ElectionSeconds()
{
  const std::chrono::duration<double> longest =
    consensus::ReplicaOptions{}.electionTimeoutMax;
  return longest.count();
}

} // namespace rattandyke::capacity
