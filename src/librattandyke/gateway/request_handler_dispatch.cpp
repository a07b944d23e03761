// Part of RequestHandler that reports why a request got no slot.
#include "gateway/request_handler.h"

#include "log/log.h"

namespace rattandyke::gateway {

namespace {

const char*
TextOf(UpstreamSet::UnavailableReason aReason)
{
  switch (aReason) {
    case UpstreamSet::UnavailableReason::NoInstance:
      return "no upstream";
    case UpstreamSet::UnavailableReason::NoOwner:
      return "the key has no owner";
    case UpstreamSet::UnavailableReason::Full:
      return "all upstreams are full";
    case UpstreamSet::UnavailableReason::Failing:
      return "the owner of the key seems to be down";
  }
  return "no upstream";
}

} // namespace

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
  return NotExecutedResponse(
    aProgress, aUnavailable.retryAfter, TextOf(aUnavailable.reason));
}

void
RequestHandler::SetDispatchMetrics()
{
  for (const auto& [label, count] : mSlots.DispatchCounts()) {
    mMetrics.SetTotal("dispatch_decisions", label, count);
  }
}

} // namespace rattandyke::gateway
