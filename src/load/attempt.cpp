#include "load/attempt.h"

#include "upstream/answer_body.h"

namespace rattandyke::load {

namespace {

constexpr unsigned kHttp11 = 11;

using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

Instant
Now()
{
  return std::chrono::steady_clock::now();
}

Request
MakeRequest(const Plan& aPlan,
            uint32_t aNumber,
            Duration aTimeout,
            bool aDirect)
{
  const auto verb = aPlan.write ? http::verb::post : http::verb::get;
  Request request(verb, aPlan.service->prefix + '/' + aPlan.key, kHttp11);
  request.set(http::field::host, "rattandyke");
  request.set("Customer", aPlan.customer->name.value);
  request.set("Load-Request", aPlan.id);
  request.set("Load-Attempt", std::to_string(aNumber));
  request.set("Load-Answer-Bytes", std::to_string(aPlan.service->answerBytes));
  const auto left =
    std::chrono::duration_cast<std::chrono::milliseconds>(aTimeout);
  request.set("Rattandyke-Deadline-Ms", std::to_string(left.count()));
  if (!aPlan.idempotencyKey.empty()) {
    request.set("Idempotency-Key", aPlan.idempotencyKey);
  }
  if (aDirect) {
    request.set("Rattandyke-Service", aPlan.service->name.value);
    request.set("Rattandyke-Key", aPlan.key);
    request.set("Rattandyke-Customer", aPlan.customer->name.value);
  }
  if (aPlan.write) {
    request.body().assign(aPlan.service->bodyBytes, 'b');
    request.prepare_payload();
  }
  return request;
}

std::string
Text(const Response& aResponse, const char* aName)
{
  const auto value = aResponse[aName];
  return { value.data(), value.size() };
}

bool
BelongsTo(const upstream::AnswerIdentity& aIdentity, const Plan& aPlan)
{
  return aIdentity.request == aPlan.id &&
         aIdentity.service == aPlan.service->name.value &&
         aIdentity.key == aPlan.key &&
         aIdentity.customer == aPlan.customer->name.value;
}

/// Sends on one connection. @return whether the connection may be used again.
asio::awaitable<bool>
Exchange(Connection& aConnection,
         const Plan& aPlan,
         Duration aTimeout,
         bool aDirect,
         Attempt& aAttempt)
{
  auto request = MakeRequest(aPlan, aAttempt.number, aTimeout, aDirect);
  aConnection.stream.expires_after(aTimeout);
  aAttempt.result = AttemptResult::Lost;
  auto [writeError, written] =
    co_await http::async_write(aConnection.stream, request, kNoThrow);
  if (writeError) {
    co_return false;
  }
  http::response_parser<http::string_body> parser;
  parser.body_limit(boost::none);
  auto [readError, read] = co_await http::async_read(
    aConnection.stream, aConnection.buffer, parser, kNoThrow);
  if (readError) {
    co_return false;
  }
  if (parser.need_eof()) {
    aAttempt.status = parser.get().result_int();
    aAttempt.result = AttemptResult::TruncatedAsWhole;
    co_return false;
  }
  Judge(parser.get(), aPlan, aDirect, aAttempt);
  co_return parser.get().keep_alive();
}

} // namespace

std::string_view
NameOf(AttemptResult aResult)
{
  switch (aResult) {
    case AttemptResult::Answered:
      return "answered";
    case AttemptResult::Crossed:
      return "crossed";
    case AttemptResult::TruncatedAsWhole:
      return "truncated-as-whole";
    case AttemptResult::NotRun:
      return "not-run";
    case AttemptResult::Unknown:
      return "unknown";
    case AttemptResult::RanWithoutBody:
      return "ran-without-body";
    case AttemptResult::Lost:
      return "lost";
    case AttemptResult::Unsent:
      return "unsent";
  }
  return "";
}

asio::awaitable<Attempt>
SendOnce(Connections& aConnections,
         const Plan& aPlan,
         uint32_t aNumber,
         size_t aEntry,
         Duration aTimeout,
         bool aDirect)
{
  Attempt attempt;
  attempt.number = aNumber;
  attempt.entry = aEntry;
  attempt.sent = Now();
  auto connection = co_await aConnections.Take(aEntry, aTimeout);
  if (connection) {
    const bool reusable =
      co_await Exchange(*connection, aPlan, aTimeout, aDirect, attempt);
    if (reusable) {
      aConnections.GiveBack(aEntry, std::move(connection));
    }
  }
  attempt.done = Now();
  co_return attempt;
}

void
Judge(const http::response<http::string_body>& aResponse,
      const Plan& aPlan,
      bool aDirect,
      Attempt& aAttempt)
{
  aAttempt.status = aResponse.result_int();
  aAttempt.code = Text(aResponse, "Rattandyke-Code");
  const std::string outcome = Text(aResponse, "Rattandyke-Outcome");
  if (outcome == "not-run") {
    aAttempt.result = AttemptResult::NotRun;
    return;
  }
  if (outcome != "ran" && !aDirect) {
    aAttempt.result = AttemptResult::Unknown;
    return;
  }
  if (aResponse.result() != http::status::ok || !aAttempt.code.empty()) {
    aAttempt.result = AttemptResult::RanWithoutBody;
    return;
  }
  const auto identity = upstream::ParseAnswerBody(aResponse.body());
  if (!identity) {
    aAttempt.result = AttemptResult::TruncatedAsWhole;
    return;
  }
  aAttempt.upstream = identity->upstream;
  aAttempt.fence = identity->fence;
  aAttempt.result = BelongsTo(*identity, aPlan) ? AttemptResult::Answered
                                                : AttemptResult::Crossed;
}

} // namespace rattandyke::load
