/// Decisions about calls to the leader: where to, when again, when to give up.
/// No I/O.
#pragma once

#include <map>
#include <optional>
#include <variant>
#include <vector>

#include <rattandyke/result.h>
#include <rattandyke/types.h>

#include "wire/peer.pb.h"

namespace rattandyke::agent {

/// What CallTracker is told.
struct CallStarted
{
  wire::CallRequest request;
  Duration timeout{};
};
struct CallReplied
{
  wire::CallReply reply;
};
struct CallTimer
{};
/// Every call that waits fails with this error, at once.
struct CallsAborted
{
  Error error;
};
using CallEvent =
  std::variant<CallStarted, CallReplied, CallTimer, CallsAborted>;

/// What CallTracker asks for.
struct SendCall
{
  HostName to;
  wire::CallRequest request;
};
struct CallFinished
{
  uint64_t id = 0;
  Result<wire::CallReply> result;
};
using CallEffect = std::variant<SendCall, CallFinished>;

/// Repeats each call with the same id until it is answered, following
/// not-leader answers. State machine; not thread-safe.
class CallTracker
{
public:
  using Effects = std::vector<CallEffect>;

  /// @param aRepeat pause before a call is sent again.
  CallTracker(std::vector<HostName> aControlHosts, Duration aRepeat);

  /// @param aLeader who is believed to lead, from the heartbeats.
  Effects Step(const CallEvent& aEvent,
               const std::optional<HostName>& aLeader,
               Instant aNow);

  /// @return when CallTimer is due; nothing if no call waits.
  std::optional<Instant> NextTimer() const;

private:
  struct Pending
  {
    wire::CallRequest request;
    Instant deadline;
    Instant nextSend;
    uint32_t sends = 0;
    /// Named by a not-leader answer to this call.
    std::optional<HostName> hint;
  };

  void On(const CallStarted& aEvent, Instant aNow, Effects& aEffects);
  void On(const CallReplied& aEvent, Instant aNow, Effects& aEffects);
  void On(const CallTimer& aEvent, Instant aNow, Effects& aEffects);
  void On(const CallsAborted& aEvent, Instant aNow, Effects& aEffects);
  void Redirect(Pending& aCall,
                const wire::CallReply& aReply,
                Instant aNow,
                Effects& aEffects);
  void Send(Pending& aCall, Instant aNow, Effects& aEffects);
  HostName TargetOf(Pending& aCall);

  std::vector<HostName> mControlHosts;
  Duration mRepeat;
  std::optional<HostName> mLeader;
  std::map<uint64_t, Pending> mCalls;
};

} // namespace rattandyke::agent
