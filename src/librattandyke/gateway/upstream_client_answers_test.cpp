// What UpstreamClient takes for a response, and what a response proves.
#include "testing/upstream_client_fixture.h"

namespace rattandyke::gateway {
namespace {

using rattandyke::testing::ResponseTo;
using rattandyke::testing::UpstreamClientTest;
using Kind = AttemptResult::Kind;

// A faulty upstream sends a success without its signature, or with a content
// encoding that was not requested. Neither may reach the caller as a response;
// the request may have run.
TEST_F(UpstreamClientTest, UnsignedSuccessIsOutcomeUnknown)
{
  EXPECT_EQ(Send({ ResponseTo("r-1", "x", "") })[0].kind, Kind::OutcomeUnknown);
}

TEST_F(UpstreamClientTest, EncodedSuccessIsOutcomeUnknown)
{
  EXPECT_EQ(Send({ ResponseTo(
              "r-1", "x", "Signature: s\r\nContent-Encoding: gzip\r\n") })[0]
              .kind,
            Kind::OutcomeUnknown);
}

TEST_F(UpstreamClientTest, NonHttpBytesAreOutcomeUnknown)
{
  EXPECT_EQ(Send({ "SSH-2.0-x\r\n\r\n" })[0].kind, Kind::OutcomeUnknown);
}

// The connection breaks in the middle of the body. The received part must not
// reach the caller as a complete response.
TEST_F(UpstreamClientTest, TruncatedResponseIsOutcomeUnknown)
{
  std::string text = ResponseTo("r-1", "0123456789");
  text.resize(text.size() - 4);
  EXPECT_EQ(Send({ text })[0].kind, Kind::OutcomeUnknown);
}

// Guards against a response that was cut off and is passed on as a whole one.
TEST_F(UpstreamClientTest, ResponseThatOnlyTheConnectionEndsIsNone)
{
  EXPECT_EQ(
    Send({ "HTTP/1.1 200 OK\r\nId: r-1\r\nSignature: s\r\n\r\nhel" })[0].kind,
    Kind::OutcomeUnknown);
}

class UnusableHeadTest
  : public UpstreamClientTest
  , public ::testing::WithParamInterface<const char*>
{};

// Guards against a part of a body that is taken for the whole response, and
// against a response that reaches its caller without its id or signature.
TEST_P(UnusableHeadTest, IsNoResponse)
{
  const auto attempts =
    Send({ "HTTP/1.1 200 OK\r\nId: r-1\r\nSignature: s\r\n" +
           std::string(GetParam()) + "\r\n3\r\nabc\r\n0\r\n\r\n" });
  EXPECT_EQ(attempts[0].kind, Kind::OutcomeUnknown);
  EXPECT_TRUE(attempts[0].responded);
}

INSTANTIATE_TEST_SUITE_P(
  Fields,
  UnusableHeadTest,
  ::testing::Values("Transfer-Encoding: gzip\r\n",
                    "Transfer-Encoding: identity\r\n",
                    "Transfer-Encoding: gzip, chunked\r\n",
                    "Transfer-Encoding:\r\n",
                    "Content-Length: 13\r\nConnection: Id\r\n",
                    "Content-Length: 13\r\nConnection: close, signature\r\n"));

class BrokenHeadTest
  : public UpstreamClientTest
  , public ::testing::WithParamInterface<const char*>
{};

// Guards against a response that is none and reaches a caller, proves that a
// request has not run, or is waited for until the deadline.
TEST_P(BrokenHeadTest, IsNoResponseAtOnce)
{
  const auto attempt = SendToOpen(std::string("HTTP/1.1 ") + GetParam() +
                                  "Content-Length: 0\r\n\r\n");
  ASSERT_TRUE(attempt);
  EXPECT_EQ(attempt->kind, Kind::OutcomeUnknown);
  EXPECT_TRUE(attempt->responded);
}

INSTANTIATE_TEST_SUITE_P(
  Heads,
  BrokenHeadTest,
  ::testing::Values("000 \r\nId: r-1\r\nSignature: s\r\n",
                    "000 \r\nId: r-1\r\nNot-Run: 1\r\n",
                    "099 OK\r\nId: r-1\r\nSignature: s\r\n",
                    "600 OK\r\nId: r-1\r\nSignature: s\r\n",
                    "600 Busy\r\nId: r-1\r\nNot-Run: 1\r\n",
                    "200 OK\r\nId: r-1\r\nSignature: s\r\n X-A: 1\r\n",
                    "200 OK\r\nId: r-1\r\nSignature: s\r\n\tX-A: 1\r\n",
                    "503 Busy\r\nId: r-1\r\nNot-Run: 1\r\n X-A: 1\r\n",
                    "200 OK\r\nId: r-1\r\nSignature: s\r\nX A: 1\r\n",
                    "200 OK\r\nId: r-1\r\nSignature: s\r\nX\x01: 1\r\n",
                    "503 Busy\r\nId: r-1\r\nNot-Run: 1\r\nX-A : 1\r\n"));

// Guards against a trailer whose lines are passed on as one.
TEST_F(UpstreamClientTest, TrailerWithAFoldedLineIsNoResponse)
{
  const auto attempt =
    SendToOpen("HTTP/1.1 200 OK\r\nId: r-1\r\nSignature: s\r\n"
               "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX-A: 1\r\n"
               " X-B: 2\r\n\r\n");
  ASSERT_TRUE(attempt);
  EXPECT_EQ(attempt->kind, Kind::OutcomeUnknown);
  EXPECT_TRUE(attempt->responded);
}

class UnansweredProbeTest
  : public UpstreamClientTest
  , public ::testing::WithParamInterface<const char*>
{};

// Guards against an upstream that counts as reached by what is no response, or
// by the response of another process at its address.
TEST_P(UnansweredProbeTest, ReachesNoUpstream)
{
  EXPECT_FALSE(Probe(std::string("HTTP/1.1 ") + GetParam()));
}

INSTANTIATE_TEST_SUITE_P(
  Responses,
  UnansweredProbeTest,
  ::testing::Values("000 \r\nContent-Length: 0\r\n\r\n",
                    "600 OK\r\nContent-Length: 0\r\n\r\n",
                    "200 OK\r\nX-A: 1\r\n 2\r\nContent-Length: 0\r\n\r\n",
                    "200 OK\r\nX A: 1\r\nContent-Length: 0\r\n\r\n",
                    "103 Early Hints\r\n\r\n",
                    "200 OK\r\nInstance: i-2\r\nContent-Length: 0\r\n\r\n",
                    "421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"));

// Guards against a sound upstream that counts as out of reach as it is full or
// leaves.
TEST_F(UpstreamClientTest, ProbeReachesWhateverTheHealth)
{
  for (const char* text :
       { "200 OK\r\nInstance: i-1\r\nContent-Length: 0\r\n\r\n",
         "503 Busy\r\nInstance: i-1\r\nContent-Length: 0\r\n\r\n",
         "103 Early Hints\r\n\r\nHTTP/1.1 204 Fine\r\n\r\n" }) {
    EXPECT_TRUE(Probe(std::string("HTTP/1.1 ") + text)) << text;
    context.restart();
  }
}

TEST_F(UpstreamClientTest, MisdirectedRequestIsNotExecuted)
{
  EXPECT_EQ(
    Send({ ResponseTo("r-1", "", "", "421 Misdirected Request") })[0].kind,
    Kind::NotExecuted);
}

TEST_F(UpstreamClientTest, NotExecutedHeaderProvesNonExecution)
{
  EXPECT_EQ(Send({ ResponseTo(
              "r-1", "", "Not-Run: 1\r\n", "503 Service Unavailable") })[0]
              .kind,
            Kind::NotExecuted);
}

// A 503 without the not-executed header proves nothing: the request may have
// run.
TEST_F(UpstreamClientTest, FailureWithoutProofMayHaveRun)
{
  EXPECT_NE(
    Send({ ResponseTo("r-1", "", "", "503 Service Unavailable") })[0].kind,
    Kind::NotExecuted);
}

/// A response of an upstream and the expected classification.
struct ClassifiedResponse
{
  const char* status;
  const char* fields;
  Kind expected;
};

class ClassificationTest
  : public UpstreamClientTest
  , public ::testing::WithParamInterface<ClassifiedResponse>
{};

constexpr const char* kSigned = "Signature: s\r\n";
constexpr const char* kSignedNotExecuted = "Signature: s\r\nNot-Run: 1\r\n";

// Guards against a status that tells a caller without proof that its request
// has not run, and against replacing a failure response that the upstream
// signed.
TEST_P(ClassificationTest, OnlyProofMeansNotExecuted)
{
  const ClassifiedResponse& sample = GetParam();
  const auto attempts =
    Send({ ResponseTo("r-1", "x", sample.fields, sample.status) });
  ASSERT_EQ(attempts.size(), 1U);
  EXPECT_EQ(attempts[0].kind, sample.expected)
    << sample.status << " " << sample.fields;
}

INSTANTIATE_TEST_SUITE_P(
  Statuses,
  ClassificationTest,
  ::testing::Values(
    ClassifiedResponse{ "408 Request Timeout", kSigned, Kind::OutcomeUnknown },
    ClassifiedResponse{ "429 Too Many Requests",
                        kSigned,
                        Kind::OutcomeUnknown },
    ClassifiedResponse{ "503 Service Unavailable",
                        kSigned,
                        Kind::OutcomeUnknown },
    ClassifiedResponse{ "503 Service Unavailable", "", Kind::OutcomeUnknown },
    ClassifiedResponse{ "408 Request Timeout",
                        kSignedNotExecuted,
                        Kind::NotExecuted },
    ClassifiedResponse{ "421 Misdirected Request", kSigned, Kind::NotExecuted },
    ClassifiedResponse{ "429 Too Many Requests",
                        kSignedNotExecuted,
                        Kind::NotExecuted },
    ClassifiedResponse{ "503 Service Unavailable",
                        kSignedNotExecuted,
                        Kind::NotExecuted },
    ClassifiedResponse{ "500 Internal Server Error", kSigned, Kind::Response },
    ClassifiedResponse{ "504 Gateway Timeout", kSigned, Kind::Response },
    ClassifiedResponse{ "502 Bad Gateway", "", Kind::OutcomeUnknown },
    ClassifiedResponse{ "200 OK", kSignedNotExecuted, Kind::Response }));

} // namespace
} // namespace rattandyke::gateway
