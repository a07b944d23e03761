#include "base/endpoint.h"

#include <charconv>
#include <optional>

#include <boost/asio/ip/address.hpp>

namespace rattandyke {

namespace {

std::optional<uint16_t>
ParsePort(std::string_view aText)
{
  uint16_t port = 0;
  const char* const last = aText.data() + aText.size();
  const auto [end, error] = std::from_chars(aText.data(), last, port);
  if (error != std::errc{} || end != last) {
    return std::nullopt;
  }
  return port;
}

/// Takes the brackets off an IPv6 address; nothing if they are unbalanced or
/// around something else.
std::optional<std::string_view>
WithoutBrackets(std::string_view aAddress)
{
  const bool hasColon = aAddress.find(':') != std::string_view::npos;
  const bool bracketed = aAddress.starts_with('[') && aAddress.ends_with(']');
  if (hasColon != bracketed) {
    return std::nullopt;
  }
  return bracketed ? aAddress.substr(1, aAddress.size() - 2) : aAddress;
}

} // namespace

Result<Endpoint>
ParseEndpoint(std::string_view aText)
{
  const auto failure = [&] {
    return Fail(Code::InvalidSettings,
                "'" + std::string(aText) +
                  "' is not an address: IP:PORT is allowed.");
  };
  const size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return failure();
  }
  const auto address = WithoutBrackets(aText.substr(0, colon));
  const auto port = ParsePort(aText.substr(colon + 1));
  if (!address || !port) {
    return failure();
  }
  boost::system::error_code error;
  boost::asio::ip::make_address(std::string(*address), error);
  if (error) {
    return failure();
  }
  return Endpoint{ std::string(*address), *port };
}

std::string
ToString(const Endpoint& aEndpoint)
{
  const bool isIpv6 = aEndpoint.address.find(':') != std::string::npos;
  const std::string address =
    isIpv6 ? "[" + aEndpoint.address + "]" : aEndpoint.address;
  return address + ":" + std::to_string(aEndpoint.port);
}

} // namespace rattandyke
