/// The control host process of a gateway deployment.
#pragma once

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

#include <rattandyke/result.h>

#include "base/clock.h"
#include "gateway/dialect.h"
#include "gateway/settings.h"

namespace rattandyke::gateway {

/// Member of the control group. Applies the replicated log to its State, sends
/// the state to entry hosts through a FeedServer, and serves the HTTP calls of
/// upstreams and operators. The leader also assigns key ranges to upstreams.
/// All work runs on the io_context, which must be run by one thread.
class ControlHost
{
public:
  /// @param aDialect and @param aClock outlive this object.
  ControlHost(boost::asio::io_context& aContext,
              const Settings& aSettings,
              const Dialect& aDialect,
              const Clock& aClock,
              uint64_t aSeed);
  ~ControlHost();

  /// Opens the data folder and starts all listeners.
  /// @return the first error, such as Code::AddressInUse or
  /// Code::StorageLocked.
  Result<void> Start();

  /// Stops the HTTP servers, transfers the leadership, and then closes the
  /// connections between hosts.
  /// @param aDone called once the process may exit.
  void Stop(std::function<void()> aDone);

private:
  struct Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace rattandyke::gateway
