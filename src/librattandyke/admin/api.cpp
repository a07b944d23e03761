#include "admin/api.h"

#include <array>
#include <charconv>
#include <random>

#include "admin/paging.h"
#include "log/log.h"
#include "records/record_json.h"

namespace rattandyke::admin {

namespace {

using config::TokenRole;

constexpr size_t kMaxName = 256;
/// Stands for any one segment of a path.
constexpr std::string_view kAnything = "*";
/// Stands for all that is left of a path: names may hold slashes.
constexpr std::string_view kRest = "**";

std::string
RandomId()
{
  std::random_device device;
  std::array<char, 33> text{};
  std::snprintf(text.data(),
                text.size(),
                "%08x%08x%08x%08x",
                device(),
                device(),
                device(),
                device());
  return text.data();
}

/// @return the JSON of a leader's reply; Code::TransportFailed if it is none.
Result<boost::json::value>
JsonOf(const wire::CallReply& aReply)
{
  boost::system::error_code error;
  boost::json::value json = boost::json::parse(aReply.json(), error);
  if (error) {
    return Fail(Code::TransportFailed, "The leader's reply is not JSON.");
  }
  return json;
}

/// @return the list in a reply, which may stand in a field "items".
boost::json::array
ItemsOf(boost::json::value aJson)
{
  if (aJson.is_array()) {
    return std::move(aJson.get_array());
  }
  if (aJson.is_object() && aJson.get_object().contains("items") &&
      aJson.at("items").is_array()) {
    return std::move(aJson.at("items").get_array());
  }
  return {};
}

std::string
TextAt(const boost::json::value& aItem, std::string_view aField)
{
  const auto* object = aItem.if_object();
  const auto* value = object == nullptr ? nullptr : object->if_contains(aField);
  return value != nullptr && value->is_string()
           ? std::string(value->get_string())
           : std::string();
}

uint64_t
NumberAt(const boost::json::value& aItem, std::string_view aField)
{
  const auto* object = aItem.if_object();
  const auto* value = object == nullptr ? nullptr : object->if_contains(aField);
  boost::system::error_code error;
  const auto number =
    value == nullptr ? uint64_t{ 0 } : value->to_number<uint64_t>(error);
  return error ? 0 : number;
}

bool
TrueAt(const boost::json::value& aItem, std::string_view aField)
{
  const auto* object = aItem.if_object();
  const auto* value = object == nullptr ? nullptr : object->if_contains(aField);
  return value != nullptr && value->is_bool() && value->get_bool();
}

Result<boost::json::object>
ParseBody(const std::string& aBody)
{
  boost::system::error_code error;
  boost::json::value body =
    aBody.empty() ? boost::json::object() : boost::json::parse(aBody, error);
  if (error || !body.is_object()) {
    return Fail(Code::MalformedRequest, "The body is not a JSON object.");
  }
  return std::move(body.get_object());
}

} // namespace

struct AdminApi::Impl : std::enable_shared_from_this<AdminApi::Impl>
{
  using Handler = void (Impl::*)(const ApiRequest&,
                                 const std::string& aCaller,
                                 const Responder&);

  struct Route
  {
    std::string_view method;
    /// Below /v1/; "*" stands for any segment.
    std::vector<std::string_view> path;
    TokenRole role;
    Handler handler;
  };

  Impl(Options aOptions,
       agent::LeaderCalls& aCalls,
       const HostView& aView,
       const Clock& aClock)
    : callTimeout(aOptions.callTimeout)
    , calls(aCalls)
    , view(aView)
    , clock(aClock)
    , tokens(std::move(aOptions.tokens))
  {
  }

  static const std::vector<Route>& Routes();

  static bool Matches(const Route& aRoute, const ApiRequest& aRequest)
  {
    const size_t given = aRequest.path.size() - 1;
    const bool open = aRoute.path.back() == kRest;
    if (open ? given < aRoute.path.size() : given != aRoute.path.size()) {
      return false;
    }
    for (size_t i = 0; i < given; ++i) {
      const std::string& segment = aRequest.path[i + 1];
      const std::string_view wanted =
        i < aRoute.path.size() ? aRoute.path[i] : kRest;
      const bool any = wanted == kAnything || wanted == kRest;
      if (segment.empty() || segment.size() > kMaxName ||
          (!any && wanted != segment)) {
        return false;
      }
    }
    return true;
  }

