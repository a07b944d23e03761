#include "gateway/request_context.h"

namespace rattandyke::gateway {

namespace {

constexpr const char* kCallerLeft = "the caller left";
constexpr const char* kNoAnswer = "no answer in time";

} // namespace

void
RequestContext::Abort(const char* aReason)
{
  if (mHandle) {
    mHandle->Abort(aReason);
  }
  mWake.cancel();
}

void
RequestContext::OnCallerDisconnected()
{
  mLeft = true;
  Abort(kCallerLeft);
}

void
RequestContext::Expire()
{
  mExpired = true;
  Abort(kNoAnswer);
}

/// Safeguard: taken for silent, an upstream that was at work would be avoided
/// by all hosts for a fault that was none.
void
RequestContext::OnHostShutdown()
{
  mHostEnds = true;
  Expire();
}

void
RequestContext::Attach(std::shared_ptr<AttemptHandle> aHandle)
{
  mHandle = std::move(aHandle);
  if (IsCancelled()) {
    mHandle->Abort(mLeft ? kCallerLeft : kNoAnswer);
  }
}

} // namespace rattandyke::gateway
