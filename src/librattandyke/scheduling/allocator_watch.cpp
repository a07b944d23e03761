#include "scheduling/allocator_watch.h"

namespace rattandyke::scheduling {

void
AllocatorWatch::OnElected(Instant aNow)
{
  mElectedAt = aNow;
  mHosts.clear();
}

void
AllocatorWatch::RecordReport(const std::string& aAddress, Instant aNow)
{
  mHosts[aAddress].reportedAt = aNow;
}

bool
AllocatorWatch::ShouldWithdraw(const std::string& aAddress, Instant aNow)
{
  Host& host =
    mHosts.try_emplace(aAddress, Host{ mElectedAt, {} }).first->second;
  if (aNow - host.reportedAt < Duration(kSilentAfter) ||
      aNow - host.withdrawnAt < Duration(kRepeatAfter)) {
    return false;
  }
  host.withdrawnAt = aNow;
  return true;
}

} // namespace rattandyke::scheduling
