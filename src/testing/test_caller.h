/// A caller of the entry role, blocking.
#pragma once

#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <rattandyke/types.h>

namespace rattandyke::testing {

using HttpAnswer =
  boost::beast::http::response<boost::beast::http::string_body>;

class TestCaller
{
public:
  explicit TestCaller(const Endpoint& aEntry);

  /// @return false if the entry has closed.
  bool Write(std::string_view aBytes);
  /// @return the next answer, or nothing if it does not come whole.
  std::optional<HttpAnswer> Read(bool aHeadRequest = false);
  /// Reads an answer without keeping its body. @return the body's bytes, also
  /// if it broke off.
  uint64_t DrainBody();
  /// Both: a request of this method and path, with a Content-Length if there
  /// is a body.
  std::optional<HttpAnswer> Ask(std::string_view aMethod,
                                std::string_view aTarget,
                                std::string_view aBody = {},
                                std::string_view aHeaders = {});
  /// Blocks until something can be read.
  void AwaitReadable();
  /// Sends no more; the entry reads the end.
  void FinishWriting();
  /// @return whether the entry closes the connection; blocks until it does or
  /// sends more.
  bool SeesClose();
  void Close();

private:
  boost::asio::io_context mContext;
  boost::asio::ip::tcp::socket mSocket;
  boost::beast::flat_buffer mBuffer;
};

/// @return a request with a Host header, and a Content-Length if it has a body.
std::string RequestText(std::string_view aMethod,
                        std::string_view aTarget,
                        std::string_view aBody = {},
                        std::string_view aHeaders = {});

} // namespace rattandyke::testing
