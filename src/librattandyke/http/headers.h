/// Header fields as they pass between callers and upstreams.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

namespace rattandyke::http {

using Fields = boost::beast::http::fields;
using RequestHead = boost::beast::http::request_header<>;
using AnswerHead = boost::beast::http::response_header<>;

inline constexpr std::string_view kOutcomeHeader = "Rattandyke-Outcome";
inline constexpr std::string_view kRefusedHeader = "Rattandyke-Refused";
inline constexpr std::string_view kCodeHeader = "Rattandyke-Code";
inline constexpr std::string_view kRequestIdHeader = "Rattandyke-Request-Id";
inline constexpr std::string_view kDeadlineHeader = "Rattandyke-Deadline-Ms";
inline constexpr std::string_view kRateLimitHeader = "Rattandyke-Rate-Limit";
inline constexpr std::string_view kIdempotencyKeyHeader = "Idempotency-Key";

/// How the end of a message's body is marked.
struct Framing
{
  enum class Kind
  {
    None,
    Length,
    Chunked
  };
  Kind kind = Kind::None;
  uint64_t length = 0;
  bool operator==(const Framing&) const = default;
};

inline std::string_view
View(boost::beast::string_view aText)
{
  return { aText.data(), aText.size() };
}

/// @return the value of the first field of that name, or an empty text.
std::string_view FieldOf(const Fields& aFields, std::string_view aName);

/// Appends "name: value" and the line's end.
void AppendField(std::string& aOut,
                 std::string_view aName,
                 std::string_view aValue);

/// Appends Content-Length or Transfer-Encoding; nothing for Kind::None.
void AppendFraming(std::string& aOut, const Framing& aFraming);

/// Calls aEach(name, value) for every field that is passed on: not those of
/// one hop or of framing, nor any that only rattandyke may set.
template<typename Each>
void ForEachEndToEnd(const Fields& aFields, Each&& aEach);

/// Whether a field concerns one connection only (RFC 9110, 7.6.1), or frames
/// the body and so is made anew.
bool IsHopByHop(std::string_view aName);

/// Whether only rattandyke or an upstream talking to it may set the field.
bool IsReserved(std::string_view aName);

/// Whether a Connection field names aName as one of this hop.
bool IsNamedByConnection(const Fields& aFields, std::string_view aName);

/// @return whether a name and a value are those of a field (RFC 9110, section
/// 5). Readers of HTTP have checked theirs.
bool IsField(std::string_view aName, std::string_view aValue);

/// Every byte but unreserved ones (RFC 3986) as %XX.
std::string PercentEncode(std::string_view aText);

/// @return nothing for a broken escape.
std::optional<std::string> PercentDecode(std::string_view aText);

template<typename Each>
void
ForEachEndToEnd(const Fields& aFields, Each&& aEach)
{
  const bool namesFields = !FieldOf(aFields, "Connection").empty();
  for (const auto& field : aFields) {
    const std::string_view name = View(field.name_string());
    const bool dropped = IsHopByHop(name) || IsReserved(name) ||
                         (namesFields && IsNamedByConnection(aFields, name));
    if (!dropped) {
      aEach(name, View(field.value()));
    }
  }
}

} // namespace rattandyke::http
