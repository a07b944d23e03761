#include "config/pages.h"

#include <rattandyke/result.h>

#include "config/table.h"

namespace rattandyke::config {

namespace {

constexpr std::string_view kSettingsIntro =
  R"(# Settings

Made by `make pages` from the table in `src/librattandyke/config/table*.cpp`; a
test fails if it is stale.

`rattandyke serve --settings FILE` reads an INI file: `[section]` lines,
`key = value` lines, blank lines, and comments that start with `#` or `;` on
lines of their own. An unknown or repeated section or key is an error, not
ignored. `rattandyke check-settings FILE` tells each problem with file, line,
key, what was read and what is allowed. Without a file a host runs alone, with
both roles, on loopback.

Times are in milliseconds. "SIGHUP" tells whether a changed value is taken
over when the process gets that signal; the log names those that need a
restart. A setting of hosts that must agree says so.

An example, one of three hosts:

```ini
[host]
name = host-1
data_centre = kolkata-1
data_folder = /var/lib/rattandyke

[listen]
callers = 127.0.0.1:7000
peers = 127.0.0.1:7003

[hosts]
host-2 = 127.0.0.1:7013
host-3 = 127.0.0.1:7023

[control]
hosts = host-1, host-2, host-3
```
)";

constexpr std::string_view kErrorsIntro =
  R"(# Result codes

Made by `make pages` from `src/librattandyke/base/result.cpp`; a test fails if
it is stale.

Every error carries a number and a name: in the header `Rattandyke-Code` of an
answer to a caller, in the fields `code` and `name` of an answer to an operator,
and in the last line of a command. A number is never reused. HTTP `-`: the code
never reaches an HTTP answer.

| number | name | HTTP | when | what to do |
| --- | --- | --- | --- | --- |
)";

std::string
Cell(std::string_view aText)
{
  return aText.empty() ? "-" : std::string(aText);
}

std::string
Quoted(std::string_view aText)
{
  std::string quoted = Cell(aText);
  if (!aText.empty()) {
    quoted.insert(quoted.begin(), '`');
    quoted += '`';
  }
  return quoted;
}

std::string
Row(const Setting& aSetting)
{
  const std::string standard = Quoted(aSetting.defaultValue);
  return "| `" + std::string(aSetting.key) + "` | " + standard + " | " +
         Cell(aSetting.unit) + " | " + Allowed(aSetting) + " | " +
         (aSetting.reload == Reload::AtOnce ? "taken over" : "restart") +
         " | " + std::string(aSetting.meaning) + " |\n";
}

} // namespace

std::string
SettingsPage()
{
  std::string page(kSettingsIntro);
  std::string_view section;
  for (const Setting& setting : AllSettings()) {
    if (setting.section != section) {
      section = setting.section;
      page += "\n## [" + std::string(section) + "]\n\n";
      page += "| key | default | unit | allowed | SIGHUP | meaning |\n";
      page += "| --- | --- | --- | --- | --- | --- |\n";
    }
    page += Row(setting);
  }
  return page;
}

std::string
ErrorsPage()
{
  std::string page(kErrorsIntro);
  for (const CodeInfo& info : AllCodes()) {
    const std::string status =
      info.httpStatus == 0 ? "-" : std::to_string(info.httpStatus);
    page += "| " + std::to_string(static_cast<uint16_t>(info.code)) + " | " +
            std::string(info.name) + " | " + status + " | " +
            std::string(info.meaning) + " | " + std::string(info.remedy) +
            " |\n";
  }
  return page;
}

} // namespace rattandyke::config
