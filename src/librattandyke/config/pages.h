/// Pages of the docs that are made from tables in code.
#pragma once

#include <string>

namespace rattandyke::config {

/// @return docs/SETTINGS.md, from AllSettings().
std::string SettingsPage();

/// @return docs/ERRORS.md, from AllCodes().
std::string ErrorsPage();

} // namespace rattandyke::config
