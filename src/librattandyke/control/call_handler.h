/// Calls from hosts, answered by the leader.
#pragma once

#include <deque>
#include <functional>

#include <rattandyke/result.h>
#include <rattandyke/types.h>

#include "base/clock.h"
#include "consensus/driver.h"
#include "control/coordinator.h"
#include "control/state.h"
#include "entry/trial_desk.h"
#include "wire/peer.pb.h"

namespace rattandyke::control {

/// Proposes the command of a call and answers with what applying it gave.
/// Runs on the strand of its service.
class CallHandler
{
public:
  /// Answers the call; without an id.
  using Answer = std::function<void(wire::CallReply)>;

  /// @param aState, aCoordinator, aDriver, aClock outlive it.
  CallHandler(const State& aState,
              const Coordinator& aCoordinator,
              consensus::Driver& aDriver,
              const Clock& aClock);

  /// This host became the leader.
  void Begin(Instant aNow);

  /// To be called by a leader only.
  void Handle(const wire::CallRequest& aRequest, const Answer& aAnswer);

  /// Keeps what a command gave until its proposer asks for it.
  void Keep(LogIndex aIndex, wire::CallReply aReply);

private:
  void Submit(const wire::SubmitRecordCall& aCall, const Answer& aAnswer);
  void Try(const wire::CallRequest& aRequest, const Answer& aAnswer);
  void EndTrialsOfLostHosts(Instant aNow);
  void Query(const wire::QueryCall& aCall, const Answer& aAnswer);
  void ChangeMembership(const wire::MembershipCall& aCall,
                        const Answer& aAnswer);
  void ProposeAndAnswer(wire::Command aCommand, const Answer& aAnswer);
  wire::CallReply TakeKept(LogIndex aIndex);

  const State& mState;
  const Coordinator& mCoordinator;
  consensus::Driver& mDriver;
  const Clock& mClock;
  std::map<LogIndex, wire::CallReply> mKept;
  std::optional<entry::TrialDesk> mTrials;
};

} // namespace rattandyke::control
