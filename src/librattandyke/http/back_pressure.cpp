#include "http/back_pressure.h"

#include <algorithm>
#include <charconv>
#include <cmath>

#include "http/headers.h"

namespace rattandyke::http {

namespace {

/// Longer times are shortened to this one: an upstream that asks for a day
/// would not be tried again after it has recovered.
constexpr double kMaxSeconds = 60;

/// @return a finite decimal number of 0 or more, or std::nullopt.
std::optional<double>
ParseDecimal(std::string_view aText)
{
  double number = 0;
  const char* const last = aText.data() + aText.size();
  const auto [end, error] =
    std::from_chars(aText.data(), last, number, std::chars_format::fixed);
  const bool valid =
    error == std::errc{} && end == last && std::isfinite(number) && number >= 0;
  return valid ? std::optional<double>(number) : std::nullopt;
}

/// @return the number in a header, std::nullopt if the header is missing, or an
/// error if it is malformed or there are several.
Result<std::optional<double>>
ReadDecimal(const boost::beast::http::fields& aFields, std::string_view aName)
{
  const size_t count = aFields.count(aName);
  if (count == 0) {
    return std::optional<double>();
  }
  const auto number = ParseDecimal(FieldOf(aFields, aName));
  if (count > 1 || !number) {
    return Fail(Code::InvalidRecord,
                "the header " + std::string(aName) + " can't be read");
  }
  return number;
}

} // namespace

Result<std::optional<double>>
ReadRateLimit(const boost::beast::http::fields& aFields, std::string_view aName)
{
  return ReadDecimal(aFields, aName);
}

Result<std::optional<Duration>>
ReadRetryAfter(const boost::beast::http::fields& aFields)
{
  return ReadDecimal(aFields, "Retry-After")
    .map([](const std::optional<double>& aSeconds) {
      return aSeconds ? std::optional(std::chrono::duration_cast<Duration>(
                          std::chrono::duration<double>(
                            std::min(*aSeconds, kMaxSeconds))))
                      : std::nullopt;
    });
}

} // namespace rattandyke::http
