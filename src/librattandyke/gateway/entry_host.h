/// An entry host of a gateway deployment.
#pragma once

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

#include <rattandyke/result.h>

#include "base/clock.h"
#include "gateway/dialect.h"
#include "gateway/settings.h"

namespace rattandyke::gateway {

/// Takes callers' requests and sends each to an upstream. Runs on the
/// io_context, which one thread runs.
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

  Result<void> Start();

  /// Takes over settings that may change while the host runs.
  void Reload(const Settings& aSettings);

  /// Leaves rotation, serves what still comes, and ends without cutting off a
  /// request.
  /// @param aDone called when the process may end.
  void Stop(std::function<void()> aDone);

private:
  struct Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace rattandyke::gateway
