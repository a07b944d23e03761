/// Whether the head of an HTTP message can be relied on, and where its body
/// ends.
#pragma once

#include <string_view>
#include <type_traits>

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/system/error_code.hpp>

namespace rattandyke::net {

/// Reasons for which it is not certain where the body of a message ends, for
/// whom the message is, or what it says. What follows such a head must not be
/// read: another reader may take it for a body where this one sees the next
/// message.
enum class FrameError : uint8_t
{
  /// The transfer coding is not chunked alone.
  UnknownCoding = 1,
  /// The transfer coding is empty, stands several times or beside a length, or
  /// the version of the protocol has none.
  Contradiction,
  /// A request has several Host fields.
  SeveralHosts,
  /// The status of a response is in none of the classes 1xx to 5xx.
  UnknownStatus,
  /// A line of a response's head or trailer begins with a blank.
  FoldedLine,
  /// No final response follows interim ones.
  NoFinalResponse,
  /// Only the end of the connection tells where a response ends, and whether
  /// it was cut off.
  UnknownLength,
};

constexpr unsigned kFirstFinalStatus = 200;
constexpr unsigned kLastStatus = 599;

/// @return whether a status is that of a final response (2xx to 5xx).
constexpr bool
IsFinalStatus(unsigned aStatus)
{
  return aStatus >= kFirstFinalStatus && aStatus <= kLastStatus;
}

/// @return the category of FrameError in error codes.
const boost::system::error_category& FrameCategory();

// NOLINTNEXTLINE(readability-identifier-naming): Boost.System finds it by name.
boost::system::error_code make_error_code(FrameError aError);

/// Checks the head of a message. Parsers of Beast take a message with a
/// transfer coding that they don't know for one without a coding.
/// @param aVersion of the protocol, 11 for HTTP/1.1.
/// @return a FrameError, or success.
boost::system::error_code CheckFrame(const boost::beast::http::fields& aFields,
                                     unsigned aVersion,
                                     bool aIsRequest);

/// Checks the status of a response.
/// @return a FrameError, or success.
boost::system::error_code CheckStatus(unsigned aStatus);

template<bool isRequest>
boost::system::error_code
CheckFrame(const boost::beast::http::header<isRequest,
                                            boost::beast::http::fields>& aHead)
{
  if constexpr (!isRequest) {
    if (const auto failure = CheckStatus(aHead.result_int())) {
      return failure;
    }
  }
  return CheckFrame(aHead, aHead.version(), isRequest);
}

/// Checks lines of a head or trailer. Parsers of Beast join a line that begins
/// with a blank to the one before. RFC 9112, section 5.2, allows that, but a
/// response's fields must reach the caller as the upstream sent them.
/// @param aLines the bytes that a parser took for whole lines.
/// @return FrameError::FoldedLine, or success.
boost::system::error_code CheckLines(std::string_view aLines, bool aIsRequest);

template<bool isRequest>
boost::system::error_code
CheckLines(
  const boost::beast::http::header<isRequest, boost::beast::http::fields>&,
  std::string_view aLines)
{
  return CheckLines(aLines, isRequest);
}

} // namespace rattandyke::net

template<>
struct boost::system::is_error_code_enum<rattandyke::net::FrameError>
  : std::true_type
{
};
