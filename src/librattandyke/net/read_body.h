/// Reads the body of an HTTP message behind its head.
#pragma once

#include <boost/asio/error.hpp>

#include "net/message_frame.h"
#include "net/read_more.h"

namespace rattandyke::net {

/// Parses bytes of a body that are in the buffer, and checks the trailer.
/// @param aParser ReadHead() has read the head with it: the parser stops behind
/// each part of a body, of which the last chunk and the trailer are one.
/// @param aFailure http::error::need_more if there is too little for a part.
/// @return how many bytes were parsed.
template<typename Parser>
size_t
ParseBody(boost::beast::flat_buffer& aBuffer,
          Parser& aParser,
          boost::system::error_code& aFailure)
{
  const size_t used = aParser.put(aBuffer.data(), aFailure);
  if (!aFailure && aParser.is_done() && aParser.chunked()) {
    aFailure = CheckLines(aParser.get().base(), Front(aBuffer, used));
  }
  aBuffer.consume(used);
  return used;
}

/// Reads and parses one part of a body, or more. Beast's async_read_some()
/// does the same without the check.
/// @param aParser see ParseBody().
/// @param aParsed set to the number of bytes that were parsed.
/// @return an error of the connection or of the parser, a FrameError, or
/// success.
template<typename Stream, typename Parser>
boost::asio::awaitable<boost::system::error_code>
ReadBodySome(Stream& aStream,
             boost::beast::flat_buffer& aBuffer,
             Parser& aParser,
             size_t& aParsed)
{
  aParsed = 0;
  for (;;) {
    if (aBuffer.size() > 0) {
      boost::system::error_code failure;
      aParsed += ParseBody(aBuffer, aParser, failure);
      if (failure != boost::beast::http::error::need_more) {
        co_return failure;
      }
    }
    boost::system::error_code error = co_await ReadMore(aStream, aBuffer);
    if (error == boost::asio::error::eof) {
      aParser.put_eof(error);
      co_return error;
    }
    if (error) {
      co_return error;
    }
  }
}

/// Reads a body to its end.
/// @param aParser see ParseBody().
/// @return see ReadBodySome().
template<typename Stream, typename Parser>
boost::asio::awaitable<boost::system::error_code>
ReadBody(Stream& aStream, boost::beast::flat_buffer& aBuffer, Parser& aParser)
{
  boost::system::error_code error;
  while (!error && !aParser.is_done()) {
    size_t parsed = 0;
    error = co_await ReadBodySome(aStream, aBuffer, aParser, parsed);
  }
  co_return error;
}

} // namespace rattandyke::net
