#include "control/claim_table.h"

namespace rattandyke::control {

namespace {

// An attempt that was given up is remembered so long: its claim, arriving late
// or again, would otherwise be granted to a runner that no longer waits, and
// the key would stay blocked until that host is lost. No call is on its way
// longer than calls are retried.
constexpr uint64_t kReleasedMemoryMs = 60'000;

uint64_t
ToMilliseconds(WallTime aTime)
{
  return static_cast<uint64_t>(aTime.time_since_epoch().count());
}

HostSession
RunnerOf(const wire::TakeClaim& aTake)
{
  return { HostName{ aTake.host() }, aTake.session() };
}

Attempt
AttemptOf(const wire::TakeClaim& aTake)
{
  return { RunnerOf(aTake), aTake.call().attempt() };
}

wire::ClaimReply
Reply(wire::ClaimOutcome aOutcome, uint64_t aClaim)
{
  wire::ClaimReply reply;
  reply.set_outcome(aOutcome);
  reply.set_claim(aClaim);
  return reply;
}

wire::ClaimReply
ReplyToRepeat(const wire::ClaimSnapshot& aClaim, const wire::TakeClaim& aTake)
{
  if (aClaim.take().call().request_digest() != aTake.call().request_digest()) {
    return Reply(wire::CLAIM_OUTCOME_MISMATCH, aClaim.claim());
  }
  switch (aClaim.state()) {
    case wire::CLAIM_STATE_DONE: {
      wire::ClaimReply reply = Reply(wire::CLAIM_OUTCOME_DONE, aClaim.claim());
      *reply.mutable_answer() = aClaim.answer();
      return reply;
    }
    case wire::CLAIM_STATE_UNKNOWN:
      return Reply(wire::CLAIM_OUTCOME_UNKNOWN, aClaim.claim());
    default:
      // The answer to the call that took the claim may have been lost: the
      // same attempt gets the same answer, any other one has to wait.
      return Reply(aClaim.state() == wire::CLAIM_STATE_RUNNING &&
                       AttemptOf(aClaim.take()) == AttemptOf(aTake)
                     ? wire::CLAIM_OUTCOME_GRANTED
                     : wire::CLAIM_OUTCOME_RUNNING,
                   aClaim.claim());
  }
}

void
StoreAnswer(wire::ClaimSnapshot& aClaim, const wire::StoredAnswer& aAnswer)
{
  *aClaim.mutable_answer() = aAnswer;
  if (aAnswer.ByteSizeLong() > ClaimTable::kMostAnswerBytes) {
    aClaim.mutable_answer()->clear_body();
    aClaim.mutable_answer()->set_body_dropped(true);
  }
}

} // namespace

Result<wire::ClaimReply>
ClaimTable::Take(LogIndex aIndex, const wire::TakeClaim& aTake, WallTime aNow)
{
  Expire(aNow);
  if (mReleased.contains(AttemptOf(aTake))) {
    return Fail(Code::ProposalDropped, "The attempt was given up.");
  }
  const wire::ClaimCall& call = aTake.call();
  const Key key{ call.service(), call.customer(), call.idempotency_key() };
  const auto found = mClaims.find(key);
  if (found != mClaims.end()) {
    return ReplyToRepeat(found->second, aTake);
  }
  if (mClaims.size() >= kMostClaims) {
    return Fail(Code::ClaimUnavailable, "The idempotency register is full.");
  }
  return Start(aIndex, key, aTake);
}

wire::ClaimReply
ClaimTable::Start(LogIndex aIndex,
                  const Key& aKey,
                  const wire::TakeClaim& aTake)
{
  wire::ClaimSnapshot& claim = mClaims[aKey];
  *claim.mutable_take() = aTake;
  claim.set_claim(aIndex.value);
  claim.set_state(wire::CLAIM_STATE_RUNNING);
  mRunning[RunnerOf(aTake)].insert(aKey);
  return Reply(wire::CLAIM_OUTCOME_GRANTED, aIndex.value);
}

ClaimTable::Claims::iterator
ClaimTable::FindHeld(const Key& aKey, uint64_t aClaim)
{
  const auto found = mClaims.find(aKey);
  const bool held = found != mClaims.end() && found->second.claim() == aClaim;
  return held ? found : mClaims.end();
}

void
ClaimTable::StopRunning(const wire::ClaimSnapshot& aClaim, const Key& aKey)
{
  const auto runner = mRunning.find(RunnerOf(aClaim.take()));
  if (runner == mRunning.end()) {
    return;
  }
  runner->second.erase(aKey);
  if (runner->second.empty()) {
    mRunning.erase(runner);
  }
}

void
ClaimTable::End(Claims::iterator aClaim,
                wire::ClaimState aState,
                uint64_t aExpires)
{
  const auto& [key, claim] = *aClaim;
  StopRunning(claim, key);
  mExpiries.erase({ claim.expires_unix_ms(), key });
  mExpiries.insert({ aExpires, key });
  aClaim->second.set_state(aState);
  aClaim->second.set_expires_unix_ms(aExpires);
}

void
ClaimTable::Complete(const wire::CompleteClaimCall& aCall, WallTime aNow)
{
  const Key key{ aCall.service(), aCall.customer(), aCall.idempotency_key() };
  const auto claim = FindHeld(key, aCall.claim());
  if (claim == mClaims.end()) {
    return;
  }
  if (claim->second.state() == wire::CLAIM_STATE_DONE) {
    return;
  }
  const uint64_t expires =
    ToMilliseconds(aNow) + claim->second.take().call().retention_ms();
  if (aCall.unknown()) {
    return End(claim, wire::CLAIM_STATE_UNKNOWN, expires);
  }
  // A runner that was given up as lost may still come back with the answer.
  StoreAnswer(claim->second, aCall.answer());
  End(claim, wire::CLAIM_STATE_DONE, expires);
}

void
ClaimTable::Remember(const Attempt& aAttempt, uint64_t aExpires)
{
  if (mReleased.emplace(aAttempt, aExpires).second) {
    mReleasedExpiries.insert({ aExpires, aAttempt });
  }
}

void
ClaimTable::Release(const wire::ReleaseClaim& aRelease, WallTime aNow)
{
  const wire::ReleaseClaimCall& call = aRelease.call();
  const Attempt attempt{ { HostName{ aRelease.host() }, aRelease.session() },
                         call.attempt() };
  Remember(attempt, ToMilliseconds(aNow) + kReleasedMemoryMs);
  const Key key{ call.service(), call.customer(), call.idempotency_key() };
  const auto claim = mClaims.find(key);
  if (claim == mClaims.end() || AttemptOf(claim->second.take()) != attempt ||
      claim->second.state() == wire::CLAIM_STATE_DONE) {
    return;
  }
  StopRunning(claim->second, key);
  mExpiries.erase({ claim->second.expires_unix_ms(), key });
  mClaims.erase(claim);
}

void
ClaimTable::Orphan(const HostSession& aRunner, WallTime aNow)
{
  const auto runner = mRunning.find(aRunner);
  if (runner == mRunning.end()) {
    return;
  }
  const std::set<Key> keys = runner->second;
  for (const Key& key : keys) {
    const auto claim = mClaims.find(key);
    End(claim,
        wire::CLAIM_STATE_UNKNOWN,
        ToMilliseconds(aNow) + claim->second.take().call().retention_ms());
  }
}

void
ClaimTable::Expire(WallTime aNow)
{
  const uint64_t now = ToMilliseconds(aNow);
  while (!mExpiries.empty() && mExpiries.begin()->first <= now) {
    mClaims.erase(mExpiries.begin()->second);
    mExpiries.erase(mExpiries.begin());
  }
  while (!mReleasedExpiries.empty() &&
         mReleasedExpiries.begin()->first <= now) {
    mReleased.erase(mReleasedExpiries.begin()->second);
    mReleasedExpiries.erase(mReleasedExpiries.begin());
  }
}

ClaimTable::Counts
ClaimTable::Count() const
{
  Counts counts;
  for (const auto& [key, claim] : mClaims) {
    counts.running += claim.state() == wire::CLAIM_STATE_RUNNING ? 1 : 0;
    counts.done += claim.state() == wire::CLAIM_STATE_DONE ? 1 : 0;
    counts.unknown += claim.state() == wire::CLAIM_STATE_UNKNOWN ? 1 : 0;
  }
  return counts;
}

std::vector<HostSession>
ClaimTable::Runners() const
{
  std::vector<HostSession> runners;
  for (const auto& [runner, keys] : mRunning) {
    runners.push_back(runner);
  }
  return runners;
}

void
ClaimTable::Save(wire::StateSnapshot& aSnapshot) const
{
  for (const auto& [key, claim] : mClaims) {
    *aSnapshot.add_claims() = claim;
  }
  for (const auto& [attempt, expires] : mReleased) {
    wire::ReleasedAttemptSnapshot& saved = *aSnapshot.add_released_attempts();
    saved.set_host(attempt.runner.host.value);
    saved.set_session(attempt.runner.session);
    saved.set_attempt(attempt.number);
    saved.set_expires_unix_ms(expires);
  }
}

void
ClaimTable::Load(const wire::StateSnapshot& aSnapshot)
{
  mClaims.clear();
  mRunning.clear();
  mExpiries.clear();
  mReleased.clear();
  mReleasedExpiries.clear();
  for (const auto& saved : aSnapshot.released_attempts()) {
    Remember({ { HostName{ saved.host() }, saved.session() }, saved.attempt() },
             saved.expires_unix_ms());
  }
  for (const wire::ClaimSnapshot& claim : aSnapshot.claims()) {
    const wire::ClaimCall& call = claim.take().call();
    const Key key{ call.service(), call.customer(), call.idempotency_key() };
    mClaims.emplace(key, claim);
    if (claim.state() == wire::CLAIM_STATE_RUNNING) {
      mRunning[RunnerOf(claim.take())].insert(key);
    } else {
      mExpiries.insert({ claim.expires_unix_ms(), key });
    }
  }
}

} // namespace rattandyke::control
