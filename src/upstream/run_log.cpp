#include "upstream/run_log.h"

#include <boost/json.hpp>
#include <fcntl.h>
#include <unistd.h>

namespace rattandyke::upstream {

namespace {

int64_t
Nanoseconds(Instant aInstant)
{
  return std::chrono::nanoseconds(aInstant.time_since_epoch()).count();
}

boost::json::object
Line(std::string_view aEvent, Instant aNow)
{
  return { { "event", aEvent }, { "t", Nanoseconds(aNow) } };
}

void
Describe(boost::json::object& aLine, const RunRequest& aRequest)
{
  aLine["service"] = aRequest.service;
  aLine["key"] = aRequest.key;
  aLine["slot"] = aRequest.slot;
  aLine["fence"] = aRequest.fence;
  aLine["request_id"] = aRequest.requestId;
  aLine["load_id"] = aRequest.loadId;
  aLine["load_attempt"] = aRequest.loadAttempt;
  aLine["customer"] = aRequest.customer;
  aLine["idempotency_key"] = aRequest.idempotencyKey;
  aLine["method"] = aRequest.method;
  aLine["sender"] = aRequest.sender;
}

/// Lists grants as [first, last, fence] and [key, fence].
struct GrantLister
{
  boost::json::array& slots;
  boost::json::array& keys;

  void operator()(const SlotGrant& aGrant) const
  {
    slots.push_back(
      { aGrant.first.value, aGrant.last.value, aGrant.fence.value });
  }

  void operator()(const KeyGrant& aGrant) const
  {
    keys.push_back({ aGrant.key, aGrant.fence.value });
  }
};

} // namespace

Result<std::unique_ptr<RunLog>>
RunLog::Open(const std::string& aPath)
{
  if (aPath.empty()) {
    return std::unique_ptr<RunLog>(new RunLog(-1));
  }
  constexpr mode_t kOwnerWritesAllRead = 0644;
  const int file = ::open(aPath.c_str(),
                          O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC,
                          kOwnerWritesAllRead);
  if (file < 0) {
    return Fail(Code::StorageFailed, "Cannot open '" + aPath + "'.");
  }
  return std::unique_ptr<RunLog>(new RunLog(file));
}

RunLog::RunLog(int aFile)
  : mFile(aFile)
{
}

RunLog::~RunLog()
{
  if (mFile >= 0) {
    ::close(mFile);
  }
}

void
RunLog::Started(std::string_view aService,
                std::string_view aUpstream,
                uint64_t aIncarnation,
                Instant aNow)
{
  auto line = Line("up", aNow);
  line["service"] = aService;
  line["upstream"] = aUpstream;
  line["incarnation"] = aIncarnation;
  Append(boost::json::serialize(line));
}

void
RunLog::RunStarted(uint64_t aRun, const RunRequest& aRequest, Instant aNow)
{
  auto line = Line("start", aNow);
  line["run"] = aRun;
  Describe(line, aRequest);
  Append(boost::json::serialize(line));
}

void
RunLog::RunEnded(uint64_t aRun, std::string_view aHow, Instant aNow)
{
  auto line = Line("end", aNow);
  line["run"] = aRun;
  line["how"] = aHow;
  Append(boost::json::serialize(line));
}

void
RunLog::Refused(const RunRequest& aRequest, std::string_view aWhy, Instant aNow)
{
  auto line = Line("refused", aNow);
  line["why"] = aWhy;
  Describe(line, aRequest);
  Append(boost::json::serialize(line));
}

void
RunLog::LeaseExtended(Instant aUntil, Instant aNow)
{
  auto line = Line("lease", aNow);
  line["until"] = Nanoseconds(aUntil);
  Append(boost::json::serialize(line));
}

void
RunLog::GrantsTaken(uint64_t aVersion,
                    const std::vector<Grant>& aGrants,
                    Instant aNow)
{
  boost::json::array slots;
  boost::json::array keys;
  for (const Grant& grant : aGrants) {
    std::visit(GrantLister{ slots, keys }, grant);
  }
  auto line = Line("grants", aNow);
  line["version"] = aVersion;
  line["slots"] = std::move(slots);
  line["keys"] = std::move(keys);
  Append(boost::json::serialize(line));
}

void
RunLog::Append(std::string aLine)
{
  if (mFile < 0) {
    return;
  }
  aLine += '\n';
  // A line that is half written would hide a run from the checks: the record
  // is worth nothing then, so the process ends.
  const ssize_t written = ::write(mFile, aLine.data(), aLine.size());
  if (written != static_cast<ssize_t>(aLine.size())) {
    std::abort();
  }
}

} // namespace rattandyke::upstream
