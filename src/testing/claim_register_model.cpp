#include "testing/claim_register_model.h"

namespace rattandyke::testing {

namespace {

template<typename Call>
std::string
KeyOf(const Call& aCall)
{
  return aCall.service() + '/' + aCall.customer() + '/' +
         aCall.idempotency_key();
}

} // namespace

Result<wire::ClaimReply>
ClaimRegisterModel::Apply(Session aSession, const wire::ClaimCall& aCall)
{
  const Attempt attempt{ aSession, aCall.attempt() };
  if (mEnded.contains(aSession) || mReleased.contains(attempt)) {
    return Fail(Code::ProposalDropped, "The sender is gone.");
  }
  wire::ClaimReply reply;
  const auto [found, isNew] = mClaims.try_emplace(KeyOf(aCall));
  Claim& claim = found->second;
  if (isNew) {
    claim.number = ++mNumber;
    claim.holder = attempt;
    claim.digest = aCall.request_digest();
  }
  reply.set_claim(claim.number);
  const bool running = claim.state == wire::CLAIM_OUTCOME_RUNNING;
  if (claim.digest != aCall.request_digest()) {
    reply.set_outcome(wire::CLAIM_OUTCOME_MISMATCH);
  } else if (running && claim.holder == attempt) {
    reply.set_outcome(wire::CLAIM_OUTCOME_GRANTED);
  } else {
    reply.set_outcome(claim.state);
    *reply.mutable_answer() = claim.answer;
  }
  return reply;
}

void
ClaimRegisterModel::Apply(const wire::CompleteClaimCall& aCall)
{
  const auto found = mClaims.find(KeyOf(aCall));
  if (found == mClaims.end() || found->second.number != aCall.claim()) {
    return;
  }
  Claim& claim = found->second;
  if (claim.state == wire::CLAIM_OUTCOME_DONE) {
    return;
  }
  claim.state =
    aCall.unknown() ? wire::CLAIM_OUTCOME_UNKNOWN : wire::CLAIM_OUTCOME_DONE;
  claim.answer = aCall.answer();
}

void
ClaimRegisterModel::Apply(Session aSession, const wire::ReleaseClaimCall& aCall)
{
  const Attempt attempt{ aSession, aCall.attempt() };
  mReleased.insert(attempt);
  const auto found = mClaims.find(KeyOf(aCall));
  if (found == mClaims.end() || found->second.holder != attempt) {
    return;
  }
  if (found->second.state == wire::CLAIM_OUTCOME_RUNNING) {
    mClaims.erase(found);
  }
}

void
ClaimRegisterModel::EndSession(Session aSession)
{
  mEnded.insert(aSession);
  for (auto& [key, claim] : mClaims) {
    const bool running = claim.state == wire::CLAIM_OUTCOME_RUNNING;
    if (running && claim.holder.first == aSession) {
      claim.state = wire::CLAIM_OUTCOME_UNKNOWN;
    }
  }
}

size_t
ClaimRegisterModel::Running() const
{
  size_t running = 0;
  for (const auto& [key, claim] : mClaims) {
    running += claim.state == wire::CLAIM_OUTCOME_RUNNING ? 1 : 0;
  }
  return running;
}

} // namespace rattandyke::testing
