#include "net/peer_acks.h"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>

namespace rattandyke::net {

namespace {

/// Peers limit the rate at which they answer probes of a closed window.
constexpr unsigned kMinUnanswered = 3;

} // namespace

std::optional<PeerAcks>
QueryPeerAcks(boost::asio::ip::tcp::socket& aSocket)
{
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (getsockopt(
        aSocket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0 ||
      size < offsetof(tcp_info, tcpi_pmtu) || info.tcpi_state == TCP_CLOSE ||
      info.tcpi_rto == 0) {
    return std::nullopt;
  }
  int unsent = 0;
  if (ioctl(aSocket.native_handle(), SIOCOUTQNSD, &unsent) != 0 || unsent < 0) {
    return std::nullopt;
  }
  return PeerAcks{ std::chrono::milliseconds{ info.tcpi_last_ack_recv },
                   static_cast<unsigned>(info.tcpi_retransmits) +
                     static_cast<unsigned>(info.tcpi_probes),
                   static_cast<size_t>(unsent) };
}

bool
IsSilent(const PeerAcks& aAcks, std::chrono::milliseconds aLimit)
{
  return aAcks.unanswered >= kMinUnanswered && aAcks.sinceLast >= aLimit;
}

bool
IsReadingSlowly(const PeerAcks& aAcks, std::chrono::milliseconds aLimit)
{
  return aAcks.unsentBytes > 0 && aAcks.unanswered < kMinUnanswered &&
         aAcks.sinceLast < aLimit;
}

void
SetUserTimeout(boost::asio::ip::tcp::socket& aSocket,
               std::chrono::milliseconds aTimeout)
{
  const int value = static_cast<int>(aTimeout.count());
  setsockopt(aSocket.native_handle(),
             IPPROTO_TCP,
             TCP_USER_TIMEOUT,
             &value,
             sizeof(value)); // A socket without the option still works.
}

} // namespace rattandyke::net
