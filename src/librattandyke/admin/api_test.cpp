#include "admin/api.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace rattandyke::admin {
namespace {

/// Answers every call at once and keeps what it was asked.
class FakeCalls final : public agent::LeaderCalls
{
public:
  void Call(wire::CallRequest aRequest, Duration, Callback aDone) override
  {
    asked.push_back(aRequest);
    aDone(reply);
  }

  Result<wire::CallReply> reply{ wire::CallReply() };
  std::vector<wire::CallRequest> asked;
};

class FakeView final : public HostView
{
public:
  boost::json::object Status() const override { return { { "host", "h1" } }; }
  std::string Metrics() const override { return "m 1\n"; }
  boost::json::object Burn() const override { return { { "host", "h1" } }; }
};

struct Fixture
{
  explicit Fixture(std::vector<config::OperatorToken> aTokens = {})
    : api({ std::move(aTokens) }, calls, view, clock)
  {
  }

  ApiAnswer Send(const std::string& aMethod,
                 const std::string& aTarget,
                 const std::function<void(ApiRequest&)>& aChange = {})
  {
    ApiRequest request;
    request.method = aMethod;
    request.fromLoopback = true;
    EXPECT_TRUE(DecodeTarget(aTarget, request)) << aTarget;
    if (aChange) {
      aChange(request);
    }
    std::optional<ApiAnswer> answer;
    api.Handle(request, [&](const ApiAnswer& aAnswer) { answer = aAnswer; });
    EXPECT_TRUE(answer.has_value());
    return answer.value_or(ApiAnswer{ 0, "", "" });
  }

