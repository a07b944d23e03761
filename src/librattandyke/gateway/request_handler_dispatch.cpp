// Part of RequestHandler that reports what the dispatch policy decided.
#include "gateway/request_handler.h"

#include "log/log.h"

namespace rattandyke::gateway {

CallerResponse
RequestHandler::UnavailableResponse(const RequestProgress& aProgress,
                                    const SlotUnavailable& aUnavailable) const
{
  if (aUnavailable.overCapacity) {
    log::Line(
      log::Part::Entry, log::Severity::Info, aProgress.request->requestId)
      << "refused by demand " << aUnavailable.overCapacity->Text();
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
