// Parsing of one value by the kind of its setting.
#include <algorithm>
#include <charconv>

#include <boost/asio/ip/address.hpp>

#include "base/endpoint.h"
#include "config/ini.h"
#include "config/table.h"

namespace rattandyke::config {

namespace {

constexpr size_t kMaxName = 64;
constexpr size_t kMaxPath = 1024;
constexpr size_t kCurveKeySize = 40;
constexpr size_t kSha256Size = 64;
constexpr std::string_view kZ85 = "0123456789abcdefghijklmnopqrstuvwxyz"
                                  "ABCDEFGHIJKLMNOPQRSTUVWXYZ.-:+=^!/*?&<>()"
                                  "[]{}@%$#";

bool
IsName(std::string_view aText)
{
  return !aText.empty() && aText.size() <= kMaxName &&
         std::all_of(aText.begin(), aText.end(), [](unsigned char aByte) {
           return (std::isalnum(aByte) != 0) || aByte == '.' || aByte == '-' ||
                  aByte == '_';
         });
}

template<typename Number>
std::optional<Number>
ParseNumber(std::string_view aText)
{
  Number number{};
  const char* end = aText.data() + aText.size();
  const auto [stop, error] = std::from_chars(aText.data(), end, number);
  if (error != std::errc{} || stop != end) {
    return std::nullopt;
  }
  return number;
}

/// @return the words between commas; one empty word if the text is empty.
std::vector<std::string>
SplitAtCommas(std::string_view aText)
{
  std::vector<std::string> words;
  for (;;) {
    const size_t comma = aText.find(',');
    words.emplace_back(Trimmed(aText.substr(0, comma)));
    if (comma == std::string_view::npos) {
      return words;
    }
    aText.remove_prefix(comma + 1);
  }
}

std::string
Joined(const std::vector<std::string_view>& aWords)
{
  std::string joined;
  for (const std::string_view word : aWords) {
    joined += (joined.empty() ? "" : ", ") + std::string(word);
  }
  return joined;
}

/// Visitor that parses a value and stores it.
struct Assigner
{
  const std::string& key;
  const std::string& value;
  Settings& settings;

  bool operator()(const NameKind& aKind) const
  {
    if (!IsName(value)) {
      return false;
    }
    aKind.field(settings) = value;
    return true;
  }

  bool operator()(const NamesKind& aKind) const
  {
    std::vector<HostName> names;
    for (const std::string& word : SplitAtCommas(value)) {
      const HostName name{ word };
      if (!value.empty() &&
          (!IsName(word) || std::ranges::count(names, name))) {
        return false;
      }
      if (!word.empty()) {
        names.push_back(name);
      }
    }
    aKind.field(settings) = names;
    return true;
  }

  bool operator()(const AddressKind& aKind) const
  {
    const Result<Endpoint> endpoint = ParseEndpoint(value);
    if (endpoint) {
      aKind.field(settings) = *endpoint;
    }
    return endpoint.has_value();
  }

  bool operator()(const PathKind& aKind) const
  {
    if (value.size() > kMaxPath || (value.empty() && !aKind.emptyAllowed)) {
      return false;
    }
    aKind.assign(settings, value);
    return true;
  }

  bool operator()(const DurationKind& aKind) const
  {
    const auto number = ParseNumber<int64_t>(value);
    if (!number || *number < aKind.min.count() || *number > aKind.max.count()) {
      return false;
    }
    aKind.field(settings) = Millis(*number);
    return true;
  }

  bool operator()(const CountKind& aKind) const
  {
    const auto number = ParseNumber<uint64_t>(value);
    if (!number || *number < aKind.min || *number > aKind.max) {
      return false;
    }
    aKind.field(settings) = *number;
    return true;
  }

  bool operator()(const ChoiceKind& aKind) const
  {
    const auto found = std::ranges::find(aKind.choices, value);
    if (found == aKind.choices.end()) {
      return false;
    }
    aKind.assign(settings, found - aKind.choices.begin());
    return true;
  }

