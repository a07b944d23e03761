#include "http/request_run.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include "entry/digest.h"

namespace rattandyke::http {

namespace asio = boost::asio;
namespace flow_event = entry::flow_event;

namespace {

/// Room that spares most heads the growing of their text.
constexpr size_t kUsualHeadBytes = 768;

std::string
ForwardedHead(const RequestHead& aHead)
{
  std::string out;
  out.reserve(kUsualHeadBytes);
  out.append(View(aHead.method_string())).append(" ");
  out.append(View(aHead.target())).append(" HTTP/1.1\r\n");
  ForEachEndToEnd(aHead, [&](std::string_view aName, std::string_view aValue) {
    AppendField(out, aName, aValue);
  });
  return out;
}

Framing
FramingOf(const CallerStream& aCaller, size_t aBodySize)
{
  const auto length = aCaller.ContentLength();
  if (!length && !aCaller.IsChunked()) {
    return {};
  }
  if (aCaller.BodyDone()) {
    return { Framing::Kind::Length, aBodySize };
  }
  return length ? Framing{ Framing::Kind::Length, *length }
                : Framing{ Framing::Kind::Chunked, 0 };
}

entry::RequestFacts
FactsOf(const RoutedRequest& aRequest,
        const RequestHead& aHead,
        std::string_view aBody,
        bool aBodyWhole,
        uint64_t aNumber,
        Instant aNow)
{
  entry::RequestFacts facts;
  facts.number = aNumber;
  facts.service = aRequest.record->name;
  facts.customer = aRequest.customer;
  facts.idempotent = aRequest.idempotent;
  facts.idempotencyKey = aRequest.idempotencyKey;
  if (!facts.idempotencyKey.empty()) {
    // The announced length tells large bodies apart, of which only the
    // beginning is here.
    facts.digest = entry::DigestOf({ View(aHead.method_string()),
                                     View(aHead.target()),
                                     FieldOf(aHead, "Content-Length"),
                                     aBody });
  }
  facts.fingerprint = entry::FingerprintOf(aRequest.record->name.value,
                                           aRequest.customer.value,
                                           View(aHead.method_string()),
                                           View(aHead.target()),
                                           aBody);
  facts.deadline = aNow + aRequest.deadline;
  facts.maxQueueTime = aRequest.record->maxQueueTime;
  facts.retention = aRequest.record->retention;
  facts.replayable = aBodyWhole;
  return facts;
}

std::string
NewRequestId(uint64_t aSeed, uint64_t aNumber)
{
  std::array<char, 40> text{};
  std::snprintf(text.data(),
                text.size(),
                "%016llx-%llx",
                static_cast<unsigned long long>(aSeed),
                static_cast<unsigned long long>(aNumber));
  return text.data();
}

} // namespace

RequestRun::RequestRun(std::shared_ptr<EntryContext> aContext,
                       const asio::any_io_executor& aStrand,
                       std::shared_ptr<CallerStream> aCaller,
                       RoutedRequest aRequest,
                       std::string aBody)
  : mContextOwner(std::move(aContext))
  , mContext(*mContextOwner)
  , mWork(mContext.openWork)
  , mStrand(aStrand)
  , mCaller(std::move(aCaller))
  , mRequest(std::move(aRequest))
  , mBody(std::move(aBody))
  , mBodyWhole(mCaller->BodyDone())
  , mHeadRequest(mCaller->Head().method() == boost::beast::http::verb::head)
  , mFraming(FramingOf(*mCaller, mBody.size()))
  , mForwardedHead(ForwardedHead(mCaller->Head()))
  , mFlow(FactsOf(mRequest,
                  mCaller->Head(),
                  mBody,
                  mBodyWhole,
                  ++mContext.lastRequest,
                  mContext.clock.Now()),
          {},
          mContext.budgets.Of(mRequest.record->name),
          mContext.seed ^ mContext.lastRequest)
  , mTrace(mContext.clock.Now())
  , mDeadline(aStrand)
  , mWait(aStrand)
  , mEnded(aStrand)
  , mUploadEnded(aStrand)
{
  mRequestId = mRequest.requestId.empty()
                 ? NewRequestId(mContext.seed, mFlow.Facts().number)
                 : mRequest.requestId;
}

RequestRun::~RequestRun() = default;

asio::awaitable<RequestRun::Ending>
RequestRun::Serve()
{
  SetDeadlineTimer();
  if (mBodyWhole) {
    mCaller->Watch([self = shared_from_this()] { self->OnCallerGone(); });
  }
  const entry::Lookup lookup = LookUp();
  Deliver(flow_event::Start{ lookup });
  while (!mEnding) {
    co_await mEnded.Wait();
  }
  mCaller->StopWatch();
  if (mUploading) {
    mCaller->Cancel();
  }
  while (mUploading) {
    co_await mUploadEnded.Wait();
  }
  co_return *mEnding;
}

void
RequestRun::SetDeadlineTimer()
{
  mDeadline.expires_at(mFlow.Facts().deadline);
  mDeadline.async_wait([self = shared_from_this()](const error_code& aError) {
    if (!aError) {
      self->Deliver(flow_event::DeadlinePassed{});
    }
  });
}

/// Effects may bring about further events; they are taken in turn, so that the
/// flow is never entered twice.
void
RequestRun::Deliver(entry::FlowEvent aEvent)
{
  mEvents.push_back(std::move(aEvent));
  if (std::exchange(mStepping, true)) {
    return;
  }
  for (size_t next = 0; next < mEvents.size(); ++next) {
    // Moved out, since an effect may add to the list and so move it.
    const entry::FlowEvent event = std::move(mEvents[next]);
    for (auto& effect : mFlow.Step(event, mContext.clock.Now())) {
      std::visit([this](auto& aEach) { Execute(std::move(aEach)); }, effect);
    }
  }
  mEvents.clear();
  mStepping = false;
  Settle();
}

void
RequestRun::Settle()
{
  if (auto send = std::exchange(mPendingSend, std::nullopt)) {
    mExchange = std::make_shared<UpstreamExchange>(
      mStrand, mContext.pool, mOwnerAddress, mContext.limits, mContext.clock);
    asio::co_spawn(
      mStrand, Exchange(std::move(*send), mExchange), asio::detached);
  }
  const bool awaitsOwner = !mFlow.Done() && mFlow.AwaitsOwner();
  if (awaitsOwner != mAwaitsOwner) {
    mAwaitsOwner = awaitsOwner;
    awaitsOwner ? mContext.waiting.Add(shared_from_this())
                : mContext.waiting.Remove(shared_from_this());
  }
  if (mFlow.Done()) {
    mDeadline.cancel();
    mWait.cancel();
  }
}

entry::Lookup
RequestRun::LookUpIn(std::shared_ptr<const routing::RoutingTable> aTable)
{
  mTable = std::move(aTable);
  entry::Lookup lookup;
  lookup.tableLeaseValid = mContext.host.TableLeaseValid(mContext.clock.Now());
  const std::string& service = mRequest.record->name.value;
  const std::string& fingerprint = mFlow.Facts().fingerprint;
  lookup.quarantine = mContext.suspects.Judge(
    mRequest.record->name,
    fingerprint,
    mTable->FindBan(service, fingerprint, mContext.clock.Wall()),
    mContext.clock.Now());
  const auto* record = mTable->FindServiceByName(service);
  if (record == nullptr) {
    return lookup;
  }
  const routing::Owner owner = mTable->FindOwner(*record, mRequest.key);
  if (owner.upstream != nullptr) {
    mOwnerAddress = owner.upstream->address;
    lookup.owner = entry::OwnerView{ owner.upstream->name,
                                     owner.upstream->incarnation,
                                     owner.fence,
                                     owner.slot,
                                     owner.upstream->checksFences };
  }
  return lookup;
}

entry::Lookup
RequestRun::LookUp()
{
  return LookUpIn(mContext.host.Table());
}

entry::Lookup
RequestRun::LookUpForSending()
{
  // Refused only in the short time in which a newer table comes into force.
  auto table = mContext.host.Table();
  mBracket = mContext.host.InFlight().Enter(table->Version());
  while (!mBracket) {
    table = mContext.host.Table();
    mBracket = mContext.host.InFlight().Enter(table->Version());
  }
  entry::Lookup lookup = LookUpIn(std::move(table));
  // An upstream that checks fences refuses what comes too late by itself. Were
  // its long requests counted, they would hold up every move away from those
  // that do not.
  if (lookup.owner && lookup.owner->checksFences) {
    mBracket.reset();
  }
  return lookup;
}

void
RequestRun::TellOwnerMayHaveChanged()
{
  asio::post(mStrand, [self = shared_from_this()] {
    if (self->mAwaitsOwner) {
      self->Deliver(flow_event::OwnerChanged{ self->LookUp() });
    }
  });
}

void
RequestRun::OnCallerGone()
{
  mPassing.reset();
  mTrace.CallerGone();
  End(Ending::Broken);
  Deliver(flow_event::CallerGone{ mBodyWhole });
}

void
RequestRun::End(Ending aEnding)
{
  if (!mEnding) {
    mEnding = aEnding;
    const std::string& customer = mRequest.customer.value;
    const bool limited =
      mTable &&
      mTable->FindLimit(mRequest.record->name.value, customer) != nullptr;
    mTrace.Record(mContext.host.Metrics(),
                  *mRequest.record,
                  customer,
                  limited,
                  mContext.clock.Now());
    mEnded.Notify();
  }
}

AnswerContext
RequestRun::ContextOfAnswer()
{
  mKeepAlive =
    mCaller->KeepsAlive() && mCaller->BodyDone() && !mContext.draining.load();
  return { mRequestId, mHeadRequest, mKeepAlive };
}

} // namespace rattandyke::http
