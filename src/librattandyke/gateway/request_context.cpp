#include "gateway/request_context.h"

namespace rattandyke::gateway {

namespace {

constexpr const char* kCallerDisconnected = "the caller left";
constexpr const char* kDeadlinePassed = "no answer in time";

} // namespace

void
RequestContext::CancelAttempt(const char* aReason)
{
  if (mAttempt) {
    mAttempt->Cancel(aReason);
  }
  mWakeTimer.cancel();
}

void
RequestContext::OnCallerDisconnected()
{
  mCallerDisconnected = true;
  CancelAttempt(kCallerDisconnected);
}

void
RequestContext::Expire()
{
  mExpired = true;
  CancelAttempt(kDeadlinePassed);
}

/// Sets mHostShutdown besides mExpired. Otherwise the upstream would count as
/// unresponsive, and all hosts would avoid it although it was still running the
/// request.
void
RequestContext::OnHostShutdown()
{
  mHostShutdown = true;
  Expire();
}

void
RequestContext::AttachAttempt(std::shared_ptr<AttemptHandle> aAttempt)
{
  mAttempt = std::move(aAttempt);
  if (IsCancelled()) {
    mAttempt->Cancel(mCallerDisconnected ? kCallerDisconnected
                                         : kDeadlinePassed);
  }
}

} // namespace rattandyke::gateway
