/// Reads a message whose body is too large to keep.
#pragma once

#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

namespace rattandyke::testing {

/// @param aParser of a buffer_body.
/// @return the body's bytes, up to its end or the connection's.
template<typename Parser>
uint64_t
DrainBody(boost::asio::ip::tcp::socket& aSocket,
          boost::beast::flat_buffer& aBuffer,
          Parser& aParser)
{
  constexpr size_t kPieceBytes = size_t{ 64 } * 1024;
  std::vector<char> piece(kPieceBytes);
  boost::system::error_code error;
  aParser.body_limit(boost::none);
  aBuffer.reserve(kPieceBytes);
  boost::beast::http::read_header(aSocket, aBuffer, aParser, error);
  uint64_t total = 0;
  while (!error && !aParser.is_done()) {
    auto& body = aParser.get().body();
    body.data = piece.data();
    body.size = piece.size();
    boost::beast::http::read_some(aSocket, aBuffer, aParser, error);
    total += piece.size() - body.size;
    if (error == boost::beast::http::error::need_buffer) {
      error = {};
    }
  }
  return total;
}

} // namespace rattandyke::testing
