// Part of RequestHandler that holds the bodies of requests within the memory
// budget.
#include "gateway/request_handler.h"

#include <algorithm>

#include "http/headers.h"
#include "log/log.h"

namespace rattandyke::gateway {

namespace {

using std::chrono::milliseconds;

constexpr unsigned kUnavailable = 503;
/// Longest time, and share of the caller's time, for which a request waits
/// until there is room for its body.
constexpr milliseconds kMaxBodyWait{ 800 };
constexpr double kMaxBodyWaitShare = 0.3;
/// A large body is in memory for about a second.
constexpr milliseconds kRetryAfterNoRoom{ 1000 };

} // namespace

std::shared_ptr<const UpstreamRequest>
RequestHandler::MakeUpstreamRequest(CallerRequest& aRequest,
                                    const std::string& aId) const
{
  auto upstreamRequest = std::make_shared<UpstreamRequest>();
  upstreamRequest->method = aRequest.method;
  upstreamRequest->target = aRequest.target;
  upstreamRequest->body = std::move(aRequest.body);
  upstreamRequest->bodyRoom = std::move(aRequest.bodyRoom);
  upstreamRequest->hasBody = aRequest.hasBody;
  upstreamRequest->requestId = aId;
  http::ForEachEndToEnd(
    aRequest.fields, [&](std::string_view aName, std::string_view aValue) {
      const bool notForwarded =
        boost::beast::iequals(aName, mHeaders.deadline) ||
        boost::beast::iequals(aName, mHeaders.expectedInstance) ||
        boost::beast::iequals(aName, "Expect");
      if (!notForwarded) {
        http::AppendField(upstreamRequest->fields, aName, aValue);
      }
    });
  return upstreamRequest;
}

Duration
RequestHandler::ResponseTime(const boost::beast::http::fields& aFields) const
{
  return StatedTime(aFields, mHeaders);
}

/// A caller gives a request up that is not read within a second, or within a
/// third of its time.
Duration
RequestHandler::MaxBodyWait(const boost::beast::http::fields& aFields) const
{
  return std::min<Duration>(
    kMaxBodyWait, Scaled(StatedTime(aFields, mHeaders), kMaxBodyWaitShare));
}

CallerResponse
RequestHandler::MakeNoRoomResponse(const boost::beast::http::fields& aFields)
{
  const std::string id = RequestIdOf(aFields);
  log::Line(log::Part::Entry, log::Severity::Info, id)
    << "request not read: there is no room for its body length="
    << http::FieldOf(aFields, "Content-Length")
    << " bodies=" << mBodies.BytesInUse() << " budget=" << mBodies.Bytes()
    << " waiting=" << mBodies.WaitingBodies();
  mMetrics.Increment("bodies_refused", "");
  return MakeResponse(kUnavailable,
                      id,
                      "there is no room for the request's body",
                      Duration(kRetryAfterNoRoom));
}

CallerResponse
RequestHandler::MakeUnreadableResponse(
  unsigned aStatus,
  const std::string& aReason,
  const boost::beast::http::fields& aFields)
{
  mMetrics.Increment("requests_unreadable",
                     "status=\"" + std::to_string(aStatus) + "\"");
  return MakeResponse(aStatus, RequestIdOf(aFields), aReason);
}

void
RequestHandler::SetBodyMetrics()
{
  mMetrics.Set("bodies_bytes", static_cast<double>(mBodies.BytesInUse()));
  mMetrics.Set("bodies_peak_bytes", static_cast<double>(mBodies.PeakBytes()));
  mMetrics.Set("bodies_budget_bytes", static_cast<double>(mBodies.Bytes()));
  mMetrics.Set("bodies_waiting", static_cast<double>(mBodies.WaitingBodies()));
}

} // namespace rattandyke::gateway
