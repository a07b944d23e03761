/// Calls from a host to the control group's leader.
#pragma once

#include <functional>

#include <rattandyke/result.h>
#include <rattandyke/types.h>

#include "wire/peer.pb.h"

namespace rattandyke::agent {

/// Sends calls to whoever leads. Follows not-leader answers and repeats the
/// call, with the same id, until an answer or the timeout; so every call must
/// be idempotent at the leader, as all bodies of CallRequest are. Thread-safe.
class LeaderCalls
{
public:
  using Callback = std::function<void(Result<wire::CallReply>)>;
  virtual ~LeaderCalls() = default;

  /// @param aRequest body set; id, host and session are filled in.
  /// @param aDone called once, on the agent's executor. A reply whose code is
  /// not Ok arrives as an Error with that code. Code::NoQuorum after aTimeout:
  /// the call may or may not have taken effect.
  virtual void Call(wire::CallRequest aRequest,
                    Duration aTimeout,
                    Callback aDone) = 0;
};

} // namespace rattandyke::agent
