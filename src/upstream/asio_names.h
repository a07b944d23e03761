/// Short names of Boost.Asio and Beast for the programs beside the product.
#pragma once

#include <boost/asio.hpp>
#include <boost/beast.hpp>

namespace rattandyke {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

/// Completion token: a coroutine gets a tuple that begins with the error code,
/// where the default would throw.
inline constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);

} // namespace rattandyke
