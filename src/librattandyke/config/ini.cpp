#include "config/ini.h"

#include <algorithm>
#include <set>

namespace rattandyke::config {

namespace {

constexpr size_t kMaxLine = 4096;
constexpr std::string_view kBlanks = " \t\r";

bool
IsPrintable(std::string_view aText)
{
  return std::all_of(aText.begin(), aText.end(), [](unsigned char aByte) {
    return aByte >= ' ' && aByte != 0x7f;
  });
}

/// Reads line by line and remembers the section it is in.
class Reader
{
public:
  void ReadLine(std::string_view aRaw)
  {
    ++mLine;
    const std::string_view line = Trimmed(aRaw);
    if (line.empty() || line.front() == '#' || line.front() == ';') {
      return;
    }
    if (line.size() > kMaxLine) {
      Reject({}, "a longer line", "lines of at most 4096 bytes");
    } else if (!IsPrintable(line)) {
      Reject({}, "a control character", "printable text");
    } else if (line.front() == '[') {
      ReadSection(line);
    } else {
      ReadEntry(line);
    }
  }

  IniFile Take() { return std::move(mFile); }

private:
  void ReadSection(std::string_view aLine)
  {
    mSection.clear();
    if (aLine.back() != ']' || aLine.size() < 3) {
      Reject({}, std::string(aLine), "[section]");
      return;
    }
    mSection = Trimmed(aLine.substr(1, aLine.size() - 2));
    if (!mSections.insert(mSection).second) {
      Reject({}, std::string(aLine), "each section once");
    }
  }

  void ReadEntry(std::string_view aLine)
  {
    const size_t equals = aLine.find('=');
    if (equals == std::string_view::npos || equals == 0) {
      Reject({}, std::string(aLine), "key = value");
      return;
    }
    const std::string key(Trimmed(aLine.substr(0, equals)));
    const std::string value(Trimmed(aLine.substr(equals + 1)));
    if (mSection.empty()) {
      Reject(key, value, "keys below a [section]");
    } else if (!mKeys.insert(mSection + '\n' + key).second) {
      Reject(key, value, "each key once");
    } else {
      mFile.entries.push_back({ mSection, key, value, mLine });
    }
  }

  void Reject(std::string aKey, std::string aRead, std::string aAllowed)
  {
    mFile.problems.push_back({ mLine,
                               mSection,
                               std::move(aKey),
                               std::move(aRead),
                               std::move(aAllowed) });
  }

  IniFile mFile;
  std::string mSection;
  std::set<std::string> mSections;
  std::set<std::string> mKeys;
  uint32_t mLine = 0;
};

} // namespace

std::string_view
Trimmed(std::string_view aText)
{
  const size_t first = aText.find_first_not_of(kBlanks);
  if (first == std::string_view::npos) {
    return {};
  }
  const size_t last = aText.find_last_not_of(kBlanks);
  return aText.substr(first, last - first + 1);
}

IniFile
ReadIni(std::string_view aText)
{
  Reader reader;
  while (!aText.empty()) {
    const size_t end = aText.find('\n');
    reader.ReadLine(aText.substr(0, end));
    aText.remove_prefix(end == std::string_view::npos ? aText.size() : end + 1);
  }
  return reader.Take();
}

} // namespace rattandyke::config
