#include "http/own_answer.h"

#include <boost/beast/http/status.hpp>

#include "http/headers.h"

namespace rattandyke::http {

namespace {

constexpr uint32_t kStatusWithoutOwn = 500;

std::string
CodeText(Code aCode)
{
  return std::to_string(static_cast<uint32_t>(aCode)) + " " +
         std::string(Describe(aCode).name);
}

uint32_t
StatusOf(Code aCode)
{
  const uint32_t status = Describe(aCode).httpStatus;
  return status == 0 ? kStatusWithoutOwn : status;
}

int64_t
WholeSeconds(std::chrono::milliseconds aTime)
{
  return std::chrono::ceil<std::chrono::seconds>(aTime).count();
}

void
EndHead(std::string& aOut, const AnswerContext& aContext, size_t aBodySize)
{
  AppendFraming(aOut, { Framing::Kind::Length, aBodySize });
  if (!aContext.keepAlive) {
    AppendField(aOut, "Connection", "close");
  }
  aOut += "\r\n";
}

} // namespace

void
AppendStatusLine(std::string& aOut, uint32_t aStatus)
{
  const auto reason = boost::beast::http::obsolete_reason(
    boost::beast::http::int_to_status(aStatus));
  aOut.append("HTTP/1.1 ").append(std::to_string(aStatus)).append(" ");
  aOut.append(reason.data(), reason.size()).append("\r\n");
}

std::string
ErrorAnswer(const entry::flow_effect::ReplyError& aError,
            const AnswerContext& aContext)
{
  const std::string_view text =
    aError.message.empty() ? Describe(aError.code).meaning : aError.message;
  const std::string code = CodeText(aError.code);
  const std::string body = code + ": " + std::string(text) + "\n";
  std::string out;
  AppendStatusLine(out, StatusOf(aError.code));
  AppendField(out, "Content-Type", "text/plain; charset=utf-8");
  AppendField(out, kCodeHeader, code);
  AppendField(out, kOutcomeHeader, entry::NameOf(aError.outcome));
  if (!aContext.requestId.empty()) {
    AppendField(out, kRequestIdHeader, aContext.requestId);
  }
  if (aError.retryAfter.count() > 0) {
    AppendField(
      out, "Retry-After", std::to_string(WholeSeconds(aError.retryAfter)));
  }
  EndHead(out, aContext, body.size());
  return aContext.headOnly ? out : out + body;
}

std::string
StoredAnswerText(const entry::flow_effect::ReplyStored& aStored,
                 const AnswerContext& aContext)
{
  std::string out;
  AppendStatusLine(out, aStored.answer.status());
  for (const auto& header : aStored.answer.headers()) {
    AppendField(out, header.name(), header.value());
  }
  AppendField(out, kOutcomeHeader, entry::NameOf(aStored.outcome));
  AppendField(out, kRequestIdHeader, aContext.requestId);
  EndHead(out, aContext, aStored.answer.body().size());
  return aContext.headOnly ? out : out + aStored.answer.body();
}

std::string
HealthAnswer(bool aHealthy, std::string_view aReason, bool aKeepAlive)
{
  constexpr uint32_t kOk = 200;
  constexpr uint32_t kUnavailable = 503;
  std::string out;
  AppendStatusLine(out, aHealthy ? kOk : kUnavailable);
  AppendField(out, "Content-Type", "text/plain");
  const std::string body = std::string(aReason) + "\n";
  EndHead(out, { {}, false, aKeepAlive }, body.size());
  return out + body;
}

} // namespace rattandyke::http
