/// Reads the body of a message piece by piece.
#pragma once

#include <span>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>

#include "net/read_body.h"

namespace rattandyke::http {

/// Takes what is in the buffer already, without waiting. Small chunks are
/// gathered into one piece: passing each on by itself would cost one write for
/// each of them.
/// @param aRead bytes of aInto that are filled; raised by what was taken.
template<typename Parser>
boost::system::error_code
TakeBuffered(boost::beast::flat_buffer& aBuffer,
             Parser& aParser,
             std::span<char> aInto,
             size_t& aRead)
{
  using boost::beast::http::error;
  while (aBuffer.size() > 0 && aRead < aInto.size() && !aParser.is_done()) {
    auto& body = aParser.get().body();
    body.data = aInto.data() + aRead;
    body.size = aInto.size() - aRead;
    boost::system::error_code failure;
    const size_t used = net::ParseBody(aBuffer, aParser, failure);
    aRead = aInto.size() - body.size;
    if (failure == error::need_more) {
      return {};
    }
    if (failure && failure != error::need_buffer) {
      return failure;
    }
    if (used == 0) {
      return {};
    }
  }
  return {};
}

/// Reads at least one byte, or to the body's end.
template<typename Parser>
boost::asio::awaitable<boost::system::error_code>
ReadSome(boost::asio::ip::tcp::socket& aSocket,
         boost::beast::flat_buffer& aBuffer,
         Parser& aParser,
         std::span<char> aInto,
         size_t& aRead)
{
  using boost::beast::http::error;
  aRead = 0;
  auto failure = TakeBuffered(aBuffer, aParser, aInto, aRead);
  while (!failure && aRead == 0 && !aParser.is_done()) {
    auto& body = aParser.get().body();
    body.data = aInto.data();
    body.size = aInto.size();
    size_t parsed = 0;
    const boost::system::error_code end =
      co_await net::ReadBodySome(aSocket, aBuffer, aParser, parsed);
    aRead = aInto.size() - body.size;
    failure = end == error::need_buffer ? boost::system::error_code{} : end;
    if (!failure) {
      failure = TakeBuffered(aBuffer, aParser, aInto, aRead);
    }
  }
  co_return failure;
}

} // namespace rattandyke::http
