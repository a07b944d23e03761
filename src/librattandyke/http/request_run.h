/// One request on its way: carries out what entry::RequestFlow decides.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "entry/request_flow.h"
#include "http/caller_stream.h"
#include "http/entry_context.h"
#include "http/own_answer.h"
#include "http/request_trace.h"
#include "http/routed_request.h"
#include "http/upstream_exchange.h"

namespace rattandyke::http {

/// Lives from the parsed head until the flow is done, which may be after its
/// caller has gone. All on the strand of the caller's connection, but for the
/// methods that say otherwise.
class RequestRun : public std::enable_shared_from_this<RequestRun>
{
public:
  /// How the request ended, as far as the caller sees.
  enum class Ending
  {
    /// OwnAnswer() is to be written.
    Own,
    /// The upstream's answer was passed on whole.
    Passed,
    /// The caller's connection was broken off, or the caller went.
    Broken,
  };

  /// @param aStrand  of the caller's connection.
  /// @param aRequest as routed; its head is aCaller's.
  /// @param aBody    what was read of the body; whole if aCaller.BodyDone().
  RequestRun(std::shared_ptr<EntryContext> aContext,
             const boost::asio::any_io_executor& aStrand,
             std::shared_ptr<CallerStream> aCaller,
             RoutedRequest aRequest,
             std::string aBody);
  ~RequestRun();

  /// Begins, and waits until the caller has or gets its answer. After it
  /// returned, nothing reads from the caller or writes to it.
  boost::asio::awaitable<Ending> Serve();

  const std::string& OwnAnswer() const { return mOwnAnswer; }

  /// Whether the connection can take another request after this one.
  bool KeepsAlive() const { return mKeepAlive; }

  /// Tells the flow that the owner of the key may have changed. Thread-safe.
  void TellOwnerMayHaveChanged();

private:
  using Flow = entry::RequestFlow;

  void Deliver(entry::FlowEvent aEvent);
  void Settle();
  entry::Lookup LookUp();
  /// As LookUp, with the table's version held against a move until the slot is
  /// given back.
  entry::Lookup LookUpForSending();
  entry::Lookup LookUpIn(std::shared_ptr<const routing::RoutingTable> aTable);
  void SetDeadlineTimer();

  void Execute(entry::flow_effect::Claim aEffect);
  void Execute(entry::flow_effect::CompleteClaim aEffect);
  void Execute(entry::flow_effect::ReleaseClaim aEffect);
  void Execute(entry::flow_effect::AskTrial aEffect);
  void Execute(entry::flow_effect::EndTrial aEffect);
  void Execute(const entry::flow_effect::Enqueue& aEffect);
  void Execute(entry::flow_effect::LeaveQueue aEffect);
  void Execute(entry::flow_effect::Send aEffect);
  void Execute(entry::flow_effect::CancelSend aEffect);
  void Execute(entry::flow_effect::FreeSlot aEffect);
  void Execute(const entry::flow_effect::ReplyError& aEffect);
  void Execute(entry::flow_effect::PassAnswer aEffect);
  void Execute(entry::flow_effect::FinishAnswer aEffect);
  void Execute(entry::flow_effect::AbortAnswer aEffect);
  void Execute(const entry::flow_effect::ReplyStored& aEffect);
  void Execute(entry::flow_effect::WaitRetry aEffect);
  void Execute(entry::flow_effect::ReportCrash aEffect);

  void OnSlotAnswer(uint32_t aAttempt, const SlotAnswer& aAnswer);
  void OnCallerGone();
  void End(Ending aEnding);
  void RecordAttempt(const entry::flow_effect::FreeSlot& aSlot);
  AnswerContext ContextOfAnswer();

  boost::asio::awaitable<void> Exchange(
    entry::flow_effect::Send aSend,
    std::shared_ptr<UpstreamExchange> aExchange);
  boost::asio::awaitable<bool> SendRequest(
    const entry::flow_effect::Send& aSend,
    UpstreamExchange& aExchange);
  std::string RequestText(const entry::flow_effect::Send& aSend) const;
  boost::asio::awaitable<void> Upload(
    std::shared_ptr<UpstreamExchange> aExchange);
  boost::asio::awaitable<error_code> UploadParts(UpstreamExchange& aExchange);
  void OnUploadFailed(const error_code& aError);

  boost::asio::awaitable<void> ReceiveAnswer(uint32_t aAttempt,
                                             UpstreamExchange& aExchange);
  boost::asio::awaitable<void> ReceiveRefusal(uint32_t aAttempt,
                                              UpstreamExchange& aExchange);
  boost::asio::awaitable<void> ReceiveBody(uint32_t aAttempt,
                                           UpstreamExchange& aExchange,
                                           const Framing& aFraming);
  /// Takes the back pressure that a response signals.
  void RecordBackPressure(const AnswerHead& aHead);
  void DeliverBroken(uint32_t aAttempt, const error_code& aError);
  void Keep(std::span<const char> aBytes);
  void KeepHead(const AnswerHead& aHead);
  std::string AnswerText(const AnswerHead& aHead, const Framing& aFraming);
  boost::asio::awaitable<void> WritePart(std::span<const char> aBytes,
                                         const Framing& aFraming,
                                         bool aLast);

  const std::shared_ptr<EntryContext> mContextOwner;
  EntryContext& mContext;
  const OpenWork mWork;
  const boost::asio::any_io_executor mStrand;
  const std::shared_ptr<CallerStream> mCaller;
  const RoutedRequest mRequest;
  const std::string mBody;
  const bool mBodyWhole;
  const bool mHeadRequest;
  const Framing mFraming;
  /// Request line and the caller's own fields, as every sending has them.
  std::string mForwardedHead;
  std::string mRequestId;
  Flow mFlow;
  RequestTrace mTrace;

  std::vector<entry::FlowEvent> mEvents;
  bool mStepping = false;
  bool mAwaitsOwner = false;
  /// Owner's address as of the last lookup.
  Endpoint mOwnerAddress;
  std::shared_ptr<const routing::RoutingTable> mTable;
  std::optional<agent::InFlightVersions::Bracket> mBracket;

  std::shared_ptr<SlotPlace> mPlace;
  uint32_t mPlaceAttempt = 0;
  std::shared_ptr<UpstreamExchange> mExchange;
  std::optional<entry::flow_effect::Send> mPendingSend;
  boost::asio::steady_timer mDeadline;
  boost::asio::steady_timer mWait;

  std::optional<Ending> mEnding;
  Signal mEnded;
  bool mUploading = false;
  Signal mUploadEnded;
  std::string mOwnAnswer;

  /// Set while the upstream's answer is passed on.
  std::optional<entry::flow_effect::PassAnswer> mPassing;
  /// Head of the answer to the caller, until it is written.
  std::string mAnswerHead;
  bool mAnswerBegun = false;
  bool mKeepAlive = false;
  wire::StoredAnswer mStored;
  Duration mRetryAfter{};
  /// The trial asked for last.
  wire::TrialCall mTrial;
};

} // namespace rattandyke::http
