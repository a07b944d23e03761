/// Draws the requests of one customer: when, for which key, of which method.
#pragma once

#include <vector>

#include "base/clock.h"
#include "load/load_config.h"

namespace rattandyke::load {

/// One request as the customer intends it.
struct Plan
{
  std::string id;
  /// When it is to start, from the start of the run. Latency counts from it.
  Duration intended{ 0 };
  const ServiceLoad* service = nullptr;
  const CustomerLoad* customer = nullptr;
  std::string key;
  bool write = false;
  /// Empty: none.
  std::string idempotencyKey;
};

/// Draws indices 0 to aCount-1 with popularity 1/(index+1)^exponent.
class Zipf
{
public:
  Zipf(uint32_t aCount, double aExponent);
  uint32_t Draw(Random& aRandom) const;

private:
  std::vector<double> mCumulative;
};

/// The requests of one customer, by Poisson arrivals. Seeded: the same
/// configuration gives the same requests. Not thread-safe.
class Planner
{
public:
  /// @param aConfig outlives the planner.
  /// @param aRunName begins the requests' ids, so that runs differ.
  Planner(const LoadConfig& aConfig, size_t aCustomer, std::string aRunName);

  /// @return the next request; its intended start only rises.
  Plan Next();

private:
  double Rate() const;

  const LoadConfig& mConfig;
  size_t mCustomer;
  std::string mRunName;
  Random mRandom;
  std::vector<Zipf> mKeys;
  std::discrete_distribution<size_t> mServices;
  double mBaseRate;
  std::chrono::duration<double> mAt{ 0 };
  uint64_t mCount = 0;
};

} // namespace rattandyke::load
