#include "gateway/relay_wire.h"

#include <algorithm>
#include <chrono>

#include "http/headers.h"
#include "net/message_frame.h"

namespace rattandyke::gateway {

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

wire::RelayedOutcome
ToMessage(AttemptResult::Kind aKind)
{
  switch (aKind) {
    case AttemptResult::Kind::Response:
      return wire::RELAYED_OUTCOME_RESPONSE;
    case AttemptResult::Kind::NotExecuted:
      return wire::RELAYED_OUTCOME_NOT_EXECUTED;
    case AttemptResult::Kind::NotSent:
      return wire::RELAYED_OUTCOME_NOT_SENT;
    case AttemptResult::Kind::OutcomeUnknown:
      return wire::RELAYED_OUTCOME_UNKNOWN;
  }
  return wire::RELAYED_OUTCOME_UNKNOWN;
}

/// What can't be read may have run.
AttemptResult::Kind
FromMessage(wire::RelayedOutcome aOutcome)
{
  switch (aOutcome) {
    case wire::RELAYED_OUTCOME_RESPONSE:
      return AttemptResult::Kind::Response;
    case wire::RELAYED_OUTCOME_NOT_EXECUTED:
      return AttemptResult::Kind::NotExecuted;
    case wire::RELAYED_OUTCOME_NOT_SENT:
      return AttemptResult::Kind::NotSent;
    default:
      return AttemptResult::Kind::OutcomeUnknown;
  }
}

/// @return whether a message holds a response of an upstream. Hosts of older
/// builds relay some that are none.
bool
HoldsResponse(const wire::RelayedResponse& aMessage)
{
  return net::IsFinalStatus(aMessage.status()) &&
         std::all_of(aMessage.fields().begin(),
                     aMessage.fields().end(),
                     [](const wire::RelayedField& aField) {
                       return http::IsField(aField.name(), aField.value());
                     });
}

RelayResult::Refusal
FromMessage(wire::RelayState aState)
{
  switch (aState) {
    case wire::RELAY_STATE_AGREED:
      return RelayResult::Refusal::None;
    case wire::RELAY_STATE_UNREACHABLE:
      return RelayResult::Refusal::UnreachableForOthers;
    case wire::RELAY_STATE_NOT_USABLE:
      return RelayResult::Refusal::NotUsable;
    default:
      return RelayResult::Refusal::NoRelay;
  }
}

} // namespace

wire::RelayedRequest
ToMessage(const UpstreamRequest& aRequest)
{
  wire::RelayedRequest message;
  message.set_method(aRequest.method);
  message.set_target(aRequest.target);
  message.set_fields(aRequest.fields);
  message.set_body(aRequest.body);
  message.set_has_body(aRequest.hasBody);
  message.set_request_id(aRequest.requestId);
  return message;
}

UpstreamRequest
FromMessage(const wire::RelayedRequest& aMessage)
{
  UpstreamRequest request;
  request.method = aMessage.method();
  request.target = aMessage.target();
  request.fields = aMessage.fields();
  request.body = aMessage.body();
  request.hasBody = aMessage.has_body();
  request.requestId = aMessage.request_id();
  return request;
}

wire::RelayedResponse
ToMessage(AttemptResult aResult, wire::RelayState aState)
{
  wire::RelayedResponse message;
  message.set_outcome(ToMessage(aResult.kind));
  message.set_state(aState);
  message.set_status(aResult.response.status);
  for (const auto& field : aResult.response.fields) {
    wire::RelayedField* copy = message.add_fields();
    copy->set_name(std::string(field.name_string()));
    copy->set_value(std::string(field.value()));
  }
  message.set_body(std::move(aResult.response.body));
  message.set_reason(aResult.reason);
  message.set_cancelled(aResult.cancelled);
  message.set_connection_lost(aResult.connectionLost);
  message.set_elapsed_us(duration_cast<microseconds>(aResult.elapsed).count());
  if (aResult.rest && *aResult.rest) {
    message.set_rest_ms(duration_cast<milliseconds>(**aResult.rest).count());
  }
  return message;
}

RelayResult
FromMessage(wire::RelayedResponse aMessage)
{
  RelayResult result;
  result.refusal = FromMessage(aMessage.state());
  AttemptResult& attempt = result.attempt;
  attempt.kind = FromMessage(aMessage.outcome());
  // Only a request that was not sent may be tried elsewhere.
  if (attempt.kind != AttemptResult::Kind::NotSent) {
    result.refusal = RelayResult::Refusal::None;
  }
  attempt.elapsed = microseconds{ aMessage.elapsed_us() };
  const bool responded = attempt.kind == AttemptResult::Kind::Response ||
                         attempt.kind == AttemptResult::Kind::NotExecuted;
  if (responded && !HoldsResponse(aMessage)) {
    attempt.kind = AttemptResult::Kind::OutcomeUnknown;
    attempt.reason = "the relay passed on what is no answer";
    return result;
  }
  attempt.response.status = aMessage.status();
  for (const wire::RelayedField& field : aMessage.fields()) {
    attempt.response.fields.insert(field.name(), field.value());
  }
  attempt.response.body = std::move(*aMessage.mutable_body());
  attempt.reason = aMessage.reason();
  attempt.cancelled = aMessage.cancelled();
  attempt.connectionLost = aMessage.connection_lost();
  if (aMessage.rest_ms() > 0) {
    attempt.rest = std::optional<Duration>(milliseconds{ aMessage.rest_ms() });
  }
  return result;
}

} // namespace rattandyke::gateway