  FakeCalls calls;
  FakeView view;
  SystemClock clock;
  AdminApi api;
};

const std::vector<config::OperatorToken>&
Tokens()
{
  static const std::vector<config::OperatorToken> sTokens{
    { "viewer", config::TokenRole::ReadOnly, Sha256Hex("look") },
    { "keeper", config::TokenRole::ReadWrite, Sha256Hex("change") },
  };
  return sTokens;
}

std::function<void(ApiRequest&)>
WithToken(const std::string& aToken, const std::string& aBody = "{}")
{
  return [aToken, aBody](ApiRequest& aRequest) {
    aRequest.token = aToken;
    aRequest.body = aBody;
  };
}

const std::vector<std::pair<std::string, std::string>> kAllCalls{
  { "GET", "/v1/records" },   { "GET", "/v1/records/service/board" },
  { "GET", "/v1/owners" },    { "PUT", "/v1/records/service/board" },
  { "GET", "/v1/upstreams" }, { "DELETE", "/v1/records/service/board" },
  { "GET", "/v1/hosts" },     { "POST", "/v1/upstreams/board/u1/drain" },
  { "GET", "/v1/bans" },      { "POST", "/v1/bans/lift" },
  { "GET", "/v1/status" },    { "GET", "/v1/in-force?revision=1" },
  { "GET", "/v1/metrics" },   { "GET", "/v1/unknown" },
};

// Somebody without a token, or with a wrong one, tries every call. Each is
// refused, and the leader is not asked: not even which paths exist is told.
TEST(AdminApi, WithTokensNothingPassesWithoutOne)
{
  Fixture fixture(Tokens());
  for (const auto& [method, target] : kAllCalls) {
    EXPECT_EQ(fixture.Send(method, target).status, 401U) << target;
    EXPECT_EQ(fixture.Send(method, target, WithToken("wrong")).status, 401U);
  }
  EXPECT_TRUE(fixture.calls.asked.empty());
}

TEST(AdminApi, AReadOnlyTokenChangesNothing)
{
  Fixture fixture(Tokens());
  for (const auto& [method, target] : kAllCalls) {
    const ApiAnswer answer = fixture.Send(method, target, WithToken("look"));
    EXPECT_EQ(answer.status == 401, method != "GET") << target;
  }
}

// Without tokens only this machine may call; a call that came over the network
// is refused although the host is open.
TEST(AdminApi, WithoutTokensOnlyLoopbackPasses)
{
  Fixture fixture;
  EXPECT_EQ(fixture.Send("GET", "/v1/status").status, 200U);
  const auto remote = [](ApiRequest& aRequest) {
    aRequest.fromLoopback = false;
  };
  EXPECT_EQ(fixture.Send("GET", "/v1/status", remote).status, 401U);
}

// An operator's write names the revision it builds on and the submission's id;
// both must reach the leader, or a race is lost or a resend runs twice.
TEST(AdminApi, AWriteCarriesRevisionAndSubmission)
{
  Fixture fixture(Tokens());
  const std::string body = R"({"schema_version": 1, "body": {"a": 1}})";
  fixture.Send("PUT",
               "/v1/records/limit/board%2Fbig?dry_run=true",
               [&](ApiRequest& aRequest) {
                 WithToken("change", body)(aRequest);
                 aRequest.ifMatch = "17";
                 aRequest.submissionId = "s-1";
               });
  ASSERT_EQ(fixture.calls.asked.size(), 1U);
  const wire::SubmitRecordCall& call = fixture.calls.asked[0].submit_record();
  EXPECT_EQ(call.expected_revision(), 17U);
  EXPECT_FALSE(call.any_revision());
  EXPECT_TRUE(call.dry_run());
  EXPECT_EQ(call.record().name(), "board/big");
  EXPECT_EQ(call.record().submission_id(), "s-1");
  EXPECT_EQ(call.record().submitted_by(), "keeper");
  EXPECT_EQ(call.record().body_json(), R"({"a":1})");
}

// A write that names no revision must not replace a record that another
// operator made in the meantime: it is taken as "must not exist".
TEST(AdminApi, AWriteWithoutRevisionOnlyCreates)
{
  Fixture fixture;
  fixture.Send("PUT",
               "/v1/records/service/board",
               WithToken("", R"({"schema_version": 1, "body": {}})"));
  ASSERT_EQ(fixture.calls.asked.size(), 1U);
  EXPECT_FALSE(fixture.calls.asked[0].submit_record().any_revision());
  EXPECT_EQ(fixture.calls.asked[0].submit_record().expected_revision(), 0U);
  EXPECT_EQ(fixture.Send("DELETE", "/v1/records/service/board").status, 400U);
  EXPECT_EQ(fixture.calls.asked.size(), 1U);
}

TEST(AdminApi, ErrorsCarryNumberAndName)
{
  Fixture fixture;
  fixture.calls.reply = Fail(Code::RevisionConflict, "It is at 9.");
  const ApiAnswer answer = fixture.Send(
    "PUT", "/v1/records/service/board", WithToken("", R"({"schema_version": 1,
                                                          "body": {}})"));
  EXPECT_EQ(answer.status, 409U);
  const boost::json::value json = boost::json::parse(answer.body);
  EXPECT_EQ(json.at("code"), 303);
  EXPECT_EQ(json.at("name"), "revision-conflict");
  EXPECT_EQ(json.at("message"), "It is at 9.");
}

TEST(AdminApi, ListsComeInPages)
{
  Fixture fixture;
  wire::CallReply reply;
  reply.set_json(R"([{"name": "a"}, {"name": "b"}, {"name": "c"}])");
  fixture.calls.reply = reply;
  const auto first =
    boost::json::parse(fixture.Send("GET", "/v1/hosts?limit=2").body);
  EXPECT_EQ(first.at("items").as_array().size(), 2U);
  EXPECT_EQ(first.at("next"), 2);
  const auto second =
    boost::json::parse(fixture.Send("GET", "/v1/hosts?limit=2&after=2").body);
  EXPECT_EQ(second.at("items").at(0).at("name"), "c");
  EXPECT_TRUE(second.at("next").is_null());
  EXPECT_EQ(fixture.Send("GET", "/v1/hosts?limit=0").status, 400U);
  EXPECT_EQ(fixture.Send("GET", "/v1/hosts?limit=x").status, 400U);
}

// Waiting for a revision must end when all that route have it, and a host that
// lost its lease must not hold it up for ever.
TEST(AdminApi, InForceCountsLiveHostsOnly)
{
  Fixture fixture;
  wire::CallReply reply;
  reply.set_json(R"([{"name": "a", "live": true, "table_version": 9},
                     {"name": "b", "live": false, "table_version": 3}])");
  fixture.calls.reply = reply;
  const auto ask = [&](const std::string& aRevision) {
    const std::string target = "/v1/in-force?revision=" + aRevision;
    return boost::json::parse(fixture.Send("GET", target).body)
      .at("everywhere");
  };
  EXPECT_TRUE(ask("9").as_bool());
  EXPECT_FALSE(ask("10").as_bool());
}

// Any bytes as target and body: an answer with a status, never a crash, and
// nothing but a whole record reaches the leader.
RC_GTEST_PROP(AdminApiProperty, AnyBytesGetAnAnswer, ())
{
  Fixture fixture;
  ApiRequest request;
  request.method = *rc::gen::element<std::string>("GET", "PUT", "POST", "X");
  request.fromLoopback = true;
  request.body = *rc::gen::string<std::string>();
  request.ifMatch = *rc::gen::string<std::string>();
  const std::string target = "/v1/records/service/" +
                             *rc::gen::string<std::string>() + "?" +
                             *rc::gen::string<std::string>();
  if (!DecodeTarget(target, request)) {
    return;
  }
  unsigned status = 0;
  fixture.api.Handle(
    request, [&](const ApiAnswer& aAnswer) { status = aAnswer.status; });
  RC_ASSERT(status >= 200U);
  RC_ASSERT(status < 600U);
  for (const wire::CallRequest& call : fixture.calls.asked) {
    RC_ASSERT(!call.has_submit_record());
  }
}

} // namespace
} // namespace rattandyke::admin
