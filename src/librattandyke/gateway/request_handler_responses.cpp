// Part of RequestHandler that makes the responses to callers.
#include "gateway/request_handler.h"

#include <algorithm>
#include <cstdio>

#include "http/headers.h"
#include "log/log.h"

namespace rattandyke::gateway {

namespace {

using std::chrono::milliseconds;

constexpr unsigned kBadGateway = 502;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kGatewayTimeout = 504;
/// Transfer time of a response from this host to its caller, subtracted from
/// the deadline for writing it.
constexpr milliseconds kCallerDeliveryTime{ 15 };

log::Line
LogLine(const std::string& aId)
{
  return { log::Part::Entry, log::Severity::Info, aId };
}

/// @return seconds with three decimals.
std::string
FormatSeconds(Duration aTime)
{
  char text[32];
  const double seconds = std::chrono::duration<double>(aTime).count();
  std::snprintf(text, sizeof(text), "%.3f", seconds);
  return text;
}

int64_t
Milliseconds(Duration aTime)
{
  return std::chrono::duration_cast<milliseconds>(aTime).count();
}

} // namespace

bool
RequestHandler::HasAskedForRest(const AttemptResult& aResult)
{
  return aResult.rest && *aResult.rest && **aResult.rest > Duration::zero();
}

CallerResponse
RequestHandler::FinalResponse(const RequestProgress& aProgress,
                              AttemptResult aResult) const
{
  const std::string& id = aProgress.request->requestId;
  if (aResult.kind == AttemptResult::Kind::Response) {
    CallerResponse response;
    response.status = aResult.response.status;
    http::ForEachEndToEnd(aResult.response.fields,
                          [&](std::string_view aName, std::string_view aValue) {
                            if (!IsForThisHost(aName)) {
                              http::AppendField(response.fields, aName, aValue);
                            }
                          });
    response.body = std::move(aResult.response.body);
    response.bodyRoom = std::move(aResult.response.bodyRoom);
    response.sendBy = aProgress.arrived + Duration(aProgress.route->objective) -
                      Duration(kCallerDeliveryTime);
    response.sendAtLatest = aProgress.deadline - Duration(kCallerDeliveryTime);
    return response;
  }
  if (!aProgress.mayHaveRun) {
    const bool rests = aProgress.key && HasAskedForRest(aResult);
    return NotExecutedResponse(
      aProgress,
      rests
        ? std::min<Duration>(**aResult.rest, RestingUpstreams::kMaxRetryAfter)
        : kRetryAfterFull,
      aResult.reason);
  }
  const bool timeout = aProgress.context->HasExpired();
  LogLine(id) << "request outcome unknown route=" << aProgress.route->name
              << " service=" << aProgress.service
              << " upstream=" << aProgress.lastUpstream
              << " sent=" << aProgress.sentAttempts
              << " reason=" << aResult.reason
              << " after_ms=" << Milliseconds(mClock.Now() - aProgress.arrived);
  return MakeResponse(
    timeout ? kGatewayTimeout : kBadGateway, id, aResult.reason);
}

CallerResponse
RequestHandler::NotExecutedResponse(const RequestProgress& aProgress,
                                    Duration aRetryAfter,
                                    const std::string& aReason) const
{
  const std::string& id = aProgress.request->requestId;
  if (aProgress.mayHaveRun) {
    return MakeResponse(kBadGateway, id, aReason);
  }
  LogLine(id) << "request not run route=" << aProgress.route->name
              << " service=" << aProgress.service << " key="
              << (aProgress.key ? std::to_string(*aProgress.key) : "-")
              << " reason=" << aReason << " last=" << aProgress.lastFailure
              << " owner=" << (aProgress.owner.empty() ? "-" : aProgress.owner)
              << " upstream=" << aProgress.lastUpstream
              << " index=" << mFeed.CurrentState().AppliedIndex().value
              << " age_ms=" << Milliseconds(mFeed.StateAge())
              << " after_ms=" << Milliseconds(mClock.Now() - aProgress.arrived);
  return MakeResponse(kUnavailable, id, aReason, aRetryAfter);
}

CallerResponse
RequestHandler::MakeResponse(unsigned aStatus,
                             const std::string& aId,
                             const std::string& aText,
                             std::optional<Duration> aRetryAfter) const
{
  CallerResponse response;
  response.status = aStatus;
  if (!aId.empty()) {
    http::AppendField(response.fields, mHeaders.requestId, aId);
  }
  if (aRetryAfter) {
    http::AppendField(
      response.fields, "Retry-After", FormatSeconds(*aRetryAfter));
  }
  http::AppendField(response.fields, "Content-Type", "text/plain");
  response.body = aText + "\n";
  return response;
}

CallerResponse
RequestHandler::MakeErrorResponse(unsigned aStatus,
                                  const std::string& aText) const
{
  return MakeResponse(aStatus, {}, aText);
}

} // namespace rattandyke::gateway