  /// @return the record's name: the rest of the path after the kind.
  static std::string NameIn(const ApiRequest& aRequest)
  {
    std::string name = aRequest.path[3];
    for (size_t i = 4; i < aRequest.path.size(); ++i) {
      name += "/" + aRequest.path[i];
    }
    return name;
  }

  /// @return the route, or the error that fits best.
  static Result<const Route*> FindRoute(const ApiRequest& aRequest)
  {
    bool pathKnown = false;
    if (!aRequest.path.empty() && aRequest.path[0] == "v1") {
      for (const Route& route : Routes()) {
        if (Matches(route, aRequest)) {
          pathKnown = true;
          if (route.method == aRequest.method) {
            return &route;
          }
        }
      }
    }
    return pathKnown ? Fail(Code::UsageError,
                            "The method " + aRequest.method +
                              " is not known for this path.")
                     : Fail(Code::UsageError, "The path is not known.");
  }

  void Query(const std::string& aWhat,
             const ApiRequest& aRequest,
             const Responder& aRespond,
             std::function<ApiAnswer(boost::json::value)> aFormat)
  {
    wire::CallRequest request;
    request.mutable_query()->set_what(aWhat);
    request.mutable_query()->set_service(aRequest.Query("service"));
    request.mutable_query()->set_key(aRequest.Query("key"));
    calls.Call(
      std::move(request),
      callTimeout,
      [aRespond, format = std::move(aFormat)](Result<wire::CallReply> aReply) {
        if (!aReply) {
          return aRespond(ErrorAnswer(aReply.error()));
        }
        Result<boost::json::value> json = JsonOf(*aReply);
        aRespond(json ? format(std::move(*json)) : ErrorAnswer(json.error()));
      });
  }

  /// Answers with a page of a list that the leader gives.
  void QueryList(const std::string& aWhat,
                 const ApiRequest& aRequest,
                 const Responder& aRespond,
                 std::function<bool(const boost::json::value&)> aKeep)
  {
    Query(aWhat,
          aRequest,
          aRespond,
          [aRequest, keep = std::move(aKeep)](boost::json::value aJson) {
            boost::json::array kept;
            for (boost::json::value& item : ItemsOf(std::move(aJson))) {
              if (keep(item)) {
                kept.push_back(std::move(item));
              }
            }
            const auto page = Page(std::move(kept), aRequest);
            return page ? JsonAnswer(*page) : ErrorAnswer(page.error());
          });
  }

  void ListRecords(const ApiRequest& aRequest,
                   const std::string&,
                   const Responder& aRespond)
  {
    const std::string kind = aRequest.Query("kind");
    QueryList(
      "records", aRequest, aRespond, [kind](const boost::json::value& aItem) {
        return kind.empty() || TextAt(aItem, "kind") == kind;
      });
  }

  void ReadRecord(const ApiRequest& aRequest,
                  const std::string&,
                  const Responder& aRespond)
  {
    const std::string kind = aRequest.path[2];
    const std::string name = NameIn(aRequest);
    Query(
      "records", aRequest, aRespond, [kind, name](boost::json::value aJson) {
        for (const auto& item : ItemsOf(std::move(aJson))) {
          if (TextAt(item, "kind") == kind && TextAt(item, "name") == name) {
            return JsonAnswer(item);
          }
        }
        return ErrorAnswer(
          { Code::UnknownRecord, "No record " + kind + "/" + name + "." });
      });
  }

  void ListOwners(const ApiRequest& aRequest,
                  const std::string&,
                  const Responder& aRespond)
  {
    if (!aRequest.Query("key").empty()) {
      if (aRequest.Query("service").empty()) {
        return aRespond(
          ErrorAnswer({ Code::UsageError, "A key needs its service." }));
      }
      return Query(
        "owners", aRequest, aRespond, [](const boost::json::value& aJson) {
          return JsonAnswer(aJson);
        });
    }
    ListOfService("owners", aRequest, aRespond);
  }

