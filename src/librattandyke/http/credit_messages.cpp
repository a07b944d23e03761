#include "http/credit_messages.h"

#include <algorithm>

#include "entry/rate_notice.h"

namespace rattandyke::http {

namespace {

using admission::Ending;
using std::chrono::microseconds;

/// No message may reserve a slot for longer, whatever its sender's clock did.
constexpr Duration kLongest = std::chrono::hours(1);

uint64_t
InMicroseconds(Duration aTime)
{
  const auto time = std::chrono::duration_cast<microseconds>(aTime).count();
  return static_cast<uint64_t>(std::max<int64_t>(time, 0));
}

Duration
FromMicroseconds(uint64_t aTime)
{
  const uint64_t most = InMicroseconds(kLongest);
  return microseconds(static_cast<int64_t>(std::min(aTime, most)));
}

wire::CreditEnding
ToWire(Ending aEnding)
{
  switch (aEnding) {
    case Ending::Succeeded:
      return wire::CREDIT_ENDING_SUCCEEDED;
    case Ending::Failed:
      return wire::CREDIT_ENDING_FAILED;
    case Ending::Shed:
      return wire::CREDIT_ENDING_SHED;
    case Ending::Cancelled:
      return wire::CREDIT_ENDING_CANCELLED;
  }
  return wire::CREDIT_ENDING_CANCELLED;
}

Ending
FromWire(wire::CreditEnding aEnding)
{
  switch (aEnding) {
    case wire::CREDIT_ENDING_SUCCEEDED:
      return Ending::Succeeded;
    case wire::CREDIT_ENDING_FAILED:
      return Ending::Failed;
    case wire::CREDIT_ENDING_SHED:
      return Ending::Shed;
    default:
      return Ending::Cancelled;
  }
}

wire::CreditState
ToWire(entry::CreditState aState)
{
  switch (aState) {
    case entry::CreditState::Queued:
      return wire::CREDIT_STATE_QUEUED;
    case entry::CreditState::Granted:
      return wire::CREDIT_STATE_GRANTED;
    case entry::CreditState::Refused:
      return wire::CREDIT_STATE_REFUSED;
  }
  return wire::CREDIT_STATE_UNSPECIFIED;
}

template<typename Message>
Message
About(const UpstreamLife& aLife, uint64_t aRequest)
{
  Message message;
  message.set_service(aLife.service);
  message.set_upstream(aLife.name);
  message.set_incarnation(aLife.incarnation);
  message.set_request(aRequest);
  return message;
}

} // namespace

wire::CreditRequest
AskMessage(const UpstreamLife& aLife,
           const admission::Offer& aOffer,
           uint32_t aUsableSlots,
           Instant aNow)
{
  auto message = About<wire::CreditRequest>(aLife, aOffer.ticket.value);
  wire::CreditAsk& ask = *message.mutable_ask();
  ask.set_customer(aOffer.customer.value);
  ask.set_weight(aOffer.share.weight);
  ask.set_max_concurrent(aOffer.share.maxConcurrent);
  ask.set_rate_per_second(aOffer.share.ratePerSecond);
  ask.set_admit_within_us(InMicroseconds(aOffer.admitBy - aNow));
  ask.set_finish_within_us(InMicroseconds(aOffer.deadline - aNow));
  ask.set_idempotent(aOffer.idempotent);
  ask.set_usable_slots(aUsableSlots);
  return message;
}

wire::CreditRequest
ReturnMessage(const UpstreamLife& aLife,
              admission::Ticket aTicket,
              const std::optional<admission::Finished>& aFinished)
{
  auto message = About<wire::CreditRequest>(aLife, aTicket.value);
  wire::CreditReturn& giveBack = *message.mutable_give_back();
  if (aFinished) {
    giveBack.set_ending(ToWire(aFinished->ending));
    giveBack.set_service_time_us(InMicroseconds(aFinished->serviceTime));
    giveBack.set_retry_after_us(InMicroseconds(aFinished->retryAfter));
  }
  return message;
}

wire::CreditAnswer
AnswerMessage(const UpstreamLife& aLife, const entry::CreditAnswer& aAnswer)
{
  auto message = About<wire::CreditAnswer>(aLife, aAnswer.key.request);
  message.set_state(ToWire(aAnswer.state));
  message.set_code(static_cast<uint32_t>(aAnswer.code));
  message.set_retry_after_us(InMicroseconds(aAnswer.retryAfter));
  return message;
}

wire::CreditAnswer
ReturnedMessage(const UpstreamLife& aLife, uint64_t aRequest)
{
  auto message = About<wire::CreditAnswer>(aLife, aRequest);
  message.set_state(wire::CREDIT_STATE_RETURNED);
  return message;
}

entry::credit_event::Asked
AskedIn(const wire::CreditRequest& aMessage, entry::CreditKey aKey)
{
  const wire::CreditAsk& ask = aMessage.ask();
  return { std::move(aKey),
           CustomerName{ ask.customer() },
           { ask.weight(), ask.max_concurrent(), ask.rate_per_second() },
           FromMicroseconds(ask.admit_within_us()),
           FromMicroseconds(ask.finish_within_us()),
           ask.idempotent() };
}

entry::credit_event::Returned
ReturnedIn(const wire::CreditRequest& aMessage, entry::CreditKey aKey)
{
  const wire::CreditReturn& giveBack = aMessage.give_back();
  if (giveBack.ending() == wire::CREDIT_ENDING_UNUSED) {
    return { std::move(aKey), std::nullopt };
  }
  return { std::move(aKey),
           admission::Finished{ {},
                                FromWire(giveBack.ending()),
                                FromMicroseconds(giveBack.service_time_us()),
                                FromMicroseconds(giveBack.retry_after_us()) } };
}

wire::RateNotice
NoticeMessage(const NamedRate& aRate, Instant aNow)
{
  return entry::ToWire({ aRate.RequestsPerSecond(), aRate.ToldAt() }, aNow);
}

bool
ApplyNotice(const wire::RateNotice& aMessage, NamedRate& aRate, Instant aNow)
{
  const entry::RateNotice notice = entry::FromWire(aMessage, aNow);
  return aRate.Update(notice.requestsPerSecond, notice.toldAt);
}

std::optional<entry::CreditAnswered>
AnsweredIn(const wire::CreditAnswer& aMessage)
{
  const admission::Ticket ticket{ aMessage.request() };
  switch (aMessage.state()) {
    case wire::CREDIT_STATE_QUEUED:
      return entry::CreditAnswered{ ticket, entry::CreditState::Queued };
    case wire::CREDIT_STATE_GRANTED:
      return entry::CreditAnswered{ ticket, entry::CreditState::Granted };
    case wire::CREDIT_STATE_REFUSED:
      return entry::CreditAnswered{ ticket,
                                    entry::CreditState::Refused,
                                    static_cast<Code>(aMessage.code()),
                                    FromMicroseconds(
                                      aMessage.retry_after_us()) };
    default:
      return std::nullopt;
  }
}

} // namespace rattandyke::http
