#include "http/headers.h"

#include <array>
#include <charconv>

#include <boost/beast/http/rfc7230.hpp>

namespace rattandyke::http {

namespace beast = boost::beast;

namespace {

constexpr std::array<std::string_view, 11> kHopByHop = {
  "Connection",
  "Content-Length",
  "Expect",
  "Keep-Alive",
  "Proxy-Authenticate",
  "Proxy-Authorization",
  "Proxy-Connection",
  "TE",
  "Trailer",
  "Transfer-Encoding",
  "Upgrade",
};

constexpr std::string_view kReservedPrefix = "Rattandyke-";

beast::string_view
ToBeast(std::string_view aText)
{
  return { aText.data(), aText.size() };
}

bool
EqualNames(std::string_view aOne, std::string_view aOther)
{
  return beast::iequals(ToBeast(aOne), ToBeast(aOther));
}

bool
IsUnreserved(char aByte)
{
  return (aByte >= 'a' && aByte <= 'z') || (aByte >= 'A' && aByte <= 'Z') ||
         (aByte >= '0' && aByte <= '9') || aByte == '-' || aByte == '.' ||
         aByte == '_' || aByte == '~';
}

bool
IsTokenByte(char aByte)
{
  constexpr std::string_view kMarks = "!#$%&'*+^`|";
  return IsUnreserved(aByte) || kMarks.find(aByte) != std::string_view::npos;
}

bool
IsValueByte(char aByte)
{
  constexpr uint8_t kFirstPrintable = 0x20;
  constexpr uint8_t kDelete = 0x7f;
  const auto byte = static_cast<uint8_t>(aByte);
  return aByte == '\t' || (byte >= kFirstPrintable && byte != kDelete);
}

} // namespace

std::string_view
FieldOf(const Fields& aFields, std::string_view aName)
{
  const auto found = aFields.find(ToBeast(aName));
  return found == aFields.end() ? std::string_view{} : View(found->value());
}

void
AppendField(std::string& aOut, std::string_view aName, std::string_view aValue)
{
  aOut.append(aName).append(": ").append(aValue).append("\r\n");
}

void
AppendFraming(std::string& aOut, const Framing& aFraming)
{
  switch (aFraming.kind) {
    case Framing::Kind::None:
      return;
    case Framing::Kind::Length:
      AppendField(aOut, "Content-Length", std::to_string(aFraming.length));
      return;
    case Framing::Kind::Chunked:
      AppendField(aOut, "Transfer-Encoding", "chunked");
      return;
  }
}

bool
IsHopByHop(std::string_view aName)
{
  return std::any_of(kHopByHop.begin(), kHopByHop.end(), [&](auto aEach) {
    return EqualNames(aEach, aName);
  });
}

bool
IsReserved(std::string_view aName)
{
  return aName.size() >= kReservedPrefix.size() &&
         EqualNames(aName.substr(0, kReservedPrefix.size()), kReservedPrefix);
}

bool
IsNamedByConnection(const Fields& aFields, std::string_view aName)
{
  const auto [first, last] =
    aFields.equal_range(beast::http::field::connection);
  return std::any_of(first, last, [&](const auto& aField) {
    return beast::http::token_list(aField.value()).exists(ToBeast(aName));
  });
}

bool
IsField(std::string_view aName, std::string_view aValue)
{
  return !aName.empty() &&
         std::all_of(aName.begin(), aName.end(), IsTokenByte) &&
         std::all_of(aValue.begin(), aValue.end(), IsValueByte);
}

std::string
PercentEncode(std::string_view aText)
{
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string out;
  out.reserve(aText.size());
  for (const char byte : aText) {
    if (IsUnreserved(byte)) {
      out.push_back(byte);
      continue;
    }
    const auto value = static_cast<uint8_t>(byte);
    out.push_back('%');
    out.push_back(kDigits[value >> 4]);
    out.push_back(kDigits[value & 15]);
  }
  return out;
}

std::optional<std::string>
PercentDecode(std::string_view aText)
{
  std::string out;
  out.reserve(aText.size());
  for (size_t at = 0; at < aText.size(); ++at) {
    if (aText[at] != '%') {
      out.push_back(aText[at]);
      continue;
    }
    if (at + 2 >= aText.size()) {
      return std::nullopt;
    }
    uint8_t value = 0;
    const char* first = aText.data() + at + 1;
    const auto [end, error] = std::from_chars(first, first + 2, value, 16);
    if (error != std::errc() || end != first + 2) {
      return std::nullopt;
    }
    out.push_back(static_cast<char>(value));
    at += 2;
  }
  return out;
}

} // namespace rattandyke::http
