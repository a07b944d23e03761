/// Decisions on one request, from its head to its final answer.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <rattandyke/result.h>
#include <rattandyke/types.h>

#include "entry/outcome.h"
#include "entry/retry_budget.h"
#include "wire/peer.pb.h"

namespace rattandyke::entry {

/// What is known of a request once its head is parsed.
struct RequestFacts
{
  /// Unique in this process: names the attempt in the idempotency register.
  uint64_t number = 0;
  ServiceName service;
  CustomerName customer;
  /// By method, or as the service's record says.
  bool idempotent = false;
  /// Empty: none was sent.
  std::string idempotencyKey;
  /// Digest of method, target and body; only needed with an idempotencyKey.
  std::string digest;
  /// See entry/quarantine.h. Empty: never suspected.
  std::string fingerprint;
  /// The caller's deadline, or arrival + the record's defaultDeadline. Bounds
  /// the wait for the head of the answer, not the streaming of its body.
  Instant deadline{};
  /// From the record: longest wait for an owner, and in its queue.
  std::chrono::milliseconds maxQueueTime{ 1000 };
  /// From the record: how long the register remembers the idempotencyKey.
  std::chrono::seconds retention{ 600 };
  /// The whole body is in memory, so it can be sent again.
  bool replayable = false;
};

/// Whether the request's fingerprint may run; see entry/quarantine.h.
enum class QuarantineVerdict
{
  Free,
  /// Was in flight where an upstream crashed: runs only after AskTrial.
  Suspect,
  Banned,
};

/// The owner of the request's key in the newest table of this host.
struct OwnerView
{
  UpstreamName upstream;
  uint64_t incarnation = 0;
  Fence fence;
  Slot slot;
  bool checksFences = false;
  bool operator==(const OwnerView&) const = default;
};

/// Answer of a lookup made at the instant of the event that carries it.
struct Lookup
{
  /// None: nobody may be sent the key now.
  std::optional<OwnerView> owner;
  /// This host's table lease holds.
  bool tableLeaseValid = false;
  QuarantineVerdict quarantine = QuarantineVerdict::Free;
};

/// The events of RequestFlow. `attempt` repeats the number of the effect that
/// the event answers; an event of an older attempt is ignored, so late answers
/// of a cancelled sending do no harm.
namespace flow_event {

/// First event, once.
struct Start
{
  Lookup lookup;
};
/// Answers Claim: the call's reply, or NoQuorum or another error.
struct ClaimAnswered
{
  uint32_t attempt = 0;
  Result<wire::ClaimReply> reply;
};
/// Answers AskTrial.
struct TrialAnswered
{
  uint32_t attempt = 0;
  bool granted = false;
  /// If not granted: when to ask again; another trial is running.
  std::chrono::milliseconds retryAfter{};
};
/// Answers Enqueue: the request holds one of the upstream's slots.
struct Admitted
{
  uint32_t attempt = 0;
  /// Made now: the owner may have changed while the request was queued.
  Lookup lookup;
};
/// Answers Enqueue: refused by admission or by health.
struct Refused
{
  uint32_t attempt = 0;
  Code code = Code::Overloaded;
  std::chrono::milliseconds retryAfter{};
};
/// After Send: no connection could be made and no byte of the request was
/// handed to a socket. Proof that it did not run.
struct ConnectFailed
{
  uint32_t attempt = 0;
};
/// After Send: connected, and the first byte of the request is about to be
/// handed to a socket. Must be delivered before the write, else a crash between
/// the two would pass for proof that nothing was sent. If the effects hold
/// CancelSend, nothing may be written.
struct FirstByteSent
{
  uint32_t attempt = 0;
  /// Made now: the process may have stood still since it was admitted, and the
  /// key may have another owner.
  Lookup lookup;
};
/// The upstream answered that it does not hold the grant of this fence and did
/// not run the request.
struct UpstreamRefusedFence
{
  uint32_t attempt = 0;
};
/// The head of the upstream's answer was read.
struct AnswerHead
{
  uint32_t attempt = 0;
  uint32_t status = 0;
  /// The upstream says by the header of docs/PROTOCOL.md that it did not run
  /// the request.
  bool notRunProof = false;
};
/// The connection broke, the answer was malformed or shorter or longer than it
/// announced. Edge: a failed write too.
struct AnswerBroken
{
  uint32_t attempt = 0;
  /// The connection was reset or closed with the request in flight, as when
  /// the upstream's process dies. False: a malformed answer, a timeout.
  bool connectionLost = false;
};
/// The last byte of the answer was read and the answer is whole.
struct AnswerComplete
{
  uint32_t attempt = 0;
  /// The answer to keep for resends; body_dropped set if it was too large.
  wire::StoredAnswer stored;
};
/// The caller closed its connection, or its body broke off.
struct CallerGone
{
  /// The whole body was read, so that the upstream can still get it.
  bool requestWhole = false;
};
/// The deadline of RequestFacts came. Edge: one timer a request, set at Start.
struct DeadlinePassed
{};
/// The lookup of the key may give another answer than before. Edge: deliver to
/// every request that AwaitsOwner() when a new table is in force or the table
/// lease was lost or regained; a lookup without news does no harm.
struct OwnerChanged
{
  Lookup lookup;
};
/// The instant of WaitRetry came.
struct RetryDelayOver
{
  uint32_t attempt = 0;
  Lookup lookup;
};
/// A ban of the request's fingerprint is in force as of now. Only stops what
/// was not sent yet.
struct Banned
{};

} // namespace flow_event

using FlowEvent = std::variant<flow_event::Start,
                               flow_event::ClaimAnswered,
                               flow_event::TrialAnswered,
                               flow_event::Admitted,
                               flow_event::Refused,
                               flow_event::ConnectFailed,
                               flow_event::FirstByteSent,
                               flow_event::UpstreamRefusedFence,
                               flow_event::AnswerHead,
                               flow_event::AnswerBroken,
                               flow_event::AnswerComplete,
                               flow_event::CallerGone,
                               flow_event::DeadlinePassed,
                               flow_event::OwnerChanged,
                               flow_event::RetryDelayOver,
                               flow_event::Banned>;

/// The effects of RequestFlow, to be carried out in order.
namespace flow_effect {

/// Make the call; answer with ClaimAnswered. `call.attempt` is the request's
/// number, so a repeat of the call is granted again and another request with
/// the same key is not.
struct Claim
{
  uint32_t attempt = 0;
  wire::ClaimCall call;
  Duration timeout{};
};
/// Make the call and repeat it until it is answered or the process ends; the
/// flow does not wait for it.
struct CompleteClaim
{
  wire::CompleteClaimCall call;
};
/// As CompleteClaim. With `call.claim` 0 the claim's fate is unknown: it frees
/// the key if this attempt holds it, and keeps a claim of this attempt that is
/// still on its way from being granted.
struct ReleaseClaim
{
  wire::ReleaseClaimCall call;
};
/// Ask the leader to run this suspect alone; answer with TrialAnswered.
struct AskTrial
{
  uint32_t attempt = 0;
  UpstreamName upstream;
  uint64_t incarnation = 0;
};
enum class TrialEnd
{
  /// The upstream answered.
  Cleared,
  /// The connection was lost during it; ReportCrash comes too.
  Crashed,
  /// The request was not sent, or nothing can be concluded.
  Unused,
};
/// The trial that was granted, or is still being asked for, is over.
struct EndTrial
{
  TrialEnd end = TrialEnd::Unused;
};
/// Offer the request to the upstream's admission; answer with Admitted or
/// Refused.
struct Enqueue
{
  uint32_t attempt = 0;
  OwnerView owner;
  /// Refuse if it cannot be admitted until then.
  Instant admitBy{};
};
/// Leave the queue; if the request was admitted meanwhile, give back the slot
/// as unused.
struct LeaveQueue
{
  uint32_t attempt = 0;
};
/// Send the request whole to the owner, with its fence and with what is left
/// until the deadline.
struct Send
{
  uint32_t attempt = 0;
  OwnerView owner;
  Duration remaining{};
};
/// Close the connection to the upstream and never use it again; nothing more
/// of this attempt is wanted.
struct CancelSend
{
  uint32_t attempt = 0;
};
/// How the use of an admitted slot ended, for admission and health.
enum class Use
{
  Succeeded,
  /// 5xx other than shedding, or a malformed answer.
  Failed,
  /// 429 or 503.
  Shed,
  /// No connection could be made.
  Unreachable,
  /// Connection lost in mid-request.
  Broken,
  TimedOut,
  /// Says nothing of the upstream: the caller went away.
  Cancelled,
};
/// The slot of this attempt is free again.
struct FreeSlot
{
  uint32_t attempt = 0;
  OwnerView owner;
  Use use = Use::Succeeded;
  /// From Send until now.
  Duration serviceTime{};
};
/// Final: answer the caller with an error made here.
struct ReplyError
{
  Code code = Code::Ok;
  Outcome outcome = Outcome::Unknown;
  /// Sent as Retry-After, rounded up to seconds, if above 0.
  std::chrono::milliseconds retryAfter{};
  std::string message;
};
/// Final, in two steps: pass on the head, and the body as it comes; then
/// FinishAnswer or AbortAnswer.
struct PassAnswer
{
  uint32_t attempt = 0;
  Outcome outcome = Outcome::Unknown;
};
/// The answer that is being passed on is whole.
struct FinishAnswer
{};
/// Break the caller's connection off so that the part it got cannot pass for
/// a whole answer.
struct AbortAnswer
{
  Code code = Code::UpstreamBroken;
};
/// Final: the answer of an earlier sending, from the register.
struct ReplyStored
{
  wire::StoredAnswer answer;
  Outcome outcome = Outcome::Ran;
};
/// Deliver RetryDelayOver at this instant.
struct WaitRetry
{
  uint32_t attempt = 0;
  Instant until{};
};
/// Report to the quarantine that the upstream's connection was lost with this
/// request in flight.
struct ReportCrash
{
  OwnerView owner;
  /// It ran on a trial.
  bool onTrial = false;
};

} // namespace flow_effect

using FlowEffect = std::variant<flow_effect::Claim,
                                flow_effect::CompleteClaim,
                                flow_effect::ReleaseClaim,
                                flow_effect::AskTrial,
                                flow_effect::EndTrial,
                                flow_effect::Enqueue,
                                flow_effect::LeaveQueue,
                                flow_effect::Send,
                                flow_effect::CancelSend,
                                flow_effect::FreeSlot,
                                flow_effect::ReplyError,
                                flow_effect::PassAnswer,
                                flow_effect::FinishAnswer,
                                flow_effect::AbortAnswer,
                                flow_effect::ReplyStored,
                                flow_effect::WaitRetry,
                                flow_effect::ReportCrash>;

/// One request's decisions. Promises:
/// - exactly one final answer (ReplyError, ReplyStored, or PassAnswer followed
///   by FinishAnswer or AbortAnswer), or none after CallerGone;
/// - a non-idempotent request is sent at most once, counted from the first
///   byte that may have reached an upstream;
/// - Outcome::NotRun only if that is proven;
/// - every Admitted is followed by one LeaveQueue or FreeSlot, every granted
///   claim by one CompleteClaim or ReleaseClaim.
/// Not thread-safe: one event at a time.
class RequestFlow
{
public:
  struct Settings
  {
    /// First wait before a retry and before asking again for a claim that is
    /// running; doubles, with full jitter.
    std::chrono::milliseconds backoff{ 20 };
    std::chrono::milliseconds maxBackoff{ 500 };
    /// Sendings of one idempotent request, the first included.
    uint32_t maxSendings = 3;
    /// Longest wait for the register.
    std::chrono::milliseconds claimTimeout{ 2000 };
    /// How long after the deadline a claimed request may still end, so that
    /// its answer is there for a resend.
    std::chrono::milliseconds linger{ 5000 };
    /// Told to callers when nothing better is known.
    std::chrono::milliseconds retryAfter{ 1000 };
  };

  /// @param aFacts    the request.
  /// @param aSettings limits of the host.
  /// @param aBudget   of the request's service; outlives the flow.
  /// @param aSeed     of the jitter.
  RequestFlow(RequestFacts aFacts,
              Settings aSettings,
              RetryBudget& aBudget,
              uint64_t aSeed);
  ~RequestFlow();
  RequestFlow(RequestFlow&&) noexcept;
  RequestFlow& operator=(RequestFlow&&) noexcept;

  /// @param aNow instant of the event; never goes back.
  /// @return what to do, in order.
  std::vector<FlowEffect> Step(const FlowEvent& aEvent, Instant aNow);

  /// Nothing more will come of it; it may be destroyed.
  bool Done() const;

  /// It wants OwnerChanged: nothing is being sent yet.
  bool AwaitsOwner() const;

  const RequestFacts& Facts() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace rattandyke::entry
