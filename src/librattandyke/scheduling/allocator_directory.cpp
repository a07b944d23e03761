#include "scheduling/allocator_directory.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <utility>

#include "routing/service_table.h"

namespace rattandyke::scheduling {

namespace {

/// @return 1 - u, where u is the hash mapped to (0, 1). It is exact for hashes
/// near the maximum, which are those that win.
double
Complement(uint64_t aHash)
{
  constexpr double kMaxBelowOne = 1 - 0x1p-53;
  return std::min((static_cast<double>(~aHash) + 0.5) * 0x1p-64, kMaxBelowOne);
}

/// Host with its score for a group. Hosts with equal scores are ordered by
/// their hash.
struct Scored
{
  std::string_view address;
  double score = 0;
  uint64_t hash = 0;

  bool IsBelow(double aScore, uint64_t aHash) const
  {
    return address.empty() || std::pair(score, hash) < std::pair(aScore, aHash);
  }
};

} // namespace

std::string_view
NameOf(AllocatorRule aRule)
{
  switch (aRule) {
    case AllocatorRule::EntriesByLink:
      return "entries_by_link";
    case AllocatorRule::ControlHosts:
      return "control_hosts";
    default:
      return "entries";
  }
}

AllocatorRole
AllocatorDirectory::Allocators::RoleOf(std::string_view aAddress) const
{
  if (aAddress == first) {
    return AllocatorRole::First;
  }
  return aAddress == second ? AllocatorRole::Second : AllocatorRole::None;
}

bool
AllocatorDirectory::HasUnevenLinks(const std::vector<double>& aLinkMbits)
{
  if (aLinkMbits.empty()) {
    return false;
  }
  const auto [slowest, fastest] =
    std::minmax_element(aLinkMbits.begin(), aLinkMbits.end());
  return *slowest > 0 && *fastest >= kMinLinkSpread * *slowest;
}

void
AllocatorDirectory::Replace(const std::vector<Statement>& aEntries,
                            const std::vector<Statement>& aControlHosts)
{
  mEntries.clear();
  mControlHosts.clear();
  for (const Statement& entry : aEntries) {
    PutEntryHost(entry.address, entry.linkMbits);
  }
  for (const Statement& host : aControlHosts) {
    PutOrRemoveControlHost(host.address, host.allocates, host.linkMbits);
  }
  UpdateRule();
}

AllocatorDirectory::Hosts::iterator
AllocatorDirectory::Find(Hosts& aHosts, std::string_view aAddress)
{
  return std::lower_bound(aHosts.begin(),
                          aHosts.end(),
                          aAddress,
                          [](const Host& aHost, std::string_view aOther) {
                            return aHost.address < aOther;
                          });
}

AllocatorDirectory::Host&
AllocatorDirectory::Put(Hosts& aHosts,
                        std::string_view aAddress,
                        double aWeight)
{
  auto at = Find(aHosts, aAddress);
  if (at == aHosts.end() || at->address != aAddress) {
    at = aHosts.insert(
      at, Host{ std::string(aAddress), routing::HashKey(aAddress), 1 });
  }
  at->weight = aWeight;
  return *at;
}

void
AllocatorDirectory::Remove(Hosts& aHosts, std::string_view aAddress)
{
  const auto at = Find(aHosts, aAddress);
  if (at != aHosts.end() && at->address == aAddress) {
    aHosts.erase(at);
  }
}

void
AllocatorDirectory::PutEntryHost(std::string_view aAddress, double aLinkMbits)
{
  const bool stated = std::isfinite(aLinkMbits) && aLinkMbits > 0;
  Put(mEntries, aAddress, stated ? aLinkMbits : 0);
}

void
AllocatorDirectory::PutEntry(std::string_view aAddress, double aLinkMbits)
{
  PutEntryHost(aAddress, aLinkMbits);
  UpdateRule();
}

void
AllocatorDirectory::RemoveEntry(std::string_view aAddress)
{
  Remove(mEntries, aAddress);
  UpdateRule();
}

void
AllocatorDirectory::PutOrRemoveControlHost(std::string_view aAddress,
                                           bool aAllocates,
                                           double aLinkMbits)
{
  if (aAllocates) {
    Put(mControlHosts, aAddress, 1).linkMbits = aLinkMbits;
  } else {
    Remove(mControlHosts, aAddress);
  }
}

void
AllocatorDirectory::PutControlHost(std::string_view aAddress,
                                   bool aAllocates,
                                   double aLinkMbits)
{
  PutOrRemoveControlHost(aAddress, aAllocates, aLinkMbits);
  UpdateRule();
}

void
AllocatorDirectory::RemoveControlHost(std::string_view aAddress)
{
  Remove(mControlHosts, aAddress);
  UpdateRule();
}

bool
AllocatorDirectory::ControlHostsFit() const
{
  if (mControlHosts.empty() || mEntries.empty() ||
      mEntries.size() > kMaxEntriesForControlHosts) {
    return false;
  }
  double entryMbits = 0;
  for (const Host& entry : mEntries) {
    entryMbits += entry.weight;
  }
  const double needed =
    kMinControlLinkRatio * entryMbits / static_cast<double>(mEntries.size());
  return std::all_of(
    mControlHosts.begin(), mControlHosts.end(), [&](const Host& aHost) {
      return aHost.linkMbits >= needed;
    });
}

/// An entry host that does not state its bandwidth is of an older build, or its
/// setting is `entries`: it follows the rule of equal shares only.
void
AllocatorDirectory::UpdateRule()
{
  const bool allStated =
    std::all_of(mEntries.begin(), mEntries.end(), [](const Host& aHost) {
      return aHost.weight > 0;
    });
  if (!allStated) {
    mRule = AllocatorRule::EntriesAlike;
  } else if (ControlHostsFit()) {
    mRule = AllocatorRule::ControlHosts;
  } else {
    mRule = mEntries.empty() ? AllocatorRule::EntriesAlike
                             : AllocatorRule::EntriesByLink;
  }
  mAlike =
    mRule != AllocatorRule::EntriesByLink ||
    std::all_of(mEntries.begin(), mEntries.end(), [this](const Host& aHost) {
      return aHost.weight == mEntries.front().weight;
    });
}

bool
AllocatorDirectory::IsAnyByCapacity() const
{
  return !mControlHosts.empty() ||
         std::any_of(mEntries.begin(), mEntries.end(), [](const Host& aHost) {
           return aHost.weight > 0;
         });
}

const AllocatorDirectory::Hosts&
AllocatorDirectory::Active() const
{
  return mRule == AllocatorRule::ControlHosts ? mControlHosts : mEntries;
}

uint64_t
AllocatorDirectory::Fingerprint() const
{
  auto fingerprint = static_cast<uint64_t>(mRule);
  if (mRule == AllocatorRule::EntriesAlike) {
    return fingerprint;
  }
  for (const Host& host : Active()) {
    fingerprint +=
      routing::MixBits(host.hash ^ std::bit_cast<uint64_t>(host.weight));
  }
  return fingerprint;
}

AllocatorDirectory::Allocators
AllocatorDirectory::Select(std::string_view aService, uint32_t aGroup) const
{
  const uint64_t group =
    routing::HashKey(std::string(aService) + "/" + std::to_string(aGroup));
  Allocators selected = mAlike ? SelectAlike(group) : SelectWeighted(group);
  if (mRule == AllocatorRule::EntriesAlike) {
    selected.second = {};
  }
  return selected;
}

/// With equal weights the order of the scores is that of the hashes. Comparing
/// the hashes is exact and selects the same hosts as builds without weights.
AllocatorDirectory::Allocators
AllocatorDirectory::SelectAlike(uint64_t aGroup) const
{
  Allocators selected;
  uint64_t highest = 0;
  uint64_t next = 0;
  for (const Host& host : Active()) {
    const uint64_t hash = routing::MixBits(aGroup ^ host.hash);
    if (selected.first.empty() || hash > highest) {
      selected.second = std::exchange(selected.first, host.address);
      next = std::exchange(highest, hash);
    } else if (selected.second.empty() || hash > next) {
      selected.second = host.address;
      next = hash;
    }
  }
  return selected;
}

/// A host's score is -weight / ln(u). Since -ln(u) >= 1 - u, most hosts are
/// ruled out without a logarithm, which matters since each request selects.
AllocatorDirectory::Allocators
AllocatorDirectory::SelectWeighted(uint64_t aGroup) const
{
  Scored first;
  Scored second;
  for (const Host& host : Active()) {
    const uint64_t hash = routing::MixBits(aGroup ^ host.hash);
    const double complement = Complement(hash);
    if (!second.address.empty() && host.weight < second.score * complement) {
      continue;
    }
    const double score = host.weight / -std::log1p(-complement);
    if (first.IsBelow(score, hash)) {
      second = std::exchange(first, Scored{ host.address, score, hash });
    } else if (second.IsBelow(score, hash)) {
      second = Scored{ host.address, score, hash };
    }
  }
  return { first.address, second.address };
}

} // namespace rattandyke::scheduling
