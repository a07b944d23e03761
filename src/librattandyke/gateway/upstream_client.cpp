#include "gateway/upstream_client.h"

#include <algorithm>
#include <array>
#include <charconv>

#include <sys/socket.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include "base/endpoint.h"
#include "http/headers.h"
#include "http/signal.h"
#include "net/frame_connection.h"

namespace rattandyke::gateway {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using http::kAwait;
using std::chrono::milliseconds;
using ErrorCode = boost::system::error_code;
using Parser = beast::http::response_parser<beast::http::string_body>;

/// Upstreams are a few milliseconds away; one that takes longer to accept a
/// connection is gone or full.
constexpr milliseconds kConnectTimeout{ 250 };
/// Idle time after which a connection is not used again if the upstream does
/// not say how long it keeps them.
constexpr milliseconds kDefaultKept{ 4000 };
/// Taken off what the upstream says, so that no request crosses its close.
constexpr milliseconds kKeptMargin{ 1000 };
constexpr milliseconds kUnacknowledged{ 1000 };
/// Safeguard: a request whose time ran out while this host was held up is not
/// sent. The time it has left is told in whole milliseconds, and upstreams take
/// none for no limit: they would work for a caller that is gone.
constexpr milliseconds kLeastTold{ 1 };
/// Answers to other requests that are skipped before the connection is given
/// up.
constexpr int kMaxForeignAnswers = 3;
/// Bodies up to this are written before the answer is read; longer ones beside
/// it, since an upstream may answer before it has read them.
constexpr size_t kWrittenAhead = size_t{ 32 } * 1024;
constexpr unsigned kMisdirected = 421;
constexpr unsigned kFirstSuccess = 200;
constexpr unsigned kFirstRedirect = 300;

/// @return whether a status promises that the request never ran and never will.
bool
IsPromise(unsigned aStatus)
{
  constexpr std::array kPromises{ 408U, 421U, 429U, 503U };
  return std::find(kPromises.begin(), kPromises.end(), aStatus) !=
         kPromises.end();
}

/// @return whether an idle connection is still open and has nothing to read:
/// what arrives unasked belongs to no request of ours.
bool
IsQuiet(tcp::socket& aSocket)
{
  char byte = 0;
  const ssize_t got = ::recv(
    aSocket.native_handle(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
  return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

Duration
KeptFor(const UpstreamResponse& aAnswer)
{
  const std::string_view field = http::FieldOf(aAnswer.fields, "Keep-Alive");
  constexpr std::string_view kName = "timeout=";
  const size_t at = field.find(kName);
  if (at == std::string_view::npos) {
    return kDefaultKept;
  }
  const std::string_view text = field.substr(at + kName.size());
  unsigned seconds = 0;
  std::from_chars(text.data(), text.data() + text.size(), seconds);
  return std::chrono::seconds{ seconds } - Duration(kKeptMargin);
}

AttemptResult
Ended(AttemptResult::Kind aKind, std::string aReason)
{
  AttemptResult result;
  result.kind = aKind;
  result.reason = std::move(aReason);
  return result;
}

asio::awaitable<void>
WriteRest(std::shared_ptr<UpstreamConnection> aConnection,
          std::shared_ptr<const UpstreamRequest> aRequest,
          std::shared_ptr<bool> aDone)
{
  auto [error, bytes] = co_await asio::async_write(
    aConnection->socket, asio::buffer(aRequest->body), kAwait);
  *aDone = !error;
}

} // namespace

ConnectionPool::Kept&
ConnectionPool::KeptOf(const UpstreamProcess& aPeer)
{
  Kept& kept = mIdle[aPeer.instance];
  if (kept.peer != aPeer) {
    for (const auto& connection : kept.idle) {
      connection->Close();
    }
    kept.idle.clear();
    kept.peer = aPeer;
  }
  return kept;
}

std::shared_ptr<UpstreamConnection>
ConnectionPool::Take(const UpstreamProcess& aPeer, Instant aNow)
{
  auto& idle = KeptOf(aPeer).idle;
  while (!idle.empty()) {
    auto connection = idle.back();
    idle.pop_back();
    if (connection->goodUntil > aNow && IsQuiet(connection->socket)) {
      return connection;
    }
    connection->Close();
  }
  return nullptr;
}

void
ConnectionPool::Put(const UpstreamProcess& aPeer,
                    std::shared_ptr<UpstreamConnection> aConnection)
{
  const auto kept = mIdle.find(aPeer.instance);
  if (kept != mIdle.end() && kept->second.peer != aPeer) {
    aConnection->Close(); // Its process has been followed by another.
    return;
  }
  KeptOf(aPeer).idle.push_back(std::move(aConnection));
}

void
AttemptHandle::Abort(std::string aReason)
{
  if (mAborted) {
    return;
  }
  mAborted = true;
  mReason = std::move(aReason);
  if (mConnection) {
    mConnection->Close();
  }
}

void
AttemptHandle::Attach(std::shared_ptr<UpstreamConnection> aConnection)
{
  mConnection = std::move(aConnection);
  if (mAborted) {
    mConnection->Close();
  }
}

UpstreamClient::UpstreamClient(asio::any_io_executor aExecutor,
                               const HeaderNames& aHeaders,
                               const Clock& aClock)
  : mExecutor(std::move(aExecutor))
  , mHeaders(aHeaders)
  , mClock(aClock)
{
}

asio::awaitable<std::shared_ptr<UpstreamConnection>>
UpstreamClient::Connect(std::string aAddress,
                        std::shared_ptr<AttemptHandle> aHandle)
{
  const Result<Endpoint> address = ParseEndpoint(aAddress);
  if (!address) {
    co_return nullptr;
  }
  auto connection = std::make_shared<UpstreamConnection>(mExecutor);
  aHandle->Attach(connection);
  ++mConnects;
  // Safeguard: the timer may have run out in the moment in which the connection
  // stands; its handler is then called although it was cancelled. It would
  // close the connection in the middle of the request, which may have run.
  auto connecting = std::make_shared<bool>(true);
  asio::steady_timer timer(mExecutor, kConnectTimeout);
  timer.async_wait([connection, connecting](ErrorCode aError) {
    if (!aError && *connecting) {
      connection->Close();
    }
  });
  ErrorCode ignored; // ParseEndpoint has checked the address.
  const tcp::endpoint endpoint(
    asio::ip::make_address(address->address, ignored), address->port);
  auto [error] = co_await connection->socket.async_connect(endpoint, kAwait);
  *connecting = false;
  timer.cancel();
  if (error || !connection->socket.is_open()) {
    co_return nullptr;
  }
  net::TuneSocket(connection->socket, kUnacknowledged);
  co_return connection;
}

std::string
UpstreamClient::HeadOf(const std::string& aInstance,
                       const UpstreamRequest& aRequest,
                       Duration aLeft) const
{
  const auto left = std::chrono::duration_cast<milliseconds>(aLeft).count();
  std::string head;
  head.reserve(aRequest.fields.size() + 256);
  head += aRequest.method;
  head += ' ';
  head += aRequest.target;
  head += " HTTP/1.1\r\n";
  head += aRequest.fields;
  http::AppendField(head, mHeaders.deadline, std::to_string(left));
  http::AppendField(head, mHeaders.expectedInstance, aInstance);
  if (aRequest.hasBody) {
    http::AppendField(
      head, "Content-Length", std::to_string(aRequest.body.size()));
  }
  head += "\r\n";
  return head;
}

asio::awaitable<AttemptResult>
UpstreamClient::Run(UpstreamProcess aPeer,
                    std::shared_ptr<const UpstreamRequest> aRequest,
                    Duration aLeft,
                    std::shared_ptr<AttemptHandle> aHandle)
{
  const Instant started = mClock.Now();
  std::shared_ptr<UpstreamConnection> connection = mPool.Take(aPeer, started);
  if (connection) {
    aHandle->Attach(connection);
  } else {
    connection = co_await Connect(aPeer.address, aHandle);
    if (!connection || aHandle->Aborted()) {
      aHandle->Detach();
      co_return Ended(AttemptResult::Kind::NotSent,
                      aHandle->Aborted() ? aHandle->Reason()
                                         : "can't be reached");
    }
  }
  const Instant sentAt = mClock.Now();
  const Duration left = aLeft - (sentAt - started);
  if (left < Duration(kLeastTold)) {
    aHandle->Detach();
    KeepOrClose(aPeer, connection);
    co_return Ended(AttemptResult::Kind::NotSent, "no time is left");
  }
  std::string head = HeadOf(aPeer.instance, *aRequest, left);
  const bool ahead = aRequest->body.size() <= kWrittenAhead;
  if (ahead) {
    head += aRequest->body;
  }
  auto [writeError, written] =
    co_await asio::async_write(connection->socket, asio::buffer(head), kAwait);
  if (writeError) {
    aHandle->Detach();
    connection->Close();
    co_return Ended(AttemptResult::Kind::Unknown,
                    "writing failed: " + writeError.message());
  }
  auto wholeBody = std::make_shared<bool>(ahead);
  if (!ahead) {
    asio::co_spawn(
      mExecutor, WriteRest(connection, aRequest, wholeBody), asio::detached);
  }
  AttemptResult result =
    co_await ReadAnswer(connection, aRequest, aPeer.instance, ahead);
  aHandle->Detach();
  result.took = mClock.Now() - sentAt;
  if (aHandle->Aborted() && result.kind == AttemptResult::Kind::Unknown) {
    result.reason = aHandle->Reason();
    result.silent = true;
  }
  const bool reusable = result.kind == AttemptResult::Kind::Answer ||
                        result.kind == AttemptResult::Kind::NotRun;
  if (reusable && *wholeBody && !aHandle->Aborted()) {
    KeepOrClose(aPeer, connection);
  } else {
    connection->Close();
  }
  co_return result;
}

void
UpstreamClient::KeepOrClose(
  const UpstreamProcess& aPeer,
  const std::shared_ptr<UpstreamConnection>& aConnection)
{
  if (aConnection->buffer.size() == 0 &&
      aConnection->goodUntil > mClock.Now()) {
    // Some hundred are kept, one for each upstream that was met in the last
    // seconds, and each would keep the room of its longest answer.
    aConnection->buffer.shrink_to_fit();
    mPool.Put(aPeer, aConnection);
  } else {
    aConnection->Close();
  }
}

asio::awaitable<AttemptResult>
UpstreamClient::ReadAnswer(std::shared_ptr<UpstreamConnection> aConnection,
                           std::shared_ptr<const UpstreamRequest> aRequest,
                           std::string aInstance,
                           bool aWritten)
{
  for (int skipped = 0; skipped <= kMaxForeignAnswers; ++skipped) {
    Parser parser;
    parser.body_limit(boost::none);
    parser.skip(aRequest->method == "HEAD");
    auto [error, bytes] = co_await beast::http::async_read(
      aConnection->socket, aConnection->buffer, parser, kAwait);
    if (error) {
      co_return Ended(AttemptResult::Kind::Unknown,
                      "no whole answer: " + error.message());
    }
    auto& message = parser.get();
    UpstreamResponse answer;
    answer.status = message.result_int();
    const bool kept = message.keep_alive() && !parser.need_eof();
    answer.body = std::move(message.body());
    answer.fields = std::move(message.base());
    aConnection->goodUntil = {};
    const std::string_view id =
      http::FieldOf(answer.fields, mHeaders.requestId);
    if (!id.empty() && id != aRequest->requestId) {
      // Safeguard: an upstream may send an answer twice, late. Taken for ours,
      // a caller would get what belongs to another.
      if (!kept) {
        co_return Ended(AttemptResult::Kind::Unknown,
                        "the answer belongs to another request");
      }
      continue;
    }
    if (kept && skipped == 0) {
      aConnection->goodUntil = mClock.Now() + KeptFor(answer);
    }
    co_return Judge(std::move(answer));
  }
  co_return Ended(AttemptResult::Kind::Unknown,
                  "too many answers to other requests");
}

AttemptResult
UpstreamClient::Judge(UpstreamResponse aAnswer) const
{
  const bool success =
    aAnswer.status >= kFirstSuccess && aAnswer.status < kFirstRedirect;
  const auto has = [&](const std::string& aName) {
    return !http::FieldOf(aAnswer.fields, aName).empty();
  };
  if (!success &&
      (aAnswer.status == kMisdirected || has(mHeaders.notExecuted))) {
    AttemptResult result =
      Ended(AttemptResult::Kind::NotRun,
            "refused with " + std::to_string(aAnswer.status));
    result.answer = std::move(aAnswer);
    return result;
  }
  // Safeguard: these statuses promise a caller that its request has not run.
  // Without the proof the upstream promises nothing, and neither may this host.
  if (IsPromise(aAnswer.status)) {
    return Ended(AttemptResult::Kind::Unknown,
                 "refused with " + std::to_string(aAnswer.status) +
                   " and without proof");
  }
  // Safeguard: a faulty upstream may send bytes that look like an answer. Its
  // signature and the request's id show that it is one.
  if (!has(mHeaders.signature) || !has(mHeaders.requestId) ||
      has("Content-Encoding")) {
    return Ended(AttemptResult::Kind::Unknown,
                 "the answer " + std::to_string(aAnswer.status) +
                   " is not the upstream's own");
  }
  AttemptResult result = Ended(AttemptResult::Kind::Answer, "");
  result.answer = std::move(aAnswer);
  return result;
}

} // namespace rattandyke::gateway
