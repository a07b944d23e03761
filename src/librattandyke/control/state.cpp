#include "control/state.h"

#include <algorithm>

namespace rattandyke::control {

namespace {

constexpr std::chrono::hours kLostMemory{ 1 };
constexpr std::chrono::minutes kForgetInterval{ 10 };
constexpr std::chrono::seconds kBanExpiryInterval{ 1 };
const std::string kServiceKind = "service";

void
SetError(wire::CallReply& aReply, const Error& aError)
{
  aReply.set_code(static_cast<uint32_t>(aError.code));
  aReply.set_message(aError.message);
}

} // namespace

/// Applies one command; one overload for each kind.
struct State::Applier
{
  State& state;
  LogIndex index;
  wire::CallReply& reply;

  void operator()(const wire::RegisterUpstreams& aCommand)
  {
    for (const auto& registration : aCommand.registrations()) {
      const wire::Upstream& announced = registration.announced();
      const auto before = RefOf(announced.service(), announced.name());
      state.mAssignments.Register(index, registration, state.mNow);
      const auto after = RefOf(announced.service(), announced.name());
      // A new life is the end of the one before.
      if (before && before->incarnation() != after->incarnation()) {
        MarkBans(state.mBans.Lose(index, *before, state.mNow));
      }
    }
  }

  void operator()(const wire::SetUpstreamState& aCommand)
  {
    if (aCommand.state() != wire::UPSTREAM_STATE_LOST) {
      return;
    }
    for (const wire::UpstreamRef& upstream : aCommand.upstreams()) {
      // The suspects of a lost upstream are in the table no later than its
      // loss, so whoever learns of a new owner knows them as well.
      if (state.mAssignments.SetLost(index, upstream, state.mNow)) {
        MarkBans(state.mBans.Lose(index, upstream, state.mNow));
      }
    }
  }

  void operator()(const wire::TakeClaim& aCommand)
  {
    const auto claim = state.mClaims.Take(index, aCommand, state.mNow);
    if (!claim) {
      return SetError(reply, claim.error());
    }
    *reply.mutable_claim() = *claim;
  }

  void operator()(const wire::DrainUpstream& aCommand)
  {
    const auto* service = state.mAssignments.Find(aCommand.service());
    if (service == nullptr || service->Find(aCommand.upstream()) == nullptr) {
      return SetError(reply,
                      { Code::UnknownUpstream,
                        "No upstream '" + aCommand.upstream() +
                          "' of service '" + aCommand.service() +
                          "' has announced itself." });
    }
    state.mAssignments.Drain(index, aCommand);
  }

  void operator()(const wire::Ban& aCommand)
  {
    MarkBans(state.mBans.Set(index, aCommand, state.mNow));
  }

  void operator()(const wire::CrashReportCall& aCommand)
  {
    MarkBans(state.mBans.Report(index, aCommand, state.mNow));
  }

  void operator()(const wire::TrialCall& aCommand)
  {
    MarkBans(state.mBans.EndTrial(index, aCommand, state.mNow));
  }

  void operator()(const wire::OrphanClaims& aCommand)
  {
    state.mClaims.Orphan({ HostName{ aCommand.host() }, aCommand.session() },
                         state.mNow);
  }

  void operator()(const wire::SubmitRecordCall& aCommand)
  {
    state.SubmitRecord(index, aCommand, reply);
  }

  void operator()(const wire::ReleaseSlots& aCommand)
  {
    state.mAssignments.Release(index, aCommand, state.mNow);
  }

  void operator()(const wire::GrantSlots& aCommand)
  {
    state.mAssignments.Grant(index, aCommand, state.mNow);
  }

  void operator()(const wire::RemoveHotKeys& aCommand)
  {
    state.mAssignments.RemoveHotKeys(index, aCommand);
  }

  void operator()(const wire::CompleteClaimCall& aCommand)
  {
    state.mClaims.Complete(aCommand, state.mNow);
  }

  void operator()(const wire::ReleaseClaim& aCommand)
  {
    state.mClaims.Release(aCommand, state.mNow);
  }

  void Dispatch(const wire::Command& aCommand)
  {
    switch (aCommand.body_case()) {
      case wire::Command::kSubmitRecord:
        return (*this)(aCommand.submit_record());
      case wire::Command::kRegisterUpstreams:
        return (*this)(aCommand.register_upstreams());
      case wire::Command::kSetUpstreamState:
        return (*this)(aCommand.set_upstream_state());
      case wire::Command::kDrainUpstream:
        return (*this)(aCommand.drain_upstream());
      case wire::Command::kReleaseSlots:
        return (*this)(aCommand.release_slots());
      case wire::Command::kGrantSlots:
        return (*this)(aCommand.grant_slots());
      case wire::Command::kRemoveHotKeys:
        return (*this)(aCommand.remove_hot_keys());
      case wire::Command::kTakeClaim:
        return (*this)(aCommand.take_claim());
      case wire::Command::kCompleteClaim:
        return (*this)(aCommand.complete_claim());
      case wire::Command::kReleaseClaim:
        return (*this)(aCommand.release_claim());
      case wire::Command::kOrphanClaims:
        return (*this)(aCommand.orphan_claims());
      case wire::Command::kBan:
        return (*this)(aCommand.ban());
      case wire::Command::kCrashReport:
        return (*this)(aCommand.crash_report());
      case wire::Command::kTrial:
        return (*this)(aCommand.trial());
      case wire::Command::BODY_NOT_SET:
        return;
    }
  }

private:
  std::optional<wire::UpstreamRef> RefOf(const std::string& aService,
                                         const std::string& aUpstream) const
  {
    const auto* entry = state.mAssignments.FindUpstream(aService, aUpstream);
    if (entry == nullptr) {
      return std::nullopt;
    }
    wire::UpstreamRef ref;
    ref.set_service(aService);
    ref.set_upstream(aUpstream);
    ref.set_incarnation(entry->view.incarnation());
    return ref;
  }

