/// Which labels get a series of their own.
#pragma once

#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <string_view>

#include "metrics/recorder.h"

namespace rattandyke::metrics {

/// Gives out labels up to the limits, first come, first served. Thread-safe.
class LabelTable
{
public:
  explicit LabelTable(LabelLimits aLimits)
    : mLimits(aLimits)
  {
  }

  /// @return whether the service has a label of its own.
  bool AdmitService(std::string_view aService)
  {
    const std::lock_guard lock(mMutex);
    if (mServices.contains(aService)) {
      return true;
    }
    if (mServices.size() >= mLimits.services) {
      return false;
    }
    mServices.emplace(aService, Names{});
    return true;
  }

  /// @param aService a service that was admitted, or kOther.
  bool AdmitCustomer(std::string_view aService, std::string_view aCustomer)
  {
    const std::lock_guard lock(mMutex);
    return Admit(
      Of(aService).customers, aCustomer, mLimits.customersPerService);
  }

  bool AdmitUpstream(std::string_view aService, std::string_view aUpstream)
  {
    const std::lock_guard lock(mMutex);
    return Admit(
      Of(aService).upstreams, aUpstream, mLimits.upstreamsPerService);
  }

  void ForgetUpstream(std::string_view aService, std::string_view aUpstream)
  {
    const std::lock_guard lock(mMutex);
    auto& upstreams = Of(aService).upstreams;
    const auto found = upstreams.find(aUpstream);
    if (found != upstreams.end()) {
      upstreams.erase(found);
    }
  }

private:
  using NameSet = std::set<std::string, std::less<>>;
  struct Names
  {
    NameSet customers;
    NameSet upstreams;
  };

  Names& Of(std::string_view aService)
  {
    const auto found = mServices.find(aService);
    return found == mServices.end() ? mOther : found->second;
  }

  static bool Admit(NameSet& aNames, std::string_view aName, size_t aLimit)
  {
    if (aNames.contains(aName)) {
      return true;
    }
    if (aNames.size() >= aLimit) {
      return false;
    }
    aNames.emplace(aName);
    return true;
  }

  const LabelLimits mLimits;
  std::mutex mMutex;
  std::map<std::string, Names, std::less<>> mServices;
  Names mOther;
};

} // namespace rattandyke::metrics
