/// The keys of a gateway host's settings file.
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/settings.h"

namespace rattandyke::gateway {

/// Specification of one key of the settings file.
struct SettingSpec
{
  std::string_view section;
  std::string_view key;
  std::string_view defaultValue;
  /// Description of the valid values, for messages and the settings page.
  std::string_view allowed;
  /// Description of the setting, for the settings page.
  std::string_view meaning;
  /// Parses a value and stores it; returns whether the value is valid.
  std::function<bool(Settings&, const std::string&)> assign;
};

/// @return all keys, grouped by section in the order of the settings page.
const std::vector<SettingSpec>& SettingSpecs();

} // namespace rattandyke::gateway
