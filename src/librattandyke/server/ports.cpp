#include "server/ports.h"

#include <fstream>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace rattandyke::server {

namespace asio = boost::asio;
using ErrorCode = boost::system::error_code;

Endpoint
WithPort(Endpoint aEndpoint)
{
  if (aEndpoint.port != 0) {
    return aEndpoint;
  }
  ErrorCode error;
  asio::io_context context;
  asio::ip::tcp::acceptor probe(context);
  const asio::ip::tcp::endpoint any(
    asio::ip::make_address(aEndpoint.address, error), 0);
  probe.open(any.protocol(), error);
  probe.bind(any, error);
  const auto bound = probe.local_endpoint(error);
  aEndpoint.port = error ? 0 : bound.port();
  return aEndpoint;
}

bool
WritePorts(const std::filesystem::path& aFolder, const Addresses& aAddresses)
{
  const boost::json::object ports{
    { "callers", aAddresses.callers.port },
    { "upstreams", aAddresses.upstreams.port },
    { "admin", aAddresses.admin.port },
    { "peers", aAddresses.peers.port },
  };
  const std::filesystem::path temporary = aFolder / "ports.json.new";
  {
    std::ofstream stream(temporary, std::ios::trunc);
    stream << boost::json::serialize(ports) << '\n';
    if (!stream.flush()) {
      return false;
    }
  }
  std::error_code error;
  std::filesystem::rename(temporary, aFolder / "ports.json", error);
  return !error;
}

} // namespace rattandyke::server
