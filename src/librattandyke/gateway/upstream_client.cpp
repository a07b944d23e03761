#include "gateway/upstream_client.h"

#include <algorithm>
#include <array>
#include <charconv>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "base/endpoint.h"
#include "gateway/body_room.h"
#include "gateway/read_body.h"
#include "http/back_pressure.h"
#include "http/headers.h"
#include "http/signal.h"
#include "net/frame_connection.h"
#include "net/peer_acks.h"
#include "net/read_body.h"
#include "net/read_error.h"
#include "net/read_head.h"

namespace rattandyke::gateway {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using http::kAwait;
using std::chrono::milliseconds;

/// Upstreams are a few milliseconds away. One that takes longer to accept a
/// connection is down or overloaded.
constexpr milliseconds kConnectTimeout{ 250 };
/// Idle time after which a connection is not reused if the upstream sends no
/// Keep-Alive timeout.
constexpr milliseconds kDefaultIdleLifetime{ 4000 };
/// Subtracted from the upstream's Keep-Alive timeout, so that the upstream does
/// not close the connection while a request is in transit.
constexpr milliseconds kIdleLifetimeMargin{ 1000 };
/// Time after which a connection is closed whose upstream acknowledges nothing.
constexpr milliseconds kUnacknowledgedTimeout{ 1000 };
/// Age of a request from which on its upstream may be reading it slowly.
constexpr milliseconds kMinStall{ 200 };
/// Time for the response to a probe. It may wait for a slot of the upstream.
constexpr milliseconds kProbeTimeout{ 1000 };
/// Shortest remaining time with which a request is sent. The deadline header is
/// in whole milliseconds, and upstreams treat 0 as no limit: if a pause of this
/// host used up the time, the upstream would work for a caller that is gone.
constexpr milliseconds kMinDeadline{ 1 };
/// Responses to other requests that are skipped before the attempt fails.
constexpr int kMaxSkippedResponses = 3;
/// Interim responses (1xx) that are skipped before the attempt fails.
constexpr int kMaxInterimResponses = 8;
/// Longest response to a health check.
constexpr uint64_t kMaxHealthBytes = uint64_t{ 64 } * 1024;
/// Bodies up to this size are written before the response is read. Longer ones
/// are written concurrently, as an upstream may respond before it has read
/// them.
constexpr size_t kMaxInlineBodyBytes = size_t{ 32 } * 1024;
constexpr unsigned kMisdirected = 421;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kSwitchingProtocols = 101;
constexpr unsigned kFirstSuccess = 200;
constexpr unsigned kFirstRedirect = 300;

/// @return whether a status tells a caller that its request has not run and
/// never will.
bool
ImpliesNotExecuted(unsigned aStatus)
{
  constexpr std::array kStatuses{ 408U, 421U, 429U, 503U };
  return std::find(kStatuses.begin(), kStatuses.end(), aStatus) !=
         kStatuses.end();
}

/// @return time for which a connection may be idle after a response.
Duration
IdleLifetime(const UpstreamResponse& aResponse)
{
  const std::string_view field = http::FieldOf(aResponse.fields, "Keep-Alive");
  constexpr std::string_view kName = "timeout=";
  const size_t at = field.find(kName);
  if (at == std::string_view::npos) {
    return kDefaultIdleLifetime;
  }
  const std::string_view text = field.substr(at + kName.size());
  unsigned seconds = 0;
  std::from_chars(text.data(), text.data() + text.size(), seconds);
  return std::chrono::seconds{ seconds } - Duration(kIdleLifetimeMargin);
}

AttemptResult
MakeResult(AttemptResult::Kind aKind, std::string aReason)
{
  AttemptResult result;
  result.kind = aKind;
  result.reason = std::move(aReason);
  return result;
}

/// @return whether the bytes that were read are not those of a response, or
/// are more than this host reads. Otherwise the connection has ended.
bool
IsNoResponse(const boost::system::error_code& aError)
{
  return aError == EndlessBodyError() || net::IsMalformed(aError);
}

/// @return the result of an attempt whose response can't be used.
AttemptResult
UnusableResponse(std::string aReason)
{
  AttemptResult result =
    MakeResult(AttemptResult::Kind::OutcomeUnknown, std::move(aReason));
  result.responded = true;
  return result;
}

asio::awaitable<void>
WriteBody(std::shared_ptr<UpstreamConnection> aConnection,
          std::shared_ptr<const UpstreamRequest> aRequest)
{
  auto [error, bytes] = co_await asio::async_write(
    aConnection->socket, asio::buffer(aRequest->body), kAwait);
  aConnection->requestWritten = !error;
}

} // namespace

