#include "http/back_pressure.h"

#include <charconv>
#include <cmath>

#include "http/headers.h"

namespace rattandyke::http {

namespace {

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

} // namespace

Result<std::optional<double>>
ReadRateLimit(const boost::beast::http::fields& aFields, std::string_view aName)
{
  const size_t count = aFields.count(aName);
  if (count == 0) {
    return std::optional<double>();
  }
  const auto limit = ParseDecimal(FieldOf(aFields, aName));
  if (count > 1 || !limit) {
    return Fail(Code::InvalidRecord, "the rate limit can't be read");
  }
  return limit;
}

} // namespace rattandyke::http
