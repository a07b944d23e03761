// Loads of services without keys, which are reported to the leader.
#include "gateway/demand_wire.h"
#include "gateway/request_handler.h"

namespace rattandyke::gateway {

namespace {

/// @return whether an upstream has refused an attempt. Some upstreams reset the
/// connection when they are full, so a connection that broke counts as well. An
/// upstream that can't be reached does not: it is not busy.
bool
IsRefused(const AttemptResult& aResult)
{
  return aResult.kind == AttemptResult::Kind::NotExecuted ||
         (aResult.kind == AttemptResult::Kind::OutcomeUnknown &&
          !aResult.cancelled);
}

} // namespace

void
RequestHandler::CountServiceRequest(const std::string& aService)
{
  if (mOptions.reportServices) {
    ++mServiceLoads[aService].requests;
  }
}

void
RequestHandler::CountServiceAttempt(const RequestProgress& aProgress,
                                    const AttemptResult& aResult)
{
  if (!mOptions.reportServices || aProgress.key) {
    return;
  }
  const bool refused = IsRefused(aResult);
  mServiceLoads[aProgress.service] +=
    { 0, refused ? Duration::zero() : aResult.elapsed, refused ? 1U : 0U };
}

/// Times are reported in whole milliseconds. The rest stays for the next
/// report; otherwise services with short response times would look idle.
void
RequestHandler::TakeServiceLoads(wire::FeedReport& aReport)
{
  for (auto& [service, load] : mServiceLoads) {
    const auto reported =
      std::chrono::floor<std::chrono::milliseconds>(load.busy);
    const bool changed =
      load.requests > 0 || load.refused > 0 || reported > Duration::zero();
    if (changed) {
      *aReport.add_services() = ToMessage(service, load);
    }
    load = { 0, load.busy - reported, 0 };
  }
}

} // namespace rattandyke::gateway
