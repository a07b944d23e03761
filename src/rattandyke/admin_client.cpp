#include "rattandyke/admin_client.h"

#include <cstdlib>
#include <fstream>
#include <thread>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "base/endpoint.h"
#include "config/ini.h"
#include "net/read_body.h"
#include "net/read_buffer.h"
#include "net/read_head.h"

namespace rattandyke::cli {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using ErrorCode = boost::system::error_code;
using HttpRequest = http::request<http::string_body>;
using HttpAnswer = http::response<http::string_body>;

constexpr uint32_t kMaxAnswerHead = 8192;
constexpr uint64_t kMaxAnswer = 64ULL << 20;
constexpr std::chrono::milliseconds kBetweenTries{ 100 };
constexpr const char* kDefaultHost = "127.0.0.1:7002";
constexpr const char* kTokenVariable = "RATTANDYKE_TOKEN";
constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

asio::awaitable<ErrorCode>
Exchange(const Endpoint& aHost,
         const HttpRequest& aRequest,
         std::chrono::milliseconds aTimeout,
         HttpAnswer& aAnswer)
{
  beast::tcp_stream stream(co_await asio::this_coro::executor);
  stream.expires_after(aTimeout);
  const asio::ip::tcp::endpoint host(asio::ip::make_address(aHost.address),
                                     aHost.port);
  const auto [connectError] = co_await stream.async_connect(host, kAwait);
  if (connectError) {
    co_return connectError;
  }
  const auto [writeError, written] =
    co_await http::async_write(stream, aRequest, kAwait);
  if (writeError) {
    co_return writeError;
  }
  beast::flat_buffer buffer(net::ReadBufferLimit(kMaxAnswerHead));
  std::optional<http::response_parser<http::string_body>> parser;
  ErrorCode readError = co_await net::ReadFinalHead(
    stream, buffer, parser, kMaxAnswerHead, [](auto& aParser) {
      aParser.header_limit(kMaxAnswerHead);
      aParser.body_limit(kMaxAnswer);
    });
  if (!readError && parser->need_eof()) {
    readError = net::FrameError::UnknownLength;
  }
  if (!readError) {
    readError = co_await net::ReadBody(stream, buffer, *parser);
  }
  aAnswer = parser->release();
  co_return readError;
}

HttpRequest
ToHttp(const AdminCall& aCall, const Endpoint& aHost, const std::string& aToken)
{
  HttpRequest request;
  request.method_string(aCall.method);
  request.target(aCall.target);
  request.set(http::field::host, ToString(aHost));
  request.set(http::field::user_agent, "rattandyke/" RATTANDYKE_VERSION);
  if (!aToken.empty()) {
    request.set(http::field::authorization, "Bearer " + aToken);
  }
  if (!aCall.ifMatch.empty()) {
    request.set(http::field::if_match, aCall.ifMatch);
  }
  if (!aCall.submissionId.empty()) {
    request.set("Submission-Id", aCall.submissionId);
  }
  request.body() = aCall.body;
  request.keep_alive(false);
  request.prepare_payload();
  return request;
}

/// @return the answer's JSON, or the error it tells.
Result<boost::json::value>
Understood(const HttpAnswer& aAnswer, const Endpoint& aHost)
{
  ErrorCode error;
  boost::json::value json = boost::json::parse(aAnswer.body(), error);
  if (error) {
    return Fail(Code::HostUnreachable,
                ToString(aHost) + " does not speak the operators' API.");
  }
  if (aAnswer.result_int() < 300) {
    return json;
  }
  const auto* object = json.if_object();
  const auto* code = object == nullptr ? nullptr : object->if_contains("code");
  const auto* message =
    object == nullptr ? nullptr : object->if_contains("message");
  const auto number =
    code == nullptr ? uint16_t{ 0 } : code->to_number<uint16_t>(error);
  if (number == 0 || message == nullptr || !message->is_string()) {
    return Fail(Code::HostUnreachable,
                ToString(aHost) + " answered " +
                  std::to_string(aAnswer.result_int()) + ".");
  }
  return Fail(static_cast<Code>(number), std::string(message->get_string()));
}

bool
MayHelpToTryAgain(Code aCode)
{
  return aCode == Code::HostUnreachable || aCode == Code::NoQuorum ||
         aCode == Code::NotLeader || aCode == Code::ProposalDropped ||
         aCode == Code::ShuttingDown;
}

} // namespace

