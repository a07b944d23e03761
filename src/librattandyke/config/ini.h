/// Reader of INI files. Boost.PropertyTree's reader gives no line numbers to a
/// caller and lets repeated keys pass, so this is a small strict one.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <rattandyke/result.h>

namespace rattandyke::config {

/// One line `key = value`.
struct IniEntry
{
  std::string section;
  std::string key;
  std::string value;
  /// From 1.
  uint32_t line = 0;
};

/// One thing that is wrong in a settings file.
struct Problem
{
  uint32_t line = 0;
  std::string section;
  std::string key;
  /// What was read.
  std::string read;
  /// What is allowed in its place.
  std::string allowed;
};

struct IniFile
{
  std::vector<IniEntry> entries;
  std::vector<Problem> problems;
};

/// Lines are `[section]`, `key = value`, blank, or start with # or ;. Values
/// run to the end of the line, without the blanks around them.
/// @return what was read; every line that is none of these is a problem.
IniFile ReadIni(std::string_view aText);

/// @return the blanks at both ends removed.
std::string_view Trimmed(std::string_view aText);

} // namespace rattandyke::config
