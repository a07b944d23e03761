/// HTTP server for calls that are answered by the host itself.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <rattandyke/result.h>
#include <rattandyke/types.h>

namespace rattandyke::gateway {

struct HttpRequest
{
  std::string method;
  std::string target;
  std::string body;
};

struct HttpResponse
{
  unsigned status = 200;
  std::string body;
  std::string contentType = "application/json";
};

/// Answers whole requests, any number on a connection. Runs on one executor
/// that runs one handler at a time.
class HttpServer
{
public:
  using Handler =
    std::function<boost::asio::awaitable<HttpResponse>(HttpRequest)>;

  /// @param aMostConnections beyond these, new ones are closed: callers go to
  /// another host. Each upstream keeps one, and one that fell dark leaves its
  /// own behind for the idle time.
  HttpServer(boost::asio::any_io_executor aExecutor,
             Endpoint aListen,
             size_t aMostConnections,
             Handler aHandler);
  ~HttpServer();

  /// @return Code::AddressInUse if it can't listen.
  Result<void> Start();

  /// Closes the listener and connections on which no call is worked on or has
  /// begun to arrive.
  void Stop();

private:
  struct Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace rattandyke::gateway
