/// Cancellation of a request that is in progress.
#pragma once

#include <memory>

#include <boost/asio/steady_timer.hpp>

#include "gateway/upstream_client.h"

namespace rattandyke::gateway {

/// Cancellation state and wake-up timer of one request. The caller's connection
/// and the coroutine that handles the request share it. Not thread-safe.
class RequestContext
{
public:
  explicit RequestContext(const boost::asio::any_io_executor& aExecutor)
    : mWakeTimer(aExecutor)
  {
  }

  /// Cancels the request because its caller has disconnected.
  void OnCallerDisconnected();

  /// Cancels the request because its deadline has passed.
  void Expire();

  /// Cancels the request because this host shuts down. HasExpired() is true
  /// afterwards, too.
  void OnHostShutdown();

  bool IsCancelled() const { return mCallerDisconnected || mExpired; }
  bool HasCallerDisconnected() const { return mCallerDisconnected; }

  /// @return whether the caller disconnected or this host shuts down. Neither
  /// is a fault of the upstream that the request was sent to.
  bool IsCancelledByCallerOrHost() const
  {
    return mCallerDisconnected || mHostShutdown;
  }

  bool HasExpired() const { return mExpired; }

  /// Makes a cancellation of the request cancel this attempt as well, at once
  /// if the request is already cancelled.
  void AttachAttempt(std::shared_ptr<AttemptHandle> aAttempt);
  void DetachAttempt() { mAttempt.reset(); }

  /// @return the timer that the request's coroutine waits on. It is cancelled
  /// when the request is cancelled or a result for it is available.
  boost::asio::steady_timer& WakeTimer() { return mWakeTimer; }

private:
  void CancelAttempt(const char* aReason);

  boost::asio::steady_timer mWakeTimer;
  std::shared_ptr<AttemptHandle> mAttempt;
  bool mCallerDisconnected = false;
  bool mExpired = false;
  bool mHostShutdown = false;
};

} // namespace rattandyke::gateway