  void ListUpstreams(const ApiRequest& aRequest,
                     const std::string&,
                     const Responder& aRespond)
  {
    ListOfService("upstreams", aRequest, aRespond);
  }

  void ListBans(const ApiRequest& aRequest,
                const std::string&,
                const Responder& aRespond)
  {
    ListOfService("bans", aRequest, aRespond);
  }

  void ListOfService(const std::string& aWhat,
                     const ApiRequest& aRequest,
                     const Responder& aRespond)
  {
    const std::string service = aRequest.Query("service");
    QueryList(
      aWhat, aRequest, aRespond, [service](const boost::json::value& aItem) {
        return service.empty() || TextAt(aItem, "service") == service;
      });
  }

  void ListHosts(const ApiRequest& aRequest,
                 const std::string&,
                 const Responder& aRespond)
  {
    QueryList("hosts", aRequest, aRespond, [](const boost::json::value&) {
      return true;
    });
  }

  void ReadStatus(const ApiRequest&,
                  const std::string& aCaller,
                  const Responder& aRespond)
  {
    boost::json::object status = view.Status();
    status["caller"] = aCaller;
    if (tokens.IsOpen()) {
      status["warning"] = "No operator tokens are set: every call from "
                          "loopback is allowed.";
    }
    aRespond(JsonAnswer(status));
  }

  void ReadBurn(const ApiRequest&,
                const std::string&,
                const Responder& aRespond)
  {
    aRespond(JsonAnswer(view.Burn()));
  }

  void ReadMetrics(const ApiRequest&,
                   const std::string&,
                   const Responder& aRespond)
  {
    aRespond({ 200, "text/plain; version=0.0.4", view.Metrics() });
  }

  /// Tells which hosts route by a table at or above a revision.
  void ReadInForce(const ApiRequest& aRequest,
                   const std::string&,
                   const Responder& aRespond)
  {
    const std::string text = aRequest.Query("revision");
    uint64_t revision = 0;
    const char* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, revision);
    if (error != std::errc{} || stop != end) {
      return aRespond(
        ErrorAnswer({ Code::UsageError, "revision must be a whole number." }));
    }
    Query("hosts", aRequest, aRespond, [revision](boost::json::value aJson) {
      boost::json::array hosts;
      bool everywhere = true;
      for (const auto& item : ItemsOf(std::move(aJson))) {
        // A host without a lease routes nothing, by whatever table.
        if (!TrueAt(item, "live")) {
          continue;
        }
        const uint64_t version = NumberAt(item, "table_version");
        const bool inForce = version >= revision;
        everywhere = everywhere && inForce;
        hosts.push_back(boost::json::object{ { "host", TextAt(item, "name") },
                                             { "table_version", version },
                                             { "in_force", inForce } });
      }
      return JsonAnswer(boost::json::object{ { "revision", revision },
                                             { "everywhere", everywhere },
                                             { "hosts", hosts } });
    });
  }