AdminClient::AdminClient(Endpoint aHost,
                         std::string aToken,
                         std::chrono::milliseconds aTimeout)
  : mHost(std::move(aHost))
  , mToken(std::move(aToken))
  , mTimeout(aTimeout)
{
}

Result<boost::json::value>
AdminClient::Ask(const AdminCall& aCall) const
{
  const HttpRequest request = ToHttp(aCall, mHost, mToken);
  HttpAnswer answer;
  ErrorCode error;
  asio::io_context context(1);
  asio::co_spawn(
    context,
    Exchange(mHost, request, mTimeout, answer),
    [&](const std::exception_ptr&, ErrorCode aError) { error = aError; });
  context.run();
  if (error) {
    return Fail(Code::HostUnreachable,
                ToString(mHost) + ": " + error.message());
  }
  return Understood(answer, mHost);
}

Result<boost::json::value>
AdminClient::AskAgain(const AdminCall& aCall) const
{
  const auto end = std::chrono::steady_clock::now() + mTimeout;
  for (;;) {
    Result<boost::json::value> answer = Ask(aCall);
    if (answer || !MayHelpToTryAgain(answer.error().code) ||
        std::chrono::steady_clock::now() >= end) {
      return answer;
    }
    std::this_thread::sleep_for(kBetweenTries);
  }
}

Result<boost::json::array>
AdminClient::AskList(const std::string& aTarget) const
{
  boost::json::array items;
  const char separator = aTarget.find('?') == std::string::npos ? '?' : '&';
  std::string after = "0";
  for (;;) {
    std::string target = aTarget;
    target += separator;
    target += "limit=1000&after=";
    target += after;
    const auto page = Ask({ .target = target });
    if (!page) {
      return tl::unexpected(page.error());
    }
    const auto* object = page->if_object();
    if (object == nullptr || !object->contains("items") ||
        !object->contains("next")) {
      return Fail(Code::HostUnreachable, "The answer is not a list.");
    }
    for (const auto& item : page->at("items").as_array()) {
      items.push_back(item);
    }
    if (page->at("next").is_null()) {
      return items;
    }
    after = boost::json::serialize(page->at("next"));
  }
}

HostArguments::HostArguments(CommandLine& aLine)
  : mHost("",
          "host",
          "address of a host's operators' port; any host will do",
          false,
          kDefaultHost,
          "IP:PORT",
          aLine.Tclap())
  , mTokenFile("",
               "token-file",
               "file that holds the operator's token; the environment's "
               "RATTANDYKE_TOKEN does as well",
               false,
               "",
               "FILE",
               aLine.Tclap())
  , mTimeout("",
             "timeout",
             "longest time in seconds",
             false,
             10,
             "SECONDS",
             aLine.Tclap())
  , mJson("", "json", "print JSON for programs", aLine.Tclap())
{
}

std::chrono::milliseconds
HostArguments::Timeout() const
{
  return std::chrono::seconds(mTimeout.getValue());
}

Result<AdminClient>
HostArguments::Client() const
{
  const Result<Endpoint> host = ParseEndpoint(mHost.getValue());
  if (!host) {
    return Fail(Code::UsageError, "--host: " + host.error().message);
  }
  std::string token;
  if (const char* variable = std::getenv(kTokenVariable)) {
    token = variable;
  }
  if (!mTokenFile.getValue().empty()) {
    std::ifstream stream(mTokenFile.getValue());
    if (!std::getline(stream, token)) {
      return Fail(Code::UsageError,
                  "--token-file: " + mTokenFile.getValue() +
                    " cannot be read or is empty");
    }
  }
  return AdminClient(*host, std::string(config::Trimmed(token)), Timeout());
}

} // namespace rattandyke::cli
