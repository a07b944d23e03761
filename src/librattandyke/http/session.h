/// Serves the requests of one caller's connection, one after the other.
#pragma once

#include <memory>

#include "http/caller_stream.h"
#include "http/entry_context.h"
#include "http/request_run.h"

namespace rattandyke::http {

/// Path of the balancer's health page.
inline constexpr std::string_view kHealthPath = "/-/health";

/// Lives in its own coroutine until the connection ends. All on one strand.
class Session : public std::enable_shared_from_this<Session>
{
public:
  Session(std::shared_ptr<EntryContext> aContext,
          const boost::asio::any_io_executor& aStrand,
          std::shared_ptr<CallerStream> aCaller);

  boost::asio::awaitable<void> Run();

private:
  boost::asio::awaitable<bool> ServeOne();
  boost::asio::awaitable<bool> ServeHealth();
  boost::asio::awaitable<bool> ServeRequest(RoutedRequest aRequest);
  /// Reads the body until it is done or too large to be kept.
  boost::asio::awaitable<error_code> ReadBegin(std::string& aBody);
  /// @return whether the connection can go on.
  boost::asio::awaitable<bool> Refuse(Error aError);
  boost::asio::awaitable<bool> RefuseUnread(error_code aError);
  boost::asio::awaitable<bool> WriteOwn(std::string aAnswer, bool aKeepAlive);

  const std::shared_ptr<EntryContext> mContextOwner;
  EntryContext& mContext;
  const boost::asio::any_io_executor mStrand;
  const std::shared_ptr<CallerStream> mCaller;
};

} // namespace rattandyke::http
