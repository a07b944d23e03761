/// Log lines: one short sentence each, with a fixed prefix for its part.
///
/// @code
/// log::Line(log::Part::Lease, log::Severity::Warning)
///   << "upstream " << name << " lapsed";
/// @endcode
#pragma once

#include <memory>
#include <ostream>
#include <sstream>
#include <string>
#include <string_view>

#include <rattandyke/types.h>

namespace rattandyke::log {

enum class Severity : uint8_t
{
  Debug,
  Info,
  Warning,
  Error
};

/// The module that speaks; each has its prefix and its own rate bound.
enum class Part : uint8_t
{
  Raft,
  Storage,
  Control,
  Lease,
  Agent,
  Entry,
  Http,
  Net,
  Admin,
  Config,
  Server,
  Metrics,
  Count
};

/// @return the part's prefix without the colon: "raft".
std::string_view NameOf(Part aPart);
/// @return "debug", "info", "warning" or "error".
std::string_view NameOf(Severity aSeverity);

enum class Format : uint8_t
{
  Text,
  Json
};

/// How and where lines are written.
struct Options
{
  Severity level = Severity::Info;
  Format format = Format::Text;
  /// Path of a log file; empty: standard error.
  std::string file;
  /// Size at which the file is rotated, in bytes; three old files are kept.
  uint64_t fileBytes = 16ULL << 20;
  /// Lines a second of each part; more are counted and left out.
  uint32_t linesPerSecond = 200;
  HostName host;
  DataCentre dataCentre;
  /// For tests: written to in place of a file or standard error.
  std::shared_ptr<std::ostream> stream;
};

/// Sets or changes where lines go. Until the first call lines are dropped.
/// Thread-safe.
void Configure(const Options& aOptions);

/// Writes out what is queued; the last call of a process.
void Flush();

/// @return whether a line of this severity would be written; lets a caller
/// leave out the work of making one.
bool Enabled(Severity aSeverity);

/// One line, written when it goes out of scope. Never blocks on its sink: a
/// full queue drops the line. Bodies, tokens and keys must not be logged;
/// control characters are escaped and long lines are cut. Thread-safe between
/// lines.
class Line
{
public:
  /// @param aRequestId the request it is about, if any.
  Line(Part aPart, Severity aSeverity, std::string_view aRequestId = {});
  ~Line();
  Line(const Line&) = delete;
  Line& operator=(const Line&) = delete;

  template<typename T>
  Line& operator<<(const T& aValue)
  {
    if (mEnabled) {
      mText << aValue;
    }
    return *this;
  }

private:
  Part mPart;
  Severity mSeverity;
  bool mEnabled;
  std::string mRequestId;
  std::ostringstream mText;
};

} // namespace rattandyke::log
