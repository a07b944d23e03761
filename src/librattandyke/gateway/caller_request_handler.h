/// Interface between callers' connections and the handling of requests.
#pragma once

#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/http/fields.hpp>

#include <rattandyke/types.h>

#include "base/memory_budget.h"
#include "gateway/request_context.h"

namespace rattandyke::gateway {

/// An HTTP request of a caller, read in full.
struct CallerRequest
{
  std::string method;
  std::string target;
  boost::beast::http::fields fields;
  std::string body;
  /// Room that the body takes.
  MemoryBudget::Reservation bodyRoom;
  /// The request has a body, which may have length 0.
  bool hasBody = false;
  /// When the last byte was read.
  Instant arrived{};
};

/// An HTTP response to a caller.
struct CallerResponse
{
  unsigned status = 0;
  /// Header lines, each terminated by CRLF.
  std::string fields;
  std::string body;
  /// Room that the body takes.
  MemoryBudget::Reservation bodyRoom{};
  /// Time by which the response must leave this host to meet its route's
  /// latency objective; Instant{}: sent without waiting for the link.
  Instant sendBy{};
  /// Time at which the response is sent even if the link is busy. The route's
  /// timeout bounds the time for which its callers are kept waiting.
  Instant sendAtLatest{};
};

/// Limits on a caller's requests and on the idle time of its connection.
struct CallerLimits
{
  uint32_t maxHeaderBytes = 0;
  uint64_t maxBodyBytes = 0;
  Duration idleTimeout{};
};

/// Why a caller's connection was closed.
enum class CloseReason : uint8_t
{
  /// After a response with `Connection: close`.
  ResponseSent,
  /// After an error response to a request that is malformed or too large.
  RequestRejected,
  /// The caller closed it between two requests.
  CallerClosed,
  /// The rest of a request did not arrive.
  IncompleteRequest,
  /// Its idle timeout expired.
  IdleTimeout,
  /// The connection was idle when the host shut down.
  ShuttingDown,
  /// The caller disconnected while its request was handled.
  CallerDisconnected,
  /// Writing the response failed.
  WriteFailed,
  /// The caller had not read its response when its time was over.
  ResponseNotRead,
  /// The caller acknowledged nothing while its response was written.
  CallerSilent,
  /// The caller read nothing for long, and others needed the memory of its
  /// response.
  ResponseEvicted,
  /// An exception was thrown while the connection was served.
  InternalError
};

/// Handles callers' requests. Runs on the executor of their connections.
class CallerRequestHandler
{
public:
  virtual ~CallerRequestHandler() = default;

  /// @return the limits for the next request.
  virtual CallerLimits Limits() const = 0;

  /// @return the time for which a request waits until there is room for its
  /// body.
  virtual Duration MaxBodyWait(
    const boost::beast::http::fields& aFields) const = 0;

  /// @return the time for which the caller waits for its whole response.
  virtual Duration ResponseTime(
    const boost::beast::http::fields& aFields) const = 0;

  /// @return the response to a request whose body was not read, as there is no
  /// room for it.
  virtual CallerResponse MakeNoRoomResponse(
    const boost::beast::http::fields& aFields) = 0;

  /// @return the response to a request that can't be read as a whole.
  /// @param aFields those of its fields that have been read.
  virtual CallerResponse MakeUnreadableResponse(
    unsigned aStatus,
    const std::string& aReason,
    const boost::beast::http::fields& aFields) = 0;

  /// Handles one request.
  /// @param aContext cancels the request.
  /// @return the response to send to the caller.
  virtual boost::asio::awaitable<CallerResponse> Handle(
    std::shared_ptr<RequestContext> aContext,
    CallerRequest aRequest) = 0;

  /// @return an error response of this host, for a request that did not arrive
  /// in time or could not be handled.
  virtual CallerResponse MakeErrorResponse(unsigned aStatus,
                                           const std::string& aText) const = 0;

  /// @return the value of the request id header, empty if it is missing.
  virtual std::string RequestIdOf(
    const boost::beast::http::fields& aFields) const = 0;

  /// Counts a closed connection.
  /// @param aReason label value in the metrics.
  virtual void CountClosedConnection(std::string_view aReason) = 0;
};

} // namespace rattandyke::gateway
