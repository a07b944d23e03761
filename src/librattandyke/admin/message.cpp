#include "admin/message.h"

#include <charconv>

namespace rattandyke::admin {

namespace {

constexpr unsigned kInternalError = 500;

/// @return the text with %XX decoded, or nothing if an escape is malformed.
std::optional<std::string>
Decoded(std::string_view aText)
{
  std::string decoded;
  for (size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] != '%') {
      decoded += aText[i];
      continue;
    }
    const std::string_view hex = aText.substr(i + 1, 2);
    uint8_t byte = 0;
    const auto [stop, error] =
      std::from_chars(hex.data(), hex.data() + hex.size(), byte, 16);
    if (error != std::errc{} || hex.size() != 2 || stop != hex.end()) {
      return std::nullopt;
    }
    decoded += static_cast<char>(byte);
    i += 2;
  }
  return decoded;
}

/// Calls aTake with each part; stops when it returns false.
template<typename Take>
bool
ForEachPart(std::string_view aText, char aSeparator, Take aTake)
{
  while (!aText.empty()) {
    const size_t end = aText.find(aSeparator);
    if (!aTake(aText.substr(0, end))) {
      return false;
    }
    aText.remove_prefix(end == std::string_view::npos ? aText.size() : end + 1);
  }
  return true;
}

bool
DecodePath(std::string_view aPath, ApiRequest& aRequest)
{
  if (aPath.empty() || aPath.front() != '/') {
    return false;
  }
  return ForEachPart(aPath.substr(1), '/', [&](std::string_view aSegment) {
    const auto decoded = Decoded(aSegment);
    if (decoded) {
      aRequest.path.push_back(*decoded);
    }
    return decoded.has_value();
  });
}

bool
DecodeQuery(std::string_view aQuery, ApiRequest& aRequest)
{
  return ForEachPart(aQuery, '&', [&](std::string_view aParameter) {
    const size_t equals = aParameter.find('=');
    const auto name = Decoded(aParameter.substr(0, equals));
    const auto value = equals == std::string_view::npos
                         ? std::optional<std::string>("")
                         : Decoded(aParameter.substr(equals + 1));
    return name && value && aRequest.query.emplace(*name, *value).second;
  });
}

} // namespace

std::string
ApiRequest::Query(std::string_view aName) const
{
  const auto found = query.find(aName);
  return found == query.end() ? std::string() : found->second;
}

bool
DecodeTarget(std::string_view aTarget, ApiRequest& aRequest)
{
  const size_t mark = aTarget.find('?');
  const std::string_view query =
    mark == std::string_view::npos ? "" : aTarget.substr(mark + 1);
  return DecodePath(aTarget.substr(0, mark), aRequest) &&
         DecodeQuery(query, aRequest);
}

std::string
PercentEncoded(std::string_view aText)
{
  constexpr std::string_view kHex = "0123456789ABCDEF";
  std::string encoded;
  for (const unsigned char c : aText) {
    if ((std::isalnum(c) != 0) || c == '-' || c == '.' || c == '_' ||
        c == '~') {
      encoded += static_cast<char>(c);
    } else {
      encoded += '%';
      encoded += kHex[c >> 4U];
      encoded += kHex[c & 15U];
    }
  }
  return encoded;
}

ApiAnswer
JsonAnswer(const boost::json::value& aValue, unsigned aStatus)
{
  return { aStatus, "application/json", boost::json::serialize(aValue) + "\n" };
}

ApiAnswer
ErrorAnswer(const Error& aError)
{
  const CodeInfo& info = Describe(aError.code);
  const boost::json::object body{
    { "code", static_cast<unsigned>(aError.code) },
    { "name", info.name },
    { "message", aError.message },
    { "remedy", info.remedy },
  };
  return JsonAnswer(body,
                    info.httpStatus == 0 ? kInternalError : info.httpStatus);
}

} // namespace rattandyke::admin
