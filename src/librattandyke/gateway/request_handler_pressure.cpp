// Load reports and back pressure in the responses of upstreams.
#include "gateway/request_handler.h"

#include "http/back_pressure.h"
#include "http/headers.h"

namespace rattandyke::gateway {

namespace {

/// Value of the header by which an upstream says that it leaves.
constexpr std::string_view kIsLeaving = "1";
constexpr unsigned kMisdirected = 421;

} // namespace

/// Only the process that an address belongs to can tell whether it holds a key;
/// without keys, there is no other reason for the status.
bool
RequestHandler::IsMisdirected(const std::string& aService,
                              const std::string& aInstance,
                              const AttemptResult& aResult) const
{
  if (aResult.kind != AttemptResult::Kind::NotExecuted ||
      aResult.response.status != kMisdirected) {
    return false;
  }
  const std::string_view named =
    http::FieldOf(aResult.response.fields, mHeaders.instance);
  return named.empty() ? !OwnsKeys(aService) : named != aInstance;
}

/// What a process tells binds it and no other: one that has taken over the
/// address of another has limits and a shutdown of its own.
std::optional<Slot>
RequestHandler::ResponderOf(const Slot& aSlot,
                            const UpstreamResponse& aResponse) const
{
  const std::string named(http::FieldOf(aResponse.fields, mHeaders.instance));
  if (named.empty() || named == aSlot.instance) {
    return aSlot;
  }
  const UpstreamSet& upstreams = mSlots.Broker().Upstreams();
  if (upstreams.UsableAddress(named, mClock.Now()) != aSlot.address) {
    return std::nullopt;
  }
  return Slot{ 0, {}, named, aSlot.address, upstreams.IncarnationOf(named) };
}

void
RequestHandler::RecordLoad(const Slot& aSlot, const AttemptResult& aResult)
{
  const auto responder = ResponderOf(aSlot, aResult.response);
  if (!responder) {
    mMetrics.Increment("responses_of_unknown_upstreams");
    return;
  }
  RecordLoadReport(responder->instance, aResult.response);
  RecordBackPressure(*responder, aResult);
}

/// A load report that can't be decoded is only counted: the response is valid
/// without it.
void
RequestHandler::RecordLoadReport(const std::string& aInstance,
                                 const UpstreamResponse& aResponse)
{
  const std::string_view text = http::FieldOf(aResponse.fields, mHeaders.load);
  if (text.empty()) {
    return;
  }
  if (const auto load = mDialect.DecodeLoadReport(text)) {
    mSlots.RecordLoadReport(aInstance, *load);
  } else {
    mMetrics.Increment("loads_not_read", "");
  }
}

/// What can't be read changes nothing. A limit counts only in a response that
/// is the upstream's own.
void
RequestHandler::RecordBackPressure(const Slot& aSlot,
                                   const AttemptResult& aResult)
{
  if (!aResult.rest) {
    mMetrics.Increment("rests_not_read");
  } else if (*aResult.rest) {
    mMetrics.Increment("rests_asked");
    mSlots.RecordRest(aSlot, **aResult.rest);
  }
  if (aResult.kind != AttemptResult::Kind::Response &&
      aResult.kind != AttemptResult::Kind::NotExecuted) {
    return;
  }
  if (http::FieldOf(aResult.response.fields, mHeaders.leaving) == kIsLeaving) {
    mMetrics.Increment("leaving_responses");
    mSlots.RecordLeaving(aSlot);
  }
  const auto limit =
    http::ReadRateLimit(aResult.response.fields, mHeaders.rateLimit);
  if (!limit) {
    mMetrics.Increment("rate_limits_not_read");
    return;
  }
  if (*limit) {
    mMetrics.Increment("rate_limited_responses");
  }
  mSlots.RecordRateLimit(aSlot, *limit);
}

/// A caller can't use what an upstream tells of its load: it is outdated there,
/// and the caller does not choose the upstream.
bool
RequestHandler::IsForThisHost(std::string_view aName) const
{
  return boost::beast::iequals(aName, mHeaders.load) ||
         boost::beast::iequals(aName, mHeaders.rateLimit) ||
         boost::beast::iequals(aName, mHeaders.leaving);
}

} // namespace rattandyke::gateway
