/// Accepting connections one after the other.
#pragma once

#include <functional>
#include <memory>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <rattandyke/result.h>
#include <rattandyke/types.h>

namespace rattandyke::net {

/// Listens and hands over each connection that it accepts. All methods are
/// called on the executor, which runs one handler at a time.
class AcceptLoop : public std::enable_shared_from_this<AcceptLoop>
{
public:
  using Take = std::function<void(boost::asio::ip::tcp::socket)>;

  /// @param aTake gets the connections; not called after Stop.
  AcceptLoop(const boost::asio::any_io_executor& aExecutor, Take aTake);

  /// @param aFor who connects there, for the error: "callers".
  /// @return Code::AddressInUse if it can't listen.
  Result<void> Start(const Endpoint& aListen, std::string_view aFor);
  void Stop();

private:
  void Accept();
  void AcceptLater();

  const Take mTake;
  boost::asio::ip::tcp::acceptor mAcceptor;
  boost::asio::steady_timer mPause;
};

} // namespace rattandyke::net
