#include "entry/quarantine.h"

namespace rattandyke::entry {

namespace {

/// By then the leader has heard of the crash, or it was none.
constexpr Duration kOwnSuspicion = std::chrono::seconds(5);

} // namespace

QuarantineVerdict
Quarantine::Judge(const ServiceName& aService,
                  const std::string& aFingerprint,
                  const wire::Ban* aBan,
                  Instant aNow) const
{
  if (aBan != nullptr && !aBan->lifted()) {
    return aBan->suspect() ? QuarantineVerdict::Suspect
                           : QuarantineVerdict::Banned;
  }
  if (mSuspects.empty()) {
    return QuarantineVerdict::Free;
  }
  const auto found = mSuspects.find({ aService, aFingerprint });
  const bool suspect = found != mSuspects.end() && aNow < found->second;
  return suspect ? QuarantineVerdict::Suspect : QuarantineVerdict::Free;
}

void
Quarantine::OnCrash(const ServiceName& aService,
                    const std::string& aFingerprint,
                    Instant aNow)
{
  std::erase_if(mSuspects,
                [&](const auto& aOne) { return aOne.second <= aNow; });
  mSuspects[{ aService, aFingerprint }] = aNow + kOwnSuspicion;
}

void
Quarantine::OnAnswered(const ServiceName& aService,
                       const std::string& aFingerprint)
{
  if (!mSuspects.empty()) {
    mSuspects.erase({ aService, aFingerprint });
  }
}

} // namespace rattandyke::entry
