#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>

#include "http/back_pressure.h"
#include "http/request_run.h"
#include "log/log.h"

namespace rattandyke::http {

namespace asio = boost::asio;
namespace flow_event = entry::flow_event;
namespace flow_effect = entry::flow_effect;

namespace {

constexpr uint32_t kConflict = 409;
/// Room for what a sending adds to the caller's head, and for most answers'
/// heads: growing a text costs an allocation for each doubling.
constexpr size_t kAddedHeadBytes = 512;
constexpr size_t kUsualAnswerHeadBytes = 768;
/// Largest body of a refusal that is read, to keep the connection.
constexpr uint64_t kMaxRefusalBytes = 4096;
constexpr std::string_view kChunkEnd = "\r\n";
constexpr std::string_view kLastChunk = "0\r\n\r\n";

asio::const_buffer
Buffer(std::string_view aText)
{
  return { aText.data(), aText.size() };
}

/// One piece of a body as it goes over the wire.
class Piece
{
public:
  Piece(std::string_view aHead,
        std::span<const char> aBytes,
        const Framing& aFraming,
        bool aLast)
  {
    const bool chunked = aFraming.kind == Framing::Kind::Chunked;
    const std::string_view bytes(aBytes.data(), aBytes.size());
    mBuffers[0] = Buffer(aHead);
    mBuffers[2] = Buffer(bytes);
    if (chunked && !bytes.empty()) {
      const int size =
        std::snprintf(mSize.data(), mSize.size(), "%zx\r\n", bytes.size());
      mBuffers[1] = Buffer({ mSize.data(), static_cast<size_t>(size) });
      mBuffers[3] = Buffer(kChunkEnd);
    }
    if (chunked && aLast) {
      mBuffers[4] = Buffer(kLastChunk);
    }
  }
  Piece(const Piece&) = delete;
  Piece& operator=(const Piece&) = delete;