  /// @return what the caller expects to replace: a revision, or nothing for
  /// "*" (any).
  static Result<std::optional<uint64_t>> Expected(
    const ApiRequest& aRequest,
    std::optional<uint64_t> aFromBody)
  {
    if (!aRequest.ifMatch) {
      return std::optional<uint64_t>(aFromBody.value_or(0));
    }
    if (*aRequest.ifMatch == "*") {
      return std::optional<uint64_t>();
    }
    uint64_t revision = 0;
    const std::string& text = *aRequest.ifMatch;
    const char* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, revision);
    if (error != std::errc{} || stop != end) {
      return Fail(Code::MalformedRequest, "If-Match must be a revision or *.");
    }
    return std::optional<uint64_t>(revision);
  }

  void Submit(wire::Record aRecord,
              std::optional<uint64_t> aExpected,
              const ApiRequest& aRequest,
              const std::string& aCaller,
              const Responder& aRespond)
  {
    aRecord.set_submitted_by(aCaller);
    aRecord.set_submitted_unix_ms(
      static_cast<uint64_t>(clock.Wall().time_since_epoch().count()));
    aRecord.set_submission_id(
      aRequest.submissionId.empty() ? RandomId() : aRequest.submissionId);
    log::Line(log::Part::Admin, log::Severity::Info)
      << aCaller << " submits " << aRecord.kind() << "/" << aRecord.name()
      << (aRecord.deleted() ? " deleted" : "") << ", submission "
      << aRecord.submission_id();
    wire::CallRequest request;
    auto* call = request.mutable_submit_record();
    *call->mutable_record() = std::move(aRecord);
    call->set_any_revision(!aExpected.has_value());
    call->set_expected_revision(aExpected.value_or(0));
    call->set_dry_run(aRequest.Query("dry_run") == "true");
    calls.Call(std::move(request),
               callTimeout,
               [aRespond](const Result<wire::CallReply>& aReply) {
                 aRespond(aReply ? JsonAnswer(records::ToJson(aReply->record()))
                                 : ErrorAnswer(aReply.error()));
               });
  }

  void PutRecord(const ApiRequest& aRequest,
                 const std::string& aCaller,
                 const Responder& aRespond)
  {
    Result<boost::json::object> body = ParseBody(aRequest.body);
    if (!body) {
      return aRespond(ErrorAnswer(body.error()));
    }
    body->emplace("kind", aRequest.path[2]);
    body->emplace("name", NameIn(aRequest));
    Result<records::Submission> submission = records::SubmissionFromJson(*body);
    if (!submission) {
      return aRespond(ErrorAnswer(submission.error()));
    }
    if (submission->record.kind() != aRequest.path[2] ||
        submission->record.name() != NameIn(aRequest)) {
      return aRespond(ErrorAnswer(
        { Code::InvalidRecord, "Kind or name differ from the path." }));
    }
    const auto expected = Expected(aRequest, submission->expectedRevision);
    if (!expected) {
      return aRespond(ErrorAnswer(expected.error()));
    }
    Submit(
      std::move(submission->record), *expected, aRequest, aCaller, aRespond);
  }

  void DeleteRecord(const ApiRequest& aRequest,
                    const std::string& aCaller,
                    const Responder& aRespond)
  {
    const auto expected = Expected(aRequest, std::nullopt);
    if (!expected || !aRequest.ifMatch) {
      return aRespond(ErrorAnswer({ Code::UsageError,
                                    "A deletion needs If-Match with the "
                                    "record's revision, or *." }));
    }
    wire::Record record;
    record.set_kind(aRequest.path[2]);
    record.set_name(NameIn(aRequest));
    record.set_deleted(true);
    Submit(std::move(record), *expected, aRequest, aCaller, aRespond);
  }

  /// Sends a call whose reply has no body.
  void Order(wire::CallRequest aCall,
             const std::string& aWhat,
             const std::string& aCaller,
             const Responder& aRespond)
  {
    log::Line(log::Part::Admin, log::Severity::Info) << aCaller << " " << aWhat;
    calls.Call(std::move(aCall),
               callTimeout,
               [aRespond, aWhat](const Result<wire::CallReply>& aReply) {
                 aRespond(
                   aReply ? JsonAnswer(boost::json::object{ { "done", aWhat } })
                          : ErrorAnswer(aReply.error()));
               });
  }

  void Drain(const ApiRequest& aRequest,
             const std::string& aCaller,
             const Responder& aRespond)
  {
    const Result<boost::json::object> body = ParseBody(aRequest.body);
    if (!body) {
      return aRespond(ErrorAnswer(body.error()));
    }
    const boost::json::value* drain = body->if_contains("drain");
    if (drain != nullptr && !drain->is_bool()) {
      return aRespond(ErrorAnswer(
        { Code::MalformedRequest, "Field 'drain' must be true or false." }));
    }
    wire::CallRequest call;
    auto* order = call.mutable_drain_upstream();
    order->set_service(aRequest.path[2]);
    order->set_upstream(aRequest.path[3]);
    order->set_drain(drain == nullptr || drain->get_bool());
    Order(std::move(call),
          std::string(order->drain() ? "drains " : "takes back the drain of ") +
            aRequest.path[2] + "/" + aRequest.path[3],
          aCaller,
          aRespond);
  }

  void LiftBan(const ApiRequest& aRequest,
               const std::string& aCaller,
               const Responder& aRespond)
  {
    const Result<boost::json::object> body = ParseBody(aRequest.body);
    if (!body) {
      return aRespond(ErrorAnswer(body.error()));
    }
    wire::CallRequest call;
    wire::Ban* ban = call.mutable_ban()->mutable_ban();
    ban->set_service(TextAt(*body, "service"));
    ban->set_fingerprint(TextAt(*body, "fingerprint"));
    ban->set_lifted(true);
    if (ban->service().empty() || ban->fingerprint().empty()) {
      return aRespond(
        ErrorAnswer({ Code::MalformedRequest,
                      "Fields 'service' and 'fingerprint' are needed." }));
    }
    Order(std::move(call),
          "lifts the ban " + ban->service() + "/" + ban->fingerprint(),
          aCaller,
          aRespond);
  }

  const std::chrono::milliseconds callTimeout;
  agent::LeaderCalls& calls;
  const HostView& view;
  const Clock& clock;
  TokenCheck tokens;
};

