// Part of RequestHandler that reports what the dispatch policy decided.
#include "gateway/request_handler.h"

#include "log/log.h"

namespace rattandyke::gateway {

namespace {

int64_t
Milliseconds(Duration aTime)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count();
}

} // namespace

CallerResponse
RequestHandler::UnavailableResponse(const RequestProgress& aProgress,
                                    const SlotUnavailable& aUnavailable) const
{
  if (aUnavailable.overCapacity) {
    const scheduling::RefuseAtOnce& refusal = *aUnavailable.overCapacity;
    log::Line(
      log::Part::Entry, log::Severity::Info, aProgress.request->requestId)
      << "refused by demand owner=" << refusal.owner.instance
      << " demand=" << refusal.owner.demand
      << " capacity=" << refusal.owner.capacity << " share=" << refusal.share
      << " digest_age_ms=" << Milliseconds(refusal.digestAge)
      << " retry_after_ms=" << Milliseconds(aUnavailable.retryAfter)
      << " booked=" << refusal.callerReturn.booked;
    return NotExecutedResponse(aProgress,
                               aUnavailable.retryAfter,
                               "the demand exceeds the owner's capacity");
  }
  const bool full = aUnavailable.reason == UpstreamSet::UnavailableReason::Full;
  return NotExecutedResponse(aProgress,
                             aUnavailable.retryAfter,
                             full ? "all upstreams are full" : "no upstream");
}

void
RequestHandler::SetDispatchMetrics()
{
  for (const auto& [label, count] : mSlots.DispatchCounts()) {
    mMetrics.SetTotal("dispatch_decisions", label, count);
  }
}

} // namespace rattandyke::gateway
