#include "net/listen.h"

#include "base/endpoint.h"

namespace rattandyke::net {

Result<Endpoint>
Listen(boost::asio::ip::tcp::acceptor& aAcceptor,
       const Endpoint& aAddress,
       std::string_view aFor)
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
  }
  if (!error) {
    aAcceptor.bind(endpoint, error);
  }
  if (!error) {
    aAcceptor.listen(boost::asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    const bool taken = error == boost::asio::error::address_in_use;
    return Fail(taken ? Code::AddressInUse : Code::InvalidSettings,
                "Cannot listen for " + std::string(aFor) + " on " +
                  ToString(aAddress) + ": " + error.message() + ".");
  }
  return Endpoint{ aAddress.address, aAcceptor.local_endpoint().port() };
}

} // namespace rattandyke::net
