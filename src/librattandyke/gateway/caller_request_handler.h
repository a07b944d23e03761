/// What a caller's connection asks of the host that it belongs to.
#pragma once

#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/http/fields.hpp>

#include <rattandyke/types.h>

#include "gateway/request_context.h"

namespace rattandyke::gateway {

struct CallerRequest
{
  std::string method;
  std::string target;
  boost::beast::http::fields fields;
  std::string body;
  bool hasBody = false;
  Instant arrived{};
};

struct CallerResponse
{
  unsigned status = 0;
  /// Header lines, each with its line's end.
  std::string fields;
  std::string body;
  /// When it should leave this host to be in time; before: at once.
  Instant due{};
};

/// What a caller may send, and how long its connection may be idle.
struct CallerLimits
{
  uint32_t headerBytes = 0;
  uint64_t bodyBytes = 0;
  Duration idle{};
};

/// Why a caller's connection ended.
enum class CloseReason : uint8_t
{
  /// With an answer that said so.
  Answered,
  /// With the refusal of a request that can't be read.
  Refused,
  /// By the caller, between two requests.
  CallerClosed,
  /// Under a request of which the rest did not come.
  HalfRequest,
  /// Idle for too long.
  Idle,
  /// Idle as the host leaves.
  Leaving,
  /// By the caller, under a request that had been read.
  CallerLeft,
  /// The caller did not take its answer.
  WriteFailed,
  /// By a fault of ours.
  Failed
};

/// Answers callers' requests. Runs on the executor of their connections.
class CallerRequestHandler
{
public:
  virtual ~CallerRequestHandler() = default;

  virtual CallerLimits Limits() const = 0;

  virtual boost::asio::awaitable<CallerResponse> Handle(
    std::shared_ptr<RequestContext> aContext,
    CallerRequest aRequest) = 0;

  /// An answer made without a request that could be read.
  virtual CallerResponse Refuse(unsigned aStatus,
                                const std::string& aText) const = 0;

  /// @return the request's id, empty if it has none.
  virtual std::string IdOf(const CallerRequest& aRequest) const = 0;

  /// Counts a connection that has ended.
  virtual void CountEnd(std::string_view aReason) = 0;
};

} // namespace rattandyke::gateway
