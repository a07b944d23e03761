/// The quarantine as all requests of a host share it.
#pragma once

#include <atomic>
#include <mutex>

#include "entry/quarantine.h"

namespace rattandyke::http {

/// Thread-safe; its mutex is a leaf, and not taken while nothing is suspected.
class Suspects
{
public:
  entry::QuarantineVerdict Judge(const ServiceName& aService,
                                 const std::string& aFingerprint,
                                 const wire::Ban* aBan,
                                 Instant aNow)
  {
    if (aBan == nullptr && mCount == 0) {
      return entry::QuarantineVerdict::Free;
    }
    const std::lock_guard lock(mMutex);
    return mQuarantine.Judge(aService, aFingerprint, aBan, aNow);
  }

  void OnCrash(const ServiceName& aService,
               const std::string& aFingerprint,
               Instant aNow)
  {
    const std::lock_guard lock(mMutex);
    mQuarantine.OnCrash(aService, aFingerprint, aNow);
    mCount = mQuarantine.Suspects();
  }

  void OnAnswered(const ServiceName& aService, const std::string& aFingerprint)
  {
    if (mCount == 0) {
      return;
    }
    const std::lock_guard lock(mMutex);
    mQuarantine.OnAnswered(aService, aFingerprint);
    mCount = mQuarantine.Suspects();
  }

private:
  std::mutex mMutex;
  entry::Quarantine mQuarantine;
  std::atomic<size_t> mCount{ 0 };
};

} // namespace rattandyke::http