const std::vector<AdminApi::Impl::Route>&
AdminApi::Impl::Routes()
{
  constexpr auto kRead = TokenRole::ReadOnly;
  constexpr auto kWrite = TokenRole::ReadWrite;
  static const std::vector<Route> sRoutes{
    { "GET", { "records" }, kRead, &Impl::ListRecords },
    { "GET", { "records", "*", "**" }, kRead, &Impl::ReadRecord },
    { "PUT", { "records", "*", "**" }, kWrite, &Impl::PutRecord },
    { "DELETE", { "records", "*", "**" }, kWrite, &Impl::DeleteRecord },
    { "GET", { "owners" }, kRead, &Impl::ListOwners },
    { "GET", { "upstreams" }, kRead, &Impl::ListUpstreams },
    { "POST", { "upstreams", "*", "*", "drain" }, kWrite, &Impl::Drain },
    { "GET", { "hosts" }, kRead, &Impl::ListHosts },
    { "GET", { "bans" }, kRead, &Impl::ListBans },
    { "POST", { "bans", "lift" }, kWrite, &Impl::LiftBan },
    { "GET", { "status" }, kRead, &Impl::ReadStatus },
    { "GET", { "in-force" }, kRead, &Impl::ReadInForce },
    { "GET", { "metrics" }, kRead, &Impl::ReadMetrics },
    { "GET", { "burn" }, kRead, &Impl::ReadBurn },
  };
  return sRoutes;
}

AdminApi::AdminApi(Options aOptions,
                   agent::LeaderCalls& aCalls,
                   const HostView& aView,
                   const Clock& aClock)
  : mImpl(std::make_shared<Impl>(std::move(aOptions), aCalls, aView, aClock))
{
}

AdminApi::~AdminApi() = default;

void
AdminApi::ReplaceTokens(std::vector<config::OperatorToken> aTokens)
{
  mImpl->tokens.Replace(std::move(aTokens));
}

void
AdminApi::Handle(const ApiRequest& aRequest, const Responder& aRespond)
{
  // Rights go first, so that nothing can be learned without a token.
  const Result<const Impl::Route*> route = Impl::FindRoute(aRequest);
  const TokenRole needed = route ? (*route)->role : TokenRole::ReadOnly;
  const Result<std::string> caller =
    mImpl->tokens.Check(aRequest.token, aRequest.fromLoopback, needed);
  if (!caller) {
    log::Line(log::Part::Admin, log::Severity::Warning)
      << "refused a call: " << caller.error().message;
    return aRespond(ErrorAnswer(caller.error()));
  }
  if (!route) {
    ApiAnswer answer = ErrorAnswer(route.error());
    answer.status = route.error().message.starts_with("The path") ? 404 : 405;
    return aRespond(answer);
  }
  (mImpl.get()->*(*route)->handler)(aRequest, *caller, aRespond);
}

} // namespace rattandyke::admin