AttemptResult
AttemptResult::NotSent(std::string aReason)
{
  return MakeResult(Kind::NotSent, std::move(aReason));
}

UpstreamClient::UpstreamClient(asio::any_io_executor aExecutor,
                               const HeaderNames& aHeaders,
                               MemoryBudget& aBodies,
                               const Clock& aClock,
                               OnWrite aOnWrite)
  : mExecutor(std::move(aExecutor))
  , mHeaders(aHeaders)
  , mBodies(aBodies)
  , mClock(aClock)
  , mOnWrite(std::move(aOnWrite))
{
}

asio::awaitable<std::shared_ptr<UpstreamConnection>>
UpstreamClient::Connect(std::string aAddress,
                        std::shared_ptr<AttemptHandle> aHandle,
                        std::string& aFailure)
{
  const Result<Endpoint> address = ParseEndpoint(aAddress);
  if (!address) {
    aFailure = "can't be reached: the address is invalid";
    co_return nullptr;
  }
  auto connection = std::make_shared<UpstreamConnection>(mExecutor);
  aHandle->AttachConnection(connection);
  ++mConnectionsOpened;
  // If the timer expires at the moment the connection is established, its
  // handler runs although the timer is cancelled. Without this flag it would
  // close the connection during the request, which may have run by then.
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
    ++mConnectionsFailed;
    const bool timedOut = !error || error == asio::error::operation_aborted;
    aFailure =
      "can't be reached: " +
      (timedOut ? std::string("no connection in time") : error.message());
    co_return nullptr;
  }
  net::TuneSocket(connection->socket, kUnacknowledgedTimeout);
  connection->openedAt = mClock.Now();
  co_return connection;
}

