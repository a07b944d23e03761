#include "log/log.h"

#include <array>
#include <atomic>
#include <iostream>
#include <mutex>

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <boost/log/attributes/attribute_value_impl.hpp>
#include <boost/log/attributes/constant.hpp>
#include <boost/log/attributes/value_extraction.hpp>
#include <boost/log/core.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/drop_on_overflow.hpp>
#include <boost/log/sinks/text_file_backend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>

#include "base/clock.h"
#include "log/rate_bound.h"

namespace rattandyke::log {

namespace {

namespace blog = boost::log;
namespace sinks = boost::log::sinks;

constexpr size_t kParts = static_cast<size_t>(Part::Count);
constexpr size_t kMaxLine = 2000;
constexpr size_t kQueuedLines = 4096;
constexpr size_t kFilesKept = 4;

constexpr std::array<std::string_view, kParts> kPartNames{
  "raft", "storage", "control", "lease",  "agent",  "entry",
  "http", "net",     "admin",   "config", "server", "metrics"
};
constexpr std::array<std::string_view, 4> kSeverityNames{ "debug",
                                                          "info",
                                                          "warning",
                                                          "error" };

// Safeguard: a sink that writes on the caller's thread would stop a host whose
// standard error is a pipe that nobody reads. The queue is bounded and drops.
using Queue = sinks::bounded_fifo_queue<kQueuedLines, sinks::drop_on_overflow>;
using StreamSink = sinks::asynchronous_sink<sinks::text_ostream_backend, Queue>;
using FileSink = sinks::asynchronous_sink<sinks::text_file_backend, Queue>;

std::atomic<int> sLevel{ static_cast<int>(Severity::Error) + 1 };

/// Lock order: held alone, never together with another lock.
struct Bounds
{
  std::mutex mutex;
  std::vector<RateBound> parts;
};

Bounds&
PartBounds()
{
  static Bounds sBounds;
  return sBounds;
}

struct SinkHolder
{
  std::mutex mutex;
  boost::shared_ptr<sinks::sink> sink;
  std::function<void()> stop;
};

SinkHolder&
CurrentSink()
{
  static SinkHolder sHolder;
  return sHolder;
}

std::string
Timestamp()
{
  const WallTime now = SystemClock().Wall();
  const auto millis = now.time_since_epoch().count();
  const std::time_t seconds = millis / 1000;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 40> text{};
  const size_t size =
    std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  std::snprintf(text.data() + size,
                text.size() - size,
                ".%03dZ",
                static_cast<int>(millis % 1000));
  return text.data();
}

/// Safeguard: text from callers may hold line breaks, by which they could
/// forge lines; every control character is written as an escape.
std::string
Cleaned(std::string_view aText)
{
  std::string cleaned;
  for (const char c : aText.substr(0, kMaxLine)) {
    if (static_cast<unsigned char>(c) >= ' ' && c != 0x7f) {
      cleaned += c;
      continue;
    }
    std::array<char, 8> escape{};
    std::snprintf(
      escape.data(), escape.size(), "\\x%02x", static_cast<unsigned char>(c));
    cleaned += escape.data();
  }
  if (aText.size() > kMaxLine) {
    cleaned += "...";
  }
  return cleaned;
}

std::string
TextOf(const blog::record_view& aRecord, const char* aName)
{
  return blog::extract_or_default<std::string>(aName, aRecord, std::string());
}

void
WriteText(const blog::record_view& aRecord, blog::formatting_ostream& aStream)
{
  aStream << TextOf(aRecord, "Time") << ' ' << TextOf(aRecord, "Severity")
          << ' ' << TextOf(aRecord, "Host") << '/'
          << TextOf(aRecord, "DataCentre") << ' ' << TextOf(aRecord, "Part")
          << ": " << TextOf(aRecord, "Message");
  if (const std::string request = TextOf(aRecord, "RequestId");
      !request.empty()) {
    aStream << " [" << request << ']';
  }
}

void
WriteJson(const blog::record_view& aRecord, blog::formatting_ostream& aStream)
{
  boost::json::object line{ { "time", TextOf(aRecord, "Time") },
                            { "level", TextOf(aRecord, "Severity") },
                            { "host", TextOf(aRecord, "Host") },
                            { "data_centre", TextOf(aRecord, "DataCentre") },
                            { "part", TextOf(aRecord, "Part") },
                            { "message", TextOf(aRecord, "Message") } };
  if (const std::string request = TextOf(aRecord, "RequestId");
      !request.empty()) {
    line["request_id"] = request;
  }
  aStream << boost::json::serialize(line);
}

template<typename Sink, typename Backend>
void
Install(const boost::shared_ptr<Backend>& aBackend, Format aFormat)
{
  auto sink = boost::make_shared<Sink>(aBackend);
  sink->set_formatter(aFormat == Format::Json ? &WriteJson : &WriteText);
  blog::core::get()->add_sink(sink);
  SinkHolder& holder = CurrentSink();
  holder.sink = sink;
  holder.stop = [sink] {
    sink->stop();
    sink->flush();
  };
}

void
RemoveSink(SinkHolder& aHolder)
{
  if (aHolder.sink) {
    blog::core::get()->remove_sink(aHolder.sink);
    aHolder.stop();
    aHolder.sink.reset();
  }
}

void
InstallFor(const Options& aOptions)
{
  if (!aOptions.file.empty() && !aOptions.stream) {
    namespace keywords = blog::keywords;
    auto backend = boost::make_shared<sinks::text_file_backend>(
      keywords::file_name = aOptions.file,
      keywords::target_file_name = aOptions.file + ".%N",
      keywords::open_mode = std::ios::app | std::ios::out,
      keywords::rotation_size = aOptions.fileBytes,
      keywords::auto_flush = true);
    const auto folder = boost::filesystem::path(aOptions.file).parent_path();
    backend->set_file_collector(sinks::file::make_collector(
      keywords::target = folder.empty() ? "." : folder,
      keywords::max_files = kFilesKept - 1));
    Install<FileSink>(backend, aOptions.format);
    return;
  }
  auto backend = boost::make_shared<sinks::text_ostream_backend>();
  if (aOptions.stream) {
    backend->add_stream(boost::shared_ptr<std::ostream>(
      aOptions.stream.get(), [keep = aOptions.stream](std::ostream*) {}));
  } else {
    backend->add_stream(
      boost::shared_ptr<std::ostream>(&std::clog, [](std::ostream*) {}));
  }
  backend->auto_flush(true);
  Install<StreamSink>(backend, aOptions.format);
}

void
SetGlobal(const char* aName, const std::string& aValue)
{
  auto core = blog::core::get();
  blog::attribute_set attributes = core->get_global_attributes();
  attributes.erase(aName);
  attributes[aName] = blog::attributes::constant<std::string>(aValue);
  core->set_global_attributes(attributes);
}

void
Write(Part aPart,
      Severity aSeverity,
      const std::string& aRequestId,
      const std::string& aMessage)
{
  static blog::sources::logger_mt sLogger;
  blog::record record = sLogger.open_record();
  if (!record) {
    return;
  }
  const auto add = [&](const char* aName, std::string aValue) {
    record.attribute_values().insert(
      aName, blog::attributes::make_attribute_value(std::move(aValue)));
  };
  add("Time", Timestamp());
  add("Severity", std::string(NameOf(aSeverity)));
  add("Part", std::string(NameOf(aPart)));
  add("RequestId", Cleaned(aRequestId));
  add("Message", Cleaned(aMessage));
  sLogger.push_record(std::move(record));
}

std::optional<uint64_t>
PassBound(Part aPart)
{
  Bounds& bounds = PartBounds();
  const std::lock_guard lock(bounds.mutex);
  if (bounds.parts.empty()) {
    return 0;
  }
  return bounds.parts[static_cast<size_t>(aPart)].Pass(SystemClock().Now());
}

} // namespace

std::string_view
NameOf(Part aPart)
{
  return kPartNames.at(static_cast<size_t>(aPart));
}

std::string_view
NameOf(Severity aSeverity)
{
  return kSeverityNames.at(static_cast<size_t>(aSeverity));
}

void
Configure(const Options& aOptions)
{
  {
    Bounds& bounds = PartBounds();
    const std::lock_guard lock(bounds.mutex);
    bounds.parts.assign(kParts, RateBound(aOptions.linesPerSecond));
  }
  SinkHolder& holder = CurrentSink();
  const std::lock_guard lock(holder.mutex);
  RemoveSink(holder);
  SetGlobal("Host", aOptions.host.value);
  SetGlobal("DataCentre", aOptions.dataCentre.value);
  InstallFor(aOptions);
  sLevel.store(static_cast<int>(aOptions.level), std::memory_order_relaxed);
}

void
Flush()
{
  SinkHolder& holder = CurrentSink();
  const std::lock_guard lock(holder.mutex);
  sLevel.store(static_cast<int>(Severity::Error) + 1,
               std::memory_order_relaxed);
  RemoveSink(holder);
}

bool
Enabled(Severity aSeverity)
{
  return static_cast<int>(aSeverity) >= sLevel.load(std::memory_order_relaxed);
}

Line::Line(Part aPart, Severity aSeverity, std::string_view aRequestId)
  : mPart(aPart)
  , mSeverity(aSeverity)
  , mEnabled(Enabled(aSeverity))
  , mRequestId(mEnabled ? aRequestId : std::string_view{})
{
}

Line::~Line()
{
  if (!mEnabled) {
    return;
  }
  const std::optional<uint64_t> suppressed = PassBound(mPart);
  if (!suppressed) {
    return;
  }
  if (*suppressed > 0) {
    Write(mPart,
          Severity::Warning,
          {},
          std::to_string(*suppressed) + " lines left out, rate bound reached");
  }
  Write(mPart, mSeverity, mRequestId, mText.str());
}

} // namespace rattandyke::log
