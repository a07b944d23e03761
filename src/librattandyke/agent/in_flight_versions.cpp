#include "agent/in_flight_versions.h"

#include <algorithm>
#include <utility>

namespace rattandyke::agent {

InFlightVersions::Bracket::Bracket(InFlightVersions& aOwner,
                                   TableVersion aVersion)
  : mOwner(&aOwner)
  , mVersion(aVersion)
{
}

InFlightVersions::Bracket::Bracket(Bracket&& aOther) noexcept
  : mOwner(std::exchange(aOther.mOwner, nullptr))
  , mVersion(aOther.mVersion)
{
}

InFlightVersions::Bracket&
InFlightVersions::Bracket::operator=(Bracket&& aOther) noexcept
{
  if (this != &aOther) {
    End();
    mOwner = std::exchange(aOther.mOwner, nullptr);
    mVersion = aOther.mVersion;
  }
  return *this;
}

InFlightVersions::Bracket::~Bracket()
{
  End();
}

void
InFlightVersions::Bracket::End()
{
  if (auto* owner = std::exchange(mOwner, nullptr)) {
    owner->Leave(mVersion);
  }
}

std::optional<InFlightVersions::Bracket>
InFlightVersions::Enter(TableVersion aVersion)
{
  const std::lock_guard lock(mMutex);
  // A worker may be held up between its lookup and this call while a release
  // comes into force and is reported as quiesced. Its request would then reach
  // an owner that has been replaced. Refusing older versions under the lock
  // that Quiesced takes makes it look up again.
  if (aVersion < mPublished) {
    return std::nullopt;
  }
  ++mRunning[aVersion];
  return Bracket(*this, aVersion);
}

void
InFlightVersions::Publish(TableVersion aVersion)
{
  const std::lock_guard lock(mMutex);
  mPublished = std::max(mPublished, aVersion);
}

TableVersion
InFlightVersions::Quiesced() const
{
  const std::lock_guard lock(mMutex);
  if (mRunning.empty()) {
    return mPublished;
  }
  return std::min(mPublished, mRunning.begin()->first);
}

void
InFlightVersions::Leave(TableVersion aVersion)
{
  const std::lock_guard lock(mMutex);
  const auto found = mRunning.find(aVersion);
  if (--found->second == 0) {
    mRunning.erase(found);
  }
}

} // namespace rattandyke::agent
