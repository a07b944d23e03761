// What operators' interfaces let through: calls without a right, malformed
// input, settings that the page does not explain.
#include <random>

#include "admin/api.h"
#include "bench/bench.h"
#include "config/pages.h"
#include "config/table.h"

namespace rattandyke::bench {
namespace {

constexpr size_t kFuzzInputs = 20000;
constexpr size_t kMaxMutations = 12;

/// Answers every call as done.
class WillingLeader final : public agent::LeaderCalls
{
public:
  void Call(wire::CallRequest, Duration, Callback aDone) override
  {
    wire::CallReply reply;
    reply.set_json("[]");
    aDone(reply);
  }
};

class EmptyView final : public admin::HostView
{
public:
  boost::json::object Status() const override { return {}; }
  std::string Metrics() const override { return {}; }
  boost::json::object Burn() const override { return {}; }
};

struct Api
{
  explicit Api(std::vector<config::OperatorToken> aTokens)
    : api({ std::move(aTokens) }, leader, view, clock)
  {
  }

  /// @return the status, or 0 if there was no answer.
  unsigned Status(const admin::ApiRequest& aRequest)
  {
    unsigned status = 0;
    api.Handle(aRequest, [&](const admin::ApiAnswer& aAnswer) {
      status = aAnswer.status;
    });
    return status;
  }

  WillingLeader leader;
  EmptyView view;
  SystemClock clock;
  admin::AdminApi api;
};

constexpr std::array kTargets{
  "/v1/records",
  "/v1/records/service/board",
  "/v1/owners?service=board&key=k",
  "/v1/upstreams",
  "/v1/upstreams/board/board-1/drain",
  "/v1/hosts",
  "/v1/bans",
  "/v1/bans/lift",
  "/v1/status",
  "/v1/in-force?revision=1",
  "/v1/metrics",
  "/v1/unknown",
};

/// Every path by every method, without a token, with a wrong one, and writes
/// with a token for reads.
size_t
UnauthenticatedAccepted()
{
  using config::TokenRole;
  Api api({ { "viewer", TokenRole::ReadOnly, admin::Sha256Hex("look") } });
  size_t accepted = 0;
  for (const char* target : kTargets) {
    for (const char* method : { "GET", "PUT", "POST", "DELETE", "PATCH" }) {
      for (const char* token : { "", "wrong", "look" }) {
        admin::ApiRequest request;
        request.method = method;
        request.token = token;
        request.fromLoopback = true;
        request.body = "{}";
        if (!admin::DecodeTarget(target, request)) {
          continue;
        }
        const bool mayRead = std::string_view(token) == "look" &&
                             std::string_view(method) == "GET";
        accepted += !mayRead && api.Status(request) < 400 ? 1 : 0;
      }
    }
  }
  return accepted;
}

std::string
Mutated(std::string aText, std::mt19937_64& aRandom)
{
  const size_t mutations = aRandom() % kMaxMutations;
  for (size_t i = 0; i < mutations && !aText.empty(); ++i) {
    aText[aRandom() % aText.size()] = static_cast<char>(aRandom());
  }
  aText.resize(aText.size() - aRandom() % (aText.size() + 1) / 4);
  return aText;
}

/// @return how many inputs were neither taken nor refused with a reason.
size_t
FuzzInputsCrashed()
{
  const std::string settings = "[host]\nname = host-1\n[leases]\nheartbeat = "
                               "50\n[hosts]\nhost-2 = 127.0.0.1:7013\n"
                               "[control]\nhosts = host-1, host-2\n";
  const std::string body = R"({"schema_version": 1, "expected_revision": 3,
    "body": {"prefix": "/board", "slots": 16, "key": "path:2"}})";
  std::mt19937_64 random(kSeed);
  Api api({});
  size_t crashed = 0;
  for (size_t i = 0; i < kFuzzInputs; ++i) {
    try {
      const auto parsed =
        config::ParseSettings(Mutated(settings, random), "fuzz.ini");
      crashed += !parsed && parsed.error().message.empty() ? 1 : 0;
      admin::ApiRequest request;
      request.method = "PUT";
      request.fromLoopback = true;
      request.body = Mutated(body, random);
      const std::string target = Mutated("/v1/records/service/board", random);
      if (admin::DecodeTarget(target, request)) {
        crashed += api.Status(request) == 0 ? 1 : 0;
      }
    } catch (const std::exception&) {
      ++crashed;
    }
  }
  return crashed;
}

size_t
SettingsUndocumented()
{
  const std::string page = config::SettingsPage();
  size_t missing = 0;
  for (const config::Setting& setting : config::AllSettings()) {
    const std::string row = "| `" + std::string(setting.key) + "` |";
    const bool told = page.find(row) != std::string::npos &&
                      page.find(setting.meaning) != std::string::npos;
    missing += told && !setting.meaning.empty() ? 0 : 1;
  }
  return missing;
}

const Registration sRegistration("operators", [](Reporter& aReporter) {
  const auto count = [&](const char* aName, size_t aValue) {
    aReporter.AtMost(aName, static_cast<double>(aValue), "count", 0);
  };
  count("operator_api_unauthenticated_accepted", UnauthenticatedAccepted());
  count("fuzz_inputs_crashed", FuzzInputsCrashed());
  count("settings_undocumented", SettingsUndocumented());
});

} // namespace
} // namespace rattandyke::bench
