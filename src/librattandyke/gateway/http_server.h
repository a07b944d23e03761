/// HTTP server for a host's own endpoints.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <rattandyke/result.h>
#include <rattandyke/types.h>

namespace rattandyke::gateway {

/// An HTTP request that has been read completely.
struct HttpRequest
{
  std::string method;
  std::string target;
  std::string body;
  /// @return whether the client has closed the connection; it no longer waits
  /// for the response. Empty if the request did not come on a connection.
  std::function<bool()> hasClientLeft{};
};

/// The response to an HttpRequest.
struct HttpResponse
{
  unsigned status = 200;
  std::string body;
  std::string contentType = "application/json";
  /// The connection is closed after the response.
  bool closes = false;
};

/// HTTP/1.1 server with keep-alive, which passes each complete request to a
/// handler. Serves the calls of upstreams and operators, readiness checks and
/// metrics. All methods and the handler run on the executor, which must run one
/// handler at a time.
class HttpServer
{
public:
  using Handler =
    std::function<boost::asio::awaitable<HttpResponse>(HttpRequest)>;

  /// @param aAddress        address to listen on.
  /// @param aMaxConnections limit of open connections. A connection beyond it
  /// is closed as soon as it is accepted, and its client turns to another host.
  /// Each upstream keeps one connection open; the connection of an upstream
  /// that stopped without closing it counts until the idle timeout.
  /// @param aHandler        produces the response to a request.
  HttpServer(boost::asio::any_io_executor aExecutor,
             Endpoint aAddress,
             size_t aMaxConnections,
             Handler aHandler);
  ~HttpServer();

  /// Starts to listen.
  /// @return Code::AddressInUse if the address can't be listened on.
  Result<void> Start();

  /// Closes the listener and the connections that have no request in progress.
  /// A request that is being received or handled still gets its response, which
  /// ends its connection.
  void Stop();

private:
  struct Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace rattandyke::gateway
