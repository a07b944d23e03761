// Part of RequestHandler that reads the heads of requests and finds their
// routes.
#include "gateway/request_handler.h"

#include <algorithm>
#include <charconv>

#include "gateway/key_load_map.h"
#include "http/headers.h"
#include "log/log.h"

namespace rattandyke::gateway {

namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotFound = 404;
constexpr unsigned kUnavailable = 503;

/// Share of its timeout for which a request waits for the first state. A
/// rejected caller pauses for a third of the remaining time, and its second
/// request waits again: a state that arrives within two thirds of the timeout
/// is early enough.
constexpr double kMaxStateWaitShare = 0.3;
/// Retry-After of a request that came before the first state.
constexpr milliseconds kRetryAfterNoState{ 300 };
/// Timeout of a request without a deadline header.
constexpr milliseconds kDefaultTimeout{ 10000 };
/// Limits for callers where the configuration sets none.
constexpr milliseconds kDefaultIdleTimeout{ 15000 };
constexpr uint32_t kDefaultHeaderBytes = 16384;
constexpr uint64_t kDefaultBodyBytes = uint64_t{ 64 } * 1024 * 1024;

log::Line
LogLine(const std::string& aId)
{
  return { log::Part::Entry, log::Severity::Info, aId };
}

/// @return the number, nullopt if the text is not a decimal number.
std::optional<uint64_t>
ParseNumber(std::string_view aText)
{
  uint64_t number = 0;
  const char* const last = aText.data() + aText.size();
  const auto [end, error] = std::from_chars(aText.data(), last, number);
  if (aText.empty() || error != std::errc{} || end != last) {
    return std::nullopt;
  }
  return number;
}

std::string_view
WithoutPort(std::string_view aHost)
{
  const size_t colon = aHost.rfind(':');
  const bool bracketed = aHost.ends_with(']');
  return colon == std::string_view::npos || bracketed ? aHost
                                                      : aHost.substr(0, colon);
}

int64_t
Milliseconds(Duration aTime)
{
  return std::chrono::duration_cast<milliseconds>(aTime).count();
}

} // namespace

CallerLimits
RequestHandler::Limits() const
{
  const wire::LimitsItem& limits = mFeed.CurrentState().Items().Limits();
  const auto orElse = [](auto aValue, auto aDefault) {
    return aValue == 0 ? aDefault : aValue;
  };
  return { orElse(limits.max_header_bytes(), kDefaultHeaderBytes),
           orElse(limits.max_body_bytes(), kDefaultBodyBytes),
           limits.idle_timeout_ms() == 0
             ? Duration(kDefaultIdleTimeout)
             : Duration(milliseconds(limits.idle_timeout_ms())) };
}

Duration
RequestHandler::StatedTime(const boost::beast::http::fields& aFields,
                           const HeaderNames& aHeaders)
{
  const auto requestedMs =
    ParseNumber(http::FieldOf(aFields, aHeaders.deadline));
  return milliseconds(requestedMs ? static_cast<int64_t>(std::min<uint64_t>(
                                      *requestedMs, 3'600'000))
                                  : kDefaultTimeout.count());
}

std::string
RequestHandler::RequestIdOf(const boost::beast::http::fields& aFields) const
{
  return std::string(http::FieldOf(aFields, mHeaders.requestId));
}

asio::awaitable<CallerResponse>
RequestHandler::RouteRequest(std::shared_ptr<RequestContext> aContext,
                             CallerRequest aRequest)
{
  const std::string id = RequestIdOf(aRequest.fields);
  const Duration timeout = StatedTime(aRequest.fields, mHeaders);
  co_await AwaitFirstState(
    aContext, aRequest.arrived + Scaled(timeout, kMaxStateWaitShare));
  if (!HasState()) {
    co_return MakeResponse(kUnavailable,
                           id,
                           "no configuration is known yet",
                           Duration(kRetryAfterNoState));
  }
  if (auto refusal = RefuseHead(aRequest.fields, id)) {
    co_return std::move(*refusal);
  }
  const std::string_view host =
    WithoutPort(http::FieldOf(aRequest.fields, "Host"));
  const std::string_view path =
    std::string_view(aRequest.target)
      .substr(0, aRequest.target.find_first_of("?#"));
  RequestProgress progress;
  progress.route = mRoutes.Find(host, path);
  if (!progress.route) {
    LogLine(id) << "no route matches the request host=" << host
                << " path=" << path
                << " index=" << mFeed.CurrentState().AppliedIndex().value
                << " age_ms=" << Milliseconds(mFeed.StateAge());
    co_return MakeResponse(kNotFound, id, "no route matches");
  }
  progress.context = std::move(aContext);
  progress.service = NextService(*progress.route);
  progress.arrived = aRequest.arrived;
  progress.deadline =
    progress.arrived + std::min(timeout, Duration(progress.route->timeout));
  progress.statedTime = timeout;
  if (OwnsKeys(progress.service)) {
    const auto key = ParseNumber(http::FieldOf(aRequest.fields, mHeaders.key));
    if (!key || *key > kMaxKey) {
      co_return MakeResponse(kBadRequest, id, "the request has no key");
    }
    progress.key = static_cast<uint32_t>(*key);
    CountKeyRequest(progress.service, *progress.key);
  } else {
    CountServiceRequest(progress.service);
  }
  progress.credentials =
    std::string(http::FieldOf(aRequest.fields, "Authorization"));
  progress.request = MakeUpstreamRequest(aRequest, id);
  co_return co_await RunIfLinkAdmits(progress);
}

/// A field that Connection names ends here. The response to a request that went
/// on without its id could not be told from another one's.
std::optional<CallerResponse>
RequestHandler::RefuseHead(const boost::beast::http::fields& aFields,
                           const std::string& aId) const
{
  if (aId.empty()) {
    return MakeResponse(kBadRequest, aId, "the request has no id");
  }
  if (http::FieldOf(aFields, "Host").empty()) {
    return MakeResponse(kBadRequest, aId, "the request has no Host");
  }
  for (const std::string_view name : { std::string_view("Host"),
                                       std::string_view(mHeaders.requestId),
                                       std::string_view(mHeaders.deadline),
                                       std::string_view(mHeaders.key) }) {
    if (http::IsNamedByConnection(aFields, name)) {
      return MakeResponse(kBadRequest,
                          aId,
                          "Connection names " + std::string(name) +
                            ", which is for the whole way");
    }
  }
  return std::nullopt;
}

} // namespace rattandyke::gateway
