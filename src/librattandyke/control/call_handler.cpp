#include "control/call_handler.h"

#include <algorithm>

#include <rattandyke/placement.h>

#include "base/endpoint.h"
#include "control/queries.h"
#include "records/records.h"

namespace rattandyke::control {

namespace {

// A proposal is answered right after it was applied, so only the newest
// results are asked for; a follower's are never.
constexpr size_t kMostKept = 1024;

wire::CallReply
Refusal(const Error& aError)
{
  wire::CallReply reply;
  reply.set_code(static_cast<uint32_t>(aError.code));
  reply.set_message(aError.message);
  return reply;
}

Result<void>
CheckPolicy(const wire::Record& aRecord)
{
  const auto service = records::ParseService(aRecord);
  if (!service) {
    return {};
  }
  const auto names = placement::PolicyRegistry::Names();
  if (std::find(names.begin(), names.end(), service->placementPolicy) !=
      names.end()) {
    return {};
  }
  return Fail(Code::InvalidRecord,
              "Field 'placement' is '" + service->placementPolicy +
                "'; no plug-in of that name is registered.");
}

} // namespace

CallHandler::CallHandler(const State& aState,
                         const Coordinator& aCoordinator,
                         consensus::Driver& aDriver,
                         const Clock& aClock)
  : mState(aState)
  , mCoordinator(aCoordinator)
  , mDriver(aDriver)
  , mClock(aClock)
{
}

void
CallHandler::Keep(LogIndex aIndex, wire::CallReply aReply)
{
  mKept.emplace(aIndex, std::move(aReply));
  if (mKept.size() > kMostKept) {
    mKept.erase(mKept.begin());
  }
}

wire::CallReply
CallHandler::TakeKept(LogIndex aIndex)
{
  auto kept = mKept.extract(aIndex);
  if (kept.empty()) {
    return Refusal({ Code::ProposalDropped, "The result is not known." });
  }
  return std::move(kept.mapped());
}

void
CallHandler::ProposeAndAnswer(wire::Command aCommand, const Answer& aAnswer)
{
  aCommand.set_proposed_unix_ms(mClock.Wall().time_since_epoch().count());
  mDriver.Propose(aCommand.SerializeAsString(),
                  [this, aAnswer](const Result<LogIndex>& aIndex) {
                    aAnswer(aIndex ? TakeKept(*aIndex)
                                   : Refusal(aIndex.error()));
                  });
}

void
CallHandler::Handle(const wire::CallRequest& aRequest, const Answer& aAnswer)
{
  wire::Command command;
  switch (aRequest.body_case()) {
    case wire::CallRequest::kSubmitRecord:
      return Submit(aRequest.submit_record(), aAnswer);
    case wire::CallRequest::kQuery:
      return Query(aRequest.query(), aAnswer);
    case wire::CallRequest::kMembership:
      return ChangeMembership(aRequest.membership(), aAnswer);
    case wire::CallRequest::kTrial:
      return Try(aRequest, aAnswer);
    case wire::CallRequest::kClaim: {
      wire::TakeClaim& take = *command.mutable_take_claim();
      *take.mutable_call() = aRequest.claim();
      take.set_host(aRequest.host());
      take.set_session(aRequest.session());
      break;
    }
    case wire::CallRequest::kCompleteClaim:
      *command.mutable_complete_claim() = aRequest.complete_claim();
      break;
    case wire::CallRequest::kReleaseClaim:
      *command.mutable_release_claim()->mutable_call() =
        aRequest.release_claim();
      command.mutable_release_claim()->set_host(aRequest.host());
      command.mutable_release_claim()->set_session(aRequest.session());
      break;
    case wire::CallRequest::kBan:
      *command.mutable_ban() = aRequest.ban().ban();
      break;
    case wire::CallRequest::kCrashReport:
      *command.mutable_crash_report() = aRequest.crash_report();
      break;
    case wire::CallRequest::kDrainUpstream: {
      const wire::DrainUpstreamCall& call = aRequest.drain_upstream();
      wire::DrainUpstream& drain = *command.mutable_drain_upstream();
      drain.set_service(call.service());
      drain.set_upstream(call.upstream());
      drain.set_drain(call.drain());
      drain.set_by_operator(true);
      break;
    }
    default:
      return aAnswer(
        Refusal({ Code::UsageError, "The leader does not take this call." }));
  }
  ProposeAndAnswer(std::move(command), aAnswer);
}

void
CallHandler::Begin(Instant aNow)
{
  mTrials.emplace(entry::TrialDesk::Settings{}, aNow);
}

void
CallHandler::EndTrialsOfLostHosts(Instant aNow)
{
  for (const auto& [session, lease] : mCoordinator.Hosts().All()) {
    if (!mCoordinator.Hosts().MayLive(lease, aNow)) {
      mTrials->Step(
        entry::trial_event::SessionGone{ session.host, session.session }, aNow);
    }
  }
}

void
CallHandler::Try(const wire::CallRequest& aRequest, const Answer& aAnswer)
{
  const Instant now = mClock.Now();
  const wire::TrialCall& call = aRequest.trial();
  const entry::TrialAsker asker{ HostName{ aRequest.host() },
                                 aRequest.session(),
                                 call.attempt() };
  const ServiceName service{ call.service() };
  EndTrialsOfLostHosts(now);
  if (call.step() == wire::TRIAL_STEP_ASK) {
    const auto answer = mTrials->Step(
      entry::trial_event::Asked{ asker, service, call.fingerprint() }, now);
    wire::CallReply reply;
    reply.mutable_trial()->set_granted(answer->granted);
    reply.mutable_trial()->set_retry_after_ms(answer->retryAfter.count());
    return aAnswer(std::move(reply));
  }
  const auto end = [this, asker, service] {
    mTrials->Step(entry::trial_event::Ended{ asker, service }, mClock.Now());
  };
  if (call.step() != wire::TRIAL_STEP_CLEARED) {
    end();
    return aAnswer({});
  }
  // The next trial begins once the table says that this one ended well.
  wire::Command command;
  *command.mutable_trial() = call;
  ProposeAndAnswer(std::move(command), [end, aAnswer](wire::CallReply aReply) {
    end();
    aAnswer(std::move(aReply));
  });
}

void
CallHandler::Submit(const wire::SubmitRecordCall& aCall, const Answer& aAnswer)
{
  Result<void> valid = records::Validate(aCall.record());
  if (valid) {
    valid = CheckPolicy(aCall.record());
  }
  if (!valid) {
    return aAnswer(Refusal(valid.error()));
  }
  if (aCall.dry_run()) {
    return aAnswer(mState.Preview(aCall));
  }
  wire::Command command;
  *command.mutable_submit_record() = aCall;
  ProposeAndAnswer(std::move(command), aAnswer);
}

void
CallHandler::Query(const wire::QueryCall& aCall, const Answer& aAnswer)
{
  const auto json =
    AnswerQuery(aCall, mState, mCoordinator.Hosts(), mClock.Now());
  if (!json) {
    return aAnswer(Refusal(json.error()));
  }
  wire::CallReply reply;
  reply.set_json(boost::json::serialize(*json));
  aAnswer(std::move(reply));
}

void
CallHandler::ChangeMembership(const wire::MembershipCall& aCall,
                              const Answer& aAnswer)
{
  const auto done = [aAnswer](const Result<void>& aResult) {
    aAnswer(aResult ? wire::CallReply{} : Refusal(aResult.error()));
  };
  if (aCall.remove_identity() != 0) {
    return mDriver.Remove(HostIdentity{ aCall.remove_identity() }, done);
  }
  const auto address = ParseEndpoint(aCall.add_address());
  if (!address) {
    return aAnswer(Refusal(address.error()));
  }
  mDriver.AddLearner({ HostName{ aCall.add_host() }, *address },
                     HostIdentity{ aCall.add_identity() },
                     done);
}

} // namespace rattandyke::control
