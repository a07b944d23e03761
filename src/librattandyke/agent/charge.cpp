#include "agent/charge.h"

#include <algorithm>

#include "base/endpoint.h"

namespace rattandyke::agent {

namespace {

bool
Contains(const std::vector<Grant>& aGrants, const Grant& aGrant)
{
  return std::find(aGrants.begin(), aGrants.end(), aGrant) != aGrants.end();
}

bool
IsExclusion(const Grant& aGrant)
{
  const auto* key = std::get_if<KeyGrant>(&aGrant);
  return key != nullptr && key->fence.value == 0;
}

/// @return the last grant, if it can be lengthened by this slot.
SlotRangeGrant*
Adjoining(std::vector<Grant>& aGrants, const wire::SlotOwner& aOwner)
{
  auto* range =
    aGrants.empty() ? nullptr : std::get_if<SlotRangeGrant>(&aGrants.back());
  const bool adjoins = range != nullptr &&
                       range->last.value + 1 == aOwner.slot() &&
                       range->fence.value == aOwner.fence();
  return adjoins ? range : nullptr;
}

bool
HoldsSlot(const std::vector<Grant>& aGrants, Slot aSlot)
{
  return std::any_of(aGrants.begin(), aGrants.end(), [&](const Grant& aGrant) {
    const auto* range = std::get_if<SlotRangeGrant>(&aGrant);
    return range != nullptr && range->first <= aSlot && aSlot <= range->last;
  });
}

/// @return whether every slot of aBefore is held in aNow, under any fence.
/// Single keys are not looked into: with any of them the answer is no.
bool
HoldsAgain(const std::vector<Grant>& aBefore, const std::vector<Grant>& aNow)
{
  const auto holds = [&](const Grant& aGrant) {
    const auto* range = std::get_if<SlotRangeGrant>(&aGrant);
    if (range == nullptr) {
      return false;
    }
    for (Slot slot = range->first; slot <= range->last; ++slot.value) {
      if (!HoldsSlot(aNow, slot)) {
        return false;
      }
    }
    return true;
  };
  const bool hasKeys =
    std::any_of(aNow.begin(), aNow.end(), [](const Grant& aGrant) {
      return std::holds_alternative<KeyGrant>(aGrant);
    });
  return !aBefore.empty() && !hasKeys &&
         std::all_of(aBefore.begin(), aBefore.end(), holds);
}

} // namespace

std::vector<Grant>
JoinGrants(const std::vector<wire::SlotOwner>& aOwners)
{
  std::vector<Grant> grants;
  std::vector<Grant> keys;
  for (const wire::SlotOwner& owner : aOwners) {
    if (!owner.key().empty()) {
      keys.emplace_back(KeyGrant{ owner.key(), { owner.fence() } });
    } else if (SlotRangeGrant* range = Adjoining(grants, owner)) {
      range->last = { owner.slot() };
    } else {
      grants.emplace_back(SlotRangeGrant{
        { owner.slot() }, { owner.slot() }, { owner.fence() } });
    }
  }
  grants.insert(grants.end(), keys.begin(), keys.end());
  return grants;
}

bool
TakesAway(const std::vector<Grant>& aBefore, const std::vector<Grant>& aAfter)
{
  const bool lacksOne =
    std::any_of(aBefore.begin(), aBefore.end(), [&](const Grant& aGrant) {
      return !IsExclusion(aGrant) && !Contains(aAfter, aGrant);
    });
  const bool excludesMore =
    std::any_of(aAfter.begin(), aAfter.end(), [&](const Grant& aGrant) {
      return IsExclusion(aGrant) && !Contains(aBefore, aGrant);
    });
  return lacksOne || excludesMore;
}

void
SetGrants(Charge& aCharge,
          std::vector<Grant> aGrants,
          TableVersion aVersion,
          Instant aNow)
{
  const bool isFirst = aCharge.grantsVersion.value == 0;
  if (!isFirst && aGrants == aCharge.grants) {
    return;
  }
  const bool takesAway = isFirst || TakesAway(aCharge.grants, aGrants);
  // A move that was given up returns what it took, under a new fence. What
  // still runs under the old one runs at its owner; waiting for its end would
  // cost the upstream its lease for no one's sake.
  std::erase_if(aCharge.revocations, [&](const Revocation& aRevocation) {
    return HoldsAgain(aRevocation.before, aGrants);
  });
  std::vector<Grant> before = std::move(aCharge.grants);
  aCharge.grants = std::move(aGrants);
  aCharge.grantsVersion = aVersion;
  if (takesAway && aCharge.last.grantsVersion < aVersion) {
    aCharge.revocations.push_back({ aVersion, aNow, std::move(before) });
  }
}

void
Acknowledge(Charge& aCharge, TableVersion aGrantsVersion)
{
  std::erase_if(aCharge.revocations, [&](const Revocation& aRevocation) {
    return aRevocation.version <= aGrantsVersion;
  });
}

TableVersion
AcknowledgedVersion(const Charge& aCharge, TableVersion aTable)
{
  // Its grants are the same in every table from grantsVersion to aTable, so an
  // acknowledgement of the one covers the other.
  // Once lapsed, newer tables are not looked at any more.
  const bool hasCurrent = aCharge.phase == ChargePhase::Live &&
                          aCharge.grantsVersion.value != 0 &&
                          aCharge.last.grantsVersion >= aCharge.grantsVersion;
  return hasCurrent ? aTable : std::min(aCharge.last.grantsVersion, aTable);
}

bool
IsOtherProcess(const Announcement& aOne, const Announcement& aOther)
{
  return aOne.address != aOther.address ||
         aOne.checksFences != aOther.checksFences;
}

wire::UpstreamReport
ReportOf(const Charge& aCharge,
         const HostName& aHome,
         TableVersion aTable,
         Instant aNow)
{
  const Announcement& last = aCharge.last;
  wire::UpstreamReport report;
  wire::Upstream& upstream = *report.mutable_announced();
  upstream.set_name(last.name.value);
  upstream.set_service(last.service.value);
  upstream.set_incarnation(last.incarnation);
  upstream.set_address(ToString(last.address));
  upstream.set_data_centre(last.dataCentre.value);
  upstream.set_slots(last.slots);
  upstream.set_checks_fences(last.checksFences);
  upstream.set_home(aHome.value);
  report.set_grants_version(AcknowledgedVersion(aCharge, aTable).value);
  report.set_lapsed(aCharge.phase == ChargePhase::Lapsing);
  report.set_draining(last.draining);
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
    aNow - aCharge.announced);
  report.set_announced_ms_ago(static_cast<uint32_t>(age.count()));
  return report;
}

} // namespace rattandyke::agent
