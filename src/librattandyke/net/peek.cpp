#include "net/peek.h"

#include <sys/socket.h>

#include <boost/asio/error.hpp>

namespace rattandyke::net {

boost::system::error_code
Peek(boost::asio::ip::tcp::socket& aSocket)
{
  char byte = 0;
  const ssize_t received = ::recv(
    aSocket.native_handle(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
  if (received < 0) {
    return { errno, boost::system::system_category() };
  }
  return received == 0 ? make_error_code(boost::asio::error::eof)
                       : boost::system::error_code{};
}

bool
HasPeerLeft(boost::asio::ip::tcp::socket& aSocket)
{
  const boost::system::error_code error = Peek(aSocket);
  return error && error != boost::asio::error::would_block;
}

} // namespace rattandyke::net
