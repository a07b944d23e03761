/// Reads bytes that a parser needs into its buffer.
#pragma once

#include <string_view>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/error.hpp>

namespace rattandyke::net {

/// @return the first bytes in a buffer, until it changes.
inline std::string_view
Front(const boost::beast::flat_buffer& aBuffer, size_t aBytes)
{
  return { static_cast<const char*>(aBuffer.data().data()), aBytes };
}

/// Reads what has arrived, at least one byte.
/// @return an error of the connection, http::error::buffer_overflow if the
/// buffer is full, or success.
template<typename Stream>
boost::asio::awaitable<boost::system::error_code>
ReadMore(Stream& aStream, boost::beast::flat_buffer& aBuffer)
{
  constexpr size_t kMaxReadBytes = size_t{ 64 } * 1024;
  const size_t room = boost::beast::read_size(aBuffer, kMaxReadBytes);
  if (room == 0) {
    co_return boost::beast::http::error::buffer_overflow;
  }
  const auto [error, read] = co_await aStream.async_read_some(
    aBuffer.prepare(room), boost::asio::as_tuple(boost::asio::use_awaitable));
  aBuffer.commit(read);
  co_return error;
}

} // namespace rattandyke::net