  void MarkBans(const std::vector<BanTable::Key>& aChanged)
  {
    for (const auto& [service, fingerprint] : aChanged) {
      state.MarkChanged({ ChangedItem::Kind::Ban, service, fingerprint, 0 });
    }
  }
};

State::State()
  : mAssignments([this](ChangedItem aItem) { MarkChanged(std::move(aItem)); })
{
}

ApplyResult
State::Apply(LogIndex aIndex, const wire::Command& aCommand)
{
  // Never back: a proposer whose clock is behind must not revive what expired.
  const WallTime proposed{ std::chrono::milliseconds(
    aCommand.proposed_unix_ms()) };
  mNow = std::max(mNow, proposed);
  mApplying = aIndex;
  mClaims.Expire(mNow);
  ForgetOld();
  const TableVersion before = mVersion;
  ApplyResult result;
  Applier{ *this, aIndex, result.reply }.Dispatch(aCommand);
  result.tableChanged = mVersion != before;
  mChanges.SweepIfNeeded(
    [this](const ChangedItem& aItem) { return LastChange(aItem); });
  return result;
}

void
State::ForgetOld()
{
  if (mNow - mBansExpiredAt >= kBanExpiryInterval) {
    mBansExpiredAt = mNow;
    const TableVersion forgotten{ mBans.Expire(mApplying, mNow) };
    mOldestVersion = std::max(mOldestVersion, forgotten);
  }
  if (mNow - mForgotAt < kForgetInterval) {
    return;
  }
  mForgotAt = mNow;
  const Forgotten forgotten = mAssignments.Forget(mNow - kLostMemory);
  mOldestVersion =
    std::max(mOldestVersion, TableVersion{ forgotten.newestHotKey });
  // A forgotten upstream leaves no trace to send, so every table is replaced.
  if (forgotten.upstreams) {
    mVersion = TableVersion{ mApplying.value };
    mOldestVersion = mVersion;
  }
}

wire::CallReply
State::Preview(const wire::SubmitRecordCall& aCall) const
{
  return mRecords.Preview(
    aCall, [this](const wire::Record& aRecord) { return CheckRule(aRecord); });
}

Result<void>
State::CheckRule(const wire::Record& aRecord) const
{
  const auto service = records::ParseService(aRecord);
  if (!service) {
    return {};
  }
  const ServiceAssignments* held = mAssignments.Find(aRecord.name());
  if (held != nullptr && !held->slots.empty() &&
      held->slots.size() != service->slots) {
    return Fail(Code::InvalidRecord,
                "Field 'slots' is " + std::to_string(service->slots) +
                  "; allowed is " + std::to_string(held->slots.size()) +
                  ": it is fixed once the service exists.");
  }
  for (const auto& [key, stored] : mRecords.All()) {
    const wire::Record* inForce = stored.InForce();
    if (inForce == nullptr || key.first != kServiceKind ||
        key.second == aRecord.name()) {
      continue;
    }
    const auto other = records::ParseService(*inForce);
    if (other && other->prefix == service->prefix) {
      return Fail(Code::InvalidRecord,
                  "Field 'prefix' is " + service->prefix + "; the service '" +
                    key.second + "' has it.");
    }
  }
  return {};
}

void
State::SubmitRecord(LogIndex aIndex,
                    const wire::SubmitRecordCall& aCall,
                    wire::CallReply& aReply)
{
  const wire::Record& asked = aCall.record();
  aReply =
    mRecords.Submit(aIndex, aCall, mNow, [this](const wire::Record& aRecord) {
      return CheckRule(aRecord);
    });
  const StoredRecord* stored = mRecords.Find(asked.kind(), asked.name());
  if (stored == nullptr || stored->newest.revision() != aIndex.value) {
    return;
  }
  mRecordsChanged = aIndex.value;
  MarkChanged({ ChangedItem::Kind::Record, asked.kind(), asked.name(), 0 });
  if (asked.kind() != kServiceKind) {
    return;
  }
  if (const auto service = records::ParseService(stored->newest)) {
    mAssignments.EnsureSlots(asked.name(), service->slots);
  } else if (asked.deleted()) {
    mAssignments.ReleaseAll(aIndex, asked.name(), mNow);
  }
}

std::optional<records::ServiceRecord>
State::ServiceInForce(const std::string& aName) const
{
  const StoredRecord* stored = mRecords.Find(kServiceKind, aName);
  const wire::Record* inForce = stored ? stored->InForce() : nullptr;
  if (inForce == nullptr) {
    return std::nullopt;
  }
  auto parsed = records::ParseService(*inForce);
  return parsed ? std::optional(std::move(*parsed)) : std::nullopt;
}

} // namespace rattandyke::control
