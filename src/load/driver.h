/// Sends the planned requests at their time, whatever the answers do.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "load/load_config.h"
#include "load/results.h"

namespace rattandyke::load {

/// Open loop: a request starts when its customer intended, also while earlier
/// ones are under way. Runs on one thread.
class Driver
{
public:
  /// All references outlive the driver.
  /// @param aRunName begins the requests' ids.
  Driver(asio::io_context& aContext,
         const LoadConfig& aConfig,
         std::vector<Endpoint> aEntries,
         std::string aRunName,
         Instant aStart,
         Results& aResults);
  ~Driver();

  /// Starts all customers. The context's run() returns when all is done.
  void Start();

  /// @return requests that were started and are not done.
  size_t UnderWay() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace rattandyke::load
