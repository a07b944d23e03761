#include "gateway/caller_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/http/error.hpp>

#include "gateway/serialize_response.h"
#include "log/log.h"
#include "net/listen.h"

namespace rattandyke::gateway {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using std::chrono::milliseconds;
using ErrorCode = CallerConnection::ErrorCode;
using BeastError = beast::http::error;

/// Connections that are read on after their last answer. Beyond this number
/// they close at once, so that callers that never close cannot pile up.
constexpr size_t kMostLingering = 64;
/// Of the lines on connections that ended under a request. Callers that leave
/// in a crowd are told by the metric; some lines of them are enough.
constexpr uint32_t kLinesPerSecond = 20;

/// A connection is kept for longer than the idle limit by this. A link is held
/// up for 0.1 s by a large change of the configuration, and for 0.6 s if that
/// is not compressed.
constexpr milliseconds kKeptLonger{ 2000 };

constexpr unsigned kBadRequest = 400;
constexpr unsigned kRequestTimeout = 408;
constexpr unsigned kTooLarge = 413;
constexpr unsigned kHeadTooLarge = 431;
constexpr unsigned kBadGateway = 502;

std::string_view
NameOf(CloseReason aEnd)
{
  switch (aEnd) {
    case CloseReason::Answered:
      return "answered";
    case CloseReason::Refused:
      return "refused";
    case CloseReason::CallerClosed:
      return "caller_closed";
    case CloseReason::HalfRequest:
      return "half_request";
    case CloseReason::Idle:
      return "idle";
    case CloseReason::Leaving:
      return "leaving";
    case CloseReason::CallerLeft:
      return "caller_left";
    case CloseReason::WriteFailed:
      return "write_failed";
    case CloseReason::Failed:
      break;
  }
  return "failed";
}

CallerRequest
RequestOf(CallerConnection::Parser& aParser, Instant aNow)
{
  auto& message = aParser.get();
  CallerRequest request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  request.hasBody = message.has_content_length() || message.chunked();
  request.body = std::move(message.body());
  request.fields = std::move(message.base());
  request.arrived = aNow;
  return request;
}

/// @return whether a request had been read whole when its connection ended.
bool
IsUnderARequest(CloseReason aEnd)
{
  return aEnd == CloseReason::CallerLeft || aEnd == CloseReason::WriteFailed ||
         aEnd == CloseReason::Failed;
}

/// @return the status that refuses what could not be read, 0 if there is
/// nobody to refuse.
unsigned
RefusalOf(ErrorCode aError)
{
  if (aError == BeastError::header_limit) {
    return kHeadTooLarge;
  }
  if (aError == BeastError::body_limit) {
    return kTooLarge;
  }
  const bool malformed =
    aError.category() == make_error_code(BeastError::bad_method).category() &&
    aError != BeastError::end_of_stream &&
    aError != BeastError::partial_message;
  return malformed ? kBadRequest : 0;
}

} // namespace

CallerServer::CallerServer(const asio::any_io_executor& aExecutor,
                           CallerRequestHandler& aService,
                           const Clock& aClock)
  : mExecutor(aExecutor)
  , mService(aService)
  , mClock(aClock)
  , mAcceptor(aExecutor)
  , mLines(kLinesPerSecond)
{
}

Result<Endpoint>
CallerServer::Start(const Endpoint& aListen, const Owner& aOwner)
{
  auto open = net::Listen(mAcceptor, aListen, "callers");
  if (open) {
    mOwner = aOwner;
    Accept(aOwner);
  }
  return open;
}

/// Safeguard: without a free descriptor each try to accept fails at once. Tried
/// again without a pause they would take the core from the requests that are
/// here. The sweep tries again; callers wait in the listener's queue.
void
CallerServer::Accept(Owner aOwner)
{
  mAccepting = true;
  mAcceptor.async_accept(
    [this, owner = std::move(aOwner)](ErrorCode aError, tcp::socket aSocket) {
      mAccepting = false;
      if (!aError) { // Perhaps from before the listener closed.
        Take(std::move(aSocket), owner);
      }
      if (!mAcceptor.is_open()) {
        return;
      }
      if (aError) {
        log::Line(log::Part::Entry, log::Severity::Warning)
          << "no caller can be accepted: " << aError.message();
        return;
      }
      Accept(owner);
    });
}

