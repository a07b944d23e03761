#include "testing/fake_entry_host.h"

namespace rattandyke::testing {

namespace {

constexpr uint32_t kServiceSlots = 8;

wire::Record
ServiceRecord(const std::string& aBodyJson)
{
  wire::Record record;
  record.set_kind("service");
  record.set_name("board");
  record.set_schema_version(1);
  record.set_body_json(aBodyJson);
  return record;
}

} // namespace

FakeEntryHost::FakeEntryHost()
  : mTable(std::make_shared<const routing::RoutingTable>())
{
  SetRecord(R"({"prefix": "/board", "key": "path:2", "slots": 8})");
}

void
FakeEntryHost::Apply(wire::TableUpdate aUpdate)
{
  const std::lock_guard lock(mMutex);
  aUpdate.set_from_version(mVersion);
  aUpdate.set_to_version(++mVersion);
  mTable = mTable->Apply(aUpdate);
  mInFlight.Publish(TableVersion{ mVersion });
}

void
FakeEntryHost::SetRecord(const std::string& aBodyJson)
{
  wire::TableUpdate update;
  *update.add_records() = ServiceRecord(aBodyJson);
  Apply(std::move(update));
}

void
FakeEntryHost::SetOwner(const Endpoint& aAddress,
                        uint32_t aSlots,
                        bool aChecksFences)
{
  wire::TableUpdate update;
  auto& upstream = *update.add_upstreams();
  upstream.set_name("board-" + std::to_string(++mIncarnation));
  upstream.set_service("board");
  upstream.set_incarnation(mIncarnation);
  upstream.set_address(aAddress.address + ":" + std::to_string(aAddress.port));
  upstream.set_slots(aSlots);
  upstream.set_checks_fences(aChecksFences);
  upstream.set_state(wire::UPSTREAM_STATE_ACTIVE);
  for (uint32_t slot = 0; slot < kServiceSlots; ++slot) {
    auto& owner = *update.add_owners();
    owner.set_service("board");
    owner.set_slot(slot);
    owner.set_upstream(upstream.name());
    owner.set_fence(mVersion + 1);
  }
  Apply(std::move(update));
}

void
FakeEntryHost::Release()
{
  wire::TableUpdate update;
  for (uint32_t slot = 0; slot < kServiceSlots; ++slot) {
    auto& owner = *update.add_owners();
    owner.set_service("board");
    owner.set_slot(slot);
    owner.set_fence(mVersion + 1);
  }
  Apply(std::move(update));
}

std::vector<agent::EvidenceKind>
FakeEntryHost::Evidence() const
{
  const std::lock_guard lock(mMutex);
  return mEvidence;
}

std::shared_ptr<const routing::RoutingTable>
FakeEntryHost::Table() const
{
  const std::lock_guard lock(mMutex);
  return mTable;
}

void
FakeEntryHost::ReportEvidence(const agent::Evidence& aEvidence)
{
  const std::lock_guard lock(mMutex);
  mEvidence.push_back(aEvidence.kind);
}

void
FakeEntryHost::Call(wire::CallRequest aRequest,
                    Duration aTimeout,
                    agent::LeaderCalls::Callback aDone)
{
  aDone(Settle(aRequest));
}

wire::CallReply
FakeEntryHost::Settle(const wire::CallRequest& aRequest)
{
  const std::lock_guard lock(mMutex);
  if (aRequest.has_claim()) {
    return Claim(aRequest.claim());
  }
  if (aRequest.has_release_claim()) {
    mClaims.erase(aRequest.release_claim().idempotency_key());
    return {};
  }
  if (!aRequest.has_complete_claim()) {
    wire::CallReply reply;
    reply.mutable_trial()->set_granted(true);
    return reply;
  }
  const auto& call = aRequest.complete_claim();
  ClaimState& state = mClaims[call.idempotency_key()];
  state.done = !call.unknown();
  state.unknown = call.unknown();
  state.answer = call.answer();
  return {};
}

wire::CallReply
FakeEntryHost::Claim(const wire::ClaimCall& aCall)
{
  wire::CallReply reply;
  auto& claim = *reply.mutable_claim();
  const auto [entry, isNew] = mClaims.try_emplace(aCall.idempotency_key());
  ClaimState& state = entry->second;
  if (isNew) {
    state.claim = ++mVersion;
    state.digest = aCall.request_digest();
    claim.set_outcome(wire::CLAIM_OUTCOME_GRANTED);
  } else if (state.digest != aCall.request_digest()) {
    claim.set_outcome(wire::CLAIM_OUTCOME_MISMATCH);
  } else if (state.done) {
    claim.set_outcome(wire::CLAIM_OUTCOME_DONE);
    *claim.mutable_answer() = state.answer;
  } else {
    claim.set_outcome(state.unknown ? wire::CLAIM_OUTCOME_UNKNOWN
                                    : wire::CLAIM_OUTCOME_RUNNING);
  }
  claim.set_claim(state.claim);
  return reply;
}

} // namespace rattandyke::testing