std::string
UpstreamClient::FormatHead(const std::string& aInstance,
                           const UpstreamRequest& aRequest,
                           Duration aTimeLeft) const
{
  const auto left = std::chrono::duration_cast<milliseconds>(aTimeLeft).count();
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
UpstreamClient::RoundTrip(UpstreamProcess aProcess,
                          std::shared_ptr<const UpstreamRequest> aRequest,
                          Duration aTimeLeft,
                          std::shared_ptr<AttemptHandle> aHandle)
{
  const Instant started = mClock.Now();
  std::shared_ptr<UpstreamConnection> connection =
    mPool.Take(aProcess, aRequest->requestId, started);
  const bool newConnection = !connection;
  if (connection) {
    aHandle->AttachConnection(connection);
  } else {
    std::string failure;
    connection = co_await Connect(aProcess.address, aHandle, failure);
    if (!connection || aHandle->IsCancelled()) {
      aHandle->DetachConnection();
      AttemptResult result =
        MakeResult(AttemptResult::Kind::NotSent,
                   aHandle->IsCancelled() ? aHandle->CancelReason() : failure);
      result.newConnection = true;
      co_return result;
    }
  }
  const Instant sentAt = mClock.Now();
  const Duration left = aTimeLeft - (sentAt - started);
  if (left < Duration(kMinDeadline)) {
    aHandle->DetachConnection();
    PoolOrClose(aProcess, connection);
    co_return MakeResult(AttemptResult::Kind::NotSent, "no time is left");
  }
  mInProgress[connection] = sentAt;
  AttemptResult result =
    co_await Exchange(connection, aProcess.instance, aRequest, left, aHandle);
  mInProgress.erase(connection);
  aHandle->DetachConnection();
  result.newConnection = newConnection;
  result.connectionOpenedAt = connection->openedAt;
  result.elapsed = mClock.Now() - sentAt;
  if (result.kind == AttemptResult::Kind::OutcomeUnknown) {
    if (aHandle->IsCancelled()) {
      result.reason = aHandle->CancelReason();
      result.cancelled = true;
    } else if (connection->silent) {
      result.reason = "the upstream acknowledges nothing";
    }
  }
  if (result.kind == AttemptResult::Kind::NotExecuted) {
    connection->refused.Add(
      aRequest->requestId, started + aTimeLeft, mClock.Now());
  }
  const bool reusable = (result.kind == AttemptResult::Kind::Response ||
                         result.kind == AttemptResult::Kind::NotExecuted) &&
                        !connection->refused.IsFull();
  if (reusable && connection->requestWritten && !aHandle->IsCancelled()) {
    PoolOrClose(aProcess, connection);
  } else {
    connection->Close();
  }
  co_return result;
}

asio::awaitable<AttemptResult>
UpstreamClient::Exchange(std::shared_ptr<UpstreamConnection> aConnection,
                         const std::string& aInstance,
                         std::shared_ptr<const UpstreamRequest> aRequest,
                         Duration aLeft,
                         std::shared_ptr<AttemptHandle> aHandle)
{
  std::string head = FormatHead(aInstance, *aRequest, aLeft);
  const bool bodyInline = aRequest->body.size() <= kMaxInlineBodyBytes;
  if (bodyInline) {
    head += aRequest->body;
  }
  mOnWrite(head.size() + (bodyInline ? 0 : aRequest->body.size()));
  aConnection->requestWritten = false;
  auto [writeError, written] =
    co_await asio::async_write(aConnection->socket, asio::buffer(head), kAwait);
  if (writeError) {
    AttemptResult result =
      MakeResult(AttemptResult::Kind::OutcomeUnknown,
                 "writing failed: " + writeError.message());
    result.connectionLost = !aHandle->IsCancelled();
    co_return result;
  }
  if (bodyInline) {
    aConnection->requestWritten = true;
  } else {
    asio::co_spawn(mExecutor, WriteBody(aConnection, aRequest), asio::detached);
  }
  co_return co_await ReadResponse(aConnection, aRequest, aLeft, aHandle);
}

/// An upstream may read a long body late, within the time of its request. Its
/// window is closed meanwhile, and it acknowledges the kernel's probes.
void
UpstreamClient::CheckPeers(Instant aNow)
{
  for (const auto& [connection, since] : mInProgress) {
    if (aNow - since < Duration(kMinStall)) {
      continue;
    }
    const auto acks = net::QueryPeerAcks(connection->socket);
    if (!acks) {
      continue;
    }
    if (!connection->readsSlowly &&
        net::IsReadingSlowly(*acks, kUnacknowledgedTimeout)) {
      connection->readsSlowly = true;
      net::SetUserTimeout(connection->socket, milliseconds::zero());
    }
    if (connection->readsSlowly &&
        net::IsSilent(*acks, kUnacknowledgedTimeout)) {
      connection->silent = true;
      connection->Close();
      ++mSilentConnections;
    }
  }
}

void
UpstreamClient::PoolOrClose(
  const UpstreamProcess& aProcess,
  const std::shared_ptr<UpstreamConnection>& aConnection)
{
  if (aConnection->buffer.size() == 0 &&
      aConnection->usableUntil > mClock.Now()) {
    // The pool holds some hundred connections, one for each upstream used in
    // the last seconds; each buffer would keep the capacity of its longest
    // response.
    aConnection->buffer.shrink_to_fit();
    if (std::exchange(aConnection->readsSlowly, false)) {
      net::SetUserTimeout(aConnection->socket, kUnacknowledgedTimeout);
    }
    mPool.Put(aProcess, aConnection);
  } else {
    aConnection->Close();
  }
}

asio::awaitable<bool>
UpstreamClient::Probe(UpstreamProcess aProcess, std::string aHealthPath)
{
  auto handle = std::make_shared<AttemptHandle>();
  std::string failure;
  const auto connection = co_await Connect(aProcess.address, handle, failure);
  if (!connection) {
    co_return false;
  }
  connection->usableUntil = mClock.Now() + Duration(kDefaultIdleLifetime);
  if (aHealthPath.empty()) {
    PoolOrClose(aProcess, connection);
    co_return true;
  }
  connection->carriedHealthCheck = true;
  auto waiting = std::make_shared<bool>(true);
  asio::steady_timer timer(mExecutor, kProbeTimeout);
  timer.async_wait([connection, waiting](ErrorCode aError) {
    if (!aError && *waiting) {
      connection->Close();
    }
  });
  const bool responded =
    co_await CheckHealth(*connection, aProcess, std::move(aHealthPath));
  *waiting = false;
  timer.cancel();
  if (responded) {
    PoolOrClose(aProcess, connection);
  } else {
    connection->Close();
  }
  co_return responded;
}

asio::awaitable<bool>
UpstreamClient::CheckHealth(UpstreamConnection& aConnection,
                            const UpstreamProcess& aProcess,
                            std::string aHealthPath)
{
  std::string head = "GET " + aHealthPath + " HTTP/1.1\r\n";
  http::AppendField(head, "Host", aProcess.address);
  http::AppendField(head, mHeaders.expectedInstance, aProcess.instance);
  head += "\r\n";
  auto [writeError, written] =
    co_await asio::async_write(aConnection.socket, asio::buffer(head), kAwait);
  if (writeError) {
    co_return false;
  }
  std::optional<Parser> parser;
  ErrorCode readError = co_await net::ReadFinalHead(
    aConnection.socket,
    aConnection.buffer,
    parser,
    UpstreamConnection::kMaxHeadBytes,
    [](Parser& aParser) {
      aParser.header_limit(UpstreamConnection::kMaxHeadBytes);
      aParser.body_limit(kMaxHealthBytes);
    });
  if (!readError) {
    readError =
      co_await net::ReadBody(aConnection.socket, aConnection.buffer, *parser);
  }
  if (readError) {
    co_return false;
  }
  if (!parser->get().keep_alive() || parser->need_eof()) {
    aConnection.usableUntil = {};
  }
  const auto& response = parser->get().base();
  const std::string_view named = http::FieldOf(response, mHeaders.instance);
  co_return response.result_int() != kMisdirected &&
    (named.empty() || named == aProcess.instance);
}

asio::awaitable<AttemptResult>
UpstreamClient::ReadResponse(std::shared_ptr<UpstreamConnection> aConnection,
                             std::shared_ptr<const UpstreamRequest> aRequest,
                             Duration aTimeLeft,
                             std::shared_ptr<AttemptHandle> aHandle)
{
  int interim = 0;
  for (int skipped = 0; skipped <= kMaxSkippedResponses;) {
    Parser parser;
    parser.header_limit(UpstreamConnection::kMaxHeadBytes);
    parser.body_limit(boost::none);
    parser.skip(aRequest->method == "HEAD");
    auto room = co_await ReadWhole(*aConnection, parser, aTimeLeft, *aHandle);
    if (!room && room.error() == NoRoomError()) {
      AttemptResult result =
        UnusableResponse("this host has no room for the answer");
      result.noRoom = true;
      co_return result;
    }
    if (!room && IsNoResponse(room.error())) {
      co_return UnusableResponse("the answer can't be read: " +
                                 room.error().message());
    }
    if (!room) {
      AttemptResult result =
        MakeResult(AttemptResult::Kind::OutcomeUnknown,
                   "no whole answer: " + room.error().message());
      result.connectionLost = !aHandle->IsCancelled();
      co_return result;
    }
    auto& message = parser.get();
    if (!net::IsFinalStatus(message.result_int())) {
      // RFC 9110, section 15.2: the final response follows. No request of this
      // host asks for another protocol.
      if (message.result_int() == kSwitchingProtocols ||
          ++interim > kMaxInterimResponses) {
        co_return UnusableResponse("the answer " +
                                   std::to_string(message.result_int()) +
                                   " is not a final one");
      }
      continue;
    }
    UpstreamResponse response;
    response.status = message.result_int();
    const bool endsByClose = parser.need_eof();
    const bool keepAlive = message.keep_alive() && !endsByClose;
    response.body = std::move(message.body());
    response.bodyRoom = std::move(*room);
    response.fields = std::move(message.base());
    aConnection->usableUntil = {};
    if (DropsRequiredField(response)) {
      co_return UnusableResponse(
        "Connection names a field of the answer that is for the whole way");
    }
    const Identity identity = IdentityOf(response, *aRequest, *aConnection);
    if (identity == Identity::Unknown) {
      ++mUnidentifiedResponses;
      co_return UnusableResponse(
        "the answer " + std::to_string(response.status) + " names no request");
    }
    if (identity == Identity::OtherRequest) {
      // An upstream may send a late duplicate of an earlier response. It must
      // not reach the caller of this request.
      ++mSkippedResponses;
      if (!keepAlive) {
        co_return UnusableResponse("the answer belongs to another request");
      }
      ++skipped;
      continue;
    }
    if (keepAlive && skipped == 0) {
      aConnection->usableUntil = mClock.Now() + IdleLifetime(response);
    }
    Result<std::optional<Duration>> rest;
    if (response.status == kUnavailable) {
      rest = http::ReadRetryAfter(response.fields);
    }
    AttemptResult result = Classify(std::move(response));
    if (result.kind == AttemptResult::Kind::Response && endsByClose) {
      co_return UnusableResponse("nothing tells whether the answer is whole");
    }
    result.rest = std::move(rest);
    result.responded = true;
    co_return result;
  }
  co_return UnusableResponse("too many answers to other requests");
}

asio::awaitable<
  tl::expected<MemoryBudget::Reservation, UpstreamClient::ErrorCode>>
UpstreamClient::ReadWhole(UpstreamConnection& aConnection,
                          Parser& aParser,
                          Duration aTimeLeft,
                          AttemptHandle& aHandle)
{
  const ErrorCode headError =
    co_await net::ReadHead(aConnection.socket,
                           aConnection.buffer,
                           aParser,
                           UpstreamConnection::kMaxHeadBytes);
  if (headError) {
    co_return tl::unexpected(headError);
  }
  BodyRoom room(
    mExecutor, mBodies, MemoryBudget::Use::Response, aTimeLeft, mClock);
  if (aParser.is_done()) {
    co_return room.Take(0);
  }
  aHandle.AttachWaiter([&room] { room.GiveUp(); });
  ErrorCode error = NoRoomError();
  if (co_await room.Open(DeclaredLength(aParser))) {
    error =
      co_await ReadBody(aConnection.socket, aConnection.buffer, aParser, room);
  }
  aHandle.DetachWaiter();
  if (error == NoRoomError() && !DeclaredLength(aParser) &&
      room.CanNeverFit()) {
    error = EndlessBodyError();
  }
  if (error) {
    co_return tl::unexpected(error);
  }
  co_return room.Take(aParser.get().body().size());
}

bool
UpstreamClient::DropsRequiredField(const UpstreamResponse& aResponse) const
{
  return http::IsNamedByConnection(aResponse.fields, mHeaders.requestId) ||
         http::IsNamedByConnection(aResponse.fields, mHeaders.signature);
}

/// A response without an id proves nothing: every request has an id, and the
/// upstream returns it. After a health check, which has none, the response may
/// be a late duplicate of the response to that.
UpstreamClient::Identity
UpstreamClient::IdentityOf(const UpstreamResponse& aResponse,
                           const UpstreamRequest& aRequest,
                           const UpstreamConnection& aConnection) const
{
  const std::string_view id =
    http::FieldOf(aResponse.fields, mHeaders.requestId);
  if (id.empty()) {
    return aConnection.carriedHealthCheck ? Identity::OtherRequest
                                          : Identity::Unknown;
  }
  return id == aRequest.requestId ? Identity::ThisRequest
                                  : Identity::OtherRequest;
}

AttemptResult
UpstreamClient::Classify(UpstreamResponse aResponse) const
{
  const bool success =
    aResponse.status >= kFirstSuccess && aResponse.status < kFirstRedirect;
  const auto has = [&](const std::string& aName) {
    return !http::FieldOf(aResponse.fields, aName).empty();
  };
  if (!success &&
      (aResponse.status == kMisdirected || has(mHeaders.notExecuted))) {
    AttemptResult result =
      MakeResult(AttemptResult::Kind::NotExecuted,
                 "refused with " + std::to_string(aResponse.status));
    result.response = std::move(aResponse);
    return result;
  }
  // These statuses tell a caller that its request has not run. Without the
  // not-executed header the upstream does not guarantee this, so this host must
  // not pass such a status on.
  if (ImpliesNotExecuted(aResponse.status)) {
    return MakeResult(AttemptResult::Kind::OutcomeUnknown,
                      "refused with " + std::to_string(aResponse.status) +
                        " and without proof");
  }
  // A faulty upstream may send data that looks like a response. The signature
  // shows that it is genuine. This host requests no content encoding.
  if (!has(mHeaders.signature) || has("Content-Encoding")) {
    return MakeResult(AttemptResult::Kind::OutcomeUnknown,
                      "the answer " + std::to_string(aResponse.status) +
                        " is not the upstream's own");
  }
  AttemptResult result = MakeResult(AttemptResult::Kind::Response, "");
  result.response = std::move(aResponse);
  return result;
}

} // namespace rattandyke::gateway