/// Safeguard: the kernel resets what waits in the queue of a listener that
/// closes. Callers whose connection stood, and whose request may be sent, would
/// get no answer.
void
CallerServer::AcceptQueued()
{
  const Owner owner = mOwner.lock();
  ErrorCode error;
  mAcceptor.non_blocking(true, error);
  while (!error) {
    tcp::socket socket = mAcceptor.accept(error);
    if (!error) {
      Take(std::move(socket), owner);
    }
  }
}

void
CallerServer::Take(tcp::socket aSocket, Owner aOwner)
{
  auto connection =
    std::make_shared<CallerConnection>(std::move(aSocket), mClock);
  mOpen.insert(connection);
  asio::co_spawn(
    mExecutor, Serve(this, connection, std::move(aOwner)), asio::detached);
}

asio::awaitable<void>
CallerServer::Serve(CallerServer* aSelf, Connection aConnection, Owner aOwner)
{
  End end;
  std::string fault;
  while (!end) {
    try {
      end = co_await aSelf->ServeOne(aConnection);
    } catch (const std::exception& exception) {
      fault = exception.what();
      end = Ended{ CloseReason::Failed };
    }
  }
  if (!fault.empty()) {
    log::Line(log::Part::Entry, log::Severity::Error)
      << "serving a caller failed: " << fault;
  }
  aSelf->Tell(*aConnection, *end);
  co_await aSelf->AwaitTaken(aConnection, end->reason);
  aConnection->Close();
  aSelf->mOpen.erase(aConnection);
}

asio::awaitable<CallerServer::End>
CallerServer::ServeOne(Connection aConnection)
{
  const CallerLimits limits = mService.Limits();
  CallerConnection::Parser parser;
  parser.header_limit(limits.headerBytes);
  parser.body_limit(limits.bodyBytes);
  const ErrorCode unread =
    co_await aConnection->Read(parser, limits.idle + Duration(kKeptLonger));
  if (unread) {
    co_return co_await RefuseUnread(aConnection, unread, parser.got_some());
  }
  co_return co_await ServeRequest(aConnection, parser);
}

asio::awaitable<CallerServer::End>
CallerServer::ServeRequest(Connection aConnection,
                           CallerConnection::Parser& aParser)
{
  const bool keep = aParser.get().keep_alive();
  CallerRequest request = RequestOf(aParser, mClock.Now());
  const Instant arrived = request.arrived;
  const std::string id = mService.IdOf(request);
  const bool head = request.method == "HEAD";
  auto context = std::make_shared<RequestContext>(mExecutor);
  aConnection->Watch(context);
  if (mLastCalled) { // It came after the call to those that were here.
    context->OnHostShutdown();
  }
  Ended end{ CloseReason::Answered, id };
  const CallerResponse answer =
    co_await AnswerOf(context, std::move(request), end.reason);
  aConnection->Unwatch();
  if (context->HasCallerDisconnected()) {
    end.reason = CloseReason::CallerLeft;
  }
  const bool keepOpen = end.reason == CloseReason::Answered && keep &&
                        !mStopping && !aConnection->IsEnding();
  // Also to a caller that seems to have left: one that has only closed its
  // sending side reads it, and nobody has to trust our belief that it is gone.
  const KeptFor kept{ mService.Limits().idle };
  const std::string text =
    AnswerText(answer, keepOpen ? std::optional(kept) : std::nullopt, head);
  const bool written = co_await aConnection->Write(text);
  end.worked = mClock.Now() - arrived;
  if (!written && end.reason == CloseReason::Answered) {
    end.reason = CloseReason::WriteFailed;
  }
  if (written && keepOpen) {
    co_return std::nullopt;
  }
  co_return end;
}

