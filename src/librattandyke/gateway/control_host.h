/// A control host of a gateway deployment.
#pragma once

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

#include <rattandyke/result.h>

#include "base/clock.h"
#include "gateway/dialect.h"
#include "gateway/settings.h"

namespace rattandyke::gateway {

/// Joins the decisions of Granter, State and FeedServer to the replicated log,
/// the connections between hosts, and the calls of upstreams and operators.
/// Runs on the io_context, which one thread runs.
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

  Result<void> Start();

  /// Hands leadership over and ends the listeners.
  /// @param aDone called when the process may end.
  void Stop(std::function<void()> aDone);

private:
  struct Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace rattandyke::gateway