  const std::array<asio::const_buffer, 5>& Buffers() const { return mBuffers; }

private:
  std::array<char, 20> mSize{};
  std::array<asio::const_buffer, 5> mBuffers;
};

bool
SaysNotRun(const AnswerHead& aHead)
{
  return FieldOf(aHead, kOutcomeHeader) ==
         entry::NameOf(entry::Outcome::NotRun);
}

bool
RefusesFence(const AnswerHead& aHead)
{
  return aHead.result_int() == kConflict && SaysNotRun(aHead) &&
         FieldOf(aHead, kRefusedHeader) == "fence";
}

} // namespace

asio::awaitable<void>
RequestRun::Exchange(flow_effect::Send aSend,
                     std::shared_ptr<UpstreamExchange> aExchange)
{
  const auto self = shared_from_this();
  const error_code connected = co_await aExchange->Connect(mRequest.idempotent);
  if (connected) {
    aExchange->Abort();
    Deliver(flow_event::ConnectFailed{ aSend.attempt });
    co_return;
  }
  if (!co_await SendRequest(aSend, *aExchange)) {
    co_return;
  }
  if (!mBodyWhole) {
    mUploading = true;
    asio::co_spawn(mStrand, Upload(aExchange), asio::detached);
  } else {
    aExchange->RequestWritten();
  }
  co_await ReceiveAnswer(aSend.attempt, *aExchange);
}

asio::awaitable<bool>
RequestRun::SendRequest(const flow_effect::Send& aSend,
                        UpstreamExchange& aExchange)
{
  const std::string head = RequestText(aSend);
  const Piece piece(head, mBody, mFraming, false);
  // Told before the write: a crash between the two must not pass for proof
  // that nothing was sent.
  Deliver(flow_event::FirstByteSent{ aSend.attempt, LookUp() });
  if (aExchange.Aborted()) {
    co_return false;
  }
  const error_code error = co_await aExchange.Write(piece.Buffers());
  if (error && mBodyWhole) {
    DeliverBroken(aSend.attempt, error);
    aExchange.Abort();
  }
  // With an upload under way the upstream may have answered early and closed.
  co_return !error || !mBodyWhole;
}

std::string
RequestRun::RequestText(const flow_effect::Send& aSend) const
{
  using std::chrono::milliseconds;
  const auto left = std::chrono::duration_cast<milliseconds>(
    mFlow.Facts().deadline - mContext.clock.Now());
  std::string out;
  out.reserve(mForwardedHead.size() + kAddedHeadBytes);
  out = mForwardedHead;
  AppendField(out, "Rattandyke-Service", mRequest.record->name.value);
  AppendField(out, "Rattandyke-Slot", std::to_string(aSend.owner.slot.value));
  AppendField(out, "Rattandyke-Key", PercentEncode(mRequest.key));
  AppendField(out, "Rattandyke-Fence", std::to_string(aSend.owner.fence.value));
  AppendField(
    out, "Rattandyke-Customer", PercentEncode(mRequest.customer.value));
  AppendField(out, kRequestIdHeader, mRequestId);
  AppendField(
    out, kDeadlineHeader, std::to_string(std::max<int64_t>(left.count(), 0)));
  AppendFraming(out, mFraming);
  out += "\r\n";
  return out;
}

asio::awaitable<void>
RequestRun::Upload(std::shared_ptr<UpstreamExchange> aExchange)
{
  const auto self = shared_from_this();
  const error_code error = co_await UploadParts(*aExchange);
  mUploading = false;
  mUploadEnded.Notify();
  if (error) {
    OnUploadFailed(error);
  }
}

/// @return an error of the caller's; the upstream's shows in its answer.
asio::awaitable<error_code>
RequestRun::UploadParts(UpstreamExchange& aExchange)
{
  std::vector<char> bytes(mContext.limits.streamBufferBytes);
  while (!mCaller->BodyDone()) {
    size_t read = 0;
    const error_code error = co_await mCaller->ReadBodySome(bytes, read);
    if (error) {
      co_return error;
    }
    const Piece piece(
      {}, { bytes.data(), read }, mFraming, mCaller->BodyDone());
    if (co_await aExchange.Write(piece.Buffers())) {
      co_return error_code{};
    }
  }
  aExchange.RequestWritten();
  co_return error_code{};
}

/// The body broke off or is malformed: the upstream must not take what it got
/// for the whole.
void
RequestRun::OnUploadFailed(const error_code& aError)
{
  if (mEnding || mAnswerBegun || MeansConnectionLost(aError)) {
    return OnCallerGone();
  }
  mPassing.reset();
  const bool tooLarge = aError == boost::beast::http::error::body_limit;
  Execute(flow_effect::ReplyError{ tooLarge ? Code::RequestTooLarge
                                            : Code::MalformedRequest,
                                   entry::Outcome::Unknown,
                                   {},
                                   "The body broke off or is malformed." });
  Deliver(flow_event::CallerGone{ false });
}

asio::awaitable<void>
RequestRun::ReceiveAnswer(uint32_t aAttempt, UpstreamExchange& aExchange)
{
  const error_code error = co_await aExchange.ReadHead(mHeadRequest);
  if (error) {
    DeliverBroken(aAttempt, error);
    aExchange.Abort();
    co_return;
  }
  const auto framing = aExchange.BodyFraming();
  if (!framing) {
    Deliver(flow_event::AnswerBroken{ aAttempt, false });
    aExchange.Abort();
    co_return;
  }
  const AnswerHead& head = aExchange.Head();
  RecordBackPressure(head);
  if (RefusesFence(head)) {
    co_await ReceiveRefusal(aAttempt, aExchange);
    co_return;
  }
  mRetryAfter =
    ReadRetryAfter(head).value_or(std::nullopt).value_or(Duration::zero());
  Deliver(
    flow_event::AnswerHead{ aAttempt, head.result_int(), SaysNotRun(head) });
  if (aExchange.Aborted()) {
    co_return;
  }
  if (mPassing) {
    mAnswerHead = AnswerText(head, *framing);
  }
  KeepHead(head);
  co_await ReceiveBody(aAttempt, aExchange, *framing);
}

/// A limit that can't be read changes nothing.
void
RequestRun::RecordBackPressure(const AnswerHead& aHead)
{
  const auto limit = ReadRateLimit(aHead, kRateLimitHeader);
  if (!limit) {
    log::Line(log::Part::Http, log::Severity::Warning, mRequestId)
      << limit.error().message;
  } else if (mPlace) {
    mPlace->RecordRateLimit(*limit);
  }
}

/// Reads the refusal to its end before it is told, so that the connection can
/// be used again.
asio::awaitable<void>
RequestRun::ReceiveRefusal(uint32_t aAttempt, UpstreamExchange& aExchange)
{
  std::vector<char> bytes(kMaxRefusalBytes);
  size_t read = 0;
  error_code error;
  if (!aExchange.BodyDone()) {
    error = co_await aExchange.ReadBodySome(bytes, read);
  }
  if (!error && aExchange.BodyDone()) {
    aExchange.Finish();
  } else {
    aExchange.Abort();
  }
  Deliver(flow_event::UpstreamRefusedFence{ aAttempt });
}

/// Passes the body on as it comes, and keeps it for resends where that is
/// wanted. The end of the answer is written only after it proved whole, so a
/// broken answer is always shorter at the caller than it announced.
asio::awaitable<void>
RequestRun::ReceiveBody(uint32_t aAttempt,
                        UpstreamExchange& aExchange,
                        const Framing& aFraming)
{
  const bool sized = aFraming.kind == Framing::Kind::Length;
  const size_t most = mContext.limits.streamBufferBytes;
  std::vector<char> bytes(
    sized ? static_cast<size_t>(std::min<uint64_t>(aFraming.length, most))
          : most);
  bool done = false;
  while (!done) {
    size_t read = 0;
    const error_code error = co_await aExchange.ReadBodySome(bytes, read);
    if (error) {
      DeliverBroken(aAttempt, error);
      aExchange.Abort();
      co_return;
    }
    const std::span<const char> part(bytes.data(), read);
    Keep(part);
    done = aExchange.BodyDone();
    if (done && !aExchange.Finish()) {
      Deliver(flow_event::AnswerBroken{ aAttempt, false });
      co_return;
    }
    if (done) {
      mContext.suspects.OnAnswered(mRequest.record->name,
                                   mFlow.Facts().fingerprint);
      Deliver(flow_event::AnswerComplete{ aAttempt, std::move(mStored) });
    }
    co_await WritePart(part, aFraming, done);
    if (!done && aExchange.Aborted()) {
      co_return;
    }
  }
}

asio::awaitable<void>
RequestRun::WritePart(std::span<const char> aBytes,
                      const Framing& aFraming,
                      bool aLast)
{
  if (!mPassing) {
    co_return;
  }
  mAnswerBegun = true;
  const std::string head = std::exchange(mAnswerHead, {});
  const Piece piece(head, aBytes, mHeadRequest ? Framing{} : aFraming, aLast);
  const error_code error = co_await mCaller->Write(piece.Buffers());
  if (error) {
    mCaller->Abort();
    OnCallerGone();
  } else if (aLast) {
    mPassing.reset();
    End(Ending::Passed);
  }
}

void
RequestRun::DeliverBroken(uint32_t aAttempt, const error_code& aError)
{
  Deliver(flow_event::AnswerBroken{ aAttempt, MeansConnectionLost(aError) });
}

std::string
RequestRun::AnswerText(const AnswerHead& aHead, const Framing& aFraming)
{
  const AnswerContext context = ContextOfAnswer();
  mTrace.Answered(mPassing->outcome, Code::Ok, aHead.result_int());
  std::string out;
  out.reserve(kUsualAnswerHeadBytes);
  AppendStatusLine(out, aHead.result_int());
  ForEachEndToEnd(aHead, [&](std::string_view aName, std::string_view aValue) {
    AppendField(out, aName, aValue);
  });
  AppendField(out, kOutcomeHeader, entry::NameOf(mPassing->outcome));
  AppendField(out, kRequestIdHeader, mRequestId);
  AppendFraming(out, aFraming);
  if (!context.keepAlive) {
    AppendField(out, "Connection", "close");
  }
  out += "\r\n";
  return out;
}

void
RequestRun::KeepHead(const AnswerHead& aHead)
{
  if (mFlow.Facts().idempotencyKey.empty()) {
    return;
  }
  mStored.set_status(aHead.result_int());
  ForEachEndToEnd(aHead, [&](std::string_view aName, std::string_view aValue) {
    auto* header = mStored.add_headers();
    header->set_name(std::string(aName));
    header->set_value(std::string(aValue));
  });
}

void
RequestRun::Keep(std::span<const char> aBytes)
{
  if (mFlow.Facts().idempotencyKey.empty() || mStored.body_dropped()) {
    return;
  }
  const size_t size = mStored.body().size() + aBytes.size();
  if (size > mContext.limits.maxStoredAnswerBytes) {
    mStored.clear_body();
    mStored.set_body_dropped(true);
    return;
  }
  mStored.mutable_body()->append(aBytes.data(), aBytes.size());
}

} // namespace rattandyke::http