/// Safeguard: an exception would end the work on a request together with the
/// one who answers it. The connection would stay, and its caller wait.
asio::awaitable<CallerResponse>
CallerServer::AnswerOf(std::shared_ptr<RequestContext> aContext,
                       CallerRequest aRequest,
                       CloseReason& aEnd)
{
  std::string fault;
  try {
    co_return co_await mService.Handle(std::move(aContext),
                                       std::move(aRequest));
  } catch (const std::exception& exception) {
    fault = exception.what();
  }
  log::Line(log::Part::Entry, log::Severity::Error)
    << "the work on a request failed: " << fault;
  aEnd = CloseReason::Failed;
  co_return mService.Refuse(kBadGateway, "the gateway failed");
}

asio::awaitable<CallerServer::Ended>
CallerServer::RefuseUnread(Connection aConnection,
                           ErrorCode aError,
                           bool aBegun)
{
  const unsigned status = RefusalOf(aError);
  if (status != 0) {
    const std::string text =
      AnswerText(mService.Refuse(status, aError.message()), {}, false);
    co_await aConnection->Write(text);
    co_return Ended{ CloseReason::Refused };
  }
  const bool cut = aError == asio::error::operation_aborted;
  if (aBegun && cut) {
    // It has not run, and a refusal promises so; a close does not.
    const std::string text = AnswerText(
      mService.Refuse(kRequestTimeout, "the request was not read in time"),
      {},
      false);
    co_await aConnection->Write(text);
  }
  if (aBegun) {
    co_return Ended{ CloseReason::HalfRequest };
  }
  if (!cut) {
    co_return Ended{ CloseReason::CallerClosed };
  }
  co_return Ended{ mStopping ? CloseReason::Leaving : CloseReason::Idle };
}

asio::awaitable<void>
CallerServer::AwaitTaken(Connection aConnection, CloseReason aEnd)
{
  const bool answered =
    aEnd == CloseReason::Answered || aEnd == CloseReason::Refused ||
    aEnd == CloseReason::HalfRequest || aEnd == CloseReason::CallerLeft ||
    aEnd == CloseReason::Failed;
  if (answered && mLingering < kMostLingering) {
    ++mLingering;
    co_await aConnection->Linger();
    --mLingering;
  }
}

/// Each connection's end is counted. A line is written of one that ended under
/// a request, which is what a caller reports.
void
CallerServer::Tell(const CallerConnection& aConnection, const Ended& aEnd)
{
  mService.CountEnd(NameOf(aEnd.reason));
  if (!IsUnderARequest(aEnd.reason)) {
    return;
  }
  if (const auto leftOut = mLines.Pass(mClock.Now())) {
    const auto worked =
      std::chrono::duration_cast<milliseconds>(aEnd.worked).count();
    log::Line(log::Part::Entry, log::Severity::Info, aEnd.id)
      << "connection ended under a request reason=" << NameOf(aEnd.reason)
      << " after_ms=" << worked << " socket=" << aConnection.SocketSaid()
      << " left_out=" << *leftOut;
  }
}

void
CallerServer::Sweep(Instant aNow)
{
  if (!mAccepting && mAcceptor.is_open()) {
    Accept(mOwner.lock());
  }
  for (const Connection& connection : mOpen) {
    if (connection->IsIdleTooLong(aNow)) {
      connection->End();
    }
  }
}

void
CallerServer::Close()
{
  if (mAcceptor.is_open()) {
    AcceptQueued();
    ErrorCode ignored; // Nothing is accepted any more either way.
    mAcceptor.close(ignored);
  }
  const Instant now = mClock.Now();
  for (const Connection& connection : mOpen) {
    if (connection->IsIdle() && !connection->IsNew(now)) {
      connection->End();
    }
  }
}

void
CallerServer::ExpireRequests()
{
  mLastCalled = true;
  for (const Connection& connection : mOpen) {
    connection->ExpireRequests();
  }
}

} // namespace rattandyke::gateway
