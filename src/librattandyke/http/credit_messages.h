/// Credits of an upstream's slots as messages between hosts.
#pragma once

#include <optional>

#include "base/named_rate.h"
#include "entry/credit_broker.h"
#include "entry/credit_client.h"
#include "wire/peer.pb.h"

namespace rattandyke::http {

/// One process life of an upstream: a new incarnation starts with empty slots.
struct UpstreamLife
{
  std::string service;
  std::string name;
  uint64_t incarnation = 0;
  auto operator<=>(const UpstreamLife&) const = default; // NOLINT(*-nullptr)
};

/// @param aMessage a CreditRequest or a CreditAnswer.
template<typename Message>
UpstreamLife
LifeOf(const Message& aMessage)
{
  return { aMessage.service(), aMessage.upstream(), aMessage.incarnation() };
}

/// @param aUsableSlots of the upstream's, by the asking entry's evidence.
wire::CreditRequest AskMessage(const UpstreamLife& aLife,
                               const admission::Offer& aOffer,
                               uint32_t aUsableSlots,
                               Instant aNow);

wire::CreditRequest ReturnMessage(
  const UpstreamLife& aLife,
  admission::Ticket aTicket,
  const std::optional<admission::Finished>& aFinished);

wire::CreditAnswer AnswerMessage(const UpstreamLife& aLife,
                                 const entry::CreditAnswer& aAnswer);

/// Acknowledges a return.
wire::CreditAnswer ReturnedMessage(const UpstreamLife& aLife,
                                   uint64_t aRequest);

/// @param aMessage has an ask.
entry::credit_event::Asked AskedIn(const wire::CreditRequest& aMessage,
                                   entry::CreditKey aKey);

/// @param aMessage has a give_back.
entry::credit_event::Returned ReturnedIn(const wire::CreditRequest& aMessage,
                                         entry::CreditKey aKey);

/// @return the notice as a message, with its age.
wire::RateNotice NoticeMessage(const NamedRate& aRate, Instant aNow);

/// Applies a notice of another host.
/// @return whether the limit changed.
bool ApplyNotice(const wire::RateNotice& aMessage,
                 NamedRate& aRate,
                 Instant aNow);

/// @return none if it is no answer to an ask.
std::optional<entry::CreditAnswered> AnsweredIn(
  const wire::CreditAnswer& aMessage);

} // namespace rattandyke::http
