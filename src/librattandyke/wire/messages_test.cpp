#include <gtest/gtest.h>

#include "wire/consensus.pb.h"
#include "wire/control.pb.h"
#include "wire/gateway.pb.h"
#include "wire/peer.pb.h"
#include "wire/rate.pb.h"
#include "wire/table.pb.h"

namespace rattandyke::wire {
namespace {

using google::protobuf::Descriptor;
using google::protobuf::FieldDescriptor;
using google::protobuf::FileDescriptor;

void
ExpectNoStringIn(const Descriptor& aMessage)
{
  for (int field = 0; field < aMessage.field_count(); ++field) {
    EXPECT_NE(aMessage.field(field)->type(), FieldDescriptor::TYPE_STRING)
      << aMessage.field(field)->full_name();
  }
}

// Guards against messages that a sender can write and no receiver can parse: a
// field of type string is refused unless it is UTF-8.
TEST(Messages, NoFieldIsRefusedForItsBytes)
{
  const FileDescriptor* const files[] = {
    GatewayFrame::descriptor()->file(), ConsensusMessage::descriptor()->file(),
    Command::descriptor()->file(),      Envelope::descriptor()->file(),
    RateNotice::descriptor()->file(),   Record::descriptor()->file(),
  };
  for (const FileDescriptor* file : files) {
    for (int message = 0; message < file->message_type_count(); ++message) {
      ExpectNoStringIn(*file->message_type(message));
    }
  }
}

// Guards against a change whose bytes end the connection between two hosts.
TEST(Messages, ForwardedCallCarriesAnyBytes)
{
  GatewayFrame frame;
  frame.mutable_forwarded_call()->set_body("d\xe9p\xf4t");
  frame.mutable_forwarded_call()->set_target(
    "/instances/d\xe9p\xf4t/heartbeat");
  GatewayFrame read;
  ASSERT_TRUE(read.ParseFromString(frame.SerializeAsString()));
  EXPECT_EQ(read.forwarded_call().body(), "d\xe9p\xf4t");
}

} // namespace
} // namespace rattandyke::wire
