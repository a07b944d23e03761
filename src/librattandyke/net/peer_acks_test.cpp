#include "net/peer_acks.h"

#include <thread>

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>

namespace rattandyke::net {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

TEST(PeerAcks, PeerThatAnswersNothingIsSilent)
{
  EXPECT_TRUE(IsSilent({ milliseconds{ 1000 }, 3, 0 }, milliseconds{ 1000 }));
  EXPECT_FALSE(IsSilent({ milliseconds{ 999 }, 5, 0 }, milliseconds{ 1000 }));
}

// Guards against an idle connection that counts as silent.
TEST(PeerAcks, PeerThatWasSentNothingIsNotSilent)
{
  EXPECT_FALSE(IsSilent({ milliseconds{ 60000 }, 0, 0 }, milliseconds{ 1000 }));
  EXPECT_FALSE(IsSilent({ milliseconds{ 60000 }, 2, 0 }, milliseconds{ 1000 }));
}

// Guards against a peer that does not read and counts as gone: it acknowledges
// the probes of its window.
TEST(PeerAcks, PeerThatDoesNotReadIsNotSilent)
{
  asio::io_context context;
  tcp::acceptor acceptor(context, { asio::ip::address_v4::loopback(), 0 });
  tcp::socket writer(context);
  writer.connect(acceptor.local_endpoint());
  const tcp::socket reader = acceptor.accept();
  writer.non_blocking(true);
  const std::string bytes(size_t{ 16 } * 1024 * 1024, 'x');
  boost::system::error_code error;
  while (!error) {
    writer.write_some(asio::buffer(bytes), error);
  }
  ASSERT_EQ(error, asio::error::would_block);
  // The kernel probes a closed window after its least retransmission timeout,
  // 200 ms; before that nothing tells the peer from one that is gone.
  std::this_thread::sleep_for(milliseconds{ 1500 });
  const auto acks = QueryPeerAcks(writer);
  ASSERT_TRUE(acks);
  EXPECT_FALSE(IsSilent(*acks, milliseconds{ 500 }));
  EXPECT_TRUE(IsReadingSlowly(*acks, milliseconds{ 3000 }));
}

// Guards against a longer wait on systems that tell nothing of
// acknowledgements, and for peers that are gone.
TEST(PeerAcks, OnlyAPeerThatAcknowledgesReadsSlowly)
{
  EXPECT_FALSE(IsReadingSlowly({}, milliseconds{ 1000 }));
  EXPECT_FALSE(
    IsReadingSlowly({ milliseconds{ 10 }, 3, 99 }, milliseconds{ 1000 }));
  EXPECT_FALSE(
    IsReadingSlowly({ milliseconds{ 1000 }, 0, 99 }, milliseconds{ 1000 }));
}

TEST(PeerAcks, ClosedSocketTellsNothing)
{
  asio::io_context context;
  tcp::socket closed(context);
  EXPECT_FALSE(QueryPeerAcks(closed));
}

} // namespace
} // namespace rattandyke::net
