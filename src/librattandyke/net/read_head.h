/// Reads the head of an HTTP message.
#pragma once

#include <optional>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>

#include "net/message_frame.h"
#include "net/read_more.h"

namespace rattandyke::net {

/// Parses what is in the buffer.
/// @param aHeadBytes of the head that were parsed before; raised.
/// @return http::error::need_more if the head is not whole.
template<typename Parser>
boost::system::error_code
ParseHead(boost::beast::flat_buffer& aBuffer,
          Parser& aParser,
          size_t aMaxHeadBytes,
          size_t& aHeadBytes)
{
  using boost::beast::http::error;
  boost::system::error_code failure;
  const size_t used = aParser.put(aBuffer.data(), failure);
  const auto folded = CheckLines(aParser.get().base(), Front(aBuffer, used));
  aBuffer.consume(used);
  aHeadBytes += used;
  const size_t left = failure == error::need_more ? aBuffer.size() : 0;
  if (aHeadBytes + left > aMaxHeadBytes) {
    return error::header_limit;
  }
  return folded ? folded : failure;
}

/// Reads the head of a message. The parser's own limit is not one of the whole
/// head: it begins anew where a read ends with a field.
/// @param aMaxHeadBytes the limit of the parser, too.
/// @return an error of the connection or of the parser, a FrameError, or
/// success.
template<typename Stream, typename Parser>
boost::asio::awaitable<boost::system::error_code>
ReadHead(Stream& aStream,
         boost::beast::flat_buffer& aBuffer,
         Parser& aParser,
         size_t aMaxHeadBytes)
{
  using boost::beast::http::error;
  size_t headBytes = 0;
  aParser.eager(false);
  for (;;) {
    if (aBuffer.size() > 0) {
      const boost::system::error_code failure =
        ParseHead(aBuffer, aParser, aMaxHeadBytes, headBytes);
      if (!failure) {
        co_return CheckFrame(aParser.get().base());
      }
      if (failure != error::need_more) {
        co_return failure;
      }
    }
    const boost::system::error_code readError =
      co_await ReadMore(aStream, aBuffer);
    if (readError == boost::asio::error::eof) {
      co_return aParser.got_some() ? error::partial_message
                                   : error::end_of_stream;
    }
    if (readError) {
      co_return readError;
    }
  }
}

/// Reads the head of a final response, and drops interim ones (1xx) before it.
/// No request of this host asks for another protocol (101).
/// @param aParser a new one for each head.
/// @param aPrepare void(Parser&), called with each parser before it is used.
/// @return see ReadHead().
template<typename Stream, typename Parser, typename Prepare>
boost::asio::awaitable<boost::system::error_code>
ReadFinalHead(Stream& aStream,
              boost::beast::flat_buffer& aBuffer,
              std::optional<Parser>& aParser,
              size_t aMaxHeadBytes,
              Prepare aPrepare)
{
  constexpr int kMaxInterimResponses = 8;
  constexpr unsigned kSwitchingProtocols = 101;
  for (int interim = 0; interim <= kMaxInterimResponses; ++interim) {
    aParser.emplace();
    aPrepare(*aParser);
    const boost::system::error_code failure =
      co_await ReadHead(aStream, aBuffer, *aParser, aMaxHeadBytes);
    const unsigned status = aParser->get().result_int();
    if (failure || IsFinalStatus(status)) {
      co_return failure;
    }
    if (status == kSwitchingProtocols) {
      break;
    }
  }
  co_return FrameError::NoFinalResponse;
}

} // namespace rattandyke::net
