// Requests that crash upstreams: the evidence on its way into the log, and
// operators' calls about bans.
#include "gateway/control_host_impl.h"

#include <algorithm>

#include <boost/json.hpp>

namespace rattandyke::gateway {

namespace {

namespace json = boost::json;

constexpr unsigned kOk = 200;
constexpr std::string_view kListPath = "/v1/bans";
constexpr std::string_view kLiftPath = "/v1/bans/lift";

std::string
ReasonOf(const wire::SuspectRequest& aBan)
{
  std::string reason = "In progress when these ended:";
  for (const wire::RecordedCrash& crash : aBan.crashes()) {
    reason += ' ' + crash.instance();
  }
  return reason;
}

HttpResponse
ListOf(const std::vector<wire::SuspectRequest>& aBans)
{
  json::array items;
  for (const wire::SuspectRequest& ban : aBans) {
    items.push_back(json::object{ { "service", ban.service() },
                                  { "fingerprint", ban.fingerprint() },
                                  { "expires_unix_ms", ban.banned_until_ms() },
                                  { "reason", ReasonOf(ban) } });
  }
  const size_t total = items.size();
  const json::object list{ { "items", std::move(items) },
                           { "total", total },
                           { "next", nullptr } };
  return { kOk, json::serialize(list), "application/json" };
}

/// @return the fingerprint in the body of an order to lift a ban, empty if
/// there is none.
std::string
FingerprintIn(const std::string& aBody)
{
  boost::system::error_code error;
  const json::value body = json::parse(aBody, error);
  const json::object* fields = error ? nullptr : body.if_object();
  const json::value* value =
    fields == nullptr ? nullptr : fields->if_contains("fingerprint");
  return value != nullptr && value->is_string()
           ? std::string(value->get_string())
           : std::string();
}

} // namespace

/// Reports are recorded by the leader.
void
ControlHost::Impl::OnCrashReports(const wire::CrashReports& aReports)
{
  if (driver->IsLeader()) {
    for (const wire::UpstreamProcess& process : aReports.alive()) {
      Info() << "an upstream that may have crashed answers instance="
             << process.instance() << " life=" << process.life();
    }
    crashWatch.Add(aReports, clock.Now());
    return;
  }
  const auto leader = driver->LeaderHint();
  if (leader && *leader != self) {
    wire::GatewayFrame frame;
    *frame.mutable_crash_reports() = aReports;
    mesh->Send(*leader, frame.SerializeAsString());
  }
}

void
ControlHost::Impl::ProposeCrashes()
{
  const auto record = crashWatch.Take(state, clock.Now(), clock.Wall());
  if (!record) {
    return;
  }
  metrics.Increment("crash_evidence_proposed");
  wire::GatewayCommand command;
  *command.mutable_record_crashes() = *record;
  driver->Propose(command.SerializeAsString(), [](Result<LogIndex> aIndex) {
    if (!aIndex) {
      Info() << "evidence of requests that crash upstreams was not recorded: "
             << aIndex.error().message;
    }
  });
}

/// Logs the bans that a command has made.
void
ControlHost::Impl::LogBans(const wire::RecordCrashes& aCommand)
{
  const WallTime now{ std::chrono::milliseconds{ aCommand.told_at_ms() } };
  std::map<std::string, WallTime> bans;
  for (const wire::SuspectRequest& ban : state.Crashes().Bans(now)) {
    const WallTime until{ std::chrono::milliseconds{ ban.banned_until_ms() } };
    bans[ban.fingerprint()] = until;
    const auto logged = loggedBans.find(ban.fingerprint());
    if (logged == loggedBans.end() || logged->second != until) {
      Info() << "a request is banned service=" << ban.service()
             << " fingerprint=" << ban.fingerprint()
             << " until_unix_ms=" << ban.banned_until_ms() << ": "
             << ReasonOf(ban);
    }
  }
  loggedBans = std::move(bans);
}

bool
ControlHost::Impl::IsLiftOfBan(const HttpRequest& aCall)
{
  const std::string_view target(aCall.target);
  return aCall.method == "POST" &&
         target.substr(0, target.find('?')) == kLiftPath;
}

std::optional<HttpResponse>
ControlHost::Impl::OnBanCall(const HttpRequest& aCall)
{
  const std::string_view target(aCall.target);
  const std::string_view path = target.substr(0, target.find('?'));
  if (aCall.method == "GET" && path == kListPath) {
    return ListOf(state.Crashes().Bans(clock.Wall()));
  }
  if (!IsLiftOfBan(aCall)) {
    return std::nullopt;
  }
  const std::string fingerprint = FingerprintIn(aCall.body);
  if (!state.Crashes().Contains(fingerprint)) {
    return ErrorResponse(Error{ Code::UnknownRecord,
                                "No request with this fingerprint is known." });
  }
  Info() << "an operator lifts a ban fingerprint=" << fingerprint;
  crashWatch.Lift(fingerprint);
  ProposeCrashes();
  return HttpResponse{ kOk, "{}", "application/json" };
}

} // namespace rattandyke::gateway
