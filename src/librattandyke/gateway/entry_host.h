/// The entry host process of a gateway deployment.
#pragma once

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

#include <rattandyke/result.h>

#include "base/clock.h"
#include "gateway/dialect.h"
#include "gateway/settings.h"

namespace rattandyke::gateway {

/// Receives callers' requests and sends each to an upstream, according to its
/// copy of the replicated state. All work runs on the io_context, which must be
/// run by one thread.
class EntryHost
{
public:
  /// @param aDialect and @param aClock outlive this object.
  EntryHost(boost::asio::io_context& aContext,
            const Settings& aSettings,
            const Dialect& aDialect,
            const Clock& aClock,
            uint64_t aSeed);
  ~EntryHost();

  /// Starts all listeners and subscribes to the feed.
  /// @return the first error, such as Code::AddressInUse.
  Result<void> Start();

  /// Applies the settings that may change while the host runs: the seeds.
  void Reload(const Settings& aSettings);

  /// Shuts down gracefully. Readiness fails, so that load balancers remove this
  /// host; requests are served until all connections are closed or the shutdown
  /// grace ends. The requests that are left get an answer before that.
  /// @param aDone called once the process may exit.
  void Stop(std::function<void()> aDone);

private:
  struct Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace rattandyke::gateway
