#include "http/upstream_exchange.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>

#include "http/body_reader.h"
#include "net/read_head.h"

namespace rattandyke::http {

namespace asio = boost::asio;
namespace beast = boost::beast;

namespace {

constexpr size_t kReadBytes = 4096;
/// From this length on, an answer's body is read in large pieces.
constexpr uint64_t kLargeBodyBytes = uint64_t{ 64 } * 1024;
constexpr size_t kLargeReadBytes = size_t{ 32 } * 1024;
constexpr unsigned kNoContent = 204;
constexpr unsigned kNotModified = 304;

} // namespace

UpstreamExchange::UpstreamExchange(const asio::any_io_executor& aStrand,
                                   UpstreamPool& aPool,
                                   Endpoint aUpstream,
                                   const Limits& aLimits,
                                   const Clock& aClock)
  : mPool(aPool)
  , mUpstream(std::move(aUpstream))
  , mLimits(aLimits)
  , mClock(aClock)
  , mTimer(aStrand)
{
}

UpstreamExchange::~UpstreamExchange()
{
  Abort();
}

asio::awaitable<error_code>
UpstreamExchange::Connect(bool aIdempotent)
{
  mConnection = mPool.Take(mUpstream, aIdempotent, mClock.Now());
  if (mConnection) {
    co_return error_code{};
  }
  co_return co_await MakeConnection();
}

asio::awaitable<error_code>
UpstreamExchange::MakeConnection()
{
  error_code error;
  const auto address = asio::ip::make_address(mUpstream.address, error);
  if (error) {
    co_return error;
  }
  mConnection = mPool.New();
  StartTimer(mLimits.connectTime);
  const auto [failure] = co_await mConnection->socket.async_connect(
    asio::ip::tcp::endpoint(address, mUpstream.port), kAwait);
  StopTimer();
  if (!failure && !mAborted) {
    mConnection->socket.set_option(asio::ip::tcp::no_delay(true), error);
  }
  co_return mAborted ? error_code(asio::error::operation_aborted) : failure;
}

/// Safeguard: the timer may have run out in the moment in which what it limits
/// is done; its handler is then called although it was cancelled. It would
/// abort the exchange in the middle of the request, which may have run. Each
/// start and stop makes a turn, so a handler of an earlier turn does nothing.
void
UpstreamExchange::StartTimer(Duration aTime)
{
  mTimer.expires_after(aTime);
  const uint64_t turn = ++mTimerTurns;
  mTimer.async_wait([weak = weak_from_this(), turn](const error_code& aError) {
    const auto self = weak.lock();
    if (self && !aError && self->mTimerTurns == turn) {
      self->Abort();
    }
  });
}

void
UpstreamExchange::StopTimer()
{
  ++mTimerTurns;
  mTimer.cancel();
}

/// Spares the timer for the many answers that arrive in one piece.
bool
UpstreamExchange::BodyIsBuffered() const
{
  const auto remaining = mParser->content_length_remaining();
  return remaining && mConnection->buffer.size() >= *remaining;
}

asio::awaitable<error_code>
UpstreamExchange::ReadHead(bool aHeadRequest)
{
  mHeadRequest = aHeadRequest;
  if (mAborted) {
    co_return asio::error::operation_aborted;
  }
  mConnection->buffer.reserve(kReadBytes);
  co_return co_await net::ReadFinalHead(mConnection->socket,
                                        mConnection->buffer,
                                        mParser,
                                        UpstreamConnection::kMaxHeadBytes,
                                        [aHeadRequest](Parser& aParser) {
                                          aParser.header_limit(
                                            UpstreamConnection::kMaxHeadBytes);
                                          aParser.body_limit(boost::none);
                                          aParser.skip(aHeadRequest);
                                        });
}

std::optional<Framing>
UpstreamExchange::BodyFraming() const
{
  const unsigned status = Head().result_int();
  const auto length = mParser->content_length();
  if (status == kNoContent) {
    return Framing{};
  }
  if (mParser->chunked()) {
    return Framing{ Framing::Kind::Chunked, 0 };
  }
  if (length) {
    return Framing{ Framing::Kind::Length, *length };
  }
  if (mHeadRequest || status == kNotModified) {
    return Framing{};
  }
  return std::nullopt;
}

asio::awaitable<error_code>
UpstreamExchange::ReadBodySome(std::span<char> aInto, size_t& aRead)
{
  if (mAborted) {
    co_return asio::error::operation_aborted;
  }
  if (mParser->content_length_remaining().value_or(0) > kLargeBodyBytes) {
    mConnection->buffer.reserve(kLargeReadBytes);
  }
  if (!BodyIsBuffered()) {
    StartTimer(mLimits.answerStall);
  }
  const error_code error = co_await ReadSome(
    mConnection->socket, mConnection->buffer, *mParser, aInto, aRead);
  StopTimer();
  co_return mAborted ? error_code(asio::error::operation_aborted) : error;
}

/// Bytes behind the answer's end: the upstream announced a shorter answer than
/// it sent, or sent two. Either way its framing cannot be believed.
bool
UpstreamExchange::HasSurplus()
{
  error_code ignored;
  return mConnection->buffer.size() > 0 ||
         mConnection->socket.available(ignored) > 0;
}

bool
UpstreamExchange::Finish()
{
  if (mAborted || HasSurplus()) {
    Abort();
    return false;
  }
  if (!mRequestWritten) {
    // The upload is still being written: its socket must not vanish.
    Abort();
    return true;
  }
  if (mParser->keep_alive()) {
    mPool.GiveBack(mUpstream, std::move(mConnection), mClock.Now());
  }
  mConnection.reset();
  return true;
}

void
UpstreamExchange::Abort()
{
  mAborted = true;
  StopTimer();
  if (mConnection) {
    mConnection->Abort();
  }
}

bool
MeansConnectionLost(const error_code& aError)
{
  namespace error = boost::asio::error;
  using beast::http::error::end_of_stream;
  using beast::http::error::partial_message;
  return aError == error::eof || aError == error::connection_reset ||
         aError == error::broken_pipe || aError == error::connection_aborted ||
         aError == end_of_stream || aError == partial_message;
}

} // namespace rattandyke::http
