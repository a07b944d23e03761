/// The table of every setting: the one source of the parser, the defaults and
/// docs/SETTINGS.md.
#pragma once

#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "config/settings.h"

namespace rattandyke::config {

/// A word of letters, digits, dots, dashes and underscores.
struct NameKind
{
  std::string& (*field)(Settings&);
};

/// Such words with commas between them.
struct NamesKind
{
  std::vector<HostName>& (*field)(Settings&);
};

struct AddressKind
{
  Endpoint& (*field)(Settings&);
};

/// A path; may be empty if emptyAllowed.
struct PathKind
{
  void (*assign)(Settings&, std::string);
  bool emptyAllowed = false;
};

struct DurationKind
{
  Millis& (*field)(Settings&);
  Millis min;
  Millis max;
};

struct CountKind
{
  uint64_t& (*field)(Settings&);
  uint64_t min;
  uint64_t max;
};

/// One word of a list.
struct ChoiceKind
{
  std::vector<std::string_view> choices;
  void (*assign)(Settings&, size_t aChoice);
};

/// One or more words of a list, with commas between them.
struct ChoicesKind
{
  std::vector<std::string_view> choices;
  void (*assign)(Settings&, const std::vector<size_t>& aChoices);
};

/// A CURVE key as Z85 text, or empty.
struct CurveKeyKind
{
  std::string& (*field)(Settings&);
};

/// Section whose keys are host names and whose values are addresses.
struct HostsKind
{};

/// Section whose keys are token names and whose values are "ROLE SHA256".
struct TokensKind
{};

using Kind = std::variant<NameKind,
                          NamesKind,
                          AddressKind,
                          PathKind,
                          DurationKind,
                          CountKind,
                          ChoiceKind,
                          ChoicesKind,
                          CurveKeyKind,
                          HostsKind,
                          TokensKind>;

/// What SIGHUP does with a changed value.
enum class Reload
{
  AtOnce,
  Restart
};

/// One row.
struct Setting
{
  std::string_view section;
  /// "NAME" in a section of free keys.
  std::string_view key;
  /// "ms", "bytes", ... or empty.
  std::string_view unit;
  /// As it would be written in a file.
  std::string_view defaultValue;
  Reload reload;
  std::string_view meaning;
  Kind kind;

  bool FreeKey() const { return key == "NAME"; }
};

/// Every setting, in the order of the page.
std::span<const Setting> AllSettings();

/// @return what the setting takes: "an address IP:PORT", "10 to 60000 ms".
std::string Allowed(const Setting& aSetting);

/// Parses a value and stores it.
/// @param aKey the key as written; differs from the row's in free sections.
/// @return false if the value is not allowed; aSettings is then unchanged.
bool Assign(const Setting& aSetting,
            const std::string& aKey,
            const std::string& aValue,
            Settings& aSettings);

} // namespace rattandyke::config
