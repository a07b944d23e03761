/// What ends a request from outside while it is worked on.
#pragma once

#include <memory>

#include <boost/asio/steady_timer.hpp>

#include "gateway/upstream_client.h"

namespace rattandyke::gateway {

/// Shared by the caller's session and whoever works on its request.
class RequestContext
{
public:
  explicit RequestContext(const boost::asio::any_io_executor& aExecutor)
    : mWake(aExecutor)
  {
  }

  /// The caller has closed its connection.
  void OnCallerDisconnected();

  /// The request's time is up.
  void Expire();

  /// The host ends: the request's time is up, whoever works on it.
  void OnHostShutdown();

  bool IsCancelled() const { return mLeft || mExpired; }
  bool HasCallerDisconnected() const { return mLeft; }

  /// @return whether the work was given up for a reason that says nothing of
  /// the upstream that it was sent to.
  bool IsCancelledByCallerOrHost() const { return mLeft || mHostEnds; }

  bool HasExpired() const { return mExpired; }

  /// A try begins, which ends with the request.
  void Attach(std::shared_ptr<AttemptHandle> aHandle);
  void Detach() { mHandle.reset(); }

  /// What the one who works on the request waits on; cancelled when there is
  /// news.
  boost::asio::steady_timer& WakeTimer() { return mWake; }

private:
  void Abort(const char* aReason);

  boost::asio::steady_timer mWake;
  std::shared_ptr<AttemptHandle> mHandle;
  bool mLeft = false;
  bool mExpired = false;
  bool mHostEnds = false;
};

} // namespace rattandyke::gateway
