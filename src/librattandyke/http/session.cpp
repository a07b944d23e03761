#include "http/session.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>

namespace rattandyke::http {

namespace asio = boost::asio;

namespace {

using BeastError = boost::beast::http::error;

Error
Explain(const error_code& aError)
{
  if (aError == asio::error::timed_out) {
    return { Code::MalformedRequest, "The request did not come in time." };
  }
  if (aError == BeastError::header_limit || aError == BeastError::body_limit ||
      aError == BeastError::buffer_overflow) {
    return { Code::RequestTooLarge, "" };
  }
  if (aError == BeastError::partial_message) {
    return { Code::MalformedRequest, "The request broke off." };
  }
  return { Code::MalformedRequest, aError.message() };
}

/// Whether the caller closed, so that nobody reads an answer.
bool
IsClosed(const error_code& aError)
{
  return aError == BeastError::end_of_stream || aError == asio::error::eof ||
         aError == asio::error::connection_reset ||
         aError == asio::error::operation_aborted ||
         aError == asio::error::broken_pipe;
}

} // namespace

Session::Session(std::shared_ptr<EntryContext> aContext,
                 const asio::any_io_executor& aStrand,
                 std::shared_ptr<CallerStream> aCaller)
  : mContextOwner(std::move(aContext))
  , mContext(*mContextOwner)
  , mStrand(aStrand)
  , mCaller(std::move(aCaller))
{
}

asio::awaitable<void>
Session::Run()
{
  const auto self = shared_from_this();
  while (co_await ServeOne()) {
  }
  mCaller->Close();
}

asio::awaitable<bool>
Session::ServeOne()
{
  if (!co_await mCaller->AwaitRequest()) {
    co_return false;
  }
  if (const error_code error = co_await mCaller->ReadHead()) {
    co_return co_await RefuseUnread(error);
  }
  const RequestHead& head = mCaller->Head();
  if (View(head.target()) == kHealthPath) {
    co_return co_await ServeHealth();
  }
  if (const auto checked = CheckHead(head); !checked) {
    co_return co_await Refuse(checked.error());
  }
  auto routed = Route(head, mContext.host.Table());
  if (!routed) {
    co_return co_await Refuse(routed.error());
  }
  co_return co_await ServeRequest(std::move(*routed));
}

asio::awaitable<bool>
Session::ServeHealth()
{
  const bool draining = mContext.draining;
  const bool lease = mContext.host.TableLeaseValid(mContext.clock.Now());
  const std::string_view reason = draining ? "draining"
                                  : lease  ? "ok"
                                           : "no table lease";
  const bool keepAlive =
    !draining && mCaller->KeepsAlive() && mCaller->BodyDone();
  co_return co_await WriteOwn(
    HealthAnswer(lease && !draining, reason, keepAlive), keepAlive);
}

asio::awaitable<bool>
Session::ServeRequest(RoutedRequest aRequest)
{
  std::string body;
  if (const error_code error = co_await ReadBegin(body)) {
    co_return co_await RefuseUnread(error);
  }
  const auto run = std::make_shared<RequestRun>(
    mContextOwner, mStrand, mCaller, std::move(aRequest), std::move(body));
  switch (co_await run->Serve()) {
    case RequestRun::Ending::Own:
      co_return co_await WriteOwn(run->OwnAnswer(), run->KeepsAlive());
    case RequestRun::Ending::Passed:
      if (!run->KeepsAlive()) {
        co_await mCaller->CloseGently();
      }
      co_return run->KeepsAlive();
    case RequestRun::Ending::Broken:
      break;
  }
  mCaller->Abort();
  co_return false;
}

asio::awaitable<error_code>
Session::ReadBegin(std::string& aBody)
{
  const size_t most = mContext.limits.maxReplayBytes;
  if (!mCaller->BodyDone() && !FieldOf(mCaller->Head(), "Expect").empty()) {
    if (const error_code error = co_await mCaller->WriteContinue()) {
      co_return error;
    }
  }
  while (!mCaller->BodyDone() && aBody.size() < most) {
    const size_t before = aBody.size();
    const auto remaining = mCaller->RemainingLength().value_or(most);
    aBody.resize(before + std::min<uint64_t>(remaining, most - before));
    size_t read = 0;
    const error_code error =
      co_await mCaller->ReadBodySome(std::span(aBody).subspan(before), read);
    aBody.resize(before + read);
    if (error) {
      co_return error;
    }
  }
  co_return error_code{};
}

asio::awaitable<bool>
Session::Refuse(Error aError)
{
  // After a malformed head nobody knows where the next request begins.
  const bool keepAlive = aError.code != Code::MalformedRequest &&
                         mCaller->KeepsAlive() && mCaller->BodyDone() &&
                         !mContext.draining;
  const bool headOnly =
    mCaller->Head().method() == boost::beast::http::verb::head;
  std::string answer = ErrorAnswer(
    { aError.code, entry::Outcome::NotRun, {}, std::move(aError.message) },
    { {}, headOnly, keepAlive });
  co_return co_await WriteOwn(std::move(answer), keepAlive);
}

asio::awaitable<bool>
Session::RefuseUnread(error_code aError)
{
  if (IsClosed(aError)) {
    co_return false;
  }
  Error error = Explain(aError);
  std::string answer = ErrorAnswer(
    { error.code, entry::Outcome::NotRun, {}, std::move(error.message) },
    { {}, false, false });
  co_return co_await WriteOwn(std::move(answer), false);
}

asio::awaitable<bool>
Session::WriteOwn(std::string aAnswer, bool aKeepAlive)
{
  const error_code error = co_await mCaller->Write(asio::buffer(aAnswer));
  if (!error && !aKeepAlive) {
    co_await mCaller->CloseGently();
  }
  co_return !error && aKeepAlive;
}

} // namespace rattandyke::http
