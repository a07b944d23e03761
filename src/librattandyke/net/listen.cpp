#include "net/listen.h"

#include "base/endpoint.h"

namespace rattandyke::net {

Result<void>
Listen(boost::asio::ip::tcp::acceptor& aAcceptor, const Endpoint& aAddress)
{
  using boost::asio::ip::tcp;
  boost::system::error_code error;
  const tcp::endpoint endpoint(
    boost::asio::ip::make_address(aAddress.address, error), aAddress.port);
  if (!error) {
    aAcceptor.open(endpoint.protocol(), error);
  }
  if (!error) {
    aAcceptor.set_option(tcp::acceptor::reuse_address(true), error);
    aAcceptor.bind(endpoint, error);
  }
  if (!error) {
    aAcceptor.listen(boost::asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return Fail(Code::AddressInUse,
                ToString(aAddress) + ": " + error.message());
  }
  return {};
}

} // namespace rattandyke::net