  bool operator()(const ChoicesKind& aKind) const
  {
    std::vector<size_t> choices;
    for (const std::string& word : SplitAtCommas(value)) {
      const auto found = std::ranges::find(aKind.choices, word);
      if (found == aKind.choices.end()) {
        return false;
      }
      choices.push_back(found - aKind.choices.begin());
    }
    aKind.assign(settings, choices);
    return true;
  }

  bool operator()(const CurveKeyKind& aKind) const
  {
    const bool fits =
      value.empty() || (value.size() == kCurveKeySize &&
                        value.find_first_not_of(kZ85) == std::string::npos);
    if (fits) {
      aKind.field(settings) = value;
    }
    return fits;
  }

  bool operator()(const HostsKind&) const
  {
    const Result<Endpoint> endpoint = ParseEndpoint(value);
    if (!IsName(key) || !endpoint || endpoint->port == 0) {
      return false;
    }
    settings.peers.push_back({ HostName{ key }, *endpoint });
    return true;
  }

  bool operator()(const TokensKind&) const
  {
    const size_t blank = value.find(' ');
    const std::string role = value.substr(0, blank);
    const std::string hash(
      blank == std::string::npos ? "" : Trimmed(value.substr(blank)));
    if (!IsName(key) || (role != "read-only" && role != "read-write") ||
        hash.size() != kSha256Size ||
        hash.find_first_not_of("0123456789abcdef") != std::string::npos) {
      return false;
    }
    const TokenRole tokenRole =
      role == "read-only" ? TokenRole::ReadOnly : TokenRole::ReadWrite;
    settings.tokens.push_back({ key, tokenRole, hash });
    return true;
  }
};

/// Visitor that tells what a kind takes.
struct Describer
{
  std::string_view unit;

  std::string operator()(const NameKind&) const
  {
    return "a name of 1 to 64 letters, digits, dots, dashes and underscores";
  }
  std::string operator()(const NamesKind&) const
  {
    return "names with commas between them, each once";
  }
  std::string operator()(const AddressKind&) const
  {
    return "an address by number, IP:PORT or [IPV6]:PORT";
  }
  std::string operator()(const PathKind& aKind) const
  {
    return aKind.emptyAllowed ? "a path or nothing" : "a path";
  }
  std::string operator()(const DurationKind& aKind) const
  {
    return Range(aKind.min.count(), aKind.max.count());
  }
  std::string operator()(const CountKind& aKind) const
  {
    return Range(aKind.min, aKind.max);
  }
  std::string operator()(const ChoiceKind& aKind) const
  {
    return "one of " + Joined(aKind.choices);
  }
  std::string operator()(const ChoicesKind& aKind) const
  {
    return "one or more of " + Joined(aKind.choices);
  }
  std::string operator()(const CurveKeyKind&) const
  {
    return "40 characters of Z85, or nothing";
  }
  std::string operator()(const HostsKind&) const
  {
    return "HOST = IP:PORT, the port not 0";
  }
  std::string operator()(const TokensKind&) const
  {
    return "NAME = read-only SHA256 or NAME = read-write SHA256";
  }

  template<typename Number>
  std::string Range(Number aMin, Number aMax) const
  {
    return std::to_string(aMin) + " to " + std::to_string(aMax) + " " +
           std::string(unit);
  }
};

} // namespace

std::string
Allowed(const Setting& aSetting)
{
  return std::visit(Describer{ aSetting.unit }, aSetting.kind);
}

bool
Assign(const Setting& aSetting,
       const std::string& aKey,
       const std::string& aValue,
       Settings& aSettings)
{
  return std::visit(Assigner{ aKey, aValue, aSettings }, aSetting.kind);
}

bool
IsAnyAddress(const Endpoint& aEndpoint)
{
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(aEndpoint.address, error);
  return !error && address.is_unspecified();
}

bool
IsLoopback(const Endpoint& aEndpoint)
{
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(aEndpoint.address, error);
  return !error && address.is_loopback();
}

} // namespace rattandyke::config
